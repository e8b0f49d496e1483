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
	// promoteRetryInterval is the delay before an unanswered promotion is
	// ordered again.
	promoteRetryInterval = 150 * time.Millisecond
	// becomePrimaryTimeout bounds the wait for the successor to become primary
	// once the platform has accepted the order. primaryPollInterval is the
	// delay between two status checks.
	becomePrimaryTimeout = 4 * time.Second
	primaryPollInterval  = 60 * time.Millisecond
	// changeTimeout bounds a change of primary; if the primary is still
	// unusable afterwards, it is reported again.
	changeTimeout = 12 * time.Second
	// successorRetryInterval is the delay between two attempts to find a
	// successor.
	successorRetryInterval = 150 * time.Millisecond
	// dutyRenewAge is the age at which a holder renews its claim before it
	// acts. dutyRenewTimeout bounds the renewal; if the store does not respond,
	// no other instance can claim the promotion lease either.
	dutyRenewAge     = 500 * time.Millisecond
	dutyRenewTimeout = 300 * time.Millisecond
	// demoteTimeout bounds the attempts to demote a former primary, which are made every
	// demoteRetryInterval.
	demoteTimeout, demoteRetryInterval = 10 * time.Second, 500 * time.Millisecond
	// cutOffRecheckDelay separates the two checks that confirm that commits
	// reach no replica.
	cutOffRecheckDelay = 150 * time.Millisecond
)

// primaryChange replaces the primary of a group. It runs in its own goroutine
// on the instance that holds the promotion lease.
type primaryChange struct {
	controller *controller
	pool       *pool
	primary    string
	reason     promotion.Reason
	// highestAcknowledged is the highest commit position that any instance has
	// seen acknowledged.
	highestAcknowledged group.Position
	term                uint64
	pausedReplicas      []Member
	// promotionOrdered is set once a promotion has been ordered. The platform
	// may carry it out at any later time, so the paused replicas must then
	// stay paused.
	promotionOrdered bool
}

func (c *primaryChange) log() *logrus.Entry {
	return c.controller.gw.log.WithFields(logrus.Fields{"event": "change", "group": c.pool.name, "primary": c.primary, "reason": c.reason.String()})
}

// run performs the change, or abandons it once it is no longer needed.
func (c *primaryChange) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	started := time.Now()
	if !c.isNeeded(ctx) {
		c.pool.mu.Lock()
		c.pool.primaryChanging = false
		c.pool.mu.Unlock()
		return
	}
	c.log().Info("change of primary begins")
	defer c.resumeUnlessOrdered()
	for ctx.Err() == nil {
		if !c.controller.mayAct() {
			// Replicas must not be paused meanwhile.
			if _, ok := c.controller.awaitDuty(ctx); !ok {
				c.log().WithError(errNotDutyHolder).Info("change of primary abandoned")
				return
			}
		}
		successor, ok := c.prepareSuccessor(ctx)
		if !ok {
			if c.isResolved(ctx) {
				c.log().Info("change of primary abandoned: the primary is usable")
				return
			}
			sleep(ctx, successorRetryInterval)
			continue
		}
		done, err := c.orderPromotion(ctx, successor)
		if done {
			c.log().WithFields(logrus.Fields{"successor": successor.ID, "ms": time.Since(started).Milliseconds()}).Info("primary changed")
			return
		}
		c.log().WithField("successor", successor.ID).WithError(err).Warn("promotion not carried out")
		if errors.Is(err, errNotDutyHolder) {
			return
		}
	}
	c.log().Warn("change of primary not finished in time")
}

// isNeeded reports whether the change is needed. A primary reported
// unreachable must be unreachable for enough instances, and one reported as
// cut off must be ahead of all replicas in two checks.
func (c *primaryChange) isNeeded(ctx context.Context) bool {
	switch c.reason {
	case promotion.Unreachable:
		votes := c.collectVotes(ctx)
		if !votes.IsUnreachable() {
			c.log().WithFields(logrus.Fields{"reach": votes.Reachable, "fail": votes.Unreachable}).Info("primary is reachable")
			return false
		}
		c.log().WithFields(logrus.Fields{"reach": votes.Reachable, "fail": votes.Unreachable}).Info("primary is unreachable")
		return true
	case promotion.CutOff:
		return c.isAheadOfReplicas(ctx) && func() bool { sleep(ctx, cutOffRecheckDelay); return c.isAheadOfReplicas(ctx) }()
	default:
		return true
	}
}

// collectVotes asks all instances whether they can reach the primary.
func (c *primaryChange) collectVotes(ctx context.Context) promotion.Votes {
	gw := c.controller.gw
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
				answers <- answer{} // an instance that does not respond has no vote
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
		if a.acknowledged.Compare(c.highestAcknowledged) > 0 {
			c.highestAcknowledged = a.acknowledged
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

// isAheadOfReplicas reports whether the primary responds and holds commits
// that no replica has received.
func (c *primaryChange) isAheadOfReplicas(ctx context.Context) bool {
	statuses := c.callMembers(ctx, nil)
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
		return !c.collectVotes(ctx).IsUnreachable()
	case promotion.CutOff:
		return !c.isAheadOfReplicas(ctx)
	default:
		return false
	}
}

// callMembers sends a status call, or the statement returned by choose, to all
// members and returns the statuses of those that responded.
func (c *primaryChange) callMembers(ctx context.Context, choose func(Member) (statement.Statement, bool)) map[string]statement.MemberStatus {
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
			status, err := c.pool.controlCall(ctx, m, st)
			if err != nil && isMemberError(err) && st.Kind != statement.Status {
				// A member already paused in this or a later term refuses the
				// call; its status says so.
				status, err = c.pool.controlCall(ctx, m, statement.Statement{Kind: statement.Status})
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

// prepareSuccessor chooses a successor, pauses the other replicas, and reports
// whether the successor then holds every acknowledged commit.
func (c *primaryChange) prepareSuccessor(ctx context.Context) (Member, bool) {
	statuses := c.callMembers(ctx, func(m Member) (statement.Statement, bool) {
		return statement.Statement{Kind: statement.Status}, m.ID != c.primary
	})
	members, primary, term, acknowledged := c.pool.snapshot()
	if primary != c.primary && primary != "" {
		return Member{}, false
	}
	if acknowledged.Compare(c.highestAcknowledged) > 0 {
		c.highestAcknowledged = acknowledged
	}
	c.term = max(c.term, term)
	for _, s := range statuses {
		c.term = max(c.term, s.Term, s.PausedTerm)
	}
	needed := c.highestAcknowledged
	if c.reason.IsPlanned() {
		needed = group.Position{} // the successor catches up while the others are paused
	}
	chosen, ok := promotion.Choose(c.candidatesWithStatus(members, statuses), c.primary, needed)
	if !ok {
		c.log().WithFields(logrus.Fields{"answers": len(statuses), "acknowledged": c.highestAcknowledged.String()}).Info("no member provably holds every commit yet")
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
			if !slices.Contains(c.pausedReplicas, m) {
				c.pausedReplicas = append(c.pausedReplicas, m)
			}
		}
	}
	paused := c.callMembers(ctx, func(m Member) (statement.Statement, bool) {
		if m.ID == chosen {
			return statement.Statement{}, false
		}
		return statement.Statement{Kind: statement.Pause, Term: c.term}, m.ID != c.primary
	})
	return successor, c.awaitCatchUp(ctx, members, successor, paused)
}

// candidatesWithStatus combines the known members with the statuses that they
// returned.
func (c *primaryChange) candidatesWithStatus(members []poolMember, statuses map[string]statement.MemberStatus) []promotion.Member {
	out := c.controller.promotionCandidates(members)
	for i := range out {
		if s, ok := statuses[out[i].ID]; ok {
			out[i].Answered, out[i].Received, out[i].Role = true, s.Received, s.Role
		}
	}
	return out
}

// awaitCatchUp polls the successor and reports whether it holds every commit
// that the paused replicas and the acknowledged position require.
func (c *primaryChange) awaitCatchUp(ctx context.Context, members []poolMember, successor Member, paused map[string]statement.MemberStatus) bool {
	for range 4 {
		status, err := c.pool.controlCall(ctx, successor, statement.Statement{Kind: statement.Status})
		if err != nil {
			return false
		}
		paused[successor.ID] = status
		if id, ok := promotion.Choose(c.candidatesWithStatus(members, paused), c.primary, c.highestAcknowledged); ok && id == successor.ID {
			return true
		}
		sleep(ctx, primaryPollInterval)
	}
	return false
}

// resumeUnlessOrdered resumes the paused replicas if no promotion was ordered.
// While all replicas but one are paused, losing that one would stop all
// commits.
func (c *primaryChange) resumeUnlessOrdered() {
	if c.promotionOrdered {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), becomePrimaryTimeout)
	defer cancel()
	c.resumeReplicas(ctx)
}

// resumeReplicas lets the paused replicas receive commits again.
func (c *primaryChange) resumeReplicas(ctx context.Context) {
	for _, m := range c.pausedReplicas {
		if _, err := c.pool.controlCall(ctx, m, statement.Statement{Kind: statement.Resume}); err != nil {
			c.log().WithField("member", m.ID).WithError(err).Warn("cannot resume replica")
		}
	}
	c.pausedReplicas = nil
}

// errNotDutyHolder means that another instance has claimed the promotion
// lease.
var errNotDutyHolder = errors.New("another instance holds the promotion duty")

// orderPromotion orders the promotion until the platform responds, because an
// order without a response may be carried out at any time, and then waits until
// the successor is primary.
func (c *primaryChange) orderPromotion(ctx context.Context, successor Member) (bool, error) {
	gw := c.controller.gw
	for ctx.Err() == nil {
		duty, ok := c.controller.awaitDuty(ctx)
		if !ok {
			return false, errNotDutyHolder
		}
		c.promotionOrdered = true
		promoteCtx, cancel := context.WithTimeout(ctx, promoteTimeout)
		err := gw.cfg.Promoter.Promote(promoteCtx, duty, c.pool.name, successor.ID)
		cancel()
		switch {
		case err == nil:
			return c.awaitPrimary(ctx, successor)
		case errors.Is(err, ErrFenced):
			// Either the token is outdated or the member is not running;
			// reading the promotion lease from the store tells which.
			readCtx, cancel := context.WithTimeout(ctx, listTimeout)
			_, readErr := c.controller.readDuty(readCtx)
			cancel()
			return false, errors.CombineErrors(err, readErr)
		}
		c.log().WithField("successor", successor.ID).WithError(err).Info("promotion order got no answer; retrying")
		sleep(ctx, promoteRetryInterval)
	}
	return false, ctx.Err()
}

// mayAct reports whether this instance holds the promotion lease and may act on it. After
// the store was restored, the claim must have been made again, and another holder may have
// acted just before although its claim is lost. An instance that has heard from all others
// since then knows of that holder.
func (c *controller) mayAct() bool {
	duty, self, _ := c.gw.peers.dutyHolder()
	era, age := c.gw.eras.knownFor()
	return self && duty.Token.Era() == era && (age >= minDutyTenure || c.gw.peers.heardFromAll(age))
}

// awaitDuty renews this instance's claim and returns it once the instance may act on it.
// It returns false if another instance holds the promotion lease.
func (c *controller) awaitDuty(ctx context.Context) (Duty, bool) {
	for ctx.Err() == nil {
		c.renewDuty(ctx)
		switch duty, self, _ := c.gw.peers.dutyHolder(); {
		case !self:
			return Duty{}, false
		case c.mayAct():
			return duty, true
		}
		sleep(ctx, promoteRetryInterval)
	}
	return Duty{}, false
}

// renewDuty renews this instance's claim before it acts, so that no other
// instance can claim the promotion lease immediately afterwards. A claim that the
// store has lost is made again.
func (c *controller) renewDuty(ctx context.Context) {
	gw := c.gw
	duty, self, _ := gw.peers.dutyHolder()
	lost := duty.Token.Era() < gw.eras.current()
	if tenure, _ := gw.peers.dutyTenure(); !self || (tenure < dutyRenewAge && !lost) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dutyRenewTimeout)
	defer cancel()
	renewed, err := Duty{}, error(ErrConflict)
	if !lost {
		renewed, err = gw.cfg.Store.ClaimDuty(ctx, duty, gw.cfg.ID, gw.started)
	}
	if errors.Is(err, ErrConflict) {
		renewed, err = c.readDuty(ctx)
		if err == nil && (renewed.IsVoid() || renewed.Holder == "") {
			renewed, err = gw.cfg.Store.ClaimDuty(ctx, renewed, gw.cfg.ID, gw.started)
		}
	}
	if err != nil {
		gw.log.WithField("event", "duty").WithError(err).Info("cannot renew the claim of the promotion duty")
		return
	}
	gw.peers.updateDuty(renewed)
	if lost {
		gw.log.WithFields(logrus.Fields{"event": "duty", "token": renewed.Token, "holder": renewed.Holder}).Info("promotion duty after the restoration of the store")
	}
}

// awaitPrimary waits until the successor is primary and informs the other
// instances.
func (c *primaryChange) awaitPrimary(ctx context.Context, successor Member) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, becomePrimaryTimeout)
	defer cancel()
	for ctx.Err() == nil {
		status, err := c.pool.controlCall(ctx, successor, statement.Statement{Kind: statement.Status})
		if err == nil && status.Role == group.Primary {
			c.pool.mu.Lock()
			c.pool.setPrimary(successor.ID, status.Term)
			c.pool.mu.Unlock()
			c.announcePrimary(&pb.Primary{Group: c.pool.name, Member: successor.ID, Term: status.Term})
			go c.demoteFormer(status.Term)
			return true, nil
		}
		sleep(ctx, primaryPollInterval)
	}
	return false, errors.New("the successor did not become primary in time")
}

// demoteFormer tells the former primary that it has been replaced, since one that cannot
// reach its successor goes on as primary. It gives up after demoteTimeout; statements
// are kept away from the former primary by leadership checks.
func (c *primaryChange) demoteFormer(term uint64) {
	members, _, _, _ := c.pool.snapshot()
	i := slices.IndexFunc(members, func(m poolMember) bool { return m.ID == c.primary })
	if i < 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoteTimeout)
	defer cancel()
	for ctx.Err() == nil {
		_, err := c.pool.controlCall(ctx, members[i].Member, statement.Statement{Kind: statement.Demote, Term: term})
		if err == nil || isMemberError(err) {
			c.log().WithField("term", term).Info("former primary demoted")
			return
		}
		sleep(ctx, demoteRetryInterval)
	}
}

func (c *primaryChange) announcePrimary(primary *pb.Primary) {
	for _, client := range c.controller.gw.peers.clients() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			defer cancel()
			if _, err := client.PrimaryChanged(ctx, primary); err != nil {
				c.log().WithError(err).Info("cannot inform peer of the new primary")
			}
		}()
	}
}

// recoverAllGroups cleans up after a previous holder of the promotion lease,
// which may have left replicas paused and promotions pending. Promoting the
// current primary again raises the fencing token, so that older orders are
// rejected.
func (c *controller) recoverAllGroups(ctx context.Context) {
	c.gw.forEachPool(func(p *pool) { go c.recoverGroup(context.WithoutCancel(ctx), p) })
}

func (c *controller) recoverGroup(ctx context.Context, p *pool) {
	ctx, cancel := context.WithTimeout(ctx, becomePrimaryTimeout)
	defer cancel()
	members, primary, _, _ := p.snapshot()
	change := &primaryChange{controller: c, pool: p, primary: primary}
	statuses := change.callMembers(ctx, nil)
	for i := range members {
		if s, ok := statuses[members[i].ID]; ok && s.PausedTerm > 0 && s.Role == group.Replica {
			change.pausedReplicas = append(change.pausedReplicas, members[i].Member)
		}
	}
	primaryStatus, answered := statuses[primary]
	if len(change.pausedReplicas) == 0 || !answered || primaryStatus.Role != group.Primary {
		return
	}
	duty, ok := c.awaitDuty(ctx)
	if !ok {
		return
	}
	if err := c.gw.cfg.Promoter.Promote(ctx, duty, p.name, primary); err != nil {
		change.log().WithError(err).Warn("cannot raise the fencing token; replicas stay paused")
		return
	}
	change.resumeReplicas(ctx)
}
