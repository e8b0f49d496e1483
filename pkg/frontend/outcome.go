package frontend

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// lost ends the attachment after its connection failed, with what the protocol
// state says about the request.
func (a *attachment) lost(cause error) {
	s := a.s
	s.out.mu.Lock()
	held := len(s.out.held) > 0
	s.out.mu.Unlock()
	s.mu.Lock()
	acknowledged := held && a.acknowledged()
	v := a.outcome()
	s.mu.Unlock()
	a.finish(v.WithCause(cause), acknowledged)
}

// acknowledged reports whether only the end of the answer to a confirmed commit
// is missing. The caller holds mu.
func (a *attachment) acknowledged() bool {
	p := a.s.pending.peek()
	return a.confirmed && a.s.pending.len() == 1 && (p.kind == expectSync || (p.kind == expectQuery && p.single))
}

// outcome states what a lost connection means for the request. The caller holds
// mu. A transaction that was not committed ends with the client's connection,
// because statements after it would otherwise run outside of it.
func (a *attachment) outcome() *verdict.Error {
	switch {
	case !a.sent:
		return verdict.New(verdict.NotRun, verdict.ConnectionFailure, "the server connection failed before the request was sent")
	case a.s.pending.mayCommit():
		return verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "the server connection was lost after the commit was sent").AsFatal()
	case a.status != statusIdle:
		return verdict.New(verdict.NotRun, verdict.ConnectionFailure, "the server connection was lost; the transaction was rolled back").AsFatal()
	}
	return verdict.New(verdict.NotRun, verdict.ConnectionFailure, "the server connection was lost; the request had no effect")
}

// finish ends the attachment and reports v, or the held acknowledgement. The
// connection is closed. The client's connection goes on when exactly one request
// was outstanding, completely sent or not.
func (a *attachment) finish(v *verdict.Error, acknowledged bool) {
	s := a.s
	request := s.requestID()
	s.out.mu.Lock()
	defer s.out.mu.Unlock()
	s.mu.Lock()
	silent := s.closing
	requests := s.pending.requests
	open := s.pending.len() > 0 || a.skipping
	survives := (requests == 1 && s.pending.endsWithRequest()) || (requests == 0 && open)
	if v.Verdict == verdict.NotRun && a.sent && s.pending.laterMayCommit() {
		// The verdict is about the first request only; the server can still run
		// the next ones.
		v = verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "%s; later requests of the pipeline were sent", v.Message).WithCause(v)
	}
	fatal := !acknowledged && (v.Fatal || !survives)
	s.closing = s.closing || fatal
	if !acknowledged && requests == 0 {
		s.skip.Store(true)
	}
	poke := fatal || s.draining || s.stopping != nil
	s.att = nil
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
		s.observe(a.read, a.began, verdict.Ran)
	default:
		if fatal {
			v = v.AsFatal()
			s.lingers.Store(true)
		}
		s.out.discardHeld()
		s.out.append(errorResponse(v, request))
		s.logRefusal(v, request)
		s.observe(a.read, a.began, v.Verdict)
		if requests == 1 && !fatal {
			s.out.append(ready)
		}
	}
	_ = s.out.flush()
	if poke {
		s.poke()
	}
}
