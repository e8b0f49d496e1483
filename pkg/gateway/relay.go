package gateway

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/membership"
	"github.com/mulberrysill/mulberrysill/core/placement"
	"github.com/mulberrysill/mulberrysill/core/statement"
	"github.com/mulberrysill/mulberrysill/core/verdict"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

const (
	// relaySlack is what the sender waits beyond the statement's own timeout.
	relaySlack = 50 * time.Millisecond
	// relaySuspect is how long nothing is sent to a peer that has not answered.
	relaySuspect = time.Second
	// relayedIdle ends a relayed transaction whose sender has gone, if the
	// configuration states no bound on idle transactions.
	relayedIdle = 5 * time.Second
)

// relayTarget returns the instance that should run a statement of the workspace
// in this instance's place, or nil. An idle connection of the own pool comes
// first. Otherwise the workspace's owner for the group runs the statement, so
// that connections of one workspace gather at one instance and need not be
// opened in place of others.
func (g *Gateway) relayTarget(p *pool, a *acquisition) *peer {
	if p.servesLocally(a) {
		return nil
	}
	return g.peers.owner(p, a.workspace)
}

// servesLocally reports whether the pool has a connection for the request, may
// open one without closing another, or knows no member for it.
func (p *pool) servesLocally(a *acquisition) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.candidates(a, time.Now())
	if len(candidates) == 0 {
		return true
	}
	if !p.serves {
		return false
	}
	switch placement.Choose(candidates, p.zone).Action {
	case placement.UseIdle, placement.Open:
		return true
	default:
		return false
	}
}

// choose returns up to size instances for the key by rendezvous hashing, spread
// over availability zones, in order of rank.
func choose(key string, size int, instances []membership.Instance) []string {
	t := membership.NewServingTable([]string{key}, size)
	t.Update(instances)
	return t.ServingSet(key)
}

// servingSet returns the instances that serve a group: as many as its members'
// connections suffice for, so that control cost and connections of a group do not
// grow with the fleet. Few instances all serve.
func servingSet(group string, instances []membership.Instance, maxConnections int) []string {
	return choose(group, max(int(primaryShare*float64(maxConnections))/servingConnections, 1), instances)
}

// owner returns the live peer that owns the workspace in the group, or nil if
// that is this instance. The owner belongs to the group's serving set.
func (ps *peers) owner(p *pool, workspace string) *peer {
	p.mu.Lock()
	maxConnections := p.maxConnections
	p.mu.Unlock()
	trusted := ps.trusted()
	set := servingSet(p.name, trusted, maxConnections)
	serving := slices.DeleteFunc(trusted, func(i membership.Instance) bool { return !slices.Contains(set, i.ID) })
	owner := choose(p.name+"/"+workspace, 1, serving)
	if len(owner) == 0 {
		return nil
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.byID[owner[0]]
}

// trusted returns the live instances that may run statements of others, in order,
// this one included unless it leaves.
func (ps *peers) trusted() []membership.Instance {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.instances(func(p *peer, now time.Time) bool {
		return p.alive(now) && !now.Before(p.suspectUntil) && !p.heard.IsZero()
	})
}

// suspect keeps statements away from a peer that has not answered.
func (ps *peers) suspect(p *peer) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p.suspectUntil = time.Now().Add(relaySuspect)
}

// transactions counts the relayed transactions of this process.
var transactions atomic.Uint64

// errNotRelayed says that the statement has not run at the peer and may run here.
var errNotRelayed = errors.New("the peer has not run the statement")

// relay sends a statement to a peer. It fails with errNotRelayed if the peer has
// certainly not run it, and with *verdict.Error if the peer refused it or has not
// answered.
func (s *session) relay(ctx context.Context, to *peer, st statement.Statement, begin, charge bool, timeout time.Duration, rec *requestRecord) (statement.Reply, error) {
	request := &pb.RunRequest{
		From: s.gw.cfg.ID + "/" + strconv.FormatInt(s.gw.started, 36), Database: s.startup.Database, Key: s.startup.Key,
		Begin: begin, Charge: charge, Id: st.ID, Kind: uint32(st.Kind), Name: st.Name, Argument: st.Argument, Text: st.Text, Values: s.values,
		LastGroup: s.lastGroup, LastTerm: s.lastWrite.Term, LastIndex: s.lastWrite.Index,
	}
	if s.tx != nil {
		request.Transaction, request.ReadOnly = s.tx.relayed, s.tx.readOnly
	}
	if st.Kind == statement.Execute {
		request.PreparedWrite, request.PreparedShape = s.prepared[st.Name].isWrite, s.prepared[st.Name].shape
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+relaySlack)
	defer cancel()
	answer, err := to.client.Run(ctx, request)
	if err != nil {
		s.gw.peers.suspect(to)
		return statement.Reply{}, err
	}
	rec.member, rec.attempts, rec.relay = answer.Member, rec.attempts+int(answer.Attempts), to.ID
	s.state = statement.State(answer.State)
	if answer.Code != "" {
		e := verdict.New(verdict.Verdict(answer.Verdict), verdict.Code(answer.Code), "%s", answer.Message)
		return statement.Reply{}, e.WithRetryAfter(time.Duration(answer.RetryAfterMs) * time.Millisecond)
	}
	return statement.Reply{
		Rows: answer.Rows, Signature: answer.Signature, State: s.state,
		Position: group.Position{Term: answer.Term, Index: answer.Index},
	}, nil
}

// relaySingle runs a statement outside a transaction at a peer.
func (s *session) relaySingle(ctx context.Context, to *peer, o *operation, charge bool) (statement.Reply, error) {
	isWrite, deadline := s.isWrite(o.Statement), o.deadline
	if !isWrite {
		deadline = silenceDeadline(o.route, deadline)
	}
	reply, err := s.relay(ctx, to, o.Statement, false, charge, time.Until(deadline), o.rec)
	e := new(verdict.Error)
	switch {
	case err == nil && isWrite:
		s.wrote(o.route.Group, reply.Position)
		return reply, nil
	case err == nil:
		return reply, nil
	case errors.As(err, &e):
		if isOutOfDate(e) {
			return reply, errNotRelayed
		}
		return reply, e
	case isWrite && !isDialError(err):
		return reply, verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "no answer from instance %s", to.ID).WithCause(err)
	default:
		return reply, errNotRelayed
	}
}

// isOutOfDate reports whether a peer refuses what this instance allows, because
// it lacks the newest configuration or the store's confirmation of it.
func isOutOfDate(e *verdict.Error) bool {
	switch e.Code {
	case verdict.NoSuchRoute, verdict.AuthenticationFailed, verdict.NoPrimary, verdict.ShuttingDown:
		return e.Verdict == verdict.NotRun
	default:
		return false
	}
}

// isDialError reports whether the request never left this instance.
func isDialError(err error) bool {
	e := new(net.OpError)
	return errors.As(err, &e) && e.Op == "dial"
}

// relayInTransaction runs a statement of a transaction at a peer.
func (s *session) relayInTransaction(ctx context.Context, st statement.Statement, begin bool, rec *requestRecord) (statement.Reply, error) {
	tx := s.tx
	isWrite := s.isWrite(st)
	tx.wrote = tx.wrote || isWrite
	reply, err := s.relay(ctx, tx.peer, st, begin, begin && tx.uncharged, statementTimeout(tx.route), rec)
	e := new(verdict.Error)
	switch {
	case err == nil:
		if st.Kind == statement.Commit {
			if tx.wrote {
				s.wrote(tx.route.Group, reply.Position)
			}
			s.tx = nil
		}
		return reply, nil
	case errors.As(err, &e):
		if begin && isOutOfDate(e) {
			s.state = statement.InTransaction
			return reply, errNotRelayed
		}
		// The peer has rolled the transaction back.
		s.tx = nil
		if s.state == statement.InTransaction {
			s.state = statement.Failed
		}
		return reply, e
	case begin && isDialError(err):
		return reply, errNotRelayed
	}
	wrote, to := tx.wrote, tx.peer.ID
	if st.Kind != statement.Commit {
		s.abandonRelayed(tx)
	}
	s.tx, s.state = nil, statement.Failed
	if st.Kind == statement.Commit {
		s.state = statement.Idle
		if wrote {
			return reply, verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "no answer to the commit from instance %s", to).WithCause(err)
		}
	}
	return reply, verdict.New(verdict.NotRun, verdict.TransactionAborted, "no answer from instance %s; the transaction is rolled back", to).WithCause(err)
}

// abandonRelayed tells the peer to roll the transaction back.
func (s *session) abandonRelayed(tx *transaction) {
	request := &pb.RunRequest{
		From: s.gw.cfg.ID + "/" + strconv.FormatInt(s.gw.started, 36), Database: s.startup.Database, Key: s.startup.Key,
		Transaction: tx.relayed, Kind: uint32(statement.Rollback), Id: "-",
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
		defer cancel()
		if _, err := tx.peer.client.Run(ctx, request); err != nil {
			s.gw.log.WithFields(logrus.Fields{"event": "relay-rollback", "peer": tx.peer.ID}).WithError(err).Info("peer rolls back after its idle bound")
		}
	}()
}

// relayed keeps the transactions that this instance runs for peers.
type relayed struct {
	mu       sync.Mutex
	sessions map[string]*relayedSession // guarded by mu
}

type relayedSession struct {
	mu      sync.Mutex
	session *session
	idle    *time.Timer
}

// Run runs a statement for a client of a peer.
func (ps *peers) Run(ctx context.Context, r *pb.RunRequest) (*pb.RunResponse, error) {
	g := ps.gw
	st := statement.Statement{ID: r.Id, Kind: statement.Kind(r.Kind), Name: r.Name, Argument: r.Argument, Text: r.Text}
	rec := requestRecord{id: r.Id, database: r.Database, kind: st.Kind.String(), started: time.Now(), relay: r.From}
	// A statement in progress is not ended with the peer's call: its outcome must
	// be known to the session's transaction.
	ctx = context.WithoutCancel(ctx)
	if r.Transaction == 0 {
		s := &session{gw: g, relayed: true, chargeHere: r.Charge}
		s.take(r)
		reply, err := s.execute(ctx, st, &rec)
		return s.response(reply, err, &rec), nil
	}
	rs, err := g.relayed.session(g, r)
	if err != nil {
		return (&session{gw: g, state: statement.Failed}).response(statement.Reply{}, err, &rec), nil
	}
	rs.mu.Lock()
	defer rs.mu.Unlock()
	s := rs.session
	s.take(r)
	reply, err := s.execute(ctx, st, &rec)
	if s.tx == nil {
		g.relayed.remove(r)
		rs.idle.Stop()
	} else {
		rs.idle.Reset(g.relayedIdle())
	}
	return s.response(reply, err, &rec), nil
}

func (g *Gateway) relayedIdle() time.Duration {
	if c := g.current.Load(); c != nil && c.catalog.IdleInTransaction() > 0 {
		return c.catalog.IdleInTransaction() + time.Second
	}
	return relayedIdle
}

// take takes up the client's session from the request.
func (s *session) take(r *pb.RunRequest) {
	s.startup = Startup{Database: r.Database, Key: r.Key}
	s.values = r.Values
	if statement.Kind(r.Kind) == statement.Execute {
		s.prepared = map[string]preparedStatement{r.Name: {r.PreparedWrite, r.PreparedShape}}
	}
	s.lastGroup, s.lastWrite = r.LastGroup, group.Position{Term: r.LastTerm, Index: r.LastIndex}
}

func relayedKey(r *pb.RunRequest) string { return r.From + "/" + strconv.FormatUint(r.Transaction, 36) }

// session returns the session of a relayed transaction, a new one at its
// beginning. It fails if the transaction has ended or may not begin.
func (l *relayed) session(g *Gateway, r *pb.RunRequest) (*relayedSession, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := relayedKey(r)
	if rs := l.sessions[key]; rs != nil {
		return rs, nil
	}
	if !r.Begin {
		return nil, notRun(verdict.TransactionAborted, "the transaction is not known here and is rolled back")
	}
	s := &session{gw: g, relayed: true, chargeHere: r.Charge, startup: Startup{Database: r.Database, Key: r.Key}}
	route, workspace, p, err := s.admit(&requestRecord{})
	if err == nil {
		err = s.charge(workspace, &requestRecord{})
	}
	if err != nil {
		return nil, err
	}
	s.tx = &transaction{readOnly: r.ReadOnly, route: route, workspace: workspace, pool: p}
	s.state = statement.InTransaction
	rs := &relayedSession{session: s}
	rs.idle = time.AfterFunc(g.relayedIdle(), func() {
		rs.mu.Lock()
		defer rs.mu.Unlock()
		s.failTransaction()
		l.remove(r)
	})
	l.sessions[key] = rs
	return rs, nil
}

func (l *relayed) remove(r *pb.RunRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, relayedKey(r))
}

// response answers the peer.
func (s *session) response(reply statement.Reply, err error, rec *requestRecord) *pb.RunResponse {
	rec.took = time.Since(rec.started)
	rec.believes(s.gw)
	out := &pb.RunResponse{
		Rows: reply.Rows, Signature: reply.Signature, State: uint32(s.state),
		Term: reply.Position.Term, Index: reply.Position.Index, Member: rec.member,
		Attempts: uint32(rec.attempts),
	}
	if err != nil {
		e := verdict.FromError(err)
		rec.err = e
		out.Code, out.Verdict, out.Message, out.RetryAfterMs = string(e.Code), uint32(e.Verdict), e.Message, e.RetryAfter.Milliseconds()
	}
	s.gw.requests.record(*rec)
	return out
}
