package gateway

import (
	"context"
	"slices"
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
	// demoteTimeout bounds the attempts to demote a former primary, which are made every
	// demoteRetryInterval.
	demoteTimeout, demoteRetryInterval = 10 * time.Second, 500 * time.Millisecond
	// cutOffRecheckDelay separates the two checks that confirm that commits
	// reach no replica.
	cutOffRecheckDelay = 150 * time.Millisecond
	// maxSuccessorProofAge is the age from which on the proof that the successor holds every
	// commit is repeated before the promotion is ordered. Replicas that restart have
	// forgotten that they are paused.
	maxSuccessorProofAge = 500 * time.Millisecond
	// maxLeaseWait is how long a change waits for the end of commit leases before it looks
	// again whether it is still needed.
	maxLeaseWait = 2 * time.Second
	// catchUpPolls is how often the successor is asked whether it has every commit.
	catchUpPolls = 4
	// maxUnprovenPeriod is how long an ordered successor may lack that proof before the change
	// looks for another one.
	maxUnprovenPeriod = 2 * time.Second
)

// primaryChange replaces the primary of a group. It runs in its own goroutine
// on the instance that holds the promotion lease.
type primaryChange struct {
	controller *controller
	pool       *pool
	primary    string
	reason     promotion.Reason
	started    time.Time
	// acknowledged is the highest position that any instance has said to be acknowledged.
	acknowledged group.Position
	// term is the newest term that a member knows.
	term           uint64
	pausedReplicas []Member
	// pausedAt is when the calls of the last pauses began, on the clock of bootTime.
	pausedAt time.Duration
	// pausedAgain are the replicas that were paused after the promotion had been ordered.
	pausedAgain []Member
	// confirmedAt is when the successor was last confirmed to hold every commit, and
	// confirmedLog what it had received then.
	confirmedAt  time.Time
	confirmedLog group.Position
	// confirmedMembers are the members that were listed then.
	confirmedMembers []poolMember
	// orders are the promotions ordered before, by this change or by earlier ones.
	orders groupOrders
	// votes are the last answers of the instances whether they reach the primary, and
	// reachesPrimary is that of this one.
	votes          promotion.Votes
	reachesPrimary bool
	// stop is set while the primary is a replica because an instance could not be fenced.
	stop *primaryStop
}

func (c *primaryChange) log() *logrus.Entry {
	return c.controller.gw.log.WithFields(logrus.Fields{"event": "change", "group": c.pool.name, "primary": c.primary, "reason": c.reason.String()})
}

// run performs the change, or abandons it once it is no longer needed.
func (c *primaryChange) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	c.started = time.Now()
	if !c.isNeeded(ctx) {
		c.pool.mu.Lock()
		c.pool.primaryChanging = false
		c.pool.mu.Unlock()
		return
	}
	if c.reason != promotion.Unfinished {
		c.log().Info("change of primary begins")
	}
	defer c.resumeUnlessOrdered()
	if c.finishOrdered(ctx) || c.reason == promotion.Unfinished {
		return
	}
	c.resumeUnlessOrdered() // those that a former change left paused
	defer c.noteAbandonedStop()
	for ctx.Err() == nil {
		c.renewFence(ctx)
		// Replicas that are paused under an outdated claim would be left paused.
		if _, ok := c.controller.awaitDuty(ctx); !ok {
			c.log().WithError(errNotDutyHolder).Info("change of primary abandoned")
			return
		}
		successor, ok := c.prepareSuccessor(ctx)
		if !ok {
			if c.isResolved(ctx) {
				c.log().Info("change of primary abandoned: the primary is usable")
				return
			}
			if c.isReinstatementDue() && c.reinstatePrimary(ctx) {
				return
			}
			sleep(ctx, successorRetryInterval)
			continue
		}
		done, err := c.orderPromotion(ctx, successor)
		if done {
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
		votes := c.askInstances(ctx).votes
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
	if c.stop != nil {
		return false
	}
	switch c.reason {
	case promotion.Unreachable:
		return !c.askInstances(ctx).votes.IsUnreachable()
	case promotion.CutOff:
		return !c.isAheadOfReplicas(ctx)
	default:
		return false
	}
}

// prepareSuccessor chooses a successor, pauses the other replicas, and reports
// whether the successor then holds every acknowledged commit.
func (c *primaryChange) prepareSuccessor(ctx context.Context) (Member, bool) {
	statuses := c.callMembers(ctx, func(m Member) (statement.Statement, bool) {
		return statement.Statement{Kind: statement.Status}, m.ID != c.primary || c.asksPrimary()
	})
	members, primary, term, _ := c.pool.snapshot()
	if primary != c.primary && primary != "" {
		return Member{}, false
	}
	c.term = max(c.term, term)
	for _, s := range statuses {
		c.term = max(c.term, s.Term)
	}
	candidates := c.candidatesWithStatus(members, statuses)
	var chosen string
	var ok bool
	if c.reason.IsPlanned() {
		// The successor catches up while the others are paused.
		chosen, ok = promotion.MostAdvanced(candidates, c.primary)
	} else {
		chosen, ok = promotion.Choose(candidates, c.primary, c.knowledge(ctx, candidates))
	}
	if !ok {
		c.log().WithFields(logrus.Fields{"answers": len(statuses), "acknowledged": c.acknowledged.String()}).Info("no member provably holds every commit yet")
		return Member{}, false
	}
	if log, answered := statuses[c.primary]; c.reason == promotion.CutOff && c.stop == nil && answered && statuses[chosen].Received.Compare(log.Received) >= 0 {
		return Member{}, false // the primary is no longer cut off
	}
	if _, ok := c.tokenFor(chosen); !ok {
		// No replica is paused, and no commit held back, for an order that cannot be sent.
		c.log().WithFields(logrus.Fields{"successor": chosen, "unanswered": c.orders.unanswered}).Info("no newer fencing token than that of an order without an answer")
		return Member{}, false
	}
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
	return successor, c.confirmSuccessor(ctx, successor)
}

// asksPrimary reports whether the primary's log is asked for. A primary that enough
// instances cannot reach would only delay the change.
func (c *primaryChange) asksPrimary() bool { return c.reason != promotion.Unreachable }

// pauseTerm is the term in which replicas are paused: the one in which the successor leads. A
// promotion ends no pause of a later term, so that repeated attempts do not raise it.
func (c *primaryChange) pauseTerm() uint64 { return c.term + 1 }

// confirmSuccessor pauses the other replicas and reports whether the successor then holds
// every acknowledged commit.
func (c *primaryChange) confirmSuccessor(ctx context.Context, successor Member) bool {
	statuses := c.pauseAllBut(ctx, successor)
	members, _, _, _ := c.pool.snapshot()
	return c.awaitCatchUp(ctx, members, successor, statuses)
}

// pauseAllBut pauses the replicas other than the successor, and returns the statuses of the
// members that answered.
func (c *primaryChange) pauseAllBut(ctx context.Context, successor Member) map[string]memberAnswer {
	c.pausedAt = bootTime()
	return c.callMembers(ctx, func(m Member) (statement.Statement, bool) {
		switch m.ID {
		case successor.ID:
			return statement.Statement{}, false
		case c.primary:
			return statement.Statement{Kind: statement.Status}, c.asksPrimary()
		default:
			return statement.Statement{Kind: statement.Pause, Term: c.pauseTerm()}, true
		}
	})
}

// candidatesWithStatus combines the known members with the statuses that they
// returned. The answer of a process does not count for one that has replaced it.
func (c *primaryChange) candidatesWithStatus(members []poolMember, statuses map[string]memberAnswer) []promotion.Member {
	out := c.controller.promotionCandidates(members)
	for i := range out {
		if s, ok := statuses[out[i].ID]; ok && s.from.isSameProcess(members[i].Member) {
			out[i].Answered, out[i].Received, out[i].Role = true, s.Received, s.Role
		}
	}
	return out
}

// awaitCatchUp polls the successor and reports whether it holds every commit that the
// paused replicas, the primary's log and the instances require. members were listed after
// the pause, so that a member that has joined since the successor was chosen counts as not
// paused.
func (c *primaryChange) awaitCatchUp(ctx context.Context, members []poolMember, successor Member, statuses map[string]memberAnswer) bool {
	c.confirmedMembers = members
	for range catchUpPolls {
		candidates, ok := c.candidatesWithSuccessor(ctx, members, successor, statuses)
		if !ok {
			return false
		}
		if promotion.MayPromote(successor.ID, candidates, c.primary, c.knowledge(ctx, candidates)) {
			return c.confirmFenced(ctx, members, successor, statuses)
		}
		sleep(ctx, primaryPollInterval)
	}
	return false
}

// candidatesWithSuccessor asks the successor for its status and combines it with those of the
// other members.
func (c *primaryChange) candidatesWithSuccessor(ctx context.Context, members []poolMember, successor Member, statuses map[string]memberAnswer) ([]promotion.Member, bool) {
	status, err := c.callMember(ctx, successor, statement.Statement{Kind: statement.Status})
	if err != nil {
		return nil, false
	}
	statuses[successor.ID] = memberAnswer{status, successor}
	return c.candidatesWithStatus(members, statuses), true
}

// confirmFenced sets a commit fence and reports whether the successor holds all commits that
// were acknowledged before. Members that this instance does not know may have acknowledged
// some of them. If an instance cannot be fenced, the primary is stopped instead; one that works
// is not replaced otherwise. If the primary of an unplanned change cannot be stopped, the logs
// of the members must show all commits after the instance has lost its commit lease.
func (c *primaryChange) confirmFenced(ctx context.Context, members []poolMember, successor Member, statuses map[string]memberAnswer) bool {
	isFenced := c.fenceCommits(ctx, c.decidingMember(successor, c.candidatesWithStatus(members, statuses)))
	mayOrder := isFenced || c.stopPrimary(ctx, statuses)
	if !mayOrder && !c.reason.IsPlanned() {
		var end time.Duration
		end, mayOrder = c.awaitLeasesEnd(ctx)
		if mayOrder && end >= c.pausedAt {
			statuses = c.pauseAllBut(ctx, successor)
			members, _, _, _ = c.pool.snapshot()
			c.confirmedMembers = members
		}
	}
	for range catchUpPolls {
		candidates, ok := c.candidatesWithSuccessor(ctx, members, successor, statuses)
		if !ok || !mayOrder {
			break
		}
		known := c.addStop(promotion.Knowledge{Acknowledged: c.acknowledged, Fenced: isFenced})
		if promotion.MayPromote(successor.ID, candidates, c.primary, known) {
			c.confirmedAt, c.confirmedLog = time.Now(), statuses[successor.ID].Received
			c.logProof(successor, candidates, known)
			return true
		}
		sleep(ctx, primaryPollInterval)
	}
	// The fence stands while an unplanned change waits for leases to lapse.
	if !c.orders.pending && (mayOrder || c.reason.IsPlanned()) {
		c.endFence(false)
	}
	return false
}

// awaitLeasesEnd waits until the instances that cannot be fenced have no commit lease, and returns
// the end of the last one. What they pass on after that is proven on the replicas, which must tell
// their logs after it. It returns false if the wait takes longer than maxLeaseWait.
func (c *primaryChange) awaitLeasesEnd(ctx context.Context) (end time.Duration, ended bool) {
	if c.primary == "" {
		return 0, true
	}
	end, unconfirmed := c.controller.gw.peers.leasesEnd(c.orders.fence.confirmed, c.orders.fence.since)
	wait := end - bootTime()
	if wait > 0 {
		c.log().WithFields(logrus.Fields{"instances": unconfirmed, "waitMs": wait.Milliseconds()}).Info("waiting until instances that are not fenced have no commit lease")
	}
	if wait > maxLeaseWait {
		return end, false
	}
	sleep(ctx, wait+time.Millisecond)
	return end, ctx.Err() == nil
}

// decidingMember returns the member that decides which commits are acknowledged behind the
// fence: the successor if the primary presumably works and all known replicas but the successor
// are paused, so that it receives the commits. Otherwise nobody does, and writes wait for the
// new primary rather than end with an unknown outcome. An order without an answer can take
// seconds, for which writes should not wait, unless it is for another member: that one may
// lead first, and lack what the successor has.
func (c *primaryChange) decidingMember(successor Member, candidates []promotion.Member) string {
	mayWork := c.reason.IsPlanned() || (c.orders.pending && c.reason != promotion.CutOff)
	otherOrdered := c.orders.unanswered.newestFor(except(successor.ID)) > 0
	if mayWork && !otherOrdered && promotion.MayPromote(successor.ID, candidates, c.primary, promotion.Knowledge{Acknowledged: c.acknowledged}) {
		return successor.ID
	}
	return ""
}

// logProof logs what the promotion of the successor is based on.
func (c *primaryChange) logProof(successor Member, candidates []promotion.Member, known promotion.Knowledge) {
	var logs []string
	for i := range candidates {
		m := &candidates[i]
		state := "silent"
		if m.Answered {
			state = m.Received.String()
		}
		if m.UnlistedFor > 0 {
			state += " unlisted"
		}
		logs = append(logs, m.ID+" "+state)
	}
	slices.Sort(logs)
	fields := logrus.Fields{
		"successor": successor.ID, "acknowledged": known.Acknowledged.String(), "fenced": known.Fenced, "stopped": known.Stopped, "members": logs,
		"fencedInstances": c.orders.fence.instances, "pauseTerm": c.pauseTerm(), "ms": time.Since(c.started).Milliseconds(),
	}
	if list := c.controller.gw.memberList.Load(); list != nil {
		fields["listRevision"] = list.revision
	}
	c.log().WithFields(fields).Info("the successor holds every acknowledged commit")
}

// resumeUnlessOrdered resumes the paused replicas unless a promotion may still be carried
// out. While all replicas but one are paused, losing that one would stop all
// commits.
func (c *primaryChange) resumeUnlessOrdered() {
	if c.orders.pending {
		return
	}
	c.endFence(false)
	timeout := becomePrimaryTimeout
	if len(c.pausedReplicas) == 0 {
		timeout = controlTimeout // a later attempt must not hold up another change
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c.resumeReplicas(ctx)
}

// noteAbandonedStop makes the controller look for the group's primary if the change has left it
// stopped.
func (c *primaryChange) noteAbandonedStop() {
	if c.stop != nil {
		c.log().Warn("the primary is left stopped")
		c.pool.recordNotPrimary(c.primary)
	}
}

// errNotDutyHolder means that another instance has claimed the promotion
// lease.
var errNotDutyHolder = errors.New("another instance holds the promotion duty")

// errUnprovenSuccessor means that the successor may lack acknowledged commits.
var errUnprovenSuccessor = errors.New("the successor may lack acknowledged commits")

// stillConfirmed reports whether the successor still holds every commit after a promotion
// has been ordered. It pauses the replicas that receive again, as after a restart.
func (c *primaryChange) stillConfirmed(ctx context.Context, successor Member) bool {
	statuses := c.callMembers(ctx, func(m Member) (statement.Statement, bool) {
		return statement.Statement{Kind: statement.Status}, m.ID != successor.ID && (m.ID != c.primary || c.asksPrimary())
	})
	members, _, _, _ := c.pool.snapshot()
	for i := range members {
		m := members[i].Member
		s, answered := statuses[m.ID]
		if !answered || m.ID == c.primary || m.ID == successor.ID || s.PausedTerm > 0 {
			continue
		}
		// The promotion may have been carried out meanwhile, and a replica that is paused after
		// that stays paused. It refuses the term that follows the one that it knew before.
		paused, err := c.callMember(ctx, m, statement.Statement{Kind: statement.Pause, Term: s.Term + 1})
		if err != nil {
			c.log().WithField("member", m.ID).WithError(err).Info("cannot pause a replica that receives again")
			delete(statuses, m.ID)
			continue
		}
		statuses[m.ID] = memberAnswer{paused, m}
		c.pausedAgain = append(c.pausedAgain, m)
	}
	return c.awaitCatchUp(ctx, members, successor, statuses)
}

// orderPromotion orders the promotion until the platform responds, because an
// order without a response may be carried out at any time, and then waits until
// the successor is primary.
func (c *primaryChange) orderPromotion(ctx context.Context, successor Member) (bool, error) {
	provenAt := time.Now()
	for ctx.Err() == nil {
		c.renewFence(ctx)
		duty, ok := c.awaitTokenFor(ctx, successor.ID)
		if !ok {
			return false, errNotDutyHolder
		}
		if time.Since(c.confirmedAt) > maxSuccessorProofAge || c.hasNewMembers() {
			if !c.orders.pending || c.orders.member != successor.ID {
				return false, errUnprovenSuccessor // the change begins anew
			}
			if status, err := c.pool.controlCall(ctx, successor, statement.Statement{Kind: statement.Status}); err == nil && status.Role == group.Primary {
				return c.awaitPrimary(ctx, successor)
			}
			if !c.stillConfirmed(ctx, successor) {
				c.log().WithField("successor", successor.ID).Info("the successor may lack commits by now; the order is not repeated")
				if time.Since(provenAt) > maxUnprovenPeriod {
					return false, errUnprovenSuccessor
				}
				sleep(ctx, promoteRetryInterval)
				continue
			}
		}
		provenAt = time.Now()
		err := c.promote(ctx, duty, successor.ID)
		switch {
		case err == nil:
			c.log().WithFields(logrus.Fields{"successor": successor.ID, "token": duty.Token, "proofAgeMs": time.Since(c.confirmedAt).Milliseconds()}).Info("promotion order accepted")
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

// awaitPrimary waits until the successor is primary and informs the other
// instances.
func (c *primaryChange) awaitPrimary(ctx context.Context, successor Member) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, becomePrimaryTimeout)
	defer cancel()
	for ctx.Err() == nil {
		c.renewFence(ctx)
		status, err := c.pool.controlCall(ctx, successor, statement.Statement{Kind: statement.Status})
		if err == nil && status.Role == group.Primary {
			c.pool.mu.Lock()
			c.pool.setPrimary(successor.ID, status.Term)
			if c.confirmedLog.Compare(c.pool.promotedAt) > 0 {
				c.pool.promotedAt = c.confirmedLog
			}
			c.pool.mu.Unlock()
			c.announcePrimary(&pb.Primary{
				Group: c.pool.name, Member: successor.ID, Term: status.Term,
				PromotedTerm: c.confirmedLog.Term, PromotedIndex: c.confirmedLog.Index,
			})
			c.orders.fence = orderedFence{} // the new primary ends the fences of the instances
			if c.stop = nil; successor.ID != c.primary {
				go c.demoteFormer(status.Term)
			}
			c.orders.pending, c.orders.resumeTerm = !c.voidOtherOrders(ctx, successor.ID), status.Term
			c.pausedReplicas = append(c.pausedReplicas, c.pausedAgain...)
			c.log().WithFields(logrus.Fields{"successor": successor.ID, "ms": time.Since(c.started).Milliseconds()}).Info("primary changed")
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
	former, ok := c.pool.entry(c.primary)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoteTimeout)
	defer cancel()
	for ctx.Err() == nil {
		_, err := c.pool.controlCall(ctx, former, statement.Statement{Kind: statement.Demote, Term: term})
		if err == nil || isMemberError(err) {
			c.log().WithField("term", term).Info("former primary demoted")
			return
		}
		sleep(ctx, demoteRetryInterval)
	}
}

// announcePrimary tells the instances which member leads, also those that are leaving: they
// may hold back answers to commits.
func (c *primaryChange) announcePrimary(primary *pb.Primary) {
	for _, client := range c.controller.gw.peers.reporters() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
			defer cancel()
			if _, err := client.PrimaryChanged(ctx, primary); err != nil {
				c.log().WithError(err).Info("cannot inform peer of the new primary")
			}
		}()
	}
}
