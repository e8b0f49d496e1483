package load

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/standin/stack"
)

// Options are the options of a run.
type Options struct {
	// Binaries is the directory that contains mulberrysill and devmember.
	Binaries string
	Seed     uint64
	// Experiments selects the experiments to run by name. If it is empty, every
	// experiment of the package variable Experiments runs.
	Experiments []string
	// ProcessLog receives the log lines of the deployment's processes.
	ProcessLog io.Writer
	Log        logrus.FieldLogger
}

// Experiments lists the names of the experiments in the order in which they run.
var Experiments = []string{"m1b", "m4", "m1a", "m2", "m3"}

// run is the state of the measurement of one deployment.
type run struct {
	opts       Options
	deployment Deployment
	stack      *stack.Stack
	results    *Results
}

// Run measures one deployment. A failed experiment is recorded in the results and
// the next ones still run; Run returns an error only if the deployment can't be
// started or prepared or ctx is done.
func Run(ctx context.Context, d Deployment, opts Options) (*Results, error) {
	begin := time.Now()
	r := &run{opts: opts, deployment: d, results: &Results{Deployment: d}}
	s, stop, err := d.start(ctx, opts.Binaries, opts.ProcessLog)
	if err != nil {
		return nil, err
	}
	defer stop()
	r.stack = s
	if err := r.createTables(ctx); err != nil {
		return nil, err
	}
	experiments := map[string]func(context.Context) error{
		"m1b": r.measureFailover, "m4": r.measureZone, "m1a": r.measureReads, "m2": r.measureFairness, "m3": r.measureRates,
	}
	for _, name := range Experiments {
		if experiments[name] == nil || (len(opts.Experiments) > 0 && !slices.Contains(opts.Experiments, name)) {
			continue
		}
		opts.Log.WithField("deployment", d.Name).Infof("measuring %s", name)
		if err := experiments[name](ctx); err != nil {
			opts.Log.WithError(err).WithField("deployment", d.Name).Errorf("%s did not finish", name)
			r.results.failures = append(r.results.failures, fmt.Sprintf("%s did not finish: %v", name, err))
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	r.results.elapsed = time.Since(begin)
	return r.results, nil
}

func (r *run) createTables(ctx context.Context) error {
	for i := range groupCount {
		conn, err := pgconn.Connect(ctx, r.stack.URL(r.stack.Instances[0], r.deployment.Large[0], groupName(i)))
		if err != nil {
			return errors.Wrap(err, "create tables")
		}
		_, err = conn.Exec(ctx, "CREATE TABLE checkout (id int); CREATE TABLE item (id int primary key, value int)").ReadAll()
		if err := errors.CombineErrors(err, conn.Close(ctx)); err != nil {
			return errors.Wrap(err, "create tables")
		}
	}
	return nil
}

func (r *run) measureFailover(ctx context.Context) error {
	f, err := runFailover(ctx, r.stack, r.deployment, r.opts.Seed, r.opts.Log)
	if f != nil {
		r.results.add(f.rows()...)
		r.results.figures = append(r.results.figures, f.figures(r.deployment)...)
	}
	return err
}
