package operator

import (
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// usageEventPrefix begins the names of the events of usage reports.
const usageEventPrefix = "usage-"

// concernsWindow reports whether the line is about the usage report of the window. A line
// on given-up windows may name a range.
func (l *logLine) concernsWindow(window int64) bool {
	first, ok := l.fields["window"].(float64)
	if !ok || !strings.HasPrefix(l.event, usageEventPrefix) {
		return false
	}
	last := first
	if n, ok := l.fields["last"].(float64); ok {
		last = n
	}
	return float64(window) >= first && float64(window) <= last
}

// explainWindow prints the log lines on the usage report of a window in order of time,
// marked with ">", with the changes of the holder and the restorations of the store around
// them, and then why the report says what it says.
func explainWindow(out io.Writer, lines []logLine, window int64) error {
	var found []*logLine
	for i := range lines {
		if lines[i].concernsWindow(window) {
			found = append(found, &lines[i])
		}
	}
	if len(found) == 0 {
		return errors.Newf("no line on window %d: no holder has acted on it, or usage reports are off", window)
	}
	first, last := found[0].at.Add(-contextWindow), found[len(found)-1].at.Add(contextWindow)
	for i := range lines {
		l := &lines[i]
		mark := " "
		switch {
		case l.concernsWindow(window):
			mark = ">"
		case l.at.Before(first) || l.at.After(last):
			continue
		case l.event != "duty" && l.event != "usage-holder" && l.event != "usage-lease" && l.event != "store-restored":
			continue
		}
		fmt.Fprintf(out, "%s %s %-16s %-14s %s: %s\n", mark, l.at.Format("15:04:05.000"), l.text("instance"), l.event, l.text("msg"), l.describeFields())
	}
	fmt.Fprintln(out, summarizeWindow(found))
	return nil
}

// summarizeWindow says in a few sentences what became of the report.
func summarizeWindow(lines []*logLine) string {
	var fixed, sent, givenUp *logLine
	refusals, late := 0, false
	for _, l := range lines {
		switch l.event {
		case "usage-fixed":
			if own, _ := l.fields["own"].(bool); fixed == nil || own {
				fixed = l
			}
		case "usage-sent":
			if sent == nil {
				sent = l
			}
		case "usage-refused":
			refusals++
		case "usage-given-up":
			givenUp = l
		case "usage-late":
			late = true
		}
	}
	var parts []string
	if fixed != nil {
		text := fmt.Sprintf("The report was fixed by %s with %.0f requests, %.0f ms after the end of the window.", fixed.text("instance"), fixed.number("requests"), fixed.number("afterEndMs"))
		if _, ok := fixed.fields["covered"]; ok {
			text += fmt.Sprintf(" It covers %.0f sources; %.0f requests come from %.0f sources that are gone.", fixed.number("covered"), fixed.number("goneRequests"), fixed.number("gone"))
		}
		if missing := fixed.number("missing"); missing > 0 {
			text += fmt.Sprintf(" %.0f live sources did not answer in time, so that it is a lower bound.", missing)
		}
		parts = append(parts, text)
	}
	switch {
	case sent != nil:
		parts = append(parts, fmt.Sprintf("The platform accepted it from %s, %.0f ms after the end of the window.", sent.text("instance"), sent.number("afterEndMs")))
	case givenUp != nil:
		parts = append(parts, fmt.Sprintf("Nothing was sent: %s (%s).", givenUp.text("msg"), givenUp.text("reason")))
	default:
		parts = append(parts, "No line says that the platform accepted a report.")
	}
	if refusals > 0 {
		parts = append(parts, fmt.Sprintf("%d calls of the store or the platform were refused or not answered.", refusals))
	}
	if late {
		parts = append(parts, "It was late.")
	}
	return strings.Join(parts, " ")
}
