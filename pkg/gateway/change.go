package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	"github.com/mulberrysill/mulberrysill/core/statement"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

const (
	// promoteTimeout bounds one call to the platform.
	promoteTimeout = 500 * time.Millisecond
	// promotePause separates two calls without an answer.
	promotePause = 150 * time.Millisecond
	// leadTimeout bounds the wait until the successor leads after the platform
	// has taken the order; leadPoll separates two looks.
	leadTimeout = 4 * time.Second
	leadPoll    = 60 * time.Millisecond
	// changeTimeout bounds a change; after it the trouble is reported anew.
	changeTimeout = 12 * time.Second
	// changePause separates two attempts to find a successor.
	changePause = 150 * time.Millisecond
	// renewAfter is the age of a claim from which on a holder renews it before it
	// acts, and renewTimeout bounds the renewal; without an answer of the store
	// nobody else can claim the duty either.
	renewAfter   = 500 * time.Millisecond
	renewTimeout = 300 * time.Millisecond
	// cutOffLook separates the two looks that show that commits reach no replica.
	cutOffLook = 150 * time.Millisecond
)

// primaryChange replaces the primary of a group. It runs in a goroutine of its
// own, on the instance that holds the promotion duty.
type primaryChange struct {
	control *control
	pool    *pool
	primary string
	reason  promotion.Reason
	// acknowledged is the highest position that any instance has seen acknowledged.
	acknowledged group.Position
	term         uint64
	paused       []Member
	// ordered says that a promotion has been ordered, which may be carried out at
	// any time; the paused replicas then must stay so.
	ordered bool
}

func (c *primaryChange) log() *logrus.Entry {
	return c.control.gw.log.WithFields(logrus.Fields{"event": "change", "group": c.pool.name, "primary": c.primary, "reason": c.reason.String()})
}

// run carries the change out, or gives it up where it is not needed any more.
func (c *primaryChange) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	started := time.Now()
	if !c.confirmed(ctx) {
		c.pool.mu.Lock()
		c.pool.changing = false
		c.pool.mu.Unlock()
		return
	}
	c.log().Info("change of primary begins")
	defer c.resumeUnlessOrdered()
	for ctx.Err() == nil {
		successor, ok := c.prepare(ctx)
		if !ok {
			if c.isResolved(ctx) {
				c.log().Info("change of primary given up: the primary serves")
				return
			}
			sleep(ctx, changePause)
			continue
		}
		done, err := c.order(ctx, successor)
		if done {
			c.log().WithFields(logrus.Fields{"successor": successor.ID, "ms": time.Since(started).Milliseconds()}).Info("primary changed")
			return
		}
		c.log().WithField("successor", successor.ID).WithError(err).Warn("promotion not carried out")
		if errors.Is(err, errNotHolder) {
			return
		}
	}
	c.log().Warn("change of primary not finished in time")
}

// confirmed reports whether the change is needed: an unreachable primary must be
// out of reach for enough instances, and one that is cut off ahead of its replicas.
func (c *primaryChange) confirmed(ctx context.Context) bool {
	switch c.reason {
	case promotion.Unreachable:
		votes := c.vote(ctx)
		if !votes.IsUnreachable() {
			c.log().WithFields(logrus.Fields{"reach": votes.Reachable, "fail": votes.Unreachable}).Info("primary is reachable")
			return false
		}
		c.log().WithFields(logrus.Fields{"reach": votes.Reachable, "fail": votes.Unreachable}).Info("primary is unreachable")
		return true
	case promotion.CutOff:
		return c.isAhead(ctx) && func() bool { sleep(ctx, cutOffLook); return c.isAhead(ctx) }()
	default:
		return true
	}
}

// vote asks all instances whether they reach the primary.
func (c *primaryChange) vote(ctx context.Context) promotion.Votes {
	gw := c.control.gw
	clients := gw.peers.clients()
	type answer struct {
		reach, ok    bool
		acknowledged group.Position
	}
	answers := make(chan answer, len(clients)+1)
	ctx, cancel := context.WithTimeout(ctx, 2*peerTimeout)
	defer cancel()
	for _, client := range clients {
		go func() {
			r, err := client.CheckPrimary(ctx, &pb.CheckPrimaryRequest{Group: c.pool.name, Member: c.primary})
			if err != nil {
				answers <- answer{} // an instance without an answer has no vote
				return
			}
			answers <- answer{r.Reachable, true, group.Position{Term: r.AcknowledgedTerm, Index: r.AcknowledgedIndex}}
		}()
	}
	go func() {
		reach, acknowledged := gw.checkPrimary(ctx, c.pool.name, c.primary)
		answers <- answer{reach, true, acknowledged}
	}()
	var votes promotion.Votes
	for range len(clients) + 1 {
		a := <-answers
		if a.acknowledged.Compare(c.acknowledged) > 0 {
			c.acknowledged = a.acknowledged
		}
		switch {
		case a.ok && a.reach:
			votes.Reachable++
		case a.ok:
			votes.Unreachable++
		}
	}
	return votes
}

// isAhead reports whether the primary answers and holds commits that no replica
// has received.
func (c *primaryChange) isAhead(ctx context.Context) bool {
	statuses := c.ask(ctx, nil)
	p, ok := statuses[c.primary]
	if !ok {
		return false
	}
	for id, s := range statuses {
		if id != c.primary && s.Received.Compare(p.Received) >= 0 {
			return false
		}
	}
	return len(statuses) > 1
}

// isResolved reports whether the change is no longer needed.
func (c *primaryChange) isResolved(ctx context.Context) bool {
	switch c.reason {
	case promotion.Unreachable:
		return !c.vote(ctx).IsUnreachable()
	case promotion.CutOff:
		return !c.isAhead(ctx)
	default:
		return false
	}
}

// ask sends a status call, or the statement that choose returns, to all members.
func (c *primaryChange) ask(ctx context.Context, choose func(Member) (statement.Statement, bool)) map[string]statement.MemberStatus {
	members, _, _, _ := c.pool.snapshot()
	var mu sync.Mutex
	out := map[string]statement.MemberStatus{}
	var calls sync.WaitGroup
	for i := range members {
		m := members[i].Member
		st, ok := statement.Statement{Kind: statement.Status}, true
		if choose != nil {
			st, ok = choose(m)
		}
		if !ok {
			continue
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			status, err := c.pool.control(ctx, m, st)
			if err != nil && isAnswer(err) && st.Kind != statement.Status {
				// A member that is paused already refuses the term; its status says so.
				status, err = c.pool.control(ctx, m, statement.Statement{Kind: statement.Status})
			}
			if err != nil {
				c.log().WithFields(logrus.Fields{"member": m.ID, "call": st.Kind.String()}).WithError(err).Info("member does not answer")
				return
			}
			mu.Lock()
			out[m.ID] = status
			mu.Unlock()
		}()
	}
	calls.Wait()
	return out
}

// prepare chooses a successor, pauses the other replicas, and reports whether the
// successor then holds every acknowledged commit.
func (c *primaryChange) prepare(ctx context.Context) (Member, bool) {
	first := c.ask(ctx, func(m Member) (statement.Statement, bool) {
		return statement.Statement{Kind: statement.Status}, m.ID != c.primary
	})
	members, primary, term, acknowledged := c.pool.snapshot()
	if primary != c.primary && primary != "" {
		return Member{}, false
	}
	if acknowledged.Compare(c.acknowledged) > 0 {
		c.acknowledged = acknowledged
	}
	c.term = max(c.term, term)
	for _, s := range first {
		c.term = max(c.term, s.Term, s.PausedTerm)
	}
	needed := c.acknowledged
	if c.reason.IsPlanned() {
		needed = group.Position{} // the successor catches up while the others are paused
	}
	chosen, ok := promotion.Choose(c.described(members, first), c.primary, needed)
	if !ok {
		c.log().WithFields(logrus.Fields{"answers": len(first), "acknowledged": c.acknowledged.String()}).Info("no member provably holds every commit yet")
		return Member{}, false
	}
	c.term++
	var successor Member
	for i := range members {
		switch m := members[i].Member; m.ID {
		case chosen:
			successor = m
		case c.primary:
		default:
			if !slices.Contains(c.paused, m) {
				c.paused = append(c.paused, m)
			}
		}
	}
	second := c.ask(ctx, func(m Member) (statement.Statement, bool) {
		if m.ID == chosen {
			return statement.Statement{}, false
		}
		return statement.Statement{Kind: statement.Pause, Term: c.term}, m.ID != c.primary
	})
	return successor, c.holdsAll(ctx, members, successor, second)
}

// described combines what is known of the members with their answers.
func (c *primaryChange) described(members []poolMember, statuses map[string]statement.MemberStatus) []promotion.Member {
	out := c.control.candidates(members)
	for i := range out {
		if s, ok := statuses[out[i].ID]; ok {
			out[i].Answered, out[i].Received, out[i].Role = true, s.Received, s.Role
		}
	}
	return out
}

// holdsAll waits until the successor holds what the paused replicas hold.
func (c *primaryChange) holdsAll(ctx context.Context, members []poolMember, successor Member, paused map[string]statement.MemberStatus) bool {
	for range 4 {
		status, err := c.pool.control(ctx, successor, statement.Statement{Kind: statement.Status})
		if err != nil {
			return false
		}
		paused[successor.ID] = status
		if id, ok := promotion.Choose(c.described(members, paused), c.primary, c.acknowledged); ok && id == successor.ID {
			return true
		}
		sleep(ctx, leadPoll)
	}
	return false
}

// resumeUnlessOrdered undoes the pauses of a change that ends without an order:
// with all replicas but one paused, the loss of that one would stop all commits.
func (c *primaryChange) resumeUnlessOrdered() {
	if c.ordered {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leadTimeout)
	defer cancel()
	c.resume(ctx)
}

// resume lets paused replicas receive again.
func (c *primaryChange) resume(ctx context.Context) {
	for _, m := range c.paused {
		if _, err := c.pool.control(ctx, m, statement.Statement{Kind: statement.Resume}); err != nil {
			c.log().WithField("member", m.ID).WithError(err).Warn("replica not resumed")
		}
	}
	c.paused = nil
}

// errNotHolder says that another instance has taken the duty over.
var errNotHolder = errors.New("another instance holds the promotion duty")

// order asks the platform for the promotion until it answers, since an order
// without an answer may be carried out at any time, and waits until the
// successor leads.
func (c *primaryChange) order(ctx context.Context, successor Member) (bool, error) {
	gw := c.control.gw
	for ctx.Err() == nil {
		c.control.renewDuty(ctx)
		duty, self, _ := gw.peers.holder()
		if !self {
			return false, errNotHolder
		}
		c.ordered = true
		call, cancel := context.WithTimeout(ctx, promoteTimeout)
		err := gw.cfg.Promoter.Promote(call, duty, c.pool.name, successor.ID)
		cancel()
		switch {
		case err == nil:
			return c.awaitLead(ctx, successor)
		case errors.Is(err, ErrFenced):
			// Either the token or the member: the store tells which.
			read, cancel := context.WithTimeout(ctx, listTimeout)
			newest, readErr := gw.cfg.Store.ReadDuty(read)
			cancel()
			if readErr == nil {
				gw.peers.noteDuty(newest)
			}
			return false, err
		}
		c.log().WithField("successor", successor.ID).WithError(err).Info("promotion not answered; asking again")
		sleep(ctx, promotePause)
	}
	return false, ctx.Err()
}

// renewDuty renews this instance's claim before it acts, so that no other one
// takes the duty over right after.
func (c *control) renewDuty(ctx context.Context) {
	gw := c.gw
	duty, self, _ := gw.peers.holder()
	if tenure, _ := gw.peers.dutyTenure(); !self || tenure < renewAfter {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	renewed, err := gw.cfg.Store.ClaimDuty(ctx, duty, gw.cfg.ID, gw.started)
	if errors.Is(err, ErrConflict) {
		renewed, err = gw.cfg.Store.ReadDuty(ctx)
	}
	if err != nil {
		gw.log.WithField("event", "duty").WithError(err).Info("claim of the duty not renewed")
		return
	}
	gw.peers.noteDuty(renewed)
}

// awaitLead waits until the successor leads and tells the other instances.
func (c *primaryChange) awaitLead(ctx context.Context, successor Member) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, leadTimeout)
	defer cancel()
	for ctx.Err() == nil {
		status, err := c.pool.control(ctx, successor, statement.Statement{Kind: statement.Status})
		if err == nil && status.Role == group.Primary {
			c.pool.mu.Lock()
			c.pool.setPrimary(successor.ID, status.Term)
			c.pool.mu.Unlock()
			c.announce(&pb.Primary{Group: c.pool.name, Member: successor.ID, Term: status.Term})
			return true, nil
		}
		sleep(ctx, leadPoll)
	}
	return false, errors.New("the successor does not lead in time")
}

func (c *primaryChange) announce(primary *pb.Primary) {
	for _, client := range c.control.gw.peers.clients() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			defer cancel()
			if _, err := client.PrimaryChanged(ctx, primary); err != nil {
				c.log().WithError(err).Info("peer not told of the new primary")
			}
		}()
	}
}

// repairAll finishes what a former holder of the duty may have left: replicas
// that are paused, and orders that are still to be carried out. Ordering the
// present primary raises the fencing token, so that older orders are refused.
func (c *control) repairAll(ctx context.Context) {
	c.gw.eachPool(func(p *pool) { go c.repair(context.WithoutCancel(ctx), p) })
}

func (c *control) repair(ctx context.Context, p *pool) {
	ctx, cancel := context.WithTimeout(ctx, leadTimeout)
	defer cancel()
	members, primary, _, _ := p.snapshot()
	change := &primaryChange{control: c, pool: p, primary: primary}
	statuses := change.ask(ctx, nil)
	for i := range members {
		if s, ok := statuses[members[i].ID]; ok && s.PausedTerm > 0 && s.Role == group.Replica {
			change.paused = append(change.paused, members[i].Member)
		}
	}
	lead, ok := statuses[primary]
	if len(change.paused) == 0 || !ok || lead.Role != group.Primary {
		return
	}
	c.renewDuty(ctx)
	duty, self, _ := c.gw.peers.holder()
	if !self {
		return
	}
	if err := c.gw.cfg.Promoter.Promote(ctx, duty, p.name, primary); err != nil {
		change.log().WithError(err).Warn("fencing token not raised; replicas stay paused")
		return
	}
	change.resume(ctx)
}
