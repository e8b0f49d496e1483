package capacity

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrysill/mulberrysill/standin/stack"
)

// The marks in the page that enclose the generated tables.
const (
	beginMark = "<!-- measured by make capacity: begin -->"
	endMark   = "<!-- measured by make capacity: end -->"
)

// Run measures all series and replaces the generated tables of the page, a file
// that contains both marks.
func Run(ctx context.Context, page string) error {
	directory, err := os.MkdirTemp("", "devcapacity-")
	if err != nil {
		return errors.Wrap(err, "create temporary directory")
	}
	defer os.RemoveAll(directory)
	if err := stack.Build(ctx, directory); err != nil {
		return err
	}
	all := append(failoverSeries(), limitSeries()...)
	all = append(all, leaseSeries()...)
	measurements := []func() ([]Series, error){
		bundleSeries,
		func() ([]Series, error) { return heartbeatSeries(ctx) },
		func() ([]Series, error) { return controlSeries(ctx, directory, directory) },
		func() ([]Series, error) { return clientSeries(ctx, directory, directory) },
		func() ([]Series, error) { return statementSeries(ctx, directory, directory) },
	}
	for _, measure := range measurements {
		series, err := measure()
		if err != nil {
			return err
		}
		all = append(all, series...)
	}
	text := fmt.Sprintf("Measured on %s with `make capacity`, %s, %d processors.\n\n%s",
		time.Now().UTC().Format(time.DateOnly), runtime.Version(), runtime.NumCPU(), markdownTable(all))
	return replaceTables(page, text)
}

// replaceTables replaces the text between the marks of the page.
func replaceTables(page, text string) error {
	data, err := os.ReadFile(page)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	before, rest, ok := strings.Cut(string(data), beginMark)
	_, after, ok2 := strings.Cut(rest, endMark)
	if !ok || !ok2 {
		return errors.Newf("%s does not contain the marks %q and %q", page, beginMark, endMark)
	}
	out := before + beginMark + "\n\n" + text + "\n" + endMark + after
	return errors.Wrap(os.WriteFile(page, []byte(out), 0o644), "write page")
}
