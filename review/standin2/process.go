//go:build review

package main

import (
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// process is a child that can be started again. Signals go to its process ID.
type process struct {
	path   string
	args   []string
	output *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd     // guarded by mu
	ended chan struct{} // guarded by mu
}

// starts takes the functions that start a child. They run on one thread that never ends, since
// the kernel kills a child when the thread that has started it ends.
var starts = sync.OnceValue(func() chan<- func() {
	requests := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range requests {
			start()
		}
	}()
	return requests
})

func startProcess(output *os.File, path string, args ...string) (*process, error) {
	p := &process{path: path, args: args, output: output}
	return p, p.Start()
}

// Start starts the process, or starts it again once it has ended.
func (p *process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = p.output, p.output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error, 1)
	starts() <- func() { result <- cmd.Start() }
	if err := <-result; err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// Kill ends the process and waits until it has ended.
func (p *process) Kill() {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

// PID returns the process ID.
func (p *process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}
