package usage

import "time"

// Kind is the kind of an action.
type Kind uint8

const (
	// Wait asks to call Next again at Action.At, or after the next event.
	Wait Kind = iota
	// Gather asks for the counts of Action.Window (Combine). Answer: Gathered, also if no
	// gatherer responded.
	Gather
	// Fix asks to write Action.Report and Action.AcceptedBefore to the store, and to delete
	// the rows Action.Drop in the same transaction, if the window has no row yet (its row 0 is
	// absent) and the promotion lease is unchanged. Answers: Fixed with what the store holds
	// afterwards, FixRefused if the lease has changed, FixFailed otherwise.
	Fix
	// Send asks to send Action.Report. Answers: Sent, Fenced or SendFailed.
	Send
	// GiveUp says that nothing will be sent for the windows Action.Window to Action.Last. It
	// has no answer.
	GiveUp
	// ReadLease asks to read the promotion lease's row and to claim it again if it still has
	// the token that the platform has refused. Answers: LeaseKept, LeaseLost or LeaseReadFailed.
	ReadLease
)

var kindNames = [...]string{"wait", "gather", "fix", "send", "give-up", "read-lease"}

// String returns the name of the kind in log lines.
func (k Kind) String() string { return kindNames[k] }

// Reason is the reason for which a window is given up.
type Reason uint8

const (
	// NothingKnown means that no instance has counted a request in the window.
	NothingKnown Reason = iota
	// TooOld means that the window is more than RetainedWindows old.
	TooOld
	// FormerEra means that the window ended before a restoration of the store became known
	// and that this process does not know its report: another one may have been sent.
	FormerEra
	// Contradiction means that the restored store holds another report than the one that
	// this process knows to be fixed.
	Contradiction
	// TooLarge means that the report does not fit into one transaction.
	TooLarge
	// Undecodable means that the store's rows of the window cannot be decoded.
	Undecodable
)

var reasonNames = [...]string{"nothing-known", "too-old", "former-era", "contradiction", "too-large", "undecodable"}

// String returns the name of the reason in log lines.
func (r Reason) String() string { return reasonNames[r] }

// Action is what the holder must do next. Calls of different kinds may be in progress at
// the same time; there is at most one of each kind.
type Action struct {
	Kind Kind
	// ID identifies a call in its answer. Answers to calls that began before the lease was
	// lost, taken over again or moved to another era are ignored.
	ID     uint64
	Window Window
	// Last is set for GiveUp.
	Last   Window
	Reason Reason
	// Report is set for Fix and Send.
	Report Report
	// AcceptedBefore is FixedReport.AcceptedBefore of the report to write. Set for Fix.
	AcceptedBefore Window
	// Drop holds the keys of rows to delete, at most MaxDroppedRows. Set for Fix.
	Drop []string
	// Gathered says what the counts of a report that is fixed for the first time are based
	// on. Set for Fix, and for GiveUp with NothingKnown or TooLarge.
	Gathered Gathered
	// At is a reading of the boot clock, set for Wait; math.MaxInt64 if nothing is due.
	At time.Duration
}
