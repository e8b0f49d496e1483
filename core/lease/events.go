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
	// FleetView is the current membership view of the fleet.
	FleetView struct {
		// Live may include this instance.
		Live []Peer
		// Witnesses are this instance's preferred witnesses, at most MaxWitnesses.
		Witnesses []Witness
		// Listed are the IDs on the platform's instance list; nil if it is unknown.
		Listed []string
	}
	// PromiseResponse is a witness's response to a promise request that this instance
	// sent. Epoch and SentAt are copied from the request action, FromEpoch is the
	// witness's epoch in the response.
	PromiseResponse struct {
		From      string
		FromEpoch Epoch
		Epoch     Epoch
		SentAt    time.Time
		// Length is 0 if the witness refused.
		Length time.Duration
	}
	// PromiseRequest is a promise request received from a peer.
	PromiseRequest struct {
		From  string
		Epoch Epoch
	}
	// RetireRequest is a request to retire an epoch, received from a peer that
	// reclaims the epoch's row.
	RetireRequest struct {
		From  string
		ID    string
		Epoch Epoch
	}
	// RetireResponse is a witness's response to a retire request that this instance
	// sent.
	RetireResponse struct {
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
func (FleetView) leaseEvent()        {}
func (PromiseResponse) leaseEvent()  {}
func (PromiseRequest) leaseEvent()   {}
func (RetireRequest) leaseEvent()    {}
func (RetireResponse) leaseEvent()   {}
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
	// SendPromiseRequest sends a heartbeat that requests a promise for the epoch.
	SendPromiseRequest struct {
		To     string
		Epoch  Epoch
		SentAt time.Time
	}
	// SendPromiseResponse responds to a peer's promise request; Length is 0 for a refusal.
	SendPromiseResponse struct {
		To     string
		Epoch  Epoch
		Length time.Duration
	}
	// SendRetireRequest requests that a witness retire an epoch.
	SendRetireRequest struct {
		To    string
		ID    string
		Epoch Epoch
	}
	// SendRetireResponse responds to a peer's retire request. Remaining is the time left
	// of the last promise to the epoch.
	SendRetireResponse struct {
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
	// ReportError carries an error that the caller logs.
	ReportError struct{ Err error }
)

func (SetUnits) leaseAction()            {}
func (SendPromiseRequest) leaseAction()  {}
func (SendPromiseResponse) leaseAction() {}
func (SendRetireRequest) leaseAction()   {}
func (SendRetireResponse) leaseAction()  {}
func (Transact) leaseAction()            {}
func (ReadRows) leaseAction()            {}
func (ReportError) leaseAction()         {}
