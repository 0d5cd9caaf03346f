package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// stopTimeout is how long a process may take to end once it was told to.
const stopTimeout = 12 * time.Second

// Process is one program under test. It is started again after it was killed.
type Process struct {
	Name string
	Env  []string // beside the soak's own
	Args []string // the program comes first
	Log  string   // file that it writes to
	// AlternateBuild is another build of the program, or "". Each start takes the one that the last start didn't take.
	AlternateBuild string

	mu              sync.Mutex
	starts          int           // so far; guarded by mu
	command         *exec.Cmd     // nil while it does not run; guarded by mu
	ended           chan struct{} // closed once command has ended; guarded by mu
	shouldRun       bool          // it was not told to end; guarded by mu
	unexpectedExits int           // ends that nobody asked for; guarded by mu
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
	command := exec.Command(p.nextBuild(), p.Args[1:]...)
	p.starts++
	command.Env = append(os.Environ(), p.Env...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.Name)
	}
	ended := make(chan struct{})
	p.command, p.ended, p.shouldRun = command, ended, true
	go func() {
		_ = command.Wait() // how it ended is told by whether it was wanted
		_ = log.Close()
		p.mu.Lock()
		if p.shouldRun {
			p.unexpectedExits++
		}
		p.command = nil
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// nextBuild returns the program that the next start takes. The caller holds mu.
func (p *Process) nextBuild() string {
	if p.AlternateBuild != "" && p.starts%2 == 1 {
		return p.AlternateBuild
	}
	return p.Args[0]
}

// Signal sends a signal to the process, if it runs.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal) // it may have ended this moment
	}
}

// Stop ends the process by a signal and reports whether it ended in time; else it is killed.
func (p *Process) Stop(signal syscall.Signal) bool {
	p.mu.Lock()
	command, ended := p.command, p.ended
	p.shouldRun = false
	p.mu.Unlock()
	if command == nil {
		return true
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Signal(signal)
	select {
	case <-ended:
		return true
	case <-time.After(stopTimeout):
	}
	_ = command.Process.Kill()
	<-ended
	return false
}

// PID returns the process's number, or 0.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// UnexpectedExits returns how often it ended without being told to.
func (p *Process) UnexpectedExits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedExits
}
