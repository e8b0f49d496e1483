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

// stopTimeout is the time that a process has between SIGTERM and SIGKILL. It
// exceeds the drain timeout of the entry daemons' settings.
const stopTimeout = 10 * time.Second

// process is a child.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// processes are the children of a stack, in the order of their start.
type processes struct {
	binDir, logDir string
	logger         logrus.FieldLogger
	mu             sync.Mutex
	list           []*process
	stopping       bool
	// failed receives the first child that exits unasked.
	failed chan error
}

func newProcesses(binDir, logDir string, logger logrus.FieldLogger) *processes {
	return &processes{binDir: binDir, logDir: logDir, logger: logger, failed: make(chan error, 1)}
}

// start starts a child whose output goes to a file. The caller must be locked to
// the thread that lives as long as this process: the kernel ends the children
// when that thread ends, so a killed devstack leaves none behind.
func (p *processes) start(name, binary string, args ...string) error {
	out, err := os.Create(filepath.Join(p.logDir, name+".log"))
	if err != nil {
		return errors.Wrap(err, "create log file")
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(p.binDir, binary), args...)
	cmd.Stdout, cmd.Stderr = out, out
	// An own process group keeps Ctrl-C on a terminal from reaching the
	// children before devstack stops them in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGTERM}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	child := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	p.mu.Lock()
	p.list = append(p.list, child)
	p.mu.Unlock()
	go p.watch(child)
	return nil
}

// watch reports a child that exits unasked. Faults may be injected by killing
// children, so the others go on.
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
	case p.failed <- errors.Newf("%s exited (%s), see %s", child.name, exitText(err), filepath.Join(p.logDir, child.name+".log")):
	default:
	}
}

func exitText(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// stop ends all children, the last started first, by process id.
func (p *processes) stop() {
	p.mu.Lock()
	p.stopping = true
	list := p.list
	p.mu.Unlock()
	for len(list) > 0 {
		// Children that run the same binary stop together.
		last := list[len(list)-1].cmd.Path
		from := len(list)
		for from > 0 && list[from-1].cmd.Path == last {
			from--
		}
		p.stopTogether(list[from:])
		list = list[:from]
	}
}

func (p *processes) stopTogether(list []*process) {
	for _, child := range list {
		child.signal(syscall.SIGTERM)
	}
	deadline := time.After(stopTimeout)
	for _, child := range list {
		select {
		case <-child.exited:
			continue
		case <-deadline:
		}
		p.logger.WithField("process", child.name).Warnf("did not stop within %s, killing it", stopTimeout)
		for _, late := range list {
			late.signal(syscall.SIGKILL)
		}
		break
	}
	for _, child := range list {
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

// writeList writes the name and process id of every child as JSON, for tools
// that inject faults.
func (p *processes) writeList(path string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	pids := map[string]int{}
	for _, child := range p.list {
		pids[child.name] = child.cmd.Process.Pid
	}
	data, err := json.MarshalIndent(pids, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode process list")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), privateFile), "write process list")
}
