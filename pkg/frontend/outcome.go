package frontend

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// connectionLost ends the attachment after its connection failed. The verdict on
// the request follows from the protocol state.
func (a *attachment) connectionLost(cause error) {
	s := a.s
	s.out.mu.Lock()
	held := len(s.out.held) > 0
	s.out.mu.Unlock()
	s.mu.Lock()
	acknowledged := held && a.lacksOnlyReady()
	v := a.outcomeOfLoss()
	s.mu.Unlock()
	a.finish(v.WithCause(cause), acknowledged)
}

// lacksOnlyReady reports whether only ReadyForQuery is missing from the answer to a
// confirmed commit. The caller holds mu.
func (a *attachment) lacksOnlyReady() bool {
	p := a.s.pending.peek()
	return a.commitConfirmed && a.s.pending.len() == 1 && (p.kind == expectSync || (p.kind == expectQuery && p.singleStatement))
}

// outcomeOfLoss returns the error for a request whose connection was lost. The
// caller holds mu. If a transaction was open, the error is fatal, because the
// client's next statements would otherwise run outside of the transaction.
func (a *attachment) outcomeOfLoss() *verdict.Error {
	switch {
	case !a.mayHaveSent:
		return verdict.New(verdict.NotRun, verdict.ConnectionFailure, "the server connection failed before the request was sent")
	case a.s.pending.mayCommit():
		return verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "the server connection was lost after the commit was sent").AsFatal()
	case a.txStatus != statusIdle:
		return verdict.New(verdict.NotRun, verdict.ConnectionFailure, "the server connection was lost; the transaction was rolled back").AsFatal()
	}
	return verdict.New(verdict.NotRun, verdict.ConnectionFailure, "the server connection was lost; the request had no effect")
}

// finish ends the attachment and closes the server connection. It reports v to the
// client or, if the commit is acknowledged, sends the CommandComplete that was held
// back. The client's connection survives if exactly one request was outstanding,
// whether or not it was sent completely.
func (a *attachment) finish(v *verdict.Error, acknowledged bool) {
	s := a.s
	request := s.requestID()
	s.out.mu.Lock()
	defer s.out.mu.Unlock()
	s.mu.Lock()
	silent := s.closing
	requests := s.pending.requests
	open := s.pending.len() > 0 || a.serverIgnoresTillSync
	survives := (requests == 1 && s.pending.lastEndsRequest()) || (requests == 0 && open)
	if v.Verdict == verdict.NotRun && a.mayHaveSent && s.pending.laterMayCommit() {
		// The verdict covers the first request only; the server may still execute
		// later ones.
		v = verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "%s; later requests of the pipeline were sent", v.Message).WithCause(v)
	}
	fatal := !acknowledged && (v.Fatal || !survives)
	s.closing = s.closing || fatal
	if !acknowledged && requests == 0 {
		s.ignoreTillSync.Store(true)
	}
	wakeClient := fatal || s.draining || s.stopping != nil
	s.attached = nil
	s.pending.reset()
	s.changed.Broadcast()
	s.mu.Unlock()
	if a.conn != nil {
		a.conn.Release(false)
	}
	if silent {
		s.out.discardHeld()
		return
	}
	ready := &pgproto3.ReadyForQuery{TxStatus: statusIdle}
	switch {
	case acknowledged:
		s.out.append(ready)
		s.observe(a.read, a.beganAt, verdict.Ran)
	default:
		if fatal {
			v = v.AsFatal()
			s.lingerOnClose.Store(true)
		}
		s.out.discardHeld()
		s.out.append(errorResponse(v, request))
		s.logRefusal(v, request)
		s.observe(a.read, a.beganAt, v.Verdict)
		if requests == 1 && !fatal {
			s.out.append(ready)
		}
	}
	_ = s.out.flush()
	if wakeClient {
		s.wake()
	}
}
