package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
)

const (
	// minReplicaPollInterval and maxReplicaPollInterval bound the delay between two questions to
	// the replicas for their logs while commits wait for a proof. It doubles as long as the logs
	// do not grow, since each question occupies an execution slot.
	minReplicaPollInterval, maxReplicaPollInterval = 20 * time.Millisecond, 320 * time.Millisecond
	// maxProofStall is how long no commit is sent once commits wait for a proof without any
	// progress. Then one is tried again.
	maxProofStall = 2 * time.Second
)

// hasCommitLease reports whether acknowledgements may be passed on without a proof.
func (p *pool) hasCommitLease() bool {
	return p.instances == nil || p.instances.commitLease.holds()
}

// lacksProof reports whether the answer to a commit is held back until listed replicas have it:
// this instance may not have been told that the member is being replaced. The caller holds p.mu.
func (p *pool) lacksProof(member string, at group.Position, now time.Time) bool {
	// A commit at a member that does not lead, or of a former term, may have been discarded.
	if p.primary != member || at.IsZero() || at.Term < p.term || p.hasCommitLease() {
		return false
	}
	if at.Term == p.provenLog.Term && at.Index <= p.provenLog.Index {
		return false
	}
	if p.unprovenSince.IsZero() {
		p.unprovenSince = now
	}
	p.pollReplicas()
	return true
}

// isProofStalled reports whether no commit is sent because the replicas prove none. The caller
// holds p.mu.
func (p *pool) isProofStalled(now time.Time) bool {
	waited := now.Sub(p.unprovenSince)
	if p.unprovenSince.IsZero() || waited < commitStallTimeout {
		return false
	}
	if waited >= maxProofStall || p.hasCommitLease() {
		p.unprovenSince = time.Time{}
		return false
	}
	p.pollReplicas()
	return true
}

// pollReplicas asks the listed replicas for their logs in the background, unless that is in
// progress. The caller holds p.mu.
func (p *pool) pollReplicas() {
	if p.pollingReplicas {
		return
	}
	p.pollingReplicas = true
	primary := p.primary
	replicas, answers := p.proofReplicas(time.Now())
	go func() {
		var calls sync.WaitGroup
		for i, m := range replicas {
			calls.Go(func() {
				if status, err := p.askStatus(m, time.Now().Add(leadershipTimeout)); err == nil {
					a := &answers[i]
					a.Answered, a.Role, a.Term, a.Received = true, status.Role, status.Term, status.Received
				}
			})
		}
		calls.Wait()
		time.Sleep(p.noteProvenLog(primary, promotion.ProvenLog(answers, primary)))
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pollingReplicas = false
		p.notifyFenceChanged() // commits that still wait ask again
	}()
}

// proofReplicas returns the listed replicas to ask for their logs, and what is known of them
// before they answer. One settled replica is enough: the one that was last asked if it had new
// commits, and else the next one. The caller holds p.mu.
func (p *pool) proofReplicas(now time.Time) (replicas []*poolMember, answers []promotion.Member) {
	var settled []*poolMember
	for id, m := range p.members {
		if id == p.primary || !m.unlistedSince.IsZero() {
			continue
		}
		if replicas = append(replicas, m); m.memberFor(now) >= promotion.SettledAfter && !m.down {
			settled = append(settled, m)
		}
	}
	if len(settled) > 0 {
		slices.SortFunc(settled, func(a, b *poolMember) int { return cmp.Compare(a.ID, b.ID) })
		replicas = settled[p.proofTurn%len(settled):][:1]
	}
	for _, m := range replicas {
		answers = append(answers, promotion.Member{ID: m.ID, MemberFor: m.memberFor(now)})
	}
	return replicas, answers
}

// noteProvenLog records what listed replicas of the primary are known to have, and returns the
// delay before they are asked again.
func (p *pool) noteProvenLog(primary string, proven group.Position) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replicaPollInterval = min(max(2*p.replicaPollInterval, minReplicaPollInterval), maxReplicaPollInterval)
	if p.primary == primary && proven.Compare(p.provenLog) > 0 {
		p.provenLog, p.unprovenSince, p.replicaPollInterval = proven, time.Time{}, minReplicaPollInterval
		p.notifyMembersChanged() // queued writes, and commits that wait
		p.dispatch()
	} else {
		p.proofTurn++
	}
	return p.replicaPollInterval
}
