package stack

import (
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Process is a child process that can be restarted. Signals are sent to its
// process ID, never to a process group.
type Process struct {
	path   string
	args   []string
	output io.Writer

	mu   sync.Mutex // guards cmd and done
	cmd  *exec.Cmd
	done chan struct{}
}

// StartProcess starts the program and writes its stdout and stderr to output.
func StartProcess(output io.Writer, path string, args ...string) (*Process, error) {
	p := &Process{path: path, args: args, output: output}
	if err := p.Start(); err != nil {
		return nil, err
	}
	return p, nil
}

// Start starts the process, or restarts it after it has exited.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = p.output, p.output
	// The kernel kills the child when this process exits, so an aborted test
	// leaves no processes behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnParentThread(cmd); err != nil {
		return errors.Wrapf(err, "start %s", p.path)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait() // ExitCode reads cmd.ProcessState instead
		close(done)
	}()
	return nil
}

// Signal sends a signal. It fails if the process has exited.
func (p *Process) Signal(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.path)
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL) // the process may have exited already
	<-p.Done()
}

// Pause stops the process with SIGSTOP until Resume.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Terminate requests a shutdown with SIGTERM. Done is closed when the process
// has exited.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Done returns a channel that is closed when the current run of the process has
// exited.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// HasExited reports whether the current run of the process has exited.
func (p *Process) HasExited() bool { return isClosed(p.Done()) }

// ExitCode returns the exit code of a process that has exited.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

// startRequests passes functions that start a child to the one OS thread that runs
// them. The kernel sends Pdeathsig when the thread that started the child exits,
// even if the process goes on, and the Go runtime may terminate idle threads.
// This thread is therefore locked to a goroutine that never returns.
var startRequests = sync.OnceValue(func() chan<- func() {
	requests := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range requests {
			start()
		}
	}()
	return requests
})

func startOnParentThread(cmd *exec.Cmd) error {
	result := make(chan error, 1)
	startRequests() <- func() { result <- cmd.Start() }
	return <-result
}

func itoa[T int | int64](n T) string { return strconv.FormatInt(int64(n), 10) }

// PID returns the process ID.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}
