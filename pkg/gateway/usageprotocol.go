package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/mulberrysill/mulberrysill/core/usage"
)

// UsageStore holds the fixed usage reports: those whose counts have been written to the
// store. A window has at most one, whoever wrote it, and nothing else is sent for it.
type UsageStore interface {
	// FixUsage writes the report with acceptedBefore (usage.FixedReport), and deletes the rows with the keys in drop, if the window
	// has no report yet and the promotion lease is unchanged. It returns the report that the
	// store then holds for the window. It returns ErrConflict if the lease has changed; after
	// any other error the report may have been written.
	FixUsage(ctx context.Context, duty Duty, report usage.Report, acceptedBefore usage.Window, drop []string) (usage.FixedReport, error)
	// FixedUsage returns all fixed reports, of one era. If some cannot be decoded, it returns
	// the others with a *usage.UndecodableError.
	FixedUsage(ctx context.Context) ([]usage.FixedReport, error)
}

// UsageReporter sends usage reports to the platform.
type UsageReporter interface {
	// ReportUsage sends a report. It returns ErrFenced if the platform has seen a higher
	// fencing token, and a *UsageRefusedError if the platform did not accept the report.
	// After any other error the report may still be accepted.
	ReportUsage(ctx context.Context, duty Duty, report usage.Report) error
}

// UsageRefusedError means that the platform did not accept a usage report.
type UsageRefusedError struct {
	Status int
	// RetryAfter is the time that the platform names; 0 if it names none.
	RetryAfter time.Duration
}

// Error returns a text with the status.
func (e *UsageRefusedError) Error() string {
	return "the platform did not accept the report: status " + strconv.Itoa(e.Status)
}
