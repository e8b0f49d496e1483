// Package statement defines the statements, replies and error codes that clients,
// the proxy and members exchange, independently of the wire protocol.
package statement

import (
	"fmt"
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
)

// Kind is the kind of a statement.
type Kind uint8

// The statement kinds. Only the proxy issues Reset and the kinds after it.
const (
	Begin Kind = iota
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Deallocate
	Reset
	Status
	Pause
	Resume
	Demote
)

var kindNames = [...]string{
	"begin", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate",
	"reset", "status", "pause", "resume", "demote",
}

// String returns the name of the kind, as used in logs.
func (k Kind) String() string { return kindNames[k] }

// Statement is one statement of a client or of the proxy.
type Statement struct {
	// ID is the client's identifier of the statement; empty for statements of the
	// proxy.
	ID   string
	Kind Kind
	// ReadOnly is set on the Begin of a read-only transaction.
	ReadOnly bool
	// Name is the setting for Set, and the prepared statement for Prepare, Execute
	// and Deallocate.
	Name string
	// IsWrite is set on a Prepare whose statement writes.
	IsWrite bool
	// Argument is the rest of the statement: the value for Set, the shape for
	// Prepare, and the arguments for Execute, Read and Write.
	Argument string
	// Text is the text of the client, which is sent to the member unchanged.
	Text string
	// AfterPosition is the position that the member must have reached to execute the
	// statement; zero for none.
	AfterPosition group.Position
	// Term is the term of Pause and Demote.
	Term uint64
}

// TakesSlot reports whether a member needs an execution slot for statements of the kind.
func (k Kind) TakesSlot() bool {
	switch k {
	case Read, Write, Execute, Commit, Status:
		return true
	default:
		return false
	}
}

// State is the transaction state of a session.
type State uint8

const (
	// Idle is the state outside a transaction.
	Idle State = iota
	InTransaction
	// Failed is the state in a failed transaction, which can only be ended.
	Failed
)

// ErrorCode classifies an error reply of a member.
type ErrorCode uint8

// The error codes. Busy to TooMany mean that the statement has not run.
const (
	Busy ErrorCode = iota
	Lagging
	ReadOnly
	NoStatement
	Misrouted
	TooMany
	// Failure and Timeout mean that the statement was run and did not succeed.
	Failure
	Timeout
	// Other is any other error; whether the statement ran is unknown.
	Other
)

var codeNames = [...]string{
	"busy", "lagging", "read-only", "no-statement", "misrouted", "too-many", "failure", "timeout", "other",
}

// String returns the name of the code, as used in logs.
func (c ErrorCode) String() string { return codeNames[c] }

// Error is an error reply of a member.
type Error struct {
	Code ErrorCode
	Text string
}

// Error returns the code and the member's text.
func (e *Error) Error() string { return fmt.Sprintf("member answered %s: %s", e.Code, e.Text) }

// NotRun reports whether the statement is known not to have run.
func (e *Error) NotRun() bool { return e.Code <= TooMany }

// Reply is the complete reply of a member to one statement.
type Reply struct {
	Rows []string
	// Signature follows the rows of a successful statement and is sent to the client
	// unchanged. It is empty in replies of the proxy itself.
	Signature string
	// Err is nil if the statement succeeded.
	Err   *Error
	State State
	// Position is the last position in the member's log; zero if the reply has none.
	Position group.Position
}

// MemberStatus is the reply of a member to Status, Pause, Resume and Demote.
type MemberStatus struct {
	Role group.Role
	Term uint64
	// Received is the last position in the member's log.
	Received group.Position
	// PausedTerm is the term of the pause in effect; 0 if the member receives log
	// entries.
	PausedTerm uint64
	Lag        time.Duration
	// Busy and Connections are the numbers of occupied slots and open connections.
	Busy, Connections int
}
