package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// endPatience is how long a process may take to end once it was told to.
const endPatience = 12 * time.Second

// Process is one program under test. It is started again after it was killed.
type Process struct {
	Name string
	Env  []string // beside the soak's own
	Args []string // the program comes first
	Log  string   // file that it writes to

	mu      sync.Mutex
	command *exec.Cmd     // nil while it does not run; guarded by mu
	ended   chan struct{} // closed once command has ended; guarded by mu
	wanted  bool          // it was not told to end; guarded by mu
	own     int           // ends that nobody asked for; guarded by mu
}

// Start starts the process, unless it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open the log of a process")
	}
	command := exec.Command(p.Args[0], p.Args[1:]...)
	command.Env = append(os.Environ(), p.Env...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.Name)
	}
	ended := make(chan struct{})
	p.command, p.ended, p.wanted = command, ended, true
	go func() {
		_ = command.Wait() // how it ended is told by whether it was wanted
		_ = log.Close()
		p.mu.Lock()
		if p.wanted {
			p.own++
		}
		p.command = nil
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process, if it runs.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal) // it may have ended this moment
	}
}

// End ends the process by a signal and reports whether it ended in time; else it is killed.
func (p *Process) End(signal syscall.Signal) bool {
	p.mu.Lock()
	command, ended := p.command, p.ended
	p.wanted = false
	p.mu.Unlock()
	if command == nil {
		return true
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Signal(signal)
	select {
	case <-ended:
		return true
	case <-time.After(endPatience):
	}
	_ = command.Process.Kill()
	<-ended
	return false
}

// ID returns the process's number, or 0.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// OwnEnds returns how often it ended without being told to.
func (p *Process) OwnEnds() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.own
}

// Owner returns the name of the process among the given ones that holds the local end of a loopback connection, or "". The
// kernel's tables tell: nothing in the processes has to know of the proxy.
func Owner(processes []*Process, end net.Addr) string {
	tcp, ok := end.(*net.TCPAddr)
	if !ok {
		return ""
	}
	inode := inodeOf(tcp)
	if inode == "" {
		return ""
	}
	wanted := "socket:[" + inode + "]"
	for _, p := range processes {
		if id := p.ID(); id > 0 && holds(id, wanted) {
			return p.Name
		}
	}
	return ""
}

// inodeOf returns the kernel's number of the socket whose local end is the address.
func inodeOf(end *net.TCPAddr) string {
	const localField, stateField, inodeField = 1, 3, 9
	ip := end.IP.To4()
	if ip == nil {
		return ""
	}
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], end.Port)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(table)) {
		if fields := strings.Fields(line); len(fields) > inodeField && fields[localField] == local && fields[stateField] == "01" {
			return fields[inodeField]
		}
	}
	return ""
}

func holds(id int, socket string) bool {
	folder := filepath.Join("/proc", strconv.Itoa(id), "fd")
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false // it has ended
	}
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(folder, entry.Name())); err == nil && target == socket {
			return true
		}
	}
	return false
}
