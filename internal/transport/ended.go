package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a TCP connection whose other side has ended its stream in order.
const tcpCloseWait = 8

// EndedInOrder reports whether the other side of a connection has ended its stream in order, after it had received all that was
// written. Linux reports a reset to whichever of reading and writing asks first, and the end of the stream to the other one. A
// connection that isn't one of TCP is taken for ended in order.
func EndedInOrder(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(descriptor uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		unacknowledged, queueErr := unix.IoctlGetInt(int(descriptor), unix.TIOCOUTQ)
		ended = infoErr == nil && queueErr == nil && info.State == tcpCloseWait && unacknowledged == 0
	})
	return err == nil && ended
}
