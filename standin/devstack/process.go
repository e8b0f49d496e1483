package devstack

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// stopTimeout is the delay between SIGTERM and SIGKILL. It exceeds the drain
// timeout in the settings of the instances.
const stopTimeout = 10 * time.Second

// process is a child process.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// processes manages the child processes of a stack, in the order of their start.
type processes struct {
	binDir, logDir string
	logger         logrus.FieldLogger
	mu             sync.Mutex
	children       []*process
	stopping       bool
	// unexpectedExit receives an error for a child that exits before stop. Further
	// errors are discarded until it is received.
	unexpectedExit chan error
}

func newProcesses(binDir, logDir string, logger logrus.FieldLogger) *processes {
	return &processes{binDir: binDir, logDir: logDir, logger: logger, unexpectedExit: make(chan error, 1)}
}

// start starts a child and writes its output to a log file. The calling goroutine
// must be locked to the process's main thread: the kernel sends SIGTERM to the
// children when the thread that started them exits, so a killed devstack leaves no
// processes behind.
func (p *processes) start(name, binary string, args ...string) error {
	out, err := os.Create(filepath.Join(p.logDir, name+".log"))
	if err != nil {
		return errors.Wrap(err, "create log file")
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(p.binDir, binary), args...)
	cmd.Stdout, cmd.Stderr = out, out
	// The separate process group keeps Ctrl-C in a terminal from reaching the
	// children, which devstack stops in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGTERM}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	child := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	p.mu.Lock()
	p.children = append(p.children, child)
	p.mu.Unlock()
	go p.watch(child)
	return nil
}

// watch waits until the child exits and reports an exit that stop did not cause.
// The other children keep running, because fault injection may kill children.
func (p *processes) watch(child *process) {
	err := child.cmd.Wait()
	close(child.exited)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return
	}
	p.logger.WithFields(logrus.Fields{"process": child.name, "pid": child.cmd.Process.Pid}).
		WithField("state", child.cmd.ProcessState.String()).Warn("process exited")
	select {
	case p.unexpectedExit <- errors.Newf("%s exited (%s), see %s", child.name, exitText(err), filepath.Join(p.logDir, child.name+".log")):
	default:
	}
}

func exitText(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// stop stops all children in the reverse order of their start. Signals are sent to
// their process IDs.
func (p *processes) stop() {
	p.mu.Lock()
	p.stopping = true
	remaining := p.children
	p.mu.Unlock()
	for len(remaining) > 0 {
		// Consecutive children that run the same binary are stopped concurrently.
		binary := remaining[len(remaining)-1].cmd.Path
		from := len(remaining)
		for from > 0 && remaining[from-1].cmd.Path == binary {
			from--
		}
		p.stopBatch(remaining[from:])
		remaining = remaining[:from]
	}
}

// stopBatch sends SIGTERM to the children and waits until all have exited. It sends
// SIGKILL to those that have not exited after stopTimeout.
func (p *processes) stopBatch(children []*process) {
	for _, child := range children {
		child.signal(syscall.SIGTERM)
	}
	deadline := time.After(stopTimeout)
	for _, child := range children {
		select {
		case <-child.exited:
			continue
		case <-deadline:
		}
		p.logger.WithField("process", child.name).Warnf("process did not exit within %s of SIGTERM; sending SIGKILL", stopTimeout)
		for _, c := range children {
			c.signal(syscall.SIGKILL)
		}
		break
	}
	for _, child := range children {
		<-child.exited
	}
}

// signal sends a signal unless the child has exited.
func (c *process) signal(sig syscall.Signal) {
	select {
	case <-c.exited:
	default:
		_ = c.cmd.Process.Signal(sig)
	}
}

// writeProcessIDs writes the names and process IDs of all children as JSON, for
// fault injection tools.
func (p *processes) writeProcessIDs(path string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	pids := map[string]int{}
	for _, child := range p.children {
		pids[child.name] = child.cmd.Process.Pid
	}
	data, err := json.MarshalIndent(pids, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode process list")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), privateFileMode), "write process list")
}
