package usage

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// MaxRowBytes is the size limit of a value in the store.
	MaxRowBytes = 65536
	// MaxReportRows is the number of rows that a report may take: the store accepts 1 MB
	// (1,000,000 bytes) in a transaction.
	MaxReportRows = 15
	// MaxDroppedRows is the number of rows that one transaction deletes at most. With the
	// rows that it writes and its preconditions it stays below the store's limit of 100
	// entries.
	MaxDroppedRows = 64
	// rowOverheadBytes is an upper bound for the encoding of a row without its counts.
	rowOverheadBytes = 100
	// windowDigits is the width of the window in a row's key, so that keys sort by window.
	windowDigits = 12
	rowDigits    = 3
)

// ErrTooLarge is returned for reports that do not fit into one transaction.
var ErrTooLarge = errors.New("the report does not fit into one transaction of the store")

// FixedReport is a report that the store holds.
type FixedReport struct {
	Report
	// Era is the era of the store (see core/revision) that the writer knew. A transaction
	// that a restored store carries out late names a former era.
	Era uint64
	// Rows is the number of rows that the report takes.
	Rows int
	// AcceptedBefore is a window before which every report had been accepted by the platform,
	// or given up, when this one was written. It is 0 if the writer did not say.
	AcceptedBefore Window
}

// Row is a row of the table that holds the fixed reports.
type Row struct {
	Key   string
	Value []byte
}

// rowValue is the JSON form of a row's value.
type rowValue struct {
	Era uint64 `json:"era,omitempty"`
	// Rows is the number of rows of the report.
	Rows           int    `json:"rows"`
	AcceptedBefore Window `json:"acceptedBefore,omitempty"`
	Counts         Counts `json:"counts"`
}

// RowKey returns the key of a row of a window's report. The first row has index 0.
func RowKey(w Window, index int) string {
	return fmt.Sprintf("%0*d.%0*d", windowDigits, int64(w), rowDigits, index)
}

// RowKeys returns the keys of all rows of the report.
func (f FixedReport) RowKeys() []string {
	keys := make([]string, f.Rows)
	for i := range keys {
		keys[i] = RowKey(f.Window, i)
	}
	return keys
}

// parseRowKey returns the window and the index of a row.
func parseRowKey(key string) (Window, int, error) {
	window, index, _ := strings.Cut(key, ".")
	w, err := strconv.ParseInt(window, 10, 64)
	if err != nil {
		return 0, 0, errors.Wrapf(err, "key %q of a usage report", key)
	}
	i, err := strconv.Atoi(index)
	if err != nil || i < 0 || i >= MaxReportRows {
		return 0, 0, errors.Newf("key %q of a usage report has no valid index", key)
	}
	return Window(w), i, nil
}

// EncodeRows encodes the report as rows of at most MaxRowBytes each, at most MaxReportRows.
// Equal arguments give equal rows. era is the era of the lease under which the rows are
// written, and acceptedBefore is FixedReport.AcceptedBefore. The error is ErrTooLarge.
func (r Report) EncodeRows(era uint64, acceptedBefore Window) ([]Row, error) {
	chunks := []Counts{{}}
	size := rowOverheadBytes
	for _, workspace := range slices.Sorted(maps.Keys(r.Counts)) {
		name, err := json.Marshal(workspace)
		if err != nil {
			return nil, errors.Wrap(err, "workspace")
		}
		n := r.Counts[workspace]
		entry := len(name) + len(strconv.FormatUint(n, 10)) + len(":,")
		if rowOverheadBytes+entry > MaxRowBytes {
			return nil, ErrTooLarge
		}
		if size+entry > MaxRowBytes {
			chunks, size = append(chunks, Counts{}), rowOverheadBytes
		}
		chunks[len(chunks)-1][workspace] = n
		size += entry
	}
	if len(chunks) > MaxReportRows {
		return nil, ErrTooLarge
	}
	rows := make([]Row, len(chunks))
	for i, counts := range chunks {
		value, err := json.Marshal(rowValue{era, len(chunks), acceptedBefore, counts})
		if err != nil {
			return nil, errors.Wrap(err, "usage report")
		}
		rows[i] = Row{RowKey(r.Window, i), value}
	}
	return rows, nil
}

// UndecodableError means that some rows cannot be decoded.
type UndecodableError struct {
	// Windows holds the number of rows, up to the last one that was seen, of each window
	// whose report cannot be decoded.
	Windows map[Window]int
	err     error
}

// Error returns a text that names the rows.
func (e *UndecodableError) Error() string { return e.err.Error() }

// Unwrap returns the first cause.
func (e *UndecodableError) Unwrap() error { return e.err }

// ParseRows decodes the rows of any number of reports, in any order, and returns the
// complete reports by window. If some cannot be decoded, it returns the others with an
// *UndecodableError.
func ParseRows(rows []Row) ([]FixedReport, error) {
	type partial struct {
		report FixedReport
		seen   [MaxReportRows]bool
		count  int
		last   int
		err    error
	}
	partials := map[Window]*partial{}
	var failed error
	for _, row := range rows {
		w, index, err := parseRowKey(row.Key)
		if err != nil {
			failed = errors.CombineErrors(failed, err)
			continue
		}
		p := partials[w]
		if p == nil {
			p = &partial{report: FixedReport{Report: Report{w, Counts{}}}}
			partials[w] = p
		}
		p.last = max(p.last, index)
		var v rowValue
		if err := json.Unmarshal(row.Value, &v); err != nil {
			p.err = errors.Wrapf(err, "row %s of a usage report", row.Key)
			continue
		}
		switch {
		case p.count > 0 && (v.Rows != p.report.Rows || v.Era != p.report.Era):
			p.err = errors.Newf("the rows of the report of window %d do not match", w)
		case v.Rows <= index || p.seen[index]:
			p.err = errors.Newf("the report of window %d has an unexpected row %d", w, index)
		}
		p.report.Rows, p.report.Era, p.report.AcceptedBefore = v.Rows, v.Era, v.AcceptedBefore
		p.seen[index] = true
		p.count++
		p.report.Counts.add(v.Counts)
	}
	var reports []FixedReport
	undecodable := map[Window]int{}
	for _, w := range slices.Sorted(maps.Keys(partials)) {
		p := partials[w]
		if p.err == nil && p.count != p.report.Rows {
			p.err = errors.Newf("the report of window %d has %d of %d rows", w, p.count, p.report.Rows)
		}
		if p.err != nil {
			failed = errors.CombineErrors(failed, p.err)
			undecodable[w] = p.last + 1
			continue
		}
		reports = append(reports, p.report)
	}
	if failed != nil {
		return reports, &UndecodableError{undecodable, failed}
	}
	return reports, nil
}
