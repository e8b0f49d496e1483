package devstack

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sirupsen/logrus"
)

// File names of the binaries.
const (
	daemonBinary   = "mulberrysill"
	ctlBinary      = "mulberryctl"
	memberBinary   = "devmember"
	platformBinary = "devplatform"
)

// Timeouts of the start, and the delay between attempts.
const (
	listenTimeout  = 20 * time.Second
	publishTimeout = 60 * time.Second
	queryTimeout   = 60 * time.Second
	retryInterval  = 100 * time.Millisecond
)

// Run starts the deployment, writes "ready: URL" to out after a query through an
// instance succeeds, and stops all processes when the context ends. The calling
// goroutine must be locked to the process's main thread; see processes.start.
func Run(ctx context.Context, d Deployment, opts Options, out io.Writer, logger logrus.FieldLogger) (err error) {
	if err := checkBinaries(opts.BinDir); err != nil {
		return err
	}
	directory, remove, err := stateDirectory(opts.Directory)
	if err != nil {
		return err
	}
	defer remove()
	logDir := filepath.Join(directory, "logs")
	if err := os.MkdirAll(logDir, 0o700); err != nil {
		return errors.Wrap(err, "create log directory")
	}
	l, err := newLayout(d, opts, directory)
	if err != nil {
		return err
	}
	children := newProcesses(opts.BinDir, logDir, logger)
	defer children.stop()
	logger.WithField("directory", directory).Info("starting deployment " + d.Name)
	if err := l.start(ctx, children); err != nil {
		return errorUnlessCanceled(ctx, err)
	}
	url := l.url(l.instances[0], d.Workspaces[0].Name, d.Services[0])
	if err := l.awaitQuery(ctx, url, children); err != nil {
		return errorUnlessCanceled(ctx, err)
	}
	if _, err := fmt.Fprintf(out, "ready: %s\n", url); err != nil {
		return errors.Wrap(err, "write connection string")
	}
	<-ctx.Done()
	logger.Info("stopping deployment")
	return nil
}

// errorUnlessCanceled returns err, or nil if the context has ended and thereby
// interrupted the start.
func errorUnlessCanceled(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// checkBinaries returns an error if a required binary is missing.
func checkBinaries(dir string) error {
	for _, name := range []string{daemonBinary, ctlBinary, memberBinary, platformBinary} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			return errors.Wrapf(err, "binary %s is missing (run make build)", name)
		}
	}
	return nil
}

// stateDirectory creates the directory at path, or a temporary one if path is
// empty. It returns the directory and a function that removes a temporary one.
func stateDirectory(path string) (string, func(), error) {
	if path != "" {
		absolute, err := filepath.Abs(path)
		if err != nil {
			return "", nil, errors.Wrap(err, "resolve directory")
		}
		return absolute, func() {}, errors.Wrap(os.MkdirAll(absolute, 0o700), "create directory")
	}
	directory, err := os.MkdirTemp("", "devstack-")
	return directory, func() { _ = os.RemoveAll(directory) }, errors.Wrap(err, "create directory")
}

// start starts the processes, each after those on which it depends, and publishes
// the first bundle.
func (l *layout) start(ctx context.Context, children *processes) error {
	if err := children.start("platform", platformBinary, "--listen", l.platformAddress); err != nil {
		return err
	}
	addresses := []string{l.platformAddress}
	for _, m := range l.members {
		if err := children.start(m.Name, memberBinary, "--config", l.path(m.Name+".yaml")); err != nil {
			return err
		}
		addresses = append(addresses, m.Listen)
	}
	if err := awaitListeners(ctx, addresses, children); err != nil {
		return err
	}
	addresses = nil
	for _, e := range l.instances {
		if err := children.start(e.ID, daemonBinary, "--config", l.path(e.ID+".yaml")); err != nil {
			return err
		}
		addresses = append(addresses, e.AdminAddress)
	}
	if err := children.writeProcessIDs(l.path("processes.json")); err != nil {
		return err
	}
	if err := awaitListeners(ctx, addresses, children); err != nil {
		return err
	}
	return l.publish(ctx)
}

// awaitListeners waits until every address accepts connections.
func awaitListeners(ctx context.Context, addresses []string, children *processes) error {
	for _, address := range addresses {
		err := retry(ctx, listenTimeout, children, func(ctx context.Context) error {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err == nil {
				_ = conn.Close()
			}
			return err
		})
		if err != nil {
			return errors.Wrapf(err, "wait for a listener on %s", address)
		}
	}
	return nil
}

// retry repeats the attempt until it succeeds, the timeout has elapsed or a child
// exits.
func retry(ctx context.Context, timeout time.Duration, children *processes, attempt func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		err := attempt(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "no success within %s", timeout)
		case failed := <-children.unexpectedExit:
			return failed
		case <-time.After(retryInterval):
		}
	}
}

// publish publishes the first bundle with mulberryctl.
func (l *layout) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	args, err := publishValues{
		AdminURL: "http://" + l.instances[0].AdminAddress, AdminTokenFile: l.path("admin.token"),
		SignedBundle: l.signedBundle,
	}.arguments()
	if err != nil {
		return err
	}
	output, err := exec.CommandContext(ctx, filepath.Join(l.opts.BinDir, ctlBinary), args...).CombinedOutput()
	return errors.Wrapf(err, "publish the first bundle: %s", output)
}

// awaitQuery waits until a query through an instance succeeds.
func (l *layout) awaitQuery(ctx context.Context, url string, children *processes) error {
	err := retry(ctx, queryTimeout, children, func(ctx context.Context) error {
		conn, err := pgconn.Connect(ctx, url)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close(context.Background()) }()
		_, err = conn.Exec(ctx, "SELECT 1").ReadAll()
		return err
	})
	return errors.Wrap(err, "wait for a successful query through an instance")
}
