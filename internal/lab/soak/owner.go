package soak

import (
	"encoding/binary"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/sys/unix"
)

// Owners finds out which process opened a connection. It asks the kernel, so the processes need no knowledge of the
// proxy. It is safe for concurrent use.
type Owners struct {
	processes []*Process

	looking sync.Mutex // held while the descriptors of all processes are read
	mu      sync.Mutex
	sockets map[string]string // names of processes, by socket as in /proc/PID/fd; guarded by mu
	begun   uint64            // looks that have begun; guarded by mu
}

// ClosedOwner is the owner of a connection that the process which opened it has closed.
const ClosedOwner = "(closed)"

// NewOwners returns the owners of connections of the given processes.
func NewOwners(processes []*Process) *Owners { return &Owners{processes: processes} }

// Owner is the same for a single connection.
func Owner(processes []*Process, conn net.Conn) string { return NewOwners(processes).Owner(conn) }

// Owner returns the name of the process that owns the remote end of a loopback connection accepted by this process,
// ClosedOwner, or "" if none of the processes does. One look at the descriptors of all processes serves all connections that
// were opened before it, since a fleet opens thousands at once when it starts or when links fail.
func (o *Owners) Owner(conn net.Conn) string {
	remote, local := endpointOf(conn.RemoteAddr()), endpointOf(conn.LocalAddr())
	if remote == nil || local == nil {
		return ""
	}
	inode := socketInode(remote, local)
	if inode == 0 {
		return ClosedOwner
	}
	socket := "socket:[" + strconv.FormatUint(uint64(inode), 10) + "]"
	owner, known, next := o.find(socket)
	if known {
		return owner
	}
	o.looking.Lock()
	defer o.looking.Unlock()
	if owner, known, begins := o.find(socket); known || begins > next {
		return owner // another look has begun and ended since
	}
	if socketInode(remote, local) != inode {
		return ClosedOwner
	}
	o.look()
	owner, _, _ = o.find(socket)
	return owner
}

// find returns the owner of a socket as of the last look, whether it was found, and the number of the next look.
func (o *Owners) find(socket string) (owner string, known bool, next uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	owner, known = o.sockets[socket]
	return owner, known, o.begun + 1
}

// look reads the descriptors of all processes. The caller holds looking.
func (o *Owners) look() {
	o.mu.Lock()
	o.begun++
	o.mu.Unlock()
	sockets := map[string]string{}
	for _, p := range o.processes {
		if pid := p.PID(); pid > 0 {
			addSockets(sockets, pid, p.Name)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sockets = sockets
}

// endpoint is an IPv4 address and port of a socket in network byte order, as used by the kernel.
type endpoint struct {
	port    [2]byte
	address [4]byte
}

// endpointOf returns the endpoint of a TCP address, or nil if it is not IPv4.
func endpointOf(address net.Addr) *endpoint {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return nil
	}
	ip := tcp.IP.To4()
	if ip == nil {
		return nil
	}
	result := &endpoint{address: [4]byte(ip)}
	binary.BigEndian.PutUint16(result.port[:], uint16(tcp.Port))
	return result
}

// Layout of a sock_diag request for one socket and of its reply: linux/inet_diag.h and linux/netlink.h.
const (
	requestBytes         = unix.NLMSG_HDRLEN + 56
	requestFamily        = unix.NLMSG_HDRLEN
	requestProtocol      = requestFamily + 1
	requestLocalPort     = requestFamily + 8
	requestRemotePort    = requestLocalPort + 2
	requestLocalAddress  = requestRemotePort + 2
	requestRemoteAddress = requestLocalAddress + 16
	requestCookie        = requestRemoteAddress + 16 + 4
	replyBytes           = unix.NLMSG_HDRLEN + 72
	replyState           = unix.NLMSG_HDRLEN + 1
	replyInode           = unix.NLMSG_HDRLEN + 68
	tcpEstablished       = 1
	noCookie             = 0xffffffffffffffff
	replyTimeoutSeconds  = 2 // keeps a lost reply from blocking the caller forever
)

// socketInode returns the inode of the established socket with these endpoints, or 0. It queries this socket only:
// listing all sockets for each connection would cost time proportional to the sockets on the machine.
func socketInode(local, remote *endpoint) uint32 {
	socket, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return 0
	}
	defer unix.Close(socket)
	if unix.SetsockoptTimeval(socket, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: replyTimeoutSeconds}) != nil {
		return 0
	}
	if unix.Sendto(socket, socketRequest(local, remote), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}) != nil {
		return 0
	}
	reply := make([]byte, unix.Getpagesize())
	count, _, err := unix.Recvfrom(socket, reply, 0)
	if err != nil || count < replyBytes || binary.NativeEndian.Uint16(reply[4:]) != unix.SOCK_DIAG_BY_FAMILY || reply[replyState] != tcpEstablished {
		return 0
	}
	return binary.NativeEndian.Uint32(reply[replyInode:])
}

// socketRequest encodes a sock_diag request for the socket with these endpoints.
func socketRequest(local, remote *endpoint) []byte {
	request := make([]byte, requestBytes)
	binary.NativeEndian.PutUint32(request, requestBytes)
	binary.NativeEndian.PutUint16(request[4:], unix.SOCK_DIAG_BY_FAMILY)
	binary.NativeEndian.PutUint16(request[6:], unix.NLM_F_REQUEST)
	request[requestFamily], request[requestProtocol] = unix.AF_INET, unix.IPPROTO_TCP
	copy(request[requestLocalPort:], local.port[:])
	copy(request[requestRemotePort:], remote.port[:])
	copy(request[requestLocalAddress:], local.address[:])
	copy(request[requestRemoteAddress:], remote.address[:])
	binary.NativeEndian.PutUint64(request[requestCookie:], noCookie)
	return request
}

// addSockets adds the open sockets of a process to owners, as in its /proc/PID/fd links ("socket:[inode]").
func addSockets(owners map[string]string, pid int, name string) {
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(dir)
	if err != nil {
		return // the process has exited
	}
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(dir, entry.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			owners[target] = name
		}
	}
}
