package promotion_test

import (
	"slices"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
)

// modelRule says which parts of the promotion rule the model leaves out.
type modelRule struct {
	// ignoreSilentReplicas passes over silent replicas that are no longer listed, without
	// any proof that the others have their commits.
	ignoreSilentReplicas bool
	// takeSilenceForNone treats instances that do not respond as if they knew of no commit.
	takeSilenceForNone bool
	// forgetRestarts treats an instance that has restarted as if it knew all commits of
	// the process before it.
	forgetRestarts bool
	// skipPausing pauses no replica.
	skipPausing bool
	// acceptRefusedPauses treats a replica that refuses to be paused as paused.
	acceptRefusedPauses bool
	// withoutFence orders promotions without stopping the commits of the old primary.
	withoutFence bool
	// withoutStop orders promotions without stopping a primary whose instances are not all
	// fenced.
	withoutStop bool
	// withoutLease lets instances pass on acknowledgements without a proof however long they
	// have been silent, and the promoter does not wait for that.
	withoutLease bool
	// startWithoutFences lets instances that restart pass on acknowledgements although the
	// others are fenced.
	startWithoutFences bool
	// countNewReplicas counts the logs of replicas that have just joined or restarted like
	// those of the others.
	countNewReplicas bool
}

// modelChange is what the promoter knows between the pauses and the order.
type modelChange struct {
	successor string
	// begun is the step of the pauses.
	begun int
	// statuses are the answers to the pauses, by ID.
	statuses map[string]modelStatus
}

// modelStatus is the answer of a process of a replica.
type modelStatus struct {
	received uint64
	began    int
}

// changePrimary performs the next part of the promoter's change: it chooses a successor by
// the status of all replicas and pauses the other ones; later it fences the commits of the old
// primary and checks the choice again.
func (m *model) changePrimary() {
	if m.change == nil {
		m.pauseReplicas()
		if m.draws.churn {
			return // commits, joins and restarts may come before the next part
		}
	}
	if m.change != nil {
		m.order()
	}
}

func (m *model) pauseReplicas() {
	chosen, ok := m.choose(m.status(), m.knowledge(m.rule.withoutFence))
	if !ok {
		return
	}
	m.change = &modelChange{successor: chosen, begun: m.step, statuses: map[string]modelStatus{}}
	for _, r := range m.replicas {
		switch {
		case r.unseen || !r.responds():
		case r.id == chosen || m.rule.skipPausing:
			m.change.statuses[r.id] = modelStatus{r.received, r.knownBegan}
		case m.rng.IntN(4) == 0: // refused
			if m.rule.acceptRefusedPauses {
				m.change.statuses[r.id] = modelStatus{r.received, r.knownBegan}
			}
		default:
			r.paused = true
			m.change.statuses[r.id] = modelStatus{r.received, r.knownBegan}
		}
	}
}

// order orders the promotion if the successor has every commit now.
func (m *model) order() {
	change := m.change
	m.change = nil
	if !m.rule.withoutFence {
		for _, i := range m.instances {
			i.fenced = !i.silent
		}
	}
	for _, r := range m.replicas {
		if r.id == change.successor {
			if delete(change.statuses, r.id); r.responds() {
				change.statuses[r.id] = modelStatus{r.received, r.knownBegan}
				m.pendingPromotion = r
			}
		}
	}
	known := m.knowledge(m.rule.withoutFence)
	if !known.Fenced && !m.rule.withoutStop && m.stopPrimary() {
		known.Stopped, known.FinalLog = true, modelPosition(m.primaryIndex)
		if r := m.pendingPromotion; r != nil && !r.notReceiving {
			r.received = m.primaryIndex
			change.statuses[r.id] = modelStatus{r.received, r.knownBegan}
		}
	}
	mayOrder := known.Fenced || known.Stopped || m.haveLeasesLapsed(change.begun)
	if chosen, ok := m.choose(change.statuses, known); ok && mayOrder && chosen == change.successor {
		return
	}
	m.pendingPromotion, m.primaryStopped = nil, false // it is promoted again
	for _, r := range m.replicas {
		r.paused = false
	}
	for _, i := range m.instances {
		i.fenced = false
	}
}

// haveLeasesLapsed reports whether no instance that cannot be fenced had a lease at a step.
func (m *model) haveLeasesLapsed(at int) bool {
	return m.rule.withoutLease || m.rule.withoutFence || !slices.ContainsFunc(m.instances, func(i *modelInstance) bool {
		return i.silent && at-i.heardAt < leaseSteps
	})
}

// stopPrimary makes the primary a replica, through any instance that answers the promoter and
// reaches it, and reports whether that succeeded.
func (m *model) stopPrimary() bool {
	for _, i := range m.instances {
		if m.primaryUp && i.reachesPrimary && !i.silent {
			m.primaryStopped = true
		}
	}
	return m.primaryStopped
}

func (r *modelReplica) responds() bool { return !r.down && !r.dark && !r.left }

// status returns the answers of all replicas that the promoter knows.
func (m *model) status() map[string]modelStatus {
	out := map[string]modelStatus{}
	for _, r := range m.replicas {
		if !r.unseen && r.responds() {
			out[r.id] = modelStatus{r.received, r.knownBegan}
		}
	}
	return out
}

// choose applies the rule to what the promoter learns of the members and the instances.
func (m *model) choose(statuses map[string]modelStatus, known promotion.Knowledge) (string, bool) {
	primary := promotion.Member{ID: "p"}
	if m.primaryUp && m.instances[0].reachesPrimary {
		primary.Answered, primary.Received = true, modelPosition(m.primaryIndex)
	}
	members := []promotion.Member{primary}
	for _, r := range m.replicas {
		if r.unseen || (r.left && m.step-r.leftAt > rememberedAfterLeaving) {
			continue
		}
		member := promotion.Member{ID: r.id, MemberFor: m.settledFor(r)}
		s, answered := statuses[r.id]
		switch {
		case answered && s.began == r.knownBegan:
			member.Answered, member.Received = true, modelPosition(s.received)
		case r.down && r.unlisted, r.dark, r.left && m.step-r.leftAt > listedAfterLeaving:
			member.UnlistedFor = promotion.UnlistedTimeout
		}
		members = append(members, member)
	}
	if m.rule.ignoreSilentReplicas {
		return promotion.MostAdvanced(members, "p")
	}
	return promotion.Choose(members, "p", known)
}

// knowledge returns what the instances know. It is complete only if none of them reaches the
// primary, unless they are fenced or about to be.
func (m *model) knowledge(withoutFence bool) promotion.Knowledge {
	known := promotion.Knowledge{Complete: !m.restarted || m.rule.forgetRestarts}
	for _, i := range m.instances {
		if i.silent {
			known.Complete = known.Complete && m.rule.takeSilenceForNone
			continue
		}
		if p := modelPosition(i.acknowledged); p.Compare(known.Acknowledged) > 0 {
			known.Acknowledged = p
		}
		if withoutFence && m.primaryUp && i.reachesPrimary {
			known.Complete = false
		}
	}
	known.Fenced = known.Complete && !withoutFence
	return known
}

func modelPosition(index uint64) group.Position { return group.Position{Term: 1, Index: index} }
