package promotion_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
)

func positionAt(index uint64) group.Position { return group.Position{Term: 3, Index: index} }

func answered(id string, index uint64) promotion.Member {
	return promotion.Member{ID: id, Answered: true, Received: positionAt(index), MemberFor: promotion.SettledAfter}
}

func unanswered(id string, missing time.Duration) promotion.Member {
	return promotion.Member{ID: id, UnlistedFor: missing}
}

// fenced, complete and incomplete return what the instances know if the highest commit that they
// have seen acknowledged has the index.
func fenced(index uint64) promotion.Knowledge {
	return promotion.Knowledge{Acknowledged: positionAt(index), Fenced: true}
}

func complete(index uint64) promotion.Knowledge {
	return promotion.Knowledge{Acknowledged: positionAt(index), Complete: true}
}

func incomplete(index uint64) promotion.Knowledge {
	return promotion.Knowledge{Acknowledged: positionAt(index)}
}

func modified(m promotion.Member, change func(*promotion.Member)) promotion.Member {
	change(&m)
	return m
}

var _ = Describe("Choose", func() {
	leaving := func(m *promotion.Member) { m.Leaving = true }
	zoneOut := func(m *promotion.Member) { m.OutOfService = true }
	joined := func(m *promotion.Member) { m.MemberFor = promotion.SettledAfter - 1 }
	DescribeTable("among the replicas of primary p",
		func(known promotion.Knowledge, want string, members ...promotion.Member) {
			id, ok := promotion.Choose(append([]promotion.Member{unanswered("p", 0)}, members...), "p", known)
			Expect(ok).To(Equal(want != ""))
			Expect(id).To(Equal(want))
		},
		Entry("chooses the replica with the highest position, because either may have acknowledged a commit", incomplete(10), "b", answered("a", 12), answered("b", 14)),
		Entry("chooses none while a listed replica has not responded, because it may have the only copy of a commit",
			complete(10), "", answered("a", 12), unanswered("b", 0)),
		Entry("chooses none while a replica without a response has been unlisted only briefly, because its entry may reappear",
			complete(10), "", answered("a", 12), unanswered("b", time.Second)),
		Entry("goes on without a replica that has been unlisted long enough if the instances have seen no commit that only it has",
			complete(10), "a", answered("a", 12), unanswered("b", promotion.UnlistedTimeout)),
		Entry("waits for a replica that has been unlisted long enough while an instance may have seen a commit that only it has",
			incomplete(10), "", answered("a", 12), unanswered("b", promotion.UnlistedTimeout)),
		Entry("chooses no replica that lacks an acknowledged commit", complete(13), "", answered("a", 12), unanswered("b", promotion.UnlistedTimeout)),
		Entry("chooses none while all replicas have answered but lack an acknowledged commit, as after one lost its log", incomplete(13), "", answered("a", 12), answered("b", 12)),
		Entry("waits for the instances if only one replica is left, because another may have left with commits", incomplete(10), "", answered("a", 12)),
		Entry("chooses the only replica that is left if no instance has seen a commit beyond it", complete(12), "a", answered("a", 12)),
		Entry("waits for the instances while one of two replicas has just joined, because it may replace one that left with commits",
			incomplete(10), "", answered("a", 12), modified(answered("b", 12), joined)),
		Entry("chooses a replica that has just joined and alone has every commit", complete(12), "b", answered("a", 10), modified(answered("b", 12), joined)),
		Entry("needs no instances if two replicas besides the one that has just joined answer", incomplete(10), "a",
			answered("a", 12), answered("b", 11), modified(answered("c", 11), joined)),
		Entry("prefers a replica that is not leaving, at equal positions", incomplete(10), "b", modified(answered("a", 14), leaving), answered("b", 14)),
		Entry("prefers a replica in a zone in service, at equal positions", incomplete(10), "b", modified(answered("a", 14), zoneOut), answered("b", 14)),
		Entry("chooses a leaving replica that alone has every commit", incomplete(10), "a", modified(answered("a", 15), leaving), answered("b", 14)),
	)
	It("does not take the log of a former primary that restarted as a replica for that of the primary", func() {
		restarted := answered("p", 3)
		restarted.Role = group.Replica
		members := []promotion.Member{restarted, answered("a", 12)}
		_, ok := promotion.Choose(members, "p", incomplete(10))
		Expect(ok).To(BeFalse())
		id, _ := promotion.Choose(members, "p", complete(12))
		Expect(id).To(Equal("a"))
	})
	DescribeTable("while the primary responds",
		func(known promotion.Knowledge, want string, members ...promotion.Member) {
			id, ok := promotion.Choose(append([]promotion.Member{answered("p", 20)}, members...), "p", known)
			Expect(ok).To(Equal(want != ""))
			Expect(id).To(Equal(want))
		},
		Entry("does not replace it by a replica that is behind while another one is silent, whatever the instances know",
			complete(10), "", answered("a", 12), unanswered("b", promotion.UnlistedTimeout)),
		Entry("replaces it by a replica that has its whole log", incomplete(10), "a", answered("a", 20), unanswered("b", promotion.UnlistedTimeout)),
		Entry("does not replace it by the only replica that is left while that is behind", complete(10), "", answered("a", 12)),
		Entry("replaces it by a replica that is behind once the instances are fenced", fenced(12), "a", answered("a", 12), unanswered("b", promotion.UnlistedTimeout)),
		Entry("does not replace it by a replica that lacks an acknowledged commit, also if the instances are fenced",
			fenced(13), "", answered("a", 12), unanswered("b", promotion.UnlistedTimeout)),
		Entry("replaces it by the more advanced of two replicas, because its other commits are not acknowledged", incomplete(10), "b", answered("a", 12), answered("b", 14)),
	)
})

var _ = Describe("planned change", func() {
	primary := promotion.Member{ID: "p"}
	DescribeTable("is due",
		func(want promotion.Reason, members ...promotion.Member) {
			Expect(promotion.PlannedReason(members, "p")).To(Equal(want))
		},
		Entry("for a leaving primary", promotion.Leaving, modified(primary, func(m *promotion.Member) { m.Leaving = true }), promotion.Member{ID: "a"}),
		Entry("for a primary in a zone that is out of service", promotion.ZoneOut, modified(primary, func(m *promotion.Member) { m.OutOfService = true }), promotion.Member{ID: "a"}),
		Entry("not while no other member can take over", promotion.None,
			modified(primary, func(m *promotion.Member) { m.Leaving = true }), promotion.Member{ID: "a", Leaving: true}, unanswered("b", time.Second)),
		Entry("not for a primary in service", promotion.None, primary, promotion.Member{ID: "a"}),
	)
})

var _ = DescribeTable("unreachable primary",
	func(v promotion.Votes, want bool) { Expect(v.IsUnreachable()).To(Equal(want)) },
	Entry("is replaced when no instance reaches it", promotion.Votes{Unreachable: 7}, true),
	Entry("is replaced when a third of the instances cannot reach it", promotion.Votes{Reachable: 4, Unreachable: 2}, true),
	Entry("is kept when only one instance cannot reach it, because its clients can use the other instances", promotion.Votes{Reachable: 6, Unreachable: 1}, false),
	Entry("is kept when all instances reach it", promotion.Votes{Reachable: 7}, false),
)

// Runs a model of a group with one primary and two replicas, and of three instances,
// through random sequences of crashes, silence, refusals and restarts, and of replicas that
// join and leave. No commit that a client has seen acknowledged may be missing from the log of
// a member that Choose returns after the others have been paused and commits fenced.
var _ = Describe("promotion rule", func() {
	// lost returns the violations of the first 20,000 seeds.
	lost := func(rule modelRule, draws modelDraws) (violations []string) {
		for seed := range uint64(modelSeeds) {
			m := newModel(seed, rule, draws)
			m.run()
			for _, v := range m.violations {
				violations = append(violations, fmt.Sprintf("seed %d: %s", seed, v))
			}
		}
		return violations
	}
	DescribeTable("loses no acknowledged commit in any order of events",
		func(rule modelRule, draws modelDraws) { Expect(lost(rule, draws)).To(BeEmpty()) },
		Entry("while instances are silent or restart", modelRule{}, silentInstances),
		Entry("while instances are silent or restart, also if commits are not fenced", modelRule{withoutFence: true}, silentInstances),
		Entry("while replicas that the promoter does not know join and leave", modelRule{}, unseenReplicas),
		Entry("while replicas join and leave and instances are cut off", modelRule{}, replacedReplicas),
		// Guards against commits that only a replica acknowledges which responds to no instance
		Entry("while a replica receives that responds to nobody", modelRule{}, darkReplicas),
		Entry("while a primary that nobody reached comes back behind an instance that is not fenced", modelRule{}, returningPrimary),
	)
	DescribeTable("promotes in a good part of the sequences, also while a replica is silent",
		func(draws modelDraws) {
			promoted, withoutReplica := 0, 0
			for seed := range uint64(2000) {
				m := newModel(seed, modelRule{}, draws)
				m.run()
				if m.pendingPromotion == nil {
					continue
				}
				promoted++
				if m.replicas[0].down || m.replicas[1].down {
					withoutReplica++
				}
			}
			Expect(promoted).To(BeNumerically(">", 1000))
			Expect(withoutReplica).To(BeNumerically(">", 50))
		},
		Entry("while instances are silent or restart", silentInstances),
		Entry("while replicas that the promoter does not know join and leave", unseenReplicas),
	)
	DescribeTable("loses acknowledged commits in the model", func(rule modelRule, draws modelDraws) {
		Expect(lost(rule, draws)).NotTo(BeEmpty())
	},
		Entry("if replicas that do not respond are ignored", modelRule{ignoreSilentReplicas: true}, silentInstances),
		Entry("if instances that do not respond are ignored", modelRule{takeSilenceForNone: true}, silentInstances),
		Entry("if what an instance knew before its restart is ignored", modelRule{forgetRestarts: true}, silentInstances),
		Entry("if the other replicas are not paused", modelRule{skipPausing: true}, silentInstances),
		Entry("if a replica that refuses its pause counts as paused", modelRule{acceptRefusedPauses: true, withoutStop: true}, silentInstances),
		Entry("if neither commits are fenced nor the other replicas paused", modelRule{withoutFence: true, skipPausing: true}, silentInstances),
		Entry("if a replica that refuses its pause counts as paused and commits are not fenced", modelRule{withoutFence: true, acceptRefusedPauses: true}, silentInstances),
		Entry("if commits are not fenced", modelRule{withoutFence: true}, unseenReplicas),
		Entry("if the primary is not stopped while an instance is not fenced", modelRule{withoutStop: true}, unreachableInstances),
		Entry("if the primary is not stopped while a replica receives that responds to nobody", modelRule{withoutStop: true, withoutLease: true}, darkReplicas),
		Entry("if an instance that is not fenced goes on without a proof", modelRule{withoutLease: true}, returningPrimary),
		Entry("if it does and the primary is not stopped", modelRule{withoutStop: true, withoutLease: true}, returningPrimary),
		Entry("if instances that start are not told of the fence", modelRule{startWithoutFences: true}, unreachableInstances),
		Entry("if replicas that have just joined or restarted count like the others", modelRule{countNewReplicas: true}, replacedReplicas),
	)
})
