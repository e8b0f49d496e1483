package limits

import (
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
)

// Event is an input of Bucket.Step.
type Event interface{ limitsEvent() }

// Action is an output of Bucket.Step that the caller executes.
type Action interface{ limitsAction() }

// Events.
type (
	// Tick lets the bucket renew, return and request loans.
	Tick struct {
		// Deadline is the end of the instance's lease.
		Deadline time.Time
	}
	// SetPeers sets this instance's ID and the IDs of the live peers that may
	// lend. Every bucket, idle or not, needs it after its creation and at each
	// change.
	SetPeers struct {
		Self  string
		Peers []string
	}
	// SetUnits changes the instance's units. Added units bring no tokens.
	SetUnits struct{ Units uint32 }
	// SetLimit changes the rate and burst, after a new bundle was activated.
	SetLimit struct{ Limit bundle.Limit }
	// LoanRequested is a peer's request for a loan, for the renewal of a loan (with
	// its LoanID), or for its end (with all amounts 0).
	LoanRequested struct {
		From      string
		FromEpoch uint64
		LoanID    uint64
		// Rate is in requests/s; Burst and Tokens are in requests.
		Rate, Burst, Tokens float64
		// Deadline is the end of this instance's lease.
		Deadline time.Time
	}
	// LoanResponse is a lender's response to RequestLoan. Duration is counted from
	// the time at which the request was sent; 0 means refused.
	LoanResponse struct {
		From                string
		LoanID              uint64
		Rate, Burst, Tokens float64
		Duration            time.Duration
	}
	// LoanRequestFailed reports that a loan request got no response.
	LoanRequestFailed struct {
		From   string
		LoanID uint64
	}
)

func (Tick) limitsEvent()              {}
func (SetPeers) limitsEvent()          {}
func (SetUnits) limitsEvent()          {}
func (SetLimit) limitsEvent()          {}
func (LoanRequested) limitsEvent()     {}
func (LoanResponse) limitsEvent()      {}
func (LoanRequestFailed) limitsEvent() {}

// Actions.
type (
	// RequestLoan requests a loan from a peer, or renews the loan with the same LoanID.
	// With all amounts 0 it returns the loan.
	RequestLoan struct {
		To                  string
		Limit               string
		LoanID              uint64
		Rate, Burst, Tokens float64
	}
	// GrantLoan is the response to LoanRequested; a Duration of 0 is a refusal.
	GrantLoan struct {
		To                  string
		Limit               string
		LoanID              uint64
		Rate, Burst, Tokens float64
		Duration            time.Duration
	}
)

func (RequestLoan) limitsAction() {}
func (GrantLoan) limitsAction()   {}

// Step handles one event and returns the resulting actions. LoanRequested yields
// exactly one GrantLoan.
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
	case LoanRequested:
		return []Action{b.lend(now, e)}
	case LoanResponse:
		b.onLoanResponse(now, e)
	case LoanRequestFailed:
		b.onLoanRequestFailed(now, e)
	}
	return nil
}
