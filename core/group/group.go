// Package group defines the contract between Mulberrysill and the members of a
// database group: log positions, member status and the SQL calls made on control
// connections. docs/design.md, section 3, specifies the full contract.
package group

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Position identifies an entry of a group's log by the term in which it was
// written and its index, starting at 1. The zero value precedes every entry.
type Position struct {
	Term  uint64
	Index uint64
}

// ParsePosition parses the format "term:index" that String returns.
func ParsePosition(s string) (Position, error) {
	term, index, ok := strings.Cut(s, ":")
	if !ok {
		return Position{}, errors.Newf("position %q is not in the form term:index", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, errors.Wrapf(err, "parse term of position %q", s)
	}
	i, err := strconv.ParseUint(index, 10, 64)
	if err != nil {
		return Position{}, errors.Wrapf(err, "parse index of position %q", s)
	}
	return Position{Term: t, Index: i}, nil
}

// String returns "term:index".
func (p Position) String() string { return fmt.Sprintf("%d:%d", p.Term, p.Index) }

// IsZero reports whether p is the zero position, which precedes every entry.
func (p Position) IsZero() bool { return p == Position{} }

// Compare orders positions by term, then by index. The order shows which log is
// more advanced, but not that the more advanced log contains the other.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Index, q.Index)
}

// Role is the role that a member reports for itself.
type Role string

const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// Status is a member's status, returned as a row by mulberry_status() and the other
// control calls.
type Status struct {
	Member string
	Group  string
	Role   Role
	// PromisedTerm is the highest term that the member has promised, and
	// PromisedOwner the owner to which it promised that term.
	PromisedTerm  uint64
	PromisedOwner string
	// LogTerm and Received are the term and index of the last durable entry.
	LogTerm  uint64
	Received uint64
	// AppliedTerm and Applied are the term and index of the last entry visible to
	// reads.
	AppliedTerm uint64
	Applied     uint64
	// CurrentTerm is the term in which the member is primary or follows the
	// primary. TermStart is the index of that term's first entry.
	CurrentTerm uint64
	TermStart   uint64
	// PreviousTerm is the term of the entry just before TermStart; 0 if there is
	// none. It shows whether another term lies between a write's term and this one.
	PreviousTerm uint64
	// PrimaryContact is the time since the member's last contact with the primary
	// of CurrentTerm; 0 on that primary itself.
	PrimaryContact time.Duration
	// Incarnation changes whenever the state visible on the member may have
	// reverted to an older one.
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

// Confirms reports whether the member has durably received the entry at p, is in
// p's term and has promised no higher term. An entry is acknowledged once a
// majority of members confirms it.
func (s Status) Confirms(p Position) bool {
	return s.PromisedTerm == p.Term && s.CurrentTerm == p.Term &&
		s.LogTerm == p.Term && s.Received >= p.Index
}

// Majority returns the size of a majority of n members; any two majorities
// intersect.
func Majority(n int) int { return n/2 + 1 }

// StatusColumns lists the columns of a status row in order. All values are in text format.
var StatusColumns = []string{
	"member", "group_name", "role", "promised_term", "promised_owner",
	"log_term", "received", "applied", "applied_term", "current_term",
	"term_start", "previous_term", "primary_contact_ms", "incarnation",
}

// SQL calls on a control connection.
const (
	statusQuery  = "SELECT * FROM mulberry_status()"
	fenceQuery   = "SELECT * FROM mulberry_fence(%d, '%s')"
	promoteQuery = "SELECT * FROM mulberry_promote(%d, '%s')"
	waitQuery    = "SELECT * FROM mulberry_wait(%d, %d, %d)"
)

// StatusSQL returns the SQL call that reads a member's status.
func StatusSQL() string { return statusQuery }

// FenceSQL returns the SQL call that asks a member to promise the term to owner.
func FenceSQL(term uint64, owner string) string {
	return fmt.Sprintf(fenceQuery, term, strings.ReplaceAll(owner, "'", "''"))
}

// PromoteSQL returns the SQL call that makes a member the primary of the term.
func PromoteSQL(term uint64, owner string) string {
	return fmt.Sprintf(promoteQuery, term, strings.ReplaceAll(owner, "'", "''"))
}

// WaitSQL returns the SQL call that waits until a member has received p, for at
// most the timeout.
func WaitSQL(p Position, timeout time.Duration) string {
	return fmt.Sprintf(waitQuery, p.Term, p.Index, timeout.Milliseconds())
}

// ParseStatus parses a status row in column order.
func ParseStatus(row [][]byte) (Status, error) {
	if len(row) != len(StatusColumns) {
		return Status{}, errors.Newf("status row has %d columns, want %d", len(row), len(StatusColumns))
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
			return Status{}, errors.Wrapf(err, "parse status column %s", StatusColumns[i])
		}
		*target = v
	}
	s.PrimaryContact = time.Duration(contactMS) * time.Millisecond
	return s, nil
}

// Row returns the status as text values in column order.
func (s Status) Row() [][]byte {
	u := func(v uint64) []byte { return strconv.AppendUint(nil, v, 10) }
	return [][]byte{
		[]byte(s.Member), []byte(s.Group), []byte(s.Role), u(s.PromisedTerm), []byte(s.PromisedOwner),
		u(s.LogTerm), u(s.Received), u(s.Applied), u(s.AppliedTerm), u(s.CurrentTerm),
		u(s.TermStart), u(s.PreviousTerm), u(uint64(s.PrimaryContact.Milliseconds())), u(s.Incarnation),
	}
}

// Connection parameters. Members report ParamPosition and ParamIncarnation in
// ParameterStatus messages; clients send ParamControl at startup.
const (
	// ParamPosition is the position of a commit in the format of Position.String.
	ParamPosition = "mulberry.position"
	// ParamIncarnation is the member's incarnation, reported when a connection starts.
	ParamIncarnation = "mulberry.incarnation"
	// ParamControl requests, with the value "on", a control connection, which does
	// not count towards slot or connection limits.
	ParamControl = "mulberry.control"
)
