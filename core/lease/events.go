package lease

import "time"

// Event is something that happened to the instance.
type Event interface{ leaseEvent() }

// Action is something that the caller must do.
type Action interface{ leaseAction() }

// Peer is a fellow instance that membership holds to be alive.
type Peer struct {
	ID      string
	Epoch   Epoch
	Zone    string
	Leaving bool
}

// Events.
type (
	// Tick reports that time has passed.
	Tick struct{}
	// Fleet is the current view of the cell.
	Fleet struct {
		// Live may include this instance.
		Live []Peer
		// Witnesses are this instance's preferred witnesses, at most MaxWitnesses.
		Witnesses []Witness
		// Listed are the identities on the platform's list; nil if it is unknown.
		Listed []string
	}
	// Promised is a witness's answer to AskPromise. Epoch and SentAt are those of
	// the action, FromEpoch is the epoch in the answer.
	Promised struct {
		From      string
		FromEpoch Epoch
		Epoch     Epoch
		SentAt    time.Time
		// Length is 0 if no promise was given.
		Length time.Duration
	}
	// PromiseAsked is a fellow instance's request for a promise.
	PromiseAsked struct {
		From  string
		Epoch Epoch
	}
	// RetireAsked is a reclaimer's request to retire an epoch.
	RetireAsked struct {
		From  string
		ID    string
		Epoch Epoch
	}
	// RetireAnswer is a witness's answer to AskRetire.
	RetireAnswer struct {
		From      string
		FromEpoch Epoch
		ID        string
		Epoch     Epoch
		Granted   bool
		Remaining time.Duration
	}
	// Rows is the result of ReadRows.
	Rows struct {
		Op   uint64
		Rows []Row
	}
	// ReadFailed reports that ReadRows had no result.
	ReadFailed struct{ Op uint64 }
	// TransactDone reports that Transact took effect, with the versions written.
	TransactDone struct {
		Op   uint64
		Rows []Row
	}
	// TransactConflict reports that Transact changed nothing, because a row did
	// not have the expected version.
	TransactConflict struct{ Op uint64 }
	// TransactUnknown reports that the answer was lost: Transact may have taken
	// effect, or may still do so.
	TransactUnknown struct{ Op uint64 }
	// Leave starts the clean departure.
	Leave struct{}
)

func (Tick) leaseEvent()             {}
func (Fleet) leaseEvent()            {}
func (Promised) leaseEvent()         {}
func (PromiseAsked) leaseEvent()     {}
func (RetireAsked) leaseEvent()      {}
func (RetireAnswer) leaseEvent()     {}
func (Rows) leaseEvent()             {}
func (ReadFailed) leaseEvent()       {}
func (TransactDone) leaseEvent()     {}
func (TransactConflict) leaseEvent() {}
func (TransactUnknown) leaseEvent()  {}
func (Leave) leaseEvent()            {}

// Actions.
type (
	// SetUnits sets the units of every bucket of the instance. A lower number
	// must be in force before the next action is executed.
	SetUnits struct{ Units uint32 }
	// AskPromise sends a heartbeat that asks for a promise to the epoch.
	AskPromise struct {
		To     string
		Epoch  Epoch
		SentAt time.Time
	}
	// PromiseReply answers PromiseAsked; Length is 0 for a refusal.
	PromiseReply struct {
		To     string
		Epoch  Epoch
		Length time.Duration
	}
	// AskRetire asks a witness to retire an epoch.
	AskRetire struct {
		To    string
		ID    string
		Epoch Epoch
	}
	// RetireReply answers RetireAsked.
	RetireReply struct {
		To        string
		ID        string
		Epoch     Epoch
		Granted   bool
		Remaining time.Duration
	}
	// Transact applies all writes or none.
	Transact struct {
		Op     uint64
		Writes []Write
	}
	// ReadRows lists the rows with the prefix.
	ReadRows struct {
		Op     uint64
		Prefix string
	}
	// Report is a fault that the operators should see in the log.
	Report struct{ Err error }
)

func (SetUnits) leaseAction()     {}
func (AskPromise) leaseAction()   {}
func (PromiseReply) leaseAction() {}
func (AskRetire) leaseAction()    {}
func (RetireReply) leaseAction()  {}
func (Transact) leaseAction()     {}
func (ReadRows) leaseAction()     {}
func (Report) leaseAction()       {}
