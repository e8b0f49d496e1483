package gateway

import (
	"cmp"
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/membership"
	"github.com/mulberrysill/mulberrysill/core/placement"
	"github.com/mulberrysill/mulberrysill/core/statement"
	"github.com/mulberrysill/mulberrysill/core/verdict"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

const (
	// relayTimeoutMargin is added to the statement's timeout for a call to a
	// peer.
	relayTimeoutMargin = 50 * time.Millisecond
	// peerSuspectDuration is how long nothing is relayed to a peer that did
	// not respond.
	peerSuspectDuration = time.Second
	// defaultRelayedIdleTimeout ends a relayed transaction whose sender has
	// disappeared, if the configuration sets no timeout for idle transactions.
	defaultRelayedIdleTimeout = 5 * time.Second
	// maxReportedWait bounds the wait that a peer reports for a statement.
	maxReportedWait = 10 * time.Second
)

// relayTarget returns the peer that should run a statement of the workspace,
// or nil to run it locally. Local connections come first. Otherwise the
// workspace's owner for the group runs the statement, so that the connections
// of a workspace are concentrated on one instance and do not displace those of
// other workspaces.
func (g *Gateway) relayTarget(p *pool, req *connRequest) *peer {
	if p.servesLocally(req) {
		return nil
	}
	return g.peers.workspaceOwner(p, req.workspace)
}

// servesLocally reports whether the pool can serve the request from an idle
// connection or by opening one without closing another, or knows no member for
// it.
func (p *pool) servesLocally(req *connRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidates := p.candidates(req, time.Now())
	if len(candidates) == 0 {
		return true
	}
	if !p.inServingSet {
		return false
	}
	switch placement.Choose(candidates, p.zone).Action {
	case placement.UseIdle, placement.Open:
		return true
	default:
		return false
	}
}

// chooseInstances returns up to size instances for the key by rendezvous
// hashing, spread over availability zones, in order of rank.
func chooseInstances(key string, size int, instances []membership.Instance) []string {
	t := membership.NewServingTable([]string{key}, size)
	t.Update(instances)
	return t.ServingSet(key)
}

// servingSetSize returns the number of instances that serve a group. It is limited by
// the members' connections, so that a group's control traffic and connections do not
// grow with the number of instances. In a small fleet all instances serve.
func servingSetSize(maxConnections int) int {
	return max(int(primaryConnShare*float64(maxConnections))/minServingConnsPerMember, 1)
}

// workspaceOwner returns the live peer that owns the workspace in the group,
// or nil if this instance owns it. The owner belongs to the group's serving
// set.
func (ps *peers) workspaceOwner(p *pool, workspace string) *peer {
	p.mu.Lock()
	maxConnections := p.maxConnections
	p.mu.Unlock()
	owner := ps.healthyInstances().workspaceOwner(p.name, workspace, maxConnections)
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.byID[owner]
}

// markSuspect stops relaying to a peer that did not respond, for
// peerSuspectDuration.
func (ps *peers) markSuspect(p *peer) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p.suspectUntil = time.Now().Add(peerSuspectDuration)
	ps.fleet.outdated = true
}

// lastRelayedTransaction is the number of the last transaction that this
// process has relayed.
var lastRelayedTransaction atomic.Uint64

// errNotRunAtPeer means that the statement did not run at the peer and may run
// locally.
var errNotRunAtPeer = errors.New("the statement did not run at the peer")

// relayCall says where and how a statement is relayed.
type relayCall struct {
	to        *peer
	pool      *pool
	member    string
	route     *catalog.Route
	workspace *catalog.Workspace
	// begin is set for the first statement of a transaction.
	begin   bool
	charge  bool
	timeout time.Duration
}

// relay sends a statement to a peer. The error is a *verdict.Error if the peer
// refused or failed the statement, and the error of the call if the peer did
// not respond.
func (s *session) relay(ctx context.Context, call relayCall, st statement.Statement, rec *requestRecord) (statement.Reply, error) {
	request := &pb.RunRequest{
		From: s.gw.cfg.ID + "/" + strconv.FormatInt(s.gw.started, 36), Database: s.startup.Database, Key: s.startup.Key,
		Begin: call.begin, Charge: call.charge, Id: st.ID, Kind: uint32(st.Kind), Name: st.Name, Argument: st.Argument, Text: st.Text, Values: s.settings,
	}
	s.storeCommits(request, call.pool.name)
	if c := s.gw.currentConfig.Load(); c != nil && (s.tx == nil || call.begin) {
		request.ConfigVersion, request.Decision = c.Version(), catalog.Decision(call.route, call.workspace)
	}
	mayRepeat := !s.isWrite(st)
	if s.tx != nil {
		request.Transaction, request.ReadOnly = s.tx.relayID, s.tx.readOnly
		// Unless it commits, nothing of the transaction is kept.
		mayRepeat = st.Kind != statement.Commit || !s.tx.hasWritten
	}
	if st.Kind == statement.Execute {
		request.PreparedWrite, request.PreparedShape = s.prepared[st.Name].isWrite, s.prepared[st.Name].shape
	}
	ctx, cancel := context.WithTimeout(ctx, call.timeout+relayTimeoutMargin)
	defer cancel()
	if s.tx != nil && !call.begin {
		ctx = markOpenTransaction(ctx)
	}
	if request.Member = call.member; call.member != "" {
		request.WaitedUs = time.Since(rec.started).Microseconds()
		giveUp := cancel
		if !mayRepeat {
			giveUp = func() {} // its outcome has to be awaited
		}
		defer s.gw.peers.watchRelay(call.to, giveUp).stop()
	}
	attempt := s.beginAttempt(st)
	answer, err := call.to.client.Run(ctx, request)
	s.endRelayedAttempt(attempt, rec.workspace, answer, err)
	if err != nil {
		// If members have serving sets, a peer that left a slow statement without an answer
		// still serves others; watchRelay finds those that have stopped.
		if call.member == "" || isDialError(err) {
			s.gw.peers.markSuspect(call.to)
		}
		return statement.Reply{}, err
	}
	call.to.noteResponse()
	if call.member != "" {
		call.pool.noteTarget(call.member, time.Duration(answer.ExpectedWaitUs)*time.Microsecond, false)
	}
	rec.member, rec.attempts, rec.relay = answer.Member, rec.attempts+int(answer.Attempts), call.to.ID
	s.state, s.committedGroup = statement.State(answer.State), answer.Group
	if answer.Code != "" {
		e := verdict.New(verdict.Verdict(answer.Verdict), verdict.Code(answer.Code), "%s", answer.Message)
		return statement.Reply{}, e.WithRetryAfter(time.Duration(answer.RetryAfterMs) * time.Millisecond)
	}
	return statement.Reply{
		Rows: answer.Rows, Signature: answer.Signature, State: s.state,
		Position: group.Position{Term: answer.Term, Index: answer.Index},
	}, nil
}

// relaySingle runs a statement outside a transaction at a peer. It returns
// errNotRunAtPeer if the statement may safely run locally.
func (s *session) relaySingle(ctx context.Context, to *peer, op *operation, charge bool) (statement.Reply, error) {
	isWrite, deadline := s.isWrite(op.Statement), op.deadline
	if !isWrite {
		deadline = readAttemptDeadline(op.route, deadline)
	}
	reply, err := s.relay(ctx, relayCall{
		to: to, pool: op.pool, member: op.member, route: op.route, workspace: op.workspace, charge: charge, timeout: time.Until(deadline),
	}, op.Statement, op.rec)
	e := new(verdict.Error)
	switch {
	case err == nil && isWrite:
		s.recordRelayedCommit(op.pool, reply.Position)
		return reply, nil
	case err == nil:
		return reply, nil
	case errors.As(err, &e):
		if isStaleConfigRefusal(e) && (op.member == "" || e.Code != verdict.NoPrimary) {
			return reply, errNotRunAtPeer
		}
		return reply, e
	case isWrite && !isDialError(err):
		return reply, verdict.New(verdict.MayHaveRun, verdict.OutcomeUnknown, "no answer from instance %s", to.ID).WithCause(err)
	default:
		return reply, errNotRunAtPeer
	}
}

// isStaleConfigRefusal reports whether a peer may have refused the statement
// because it lacks the newest configuration or the store's confirmation of it.
func isStaleConfigRefusal(e *verdict.Error) bool {
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
	tx.hasWritten = tx.hasWritten || isWrite
	deadline := s.gw.answerDeadline(time.Now().Add(statementTimeout(tx.route)))
	reply, err := s.relay(ctx, relayCall{
		to: tx.peer, pool: tx.pool, member: tx.member, route: tx.route, workspace: tx.workspace,
		begin: begin, charge: begin && tx.uncharged, timeout: time.Until(deadline),
	}, st, rec)
	e := new(verdict.Error)
	switch {
	case err == nil:
		if st.Kind == statement.Commit {
			if tx.hasWritten {
				s.recordRelayedCommit(tx.pool, reply.Position)
			}
			s.tx = nil
		}
		return reply, nil
	case errors.As(err, &e):
		if begin && isStaleConfigRefusal(e) && (tx.member == "" || e.Code != verdict.NoPrimary) {
			s.state = statement.InTransaction
			return reply, errNotRunAtPeer
		}
		if begin && tx.member != "" && mayRunElsewhere(e, tx.readOnly) {
			s.state = statement.InTransaction
			return reply, e
		}
		// The peer has rolled back the transaction.
		s.tx = nil
		if s.state == statement.InTransaction {
			s.state = statement.Failed
		}
		return reply, e
	case begin && isDialError(err):
		return reply, errNotRunAtPeer
	case begin && tx.member != "" && st.Kind != statement.Commit:
		s.rollbackAtPeer(tx)
		s.state = statement.InTransaction
		return reply, errNotRunAtPeer
	}
	wrote, to := tx.hasWritten, tx.peer.ID
	if st.Kind != statement.Commit {
		s.rollbackAtPeer(tx)
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

// rollbackAtPeer tells the peer to roll back the transaction.
func (s *session) rollbackAtPeer(tx *transaction) {
	request := &pb.RunRequest{
		From: s.gw.cfg.ID + "/" + strconv.FormatInt(s.gw.started, 36), Database: s.startup.Database, Key: s.startup.Key,
		Transaction: tx.relayID, Kind: uint32(statement.Rollback), Id: "-",
	}
	to := tx.peer
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
		defer cancel()
		if _, err := to.client.Run(ctx, request); err != nil {
			s.gw.log.WithFields(logrus.Fields{"event": "relay-rollback", "peer": to.ID}).WithError(err).Info("cannot tell peer to roll back; it will do so after its idle timeout")
		}
	}()
}

// relayedSessions holds the transactions that this instance runs for peers.
type relayedSessions struct {
	mu       sync.Mutex
	sessions map[string]*relayedSession // guarded by mu
	// running is the number of statements in progress.
	running atomic.Int64
}

type relayedSession struct {
	mu        sync.Mutex
	session   *session
	idleTimer *time.Timer
}

// Run runs a statement for a client of a peer.
func (ps *peers) Run(_ context.Context, r *pb.RunRequest) (*pb.RunResponse, error) {
	g := ps.gw
	g.relayedSessions.running.Add(1)
	defer g.relayedSessions.running.Add(-1)
	st := statement.Statement{ID: r.Id, Kind: statement.Kind(r.Kind), Name: r.Name, Argument: r.Argument, Text: r.Text}
	rec := requestRecord{id: r.Id, database: r.Database, kind: st.Kind.String(), started: time.Now(), relay: r.From}
	// Cancelling the peer's call must not cancel a statement in progress,
	// since its outcome decides the state of the session's transaction.
	ctx := g.statementCtx
	if r.Transaction == 0 || r.Begin {
		if err := g.checkDecision(r); err != nil {
			return (&session{gw: g}).relayResponse(statement.Reply{}, err, &rec), nil
		}
	}
	if r.Transaction == 0 {
		s := &session{gw: g, isRelayed: true, chargeRelayed: r.Charge}
		s.loadRelayed(r)
		reply, err := s.execute(ctx, st, &rec)
		return s.relayResponse(reply, err, &rec), nil
	}
	relayed, err := g.relayedSessions.findOrBegin(g, r)
	if err != nil {
		return (&session{gw: g, state: statement.Failed}).relayResponse(statement.Reply{}, err, &rec), nil
	}
	relayed.mu.Lock()
	defer relayed.mu.Unlock()
	s := relayed.session
	s.loadRelayed(r)
	reply, err := s.execute(ctx, st, &rec)
	if s.tx == nil {
		g.relayedSessions.remove(r)
		relayed.idleTimer.Stop()
	} else {
		relayed.idleTimer.Reset(g.relayedIdleTimeout())
	}
	return s.relayResponse(reply, err, &rec), nil
}

// checkDecision refuses a statement that the sender's configuration treats otherwise than the
// older one of this instance. The sender then runs it itself.
func (g *Gateway) checkDecision(r *pb.RunRequest) error {
	c := g.currentConfig.Load()
	if r.ConfigVersion == 0 || c != nil && c.Version() >= r.ConfigVersion {
		return nil
	}
	if c != nil {
		route, workspace, err := c.catalog.Authorize(r.Database, r.Key)
		if err == nil && catalog.Decision(route, workspace) == r.Decision {
			return nil
		}
	}
	return notRun(verdict.NoSuchRoute, "the route of configuration "+strconv.FormatUint(r.ConfigVersion, 10)+" is not known here yet")
}

func (g *Gateway) relayedIdleTimeout() time.Duration {
	if c := g.currentConfig.Load(); c != nil && c.catalog.IdleInTransaction() > 0 {
		return c.catalog.IdleInTransaction() + time.Second
	}
	return defaultRelayedIdleTimeout
}

// loadRelayed loads the client's session state from the request.
func (s *session) loadRelayed(r *pb.RunRequest) {
	s.startup = Startup{Database: r.Database, Key: r.Key}
	s.settings = r.Values
	if statement.Kind(r.Kind) == statement.Execute {
		s.prepared = map[string]preparedStatement{r.Name: newPreparedStatement(r.PreparedWrite, r.PreparedShape)}
	}
	s.commits, s.committedGroup = relayedCommits(r), ""
	s.member, s.waited = r.Member, min(max(time.Duration(r.WaitedUs)*time.Microsecond, 0), maxReportedWait)
}

// storeCommits adds the session's commits to a request for a statement of the group.
func (s *session) storeCommits(r *pb.RunRequest, groupName string) {
	commits, incomplete := s.commits.All()
	for _, c := range commits {
		r.Commits = append(r.Commits, &pb.GroupCommit{Group: c.Group, Term: c.Position.Term, Index: c.Position.Index})
		if c.Group == groupName {
			r.LastGroup, r.LastTerm, r.LastIndex = c.Group, c.Position.Term, c.Position.Index
		}
	}
	r.CommitsIncomplete = incomplete
}

// relayedCommits returns the commits of the session for which a statement is relayed.
func relayedCommits(r *pb.RunRequest) consistency.SessionCommits {
	if len(r.Commits) == 0 && r.LastGroup != "" {
		// An older build knows the last group to which the session wrote, and no other.
		last := consistency.GroupCommit{Group: r.LastGroup, Position: group.Position{Term: r.LastTerm, Index: r.LastIndex}}
		return consistency.RestoreSessionCommits([]consistency.GroupCommit{last}, true)
	}
	commits := make([]consistency.GroupCommit, len(r.Commits))
	for i, c := range r.Commits {
		commits[i] = consistency.GroupCommit{Group: c.Group, Position: group.Position{Term: c.Term, Index: c.Index}}
	}
	return consistency.RestoreSessionCommits(commits, r.CommitsIncomplete)
}

// recordRelayedCommit records a commit that a peer has run, in the group in which it did.
func (s *session) recordRelayedCommit(p *pool, at group.Position) {
	name := cmp.Or(s.committedGroup, p.name)
	if ran := s.gw.pool(name); ran != nil {
		ran.recordCommit(at)
	}
	s.commits.Record(name, at)
}

func relayedKey(r *pb.RunRequest) string { return r.From + "/" + strconv.FormatUint(r.Transaction, 36) }

// findOrBegin returns the session of a relayed transaction, creating it for
// the first statement. It fails if the transaction has ended or may not begin.
func (l *relayedSessions) findOrBegin(g *Gateway, r *pb.RunRequest) (*relayedSession, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := relayedKey(r)
	if rs := l.sessions[key]; rs != nil {
		return rs, nil
	}
	if !r.Begin {
		return nil, notRun(verdict.TransactionAborted, "unknown transaction; it has been rolled back")
	}
	s := &session{gw: g, isRelayed: true, chargeRelayed: r.Charge, startup: Startup{Database: r.Database, Key: r.Key}}
	if err := g.acceptTransaction(time.Now()); err != nil {
		return nil, err
	}
	route, workspace, p, err := s.resolveRoute(&requestRecord{})
	if err == nil {
		err = s.chargeLimit(workspace, &requestRecord{})
	}
	if err != nil {
		return nil, err
	}
	s.tx = &transaction{readOnly: r.ReadOnly, route: route, workspace: workspace, pool: p, member: r.Member}
	s.state = statement.InTransaction
	rs := &relayedSession{session: s}
	rs.idleTimer = time.AfterFunc(g.relayedIdleTimeout(), func() {
		rs.mu.Lock()
		defer rs.mu.Unlock()
		s.failTransaction()
		l.remove(r)
	})
	l.sessions[key] = rs
	return rs, nil
}

// count returns the number of open transactions of peers.
func (l *relayedSessions) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sessions)
}

func (l *relayedSessions) remove(r *pb.RunRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, relayedKey(r))
}

// relayResponse logs the statement and builds the response to the peer.
func (s *session) relayResponse(reply statement.Reply, err error, rec *requestRecord) *pb.RunResponse {
	rec.took = time.Since(rec.started)
	rec.noteConfiguration(s.gw)
	out := &pb.RunResponse{
		Rows: reply.Rows, Signature: reply.Signature, State: uint32(s.state),
		Term: reply.Position.Term, Index: reply.Position.Index, Member: rec.member,
		Attempts: uint32(rec.attempts), Group: s.committedGroup,
	}
	if route, p := s.gw.routeOf(rec.database); p != nil && s.member != "" {
		out.ExpectedWaitUs = p.expectedMemberWait(s.member, rec.workspace, route.Priority).Microseconds()
	}
	if err != nil {
		e := verdict.FromError(err)
		rec.err = e
		out.Code, out.Verdict, out.Message, out.RetryAfterMs = string(e.Code), uint32(e.Verdict), e.Message, e.RetryAfter.Milliseconds()
	}
	s.reportAttempts(out)
	s.gw.requests.record(*rec)
	return out
}
