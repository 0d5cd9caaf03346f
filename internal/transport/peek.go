package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Peek returns up to a number of bytes that a connection has received and that are not read yet, without waiting for any, and whether the
// other side has not closed it. A connection without a socket of its own counts as closed.
func Peek(conn net.Conn, most int) (pending []byte, open bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, false
	}
	buffer := make([]byte, most)
	err = raw.Read(func(descriptor uintptr) bool {
		count, _, errno := unix.Recvfrom(int(descriptor), buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errno == unix.EAGAIN || errno == nil && count > 0
		pending = buffer[:max(0, count)]
		return true
	})
	return pending, err == nil && open
}
