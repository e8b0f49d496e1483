package limits

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

// Event is something that concerns one bucket.
type Event interface{ limitsEvent() }

// Action is something that the caller must do.
type Action interface{ limitsAction() }

// Events.
type (
	// Tick reports that time has passed.
	Tick struct {
		// Deadline is the end of the instance's lease.
		Deadline time.Time
	}
	// SetPeers sets this instance's identity and the live fellow instances that
	// may lend. Every bucket needs it at the start and at each change, also an
	// idle one.
	SetPeers struct {
		Self  string
		Peers []string
	}
	// SetUnits changes the instance's units. New units come without tokens.
	SetUnits struct{ Units uint32 }
	// SetLimit changes rate and burst, as a new bundle does.
	SetLimit struct{ Limit bundle.Limit }
	// BorrowAsked is a fellow instance's request for a loan.
	BorrowAsked struct {
		From      string
		FromEpoch uint64
		LoanID    uint64
		// Rate is in requests/s, Burst and Tokens in requests.
		Rate, Burst, Tokens float64
		// Deadline is the end of this instance's lease.
		Deadline time.Time
	}
	// LoanAnswer is a lender's answer to Borrow. Length counts from the time at
	// which the request was sent; it is 0 if nothing was granted.
	LoanAnswer struct {
		From                string
		LoanID              uint64
		Rate, Burst, Tokens float64
		Length              time.Duration
	}
	// LoanFailed reports that a Borrow had no answer.
	LoanFailed struct {
		From   string
		LoanID uint64
	}
)

func (Tick) limitsEvent()        {}
func (SetPeers) limitsEvent()    {}
func (SetUnits) limitsEvent()    {}
func (SetLimit) limitsEvent()    {}
func (BorrowAsked) limitsEvent() {}
func (LoanAnswer) limitsEvent()  {}
func (LoanFailed) limitsEvent()  {}

// Actions.
type (
	// Borrow asks a fellow instance for a loan, or for the renewal of the loan
	// with the same LoanID.
	Borrow struct {
		To                  string
		Limit               string
		LoanID              uint64
		Rate, Burst, Tokens float64
	}
	// Grant answers BorrowAsked; a Length of 0 is a refusal.
	Grant struct {
		To                  string
		Limit               string
		LoanID              uint64
		Rate, Burst, Tokens float64
		Length              time.Duration
	}
)

func (Borrow) limitsAction() {}
func (Grant) limitsAction()  {}

// Step takes one event and returns the actions that follow. BorrowAsked yields
// exactly one Grant.
func (b *Bucket) Step(now time.Time, ev Event) []Action {
	b.advance(now)
	switch e := ev.(type) {
	case Tick:
		return b.tick(now, e)
	case SetPeers:
		b.setPeers(e.Self, e.Peers)
	case SetUnits:
		b.units = e.Units
		b.recompute()
	case SetLimit:
		b.limit = e.Limit
		b.recompute()
	case BorrowAsked:
		return []Action{b.lend(now, e)}
	case LoanAnswer:
		b.onAnswer(now, e)
	case LoanFailed:
		b.onFailed(now, e)
	}
	return nil
}
