package lease

import "time"

// Event is an input to Lease.Step.
type Event interface{ leaseEvent() }

// Action is an output of Lease.Step that the caller must execute.
type Action interface{ leaseAction() }

// Peer is an instance that the caller counts as alive. Epoch identifies its
// process and, within the process, its current lease.
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
	// FleetView is a snapshot of the instances that this one knows.
	FleetView struct {
		// Live are the instances that are alive. An entry for this instance is ignored.
		Live []Peer
		// Witnesses are this instance's preferred witnesses, at most MaxWitnesses.
		Witnesses []Witness
		// Listed are the IDs on the platform's instance list; nil if it is unknown.
		Listed []string
	}
	// PromiseResponse is a witness's response to a promise request that this instance
	// sent. Epoch and SentAt are copied from the SendPromiseRequest action, FromEpoch
	// is the witness's epoch in the response.
	PromiseResponse struct {
		From      string
		FromEpoch Epoch
		Epoch     Epoch
		SentAt    time.Time
		// Length is 0 if the witness refused. This instance counts it from SentAt, the
		// witness from the Step call that handled the request.
		Length time.Duration
	}
	// PromiseRequest is a promise request received from a peer.
	PromiseRequest struct {
		From  string
		Epoch Epoch
	}
	// RetireRequest is a request to retire an epoch: a witness that grants it makes
	// no promise to the epoch again. It comes from a peer that wants to remove the
	// epoch's row from the store and return its units to the pool.
	RetireRequest struct {
		From string
		// ID is the instance that the epoch belongs to.
		ID    string
		Epoch Epoch
	}
	// RetireResponse is a witness's response to a retire request that this instance
	// sent. FromEpoch is the witness's epoch in the response.
	RetireResponse struct {
		From      string
		FromEpoch Epoch
		ID        string
		Epoch     Epoch
		// Granted reports that the witness has retired the epoch. A grant is final.
		Granted bool
		// Remaining is used only with a grant, which counts once that time has passed.
		// Witnesses grant only when they have no valid promise to the epoch, and then
		// send 0.
		Remaining time.Duration
	}
	// Rows is the result of ReadRows. Op, here and in the following events, is copied
	// from the action whose result the event reports.
	Rows struct {
		Op   uint64
		Rows []Row
	}
	// ReadFailed reports that ReadRows failed.
	ReadFailed struct{ Op uint64 }
	// TransactDone reports that the transaction was committed. Rows holds the
	// written rows with their new versions.
	TransactDone struct {
		Op   uint64
		Rows []Row
	}
	// TransactConflict reports that the transaction was not applied because a row
	// did not have the expected version.
	TransactConflict struct{ Op uint64 }
	// TransactUnknown reports that the outcome of the transaction is unknown: it may
	// have been committed, or may be committed later.
	TransactUnknown struct{ Op uint64 }
	// Leave starts a graceful departure: the instance takes all its units out of use,
	// then removes its row, which returns the units to the pool.
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
	// SetUnits sets the instance's units, which scale all its token buckets: a unit
	// is 1/TotalUnits of every limit of the fleet. A decrease must take effect before
	// the next action is executed.
	SetUnits struct{ Units uint32 }
	// SendPromiseRequest sends a heartbeat that requests a promise for the epoch.
	SendPromiseRequest struct {
		To    string
		Epoch Epoch
		// SentAt is the time of the Step call that returned the action. The request is
		// sent then or later.
		SentAt time.Time
	}
	// SendPromiseResponse responds to a peer's promise request. Length counts from
	// the Step call that returned the action; it is 0 for a refusal.
	SendPromiseResponse struct {
		To     string
		Epoch  Epoch
		Length time.Duration
	}
	// SendRetireRequest requests that a witness retire an epoch of the instance ID;
	// see RetireRequest.
	SendRetireRequest struct {
		To    string
		ID    string
		Epoch Epoch
	}
	// SendRetireResponse responds to a peer's retire request. If it is not granted,
	// Remaining is the time until this witness can grant it at the earliest;
	// otherwise it is 0.
	SendRetireResponse struct {
		To        string
		ID        string
		Epoch     Epoch
		Granted   bool
		Remaining time.Duration
	}
	// Transact applies all writes atomically, or none of them. Op, here and in
	// ReadRows, identifies the action; the event with its result has the same Op.
	Transact struct {
		Op     uint64
		Writes []Write
	}
	// ReadRows lists the rows whose keys start with Prefix.
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
