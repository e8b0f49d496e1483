package operator

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// maxLogLineBytes is the maximum length of a log line; a longer one is an error.
const maxLogLineBytes = 1 << 20

// contextWindow is the time before and after a statement within which other events
// are printed with it.
const contextWindow = 2 * time.Second

// logLine is a parsed line of an instance's log.
type logLine struct {
	at     time.Time
	event  string
	fields map[string]any
}

func newExplainCommand() *cobra.Command {
	var slowest int
	var refused bool
	var window int64
	c := &cobra.Command{
		Use:   "explain [ID] [FILE...]",
		Short: "Trace one statement through the instances' logs",
		Long: "Reads the instances' logs, as JSON lines, from the files or standard input and prints in order of time\n" +
			"all log lines of the statement with the ID, together with the instances' events around that time.\n\n" + exitCodeHelp,
		Example: "  mulberryctl explain 5c0e7a21d94b36f8 entry1.log entry2.log\n" +
			"  mulberryctl explain --refused entry*.log\n  mulberryctl explain --slowest 10 < all.log\n" +
			"  mulberryctl explain --window 353445120 entry*.log",
	}
	c.Flags().IntVar(&slowest, "slowest", 0, "list this number of slowest statements instead")
	c.Flags().BoolVar(&refused, "refused", false, "count refused statements by reason instead")
	c.Flags().Int64Var(&window, "window", 0, "explain the usage report of this window instead")
	c.RunE = func(c *cobra.Command, args []string) error {
		id := ""
		if slowest == 0 && !refused && window == 0 {
			if len(args) == 0 {
				return errors.Wrap(errUsage, "want the ID of a statement, --slowest, --refused or --window")
			}
			id, args = args[0], args[1:]
		}
		lines, err := readLogs(c.InOrStdin(), args)
		if err != nil {
			return err
		}
		switch {
		case refused:
			printRefusalCounts(c.OutOrStdout(), lines)
		case window != 0:
			return explainWindow(c.OutOrStdout(), lines, window)
		case slowest > 0:
			printSlowest(c.OutOrStdout(), lines, slowest)
		default:
			return printTrace(c.OutOrStdout(), lines, id)
		}
		return nil
	}
	return c
}

// readLogs returns the log lines of the files, or of in if there are no files, in
// order of time.
func readLogs(in io.Reader, files []string) ([]logLine, error) {
	var lines []logLine
	if len(files) == 0 {
		if err := readLog(in, &lines); err != nil {
			return nil, errors.Wrap(err, "standard input")
		}
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		err = readLog(f, &lines)
		err = errors.CombineErrors(err, f.Close())
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	return lines, nil
}

// readLog appends the lines of in that hold a JSON object with a time and an event.
// Text before the object, such as a log collector's prefix, is ignored; other lines
// are skipped.
func readLog(in io.Reader, lines *[]logLine) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal([]byte(text[start:]), &l.fields) != nil {
			continue // not an instance's log line
		}
		l.event = l.text("event")
		at, err := time.Parse(time.RFC3339Nano, l.text("time"))
		if err != nil || l.event == "" {
			continue
		}
		l.at = at
		*lines = append(*lines, l)
	}
	return scanner.Err()
}

func (l *logLine) text(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

func (l *logLine) number(field string) float64 {
	n, _ := l.fields[field].(float64)
	return n
}

// isStatement reports whether the line is about the execution of one statement.
func (l *logLine) isStatement() bool { return l.event == "statement" }

// omittedFields are not part of describeFields, because every line has them or they
// are printed in a column of their own.
var omittedFields = map[string]bool{"time": true, "level": true, "event": true, "instance": true, "zone": true, "msg": true, "id": true}

// formatValue formats numbers without an exponent, so that they can be searched for, and
// maps with sorted keys.
func formatValue(value any) string {
	switch v := value.(type) {
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	case map[string]any:
		if text, err := json.Marshal(v); err == nil {
			return string(text)
		}
	}
	return fmt.Sprint(value)
}

// describeFields returns the remaining non-empty fields as name=value, sorted by
// name.
func (l *logLine) describeFields() string {
	names := make([]string, 0, len(l.fields))
	for name, value := range l.fields {
		if !omittedFields[name] && value != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, name+"="+formatValue(l.fields[name]))
	}
	return strings.Join(parts, " ")
}

// printTrace prints the log lines of the statement, marked with ">", and the events
// within contextWindow: those of the instances that handled the statement, and the
// primary and promotion lease changes of any instance.
func printTrace(out io.Writer, lines []logLine, id string) error {
	var found []logLine
	for i := range lines {
		if lines[i].isStatement() && lines[i].text("id") == id {
			found = append(found, lines[i])
		}
	}
	if len(found) == 0 {
		return errors.Newf("no line on statement %s: not every successful statement is logged", id)
	}
	first, last := found[0].at.Add(-contextWindow), found[len(found)-1].at.Add(contextWindow)
	instances := map[string]bool{}
	for i := range found {
		instances[found[i].text("instance")] = true
	}
	for i := range lines {
		l := &lines[i]
		if l.at.Before(first) || l.at.After(last) || (l.isStatement() && l.text("id") != id) {
			continue
		}
		mark := " "
		if l.isStatement() {
			mark = ">"
		} else if !instances[l.text("instance")] && l.event != "change" && l.event != "duty" {
			continue
		}
		fmt.Fprintf(out, "%s %s %-16s %-10s %s: %s\n", mark, l.at.Format("15:04:05.000"), l.text("instance"), l.event, l.text("msg"), l.describeFields())
	}
	return nil
}

// printRefusalCounts prints the number of refused statements by code, verdict and
// reason, most frequent first, each with the ID of one such statement.
func printRefusalCounts(out io.Writer, lines []logLine) {
	type reason struct{ code, verdict, text string }
	counts := map[reason]int{}
	example := map[reason]string{}
	for i := range lines {
		l := &lines[i]
		if !l.isStatement() || l.text("code") == "" {
			continue
		}
		r := reason{l.text("code"), l.text("verdict"), generalizeReason(l)}
		counts[r]++
		if example[r] == "" {
			example[r] = l.text("id")
		}
	}
	reasons := make([]reason, 0, len(counts))
	for r := range counts {
		reasons = append(reasons, r)
	}
	slices.SortFunc(reasons, func(a, b reason) int { return cmp.Or(counts[b]-counts[a], cmp.Compare(a.text, b.text)) })
	for _, r := range reasons {
		fmt.Fprintf(out, "%6d  %-6s %-12s %s, for example %s\n", counts[r], r.code, r.verdict, r.text, example[r])
	}
}

// generalizeReason replaces the names of the workspace, member and relay in the
// reason by placeholders, so that equal causes are counted together.
func generalizeReason(l *logLine) string {
	text := l.text("reason")
	for _, field := range []string{"workspace", "member", "relay"} {
		if name := l.text(field); name != "" {
			text = strings.ReplaceAll(text, name, field)
		}
	}
	return text
}

func printSlowest(out io.Writer, lines []logLine, n int) {
	var statements []logLine
	for i := range lines {
		if lines[i].isStatement() {
			statements = append(statements, lines[i])
		}
	}
	slices.SortStableFunc(statements, func(a, b logLine) int { return cmp.Compare(b.number("ms"), a.number("ms")) })
	for i := range min(n, len(statements)) {
		l := &statements[i]
		fmt.Fprintf(out, "%s %-16s %s %s: %s\n", l.at.Format("15:04:05.000"), l.text("instance"), l.text("id"), l.text("msg"), l.describeFields())
	}
}
