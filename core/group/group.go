// Package group defines what the product assumes of a database group: its
// members, their log positions and the calls that a control connection makes.
// docs/design.md, section 3, states the contract in full.
package group

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Position names one entry of a group's log: the term in which it was written
// and its index, counted from 1. The zero value lies before every entry.
type Position struct {
	Term  uint64
	Index uint64
}

// ParsePosition reads the form "term:index" that String writes.
func ParsePosition(s string) (Position, error) {
	term, index, ok := strings.Cut(s, ":")
	if !ok {
		return Position{}, errors.Newf("position %q: want term:index", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, errors.Wrapf(err, "position %q: term", s)
	}
	i, err := strconv.ParseUint(index, 10, 64)
	if err != nil {
		return Position{}, errors.Wrapf(err, "position %q: index", s)
	}
	return Position{Term: t, Index: i}, nil
}

// String returns "term:index".
func (p Position) String() string { return fmt.Sprintf("%d:%d", p.Term, p.Index) }

// IsZero reports whether the position lies before every entry.
func (p Position) IsZero() bool { return p == Position{} }

// Compare orders positions by term, then by index. The order says which log is
// more advanced; it does not say that one log contains the other.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Index, q.Index)
}

// Role is a member's own view of its role.
type Role string

// The roles that a member reports.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// Status is one row of mulberry_status().
type Status struct {
	Member string
	Group  string
	Role   Role
	// PromisedTerm is the highest term that the member has promised, and
	// PromisedOwner the instance to which it promised it.
	PromisedTerm  uint64
	PromisedOwner string
	// LogTerm and Received are the term and index of the last durable entry.
	LogTerm  uint64
	Received uint64
	// AppliedTerm and Applied are those of the last entry visible to reads.
	AppliedTerm uint64
	Applied     uint64
	// CurrentTerm is the term that the member leads or follows, and TermStart
	// the index of that term's first entry.
	CurrentTerm uint64
	TermStart   uint64
	// PreviousTerm is the term of the entry just before TermStart; 0 if none.
	// It tells whether another term lay between a write's term and this one.
	PreviousTerm uint64
	// PrimaryContact is the time since the member last heard from the primary
	// of CurrentTerm; 0 on that primary itself.
	PrimaryContact time.Duration
	// Incarnation changes whenever the member's visible state may have gone back.
	Incarnation uint64
}

// ReceivedPosition returns the position of the last durable entry.
func (s Status) ReceivedPosition() Position {
	return Position{Term: s.LogTerm, Index: s.Received}
}

// AppliedPosition returns the position of the last entry visible to reads.
func (s Status) AppliedPosition() Position {
	return Position{Term: s.AppliedTerm, Index: s.Applied}
}

// Confirms reports whether the member has durably received p while it follows
// p's term and has promised no higher one. A majority of confirming members
// makes p acknowledged.
func (s Status) Confirms(p Position) bool {
	return s.PromisedTerm == p.Term && s.CurrentTerm == p.Term &&
		s.LogTerm == p.Term && s.Received >= p.Index
}

// Majority returns the smallest number of members out of n that meets every
// other such set.
func Majority(n int) int { return n/2 + 1 }

// Columns are the columns of a status row, in order, in text format.
var Columns = []string{
	"member", "group_name", "role", "promised_term", "promised_owner",
	"log_term", "received", "applied", "applied_term", "current_term",
	"term_start", "previous_term", "primary_contact_ms", "incarnation",
}

// The calls on a control connection.
const (
	statusCall  = "SELECT * FROM mulberry_status()"
	fenceCall   = "SELECT * FROM mulberry_fence(%d, '%s')"
	promoteCall = "SELECT * FROM mulberry_promote(%d, '%s')"
	waitCall    = "SELECT * FROM mulberry_wait(%d, %d, %d)"
)

// StatusSQL returns the call that reads a member's status.
func StatusSQL() string { return statusCall }

// FenceSQL returns the call that asks a member to promise the term to owner.
func FenceSQL(term uint64, owner string) string {
	return fmt.Sprintf(fenceCall, term, strings.ReplaceAll(owner, "'", "''"))
}

// PromoteSQL returns the call that makes a member the primary of the term.
func PromoteSQL(term uint64, owner string) string {
	return fmt.Sprintf(promoteCall, term, strings.ReplaceAll(owner, "'", "''"))
}

// WaitSQL returns the call that waits until a member has received p.
func WaitSQL(p Position, timeout time.Duration) string {
	return fmt.Sprintf(waitCall, p.Term, p.Index, timeout.Milliseconds())
}

// ParseStatus reads a status row in the order of Columns.
func ParseStatus(row [][]byte) (Status, error) {
	if len(row) != len(Columns) {
		return Status{}, errors.Newf("status row has %d columns, want %d", len(row), len(Columns))
	}
	s := Status{
		Member: string(row[0]), Group: string(row[1]), Role: Role(row[2]), PromisedOwner: string(row[4]),
	}
	var contactMS uint64
	numbers := map[int]*uint64{
		3: &s.PromisedTerm, 5: &s.LogTerm, 6: &s.Received, 7: &s.Applied, 8: &s.AppliedTerm,
		9: &s.CurrentTerm, 10: &s.TermStart, 11: &s.PreviousTerm,
		12: &contactMS, 13: &s.Incarnation,
	}
	for i, target := range numbers {
		v, err := strconv.ParseUint(string(row[i]), 10, 64)
		if err != nil {
			return Status{}, errors.Wrapf(err, "status column %s", Columns[i])
		}
		*target = v
	}
	s.PrimaryContact = time.Duration(contactMS) * time.Millisecond
	return s, nil
}

// Row returns the status as the text values of Columns.
func (s Status) Row() [][]byte {
	u := func(v uint64) []byte { return strconv.AppendUint(nil, v, 10) }
	return [][]byte{
		[]byte(s.Member), []byte(s.Group), []byte(s.Role), u(s.PromisedTerm), []byte(s.PromisedOwner),
		u(s.LogTerm), u(s.Received), u(s.Applied), u(s.AppliedTerm), u(s.CurrentTerm),
		u(s.TermStart), u(s.PreviousTerm), u(uint64(s.PrimaryContact.Milliseconds())), u(s.Incarnation),
	}
}

// Parameters that a member reports by ParameterStatus.
const (
	// ParamPosition carries the position of a commit, as Position.String writes it.
	ParamPosition = "mulberry.position"
	// ParamIncarnation carries the member's incarnation when a connection starts.
	ParamIncarnation = "mulberry.incarnation"
	// ParamControl is the startup parameter, with the value "on", that asks for
	// a control connection, which counts towards neither slots nor connections.
	ParamControl = "mulberry.control"
)
