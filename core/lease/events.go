package lease

import "time"

// Event is an input to Lease.Step.
type Event interface{ leaseEvent() }

// Action is an output of Lease.Step that the caller must execute.
type Action interface{ leaseAction() }

// Peer is another instance that the membership view considers alive.
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
	// Fleet is the current membership view of the fleet.
	Fleet struct {
		// Live may include this instance.
		Live []Peer
		// Witnesses are this instance's preferred witnesses, at most MaxWitnesses.
		Witnesses []Witness
		// Listed are the IDs on the platform's instance list; nil if it is unknown.
		Listed []string
	}
	// Promised is a witness's response to a promise request that this instance
	// sent. Epoch and SentAt are copied from the request action, FromEpoch is the
	// witness's epoch in the response.
	Promised struct {
		From      string
		FromEpoch Epoch
		Epoch     Epoch
		SentAt    time.Time
		// Length is 0 if the witness refused.
		Length time.Duration
	}
	// PromiseAsked is a promise request received from a peer.
	PromiseAsked struct {
		From  string
		Epoch Epoch
	}
	// RetireAsked is a request to retire an epoch, received from a peer that
	// reclaims the epoch's row.
	RetireAsked struct {
		From  string
		ID    string
		Epoch Epoch
	}
	// RetireAnswer is a witness's response to a retire request that this instance
	// sent.
	RetireAnswer struct {
		From      string
		FromEpoch Epoch
		ID        string
		Epoch     Epoch
		Granted   bool
		// Remaining is the time left of the witness's last promise to the epoch.
		Remaining time.Duration
	}
	// Rows is the result of ReadRows.
	Rows struct {
		Op   uint64
		Rows []Row
	}
	// ReadFailed reports that ReadRows failed.
	ReadFailed struct{ Op uint64 }
	// TransactDone reports that Transact was committed. Rows holds the written
	// rows with their new versions.
	TransactDone struct {
		Op   uint64
		Rows []Row
	}
	// TransactConflict reports that Transact was not applied because a row did not
	// have the expected version.
	TransactConflict struct{ Op uint64 }
	// TransactUnknown reports that the outcome of Transact is unknown: it may have
	// been committed, or may still be.
	TransactUnknown struct{ Op uint64 }
	// Leave starts a graceful departure.
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
	// SetUnits sets the units of every token bucket of the instance. A decrease
	// must take effect before the next action is executed.
	SetUnits struct{ Units uint32 }
	// AskPromise sends a heartbeat that requests a promise for the epoch.
	AskPromise struct {
		To     string
		Epoch  Epoch
		SentAt time.Time
	}
	// PromiseReply responds to a peer's promise request; Length is 0 for a refusal.
	PromiseReply struct {
		To     string
		Epoch  Epoch
		Length time.Duration
	}
	// AskRetire requests that a witness retire an epoch.
	AskRetire struct {
		To    string
		ID    string
		Epoch Epoch
	}
	// RetireReply responds to a peer's retire request. Remaining is the time left
	// of the last promise to the epoch.
	RetireReply struct {
		To        string
		ID        string
		Epoch     Epoch
		Granted   bool
		Remaining time.Duration
	}
	// Transact applies all writes atomically, or none of them.
	Transact struct {
		Op     uint64
		Writes []Write
	}
	// ReadRows lists the rows whose keys have the prefix.
	ReadRows struct {
		Op     uint64
		Prefix string
	}
	// Report carries an error that the caller logs.
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
