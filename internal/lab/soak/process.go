package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// stopTimeout is how long a process may take to exit after Stop signals it; it is killed afterwards.
const stopTimeout = 12 * time.Second

// Process is a program under test that can be started and stopped repeatedly.
type Process struct {
	Name string
	Env  []string // in addition to the environment of this process
	Args []string // program and its arguments
	Log  string   // file that standard output and standard error are appended to
	// DataDir is the folder of the process's lasting data, or "". Folder returns it once Move may change it.
	DataDir string
	// AlternateBuild is another build of the program, or "". If set, starts alternate between Args[0] and it.
	AlternateBuild string

	mu              sync.Mutex
	starts          int           // number of starts; guarded by mu
	command         *exec.Cmd     // nil while the process is not running; guarded by mu
	ended           chan struct{} // closed when command has exited; guarded by mu
	shouldRun       bool          // Stop was not called since the last start; guarded by mu
	logLost         bool          // nobody reads the output of later starts; guarded by mu
	holds           int           // calls of Hold that were not released; guarded by mu
	unexpectedExits int           // exits while shouldRun was set; guarded by mu
}

// Move makes the next start use other arguments, apart from the program, and another folder of lasting data. It must be
// called while the process is stopped.
func (p *Process) Move(args []string, dataDir string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Args = append([]string{p.Args[0]}, args...)
	p.DataDir = dataDir
}

// Folder returns the folder of the process's lasting data, or "".
func (p *Process) Folder() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.DataDir
}

// Start starts the process unless it is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	log, err := p.openLog()
	if err != nil {
		return err
	}
	command := exec.Command(p.nextBuild(), p.Args[1:]...)
	p.starts++
	command.Env = append(os.Environ(), p.Env...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.Name)
	}
	ended := make(chan struct{})
	p.command, p.ended, p.shouldRun, p.holds = command, ended, true, 0
	go func() {
		_ = command.Wait() // exit status is ignored: any exit while shouldRun is set counts as unexpected
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

// LoseLog makes the next starts write their output to a pipe that nobody reads.
func (p *Process) LoseLog() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logLost = true
}

// openLog opens what the process writes its output to. The caller holds mu.
func (p *Process) openLog() (*os.File, error) {
	if !p.logLost {
		log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		return log, eris.Wrap(err, "open process log")
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, eris.Wrap(err, "open pipe")
	}
	return writer, eris.Wrap(reader.Close(), "close pipe")
}

// nextBuild returns the program for the next start. The caller holds mu.
func (p *Process) nextBuild() string {
	if p.AlternateBuild != "" && p.starts%2 == 1 {
		return p.AlternateBuild
	}
	return p.Args[0]
}

// Signal sends a signal to the process if it is running.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal) // the process may have exited already
	}
}

// Stop resumes the process, sends it a signal and waits for it to exit. It kills the process after stopTimeout and
// returns false.
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

// PID returns the process ID, or 0 if the process is not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// UnexpectedExits returns how often the process exited without a call of Stop.
func (p *Process) UnexpectedExits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedExits
}
