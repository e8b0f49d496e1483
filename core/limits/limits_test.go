package limits_test

import (
	"testing"
	"time"

	"github.com/mulberrysill/mulberrysill/core/bundle"
	"github.com/mulberrysill/mulberrysill/core/lease"
	"github.com/mulberrysill/mulberrysill/core/limits"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLimits(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limits")
}

var (
	start = time.Unix(1_700_000_000, 0)
	large = bundle.Limit{Name: "large", Rate: 1000, Burst: 500}
)

// newHalfShareBucket returns a full bucket with half of the limit's units, the time
// at which it is full, and a lease deadline one hour later.
func newHalfShareBucket(l bundle.Limit) (b *limits.Bucket, now, deadline time.Time) {
	b = limits.NewBucket(l, lease.TotalUnits/2, start)
	now = start.Add(10 * time.Second)
	b.Step(now, limits.SetPeers{Self: "a", Peers: []string{"b"}})
	return b, now, now.Add(time.Hour)
}

// requestLoan sends the request to the bucket as from peer b and returns its grant.
func requestLoan(b *limits.Bucket, now time.Time, request limits.LoanRequested) limits.GrantLoan {
	request.From = "b"
	actions := b.Step(now, request)
	Expect(actions).To(HaveLen(1))
	return actions[0].(limits.GrantLoan)
}

// admitAll takes tokens until the bucket admits no more and returns their number.
func admitAll(b *limits.Bucket, now, deadline time.Time) (n int) {
	for b.Take(now, deadline).Outcome == limits.Admitted {
		n++
	}
	return n
}

var _ = Describe("A bucket", func() {
	It("admits nothing at and after the deadline of the lease", func() {
		// An instance that resumes after a pause must not admit requests with units
		// that other instances have taken over.
		b, now, _ := newHalfShareBucket(large)
		Expect(b.Take(now, now).Outcome).To(Equal(limits.Waiting))
		Expect(b.Settle(now, now.Add(-time.Second))).To(BeEmpty())
		Expect(b.Settle(now, now.Add(time.Second))).To(HaveLen(1))
	})

	It("starts empty and admits its share of rate and burst only", func() {
		// Units that move to another instance must not bring their tokens along: the
		// previous holder may have spent them.
		b := limits.NewBucket(large, lease.TotalUnits/2, start)
		Expect(b.Take(start, start.Add(time.Hour)).Outcome).To(Equal(limits.Waiting))
		b, now, deadline := newHalfShareBucket(large)
		Expect(admitAll(b, now, deadline)).To(Equal(250))
	})

	It("refuses with a RetryAfter hint after MaxWait and when the queue is full", func() {
		// Requests must not wait forever, and each refusal carries a retry hint.
		b, now, deadline := newHalfShareBucket(bundle.Limit{Name: "slow", Rate: 1, Burst: 1})
		first := b.Take(now, deadline)
		Expect(first.Outcome).To(Equal(limits.Waiting))
		Expect(b.Settle(now.Add(limits.MaxWait-1), deadline)).To(BeEmpty())
		b.Take(now, deadline)
		full := b.Take(now, deadline)
		Expect(full.Outcome).To(Equal(limits.Refused))
		Expect(full.RetryAfter).To(BeNumerically(">", time.Second))
		done := b.Settle(now.Add(limits.MaxWait), deadline)
		Expect(done).To(HaveLen(2))
		Expect(done[0].Ticket).To(Equal(first.Ticket))
		Expect(done[0].Admitted).To(BeFalse())
		Expect(done[0].RetryAfter).To(BeNumerically(">", 0))
	})

	It("applies a changed rate and burst without adding tokens", func() {
		// The rollout of a bundle must not refill every bucket.
		b, now, deadline := newHalfShareBucket(large)
		b.Step(now, limits.SetLimit{Limit: bundle.Limit{Name: "large", Rate: 10, Burst: 40}})
		Expect(admitAll(b, now, deadline)).To(Equal(20))
		b.Step(now, limits.SetLimit{Limit: large})
		Expect(b.Settle(now, deadline)).To(BeEmpty())
		Expect(b.State(now).Rate).To(Equal(500.0))
	})
})

var _ = Describe("A lender", func() {
	It("deducts rate, capacity and tokens until the loan expires", func() {
		b, now, deadline := newHalfShareBucket(large)
		g := requestLoan(b, now, limits.LoanRequested{LoanID: 1, Rate: 300, Burst: 100, Tokens: 100, Deadline: deadline})
		Expect(g.Duration).To(Equal(limits.MaxLoanDuration))
		Expect([]float64{g.Rate, g.Burst, g.Tokens}).To(Equal([]float64{300, 100, 100}))
		state := b.State(now)
		Expect([]float64{state.Rate, state.Burst, state.Tokens}).To(Equal([]float64{200, 150, 150}))
		Expect(b.State(now.Add(g.Duration - 1)).Rate).To(Equal(200.0))
		Expect(b.State(now.Add(g.Duration)).Rate).To(Equal(500.0))
	})

	It("grants no loan that outlasts its lease", func() {
		// Otherwise a borrower and the next holder of the units would use them at once.
		b, now, _ := newHalfShareBucket(large)
		g := requestLoan(b, now, limits.LoanRequested{LoanID: 1, Rate: 10, Deadline: now.Add(400 * time.Millisecond)})
		Expect(g.Duration).To(Equal(400 * time.Millisecond))
		Expect(requestLoan(b, now, limits.LoanRequested{LoanID: 2, Rate: 10, Deadline: now}).Duration).To(BeZero())
	})

	It("deducts a repeated request only once", func() {
		// Each retransmission of a request must not reduce the lender's share again.
		b, now, deadline := newHalfShareBucket(large)
		for range 3 {
			requestLoan(b, now, limits.LoanRequested{LoanID: 1, Rate: 300, Burst: 100, Deadline: deadline})
		}
		Expect(b.State(now).Rate).To(Equal(200.0))
	})

	It("does not renew loans of units that it has given up", func() {
		// A renewal after the lender has released its units let a borrower use units
		// that the next holder also used (rapid seed 4152749046468432695 of the
		// fleet property test).
		b, now, deadline := newHalfShareBucket(large)
		requestLoan(b, now, limits.LoanRequested{LoanID: 1, Rate: 500, Burst: 250, Deadline: deadline})
		b.Step(now, limits.SetUnits{Units: 0})
		g := requestLoan(b, now.Add(500*time.Millisecond), limits.LoanRequested{LoanID: 1, Rate: 500, Burst: 250, Deadline: deadline})
		Expect(g.Duration).To(BeZero())
	})
})

var _ = Describe("A borrower", func() {
	// useUpTokens takes all tokens and returns the bucket's request for a loan.
	useUpTokens := func(b *limits.Bucket, now, deadline time.Time) limits.RequestLoan {
		admitAll(b, now, deadline)
		actions := b.Step(now, limits.Tick{Deadline: deadline})
		Expect(actions).To(HaveLen(1))
		return actions[0].(limits.RequestLoan)
	}

	It("applies a response once and uses the loan only until it expires on its own clock", func() {
		// A duplicate response must not count twice, and a borrower with a slow clock
		// must not use the loan after the lender has taken it back.
		b, now, deadline := newHalfShareBucket(large)
		request := useUpTokens(b, now, deadline)
		response := limits.LoanResponse{From: "b", LoanID: request.LoanID, Rate: 100, Burst: 50, Tokens: 10, Duration: limits.MaxLoanDuration}
		borrowerDuration := limits.MaxLoanDuration - limits.MaxLoanDuration/10
		waitingBefore := b.State(now).Waiting
		b.Step(now, response)
		b.Step(now, response)
		Expect(b.State(now).Rate).To(Equal(600.0))
		Expect(b.Settle(now, deadline)).To(HaveLen(min(waitingBefore, 10)))
		Expect(b.State(now.Add(borrowerDuration - 1)).Rate).To(Equal(600.0))
		Expect(b.State(now.Add(borrowerDuration)).Rate).To(Equal(500.0))
	})

	// newBorrower returns a bucket with a demand of 800 requests/s and a loan of 400
	// requests/s from peer b.
	newBorrower := func() (b *limits.Bucket, id uint64, now, deadline time.Time) {
		b, now, deadline = newHalfShareBucket(large)
		var request limits.RequestLoan
		for range 100 {
			now = now.Add(limits.TickInterval)
			for range 16 {
				b.Take(now, deadline)
			}
			b.Settle(now, deadline)
			for _, a := range b.Step(now, limits.Tick{Deadline: deadline}) {
				request = a.(limits.RequestLoan)
			}
		}
		b.Step(now, limits.LoanResponse{From: "b", LoanID: request.LoanID, Rate: 400, Burst: 200, Duration: time.Second})
		Expect(b.State(now).Rate).To(Equal(900.0))
		return b, request.LoanID, now, deadline
	}
	// tickUntilMessage ticks until the bucket sends a message about the loan, and
	// takes requestsPerTick tokens before each tick.
	tickUntilMessage := func(b *limits.Bucket, id uint64, now, deadline time.Time, requestsPerTick int) limits.RequestLoan {
		for range 100 {
			now = now.Add(limits.TickInterval)
			for range requestsPerTick {
				b.Take(now, deadline)
			}
			b.Settle(now, deadline)
			for _, a := range b.Step(now, limits.Tick{Deadline: deadline}) {
				if a.(limits.RequestLoan).LoanID == id {
					return a.(limits.RequestLoan)
				}
			}
		}
		Fail("the bucket sent no message about the loan")
		return limits.RequestLoan{}
	}

	It("stops using a loan before it returns the loan", func() {
		// Lender and borrower must not use the same rate at once.
		b, id, now, deadline := newBorrower()
		returned := tickUntilMessage(b, id, now, deadline, 0)
		Expect([]float64{returned.Rate, returned.Burst, returned.Tokens}).To(Equal([]float64{0, 0, 0}))
		Expect(b.State(now).Rate).To(Equal(500.0))
	})

	It("stops using the part of a loan that it does not renew", func() {
		b, id, now, deadline := newBorrower()
		renewal := tickUntilMessage(b, id, now, deadline, 14)
		Expect(renewal.Rate).To(And(BeNumerically(">", 0), BeNumerically("<", 400)))
		Expect(b.State(now).Rate).To(BeNumerically("~", 500+renewal.Rate, 1e-6))
	})

	It("drops a response that arrives after the request has failed", func() {
		b, now, deadline := newHalfShareBucket(large)
		request := useUpTokens(b, now, deadline)
		b.Step(now, limits.LoanRequestFailed{From: "b", LoanID: request.LoanID})
		b.Step(now, limits.LoanResponse{From: "b", LoanID: request.LoanID, Rate: 100, Burst: 50, Duration: time.Second})
		Expect(b.State(now).Rate).To(Equal(500.0))
	})
})

var _ = Describe("The coordinator of a centralized limit", func() {
	small := bundle.Limit{Name: "small", Rate: 2, Burst: 2}

	It("does not lend on capacity that it has borrowed for a shorter time", func() {
		// Otherwise tokens above the burst would exist after its own loan has expired.
		b, now, deadline := newHalfShareBucket(small)
		b.Step(now, limits.LoanRequested{From: "b", LoanID: 9, Tokens: 1, Burst: 1, Deadline: now})
		request := b.Step(now, limits.Tick{Deadline: deadline})[0].(limits.RequestLoan)
		b.Step(now, limits.LoanResponse{From: "b", LoanID: request.LoanID, Rate: 1, Burst: 1, Tokens: 1, Duration: 200 * time.Millisecond})
		Expect(b.State(now).Tokens).To(Equal(2.0))
		g := requestLoan(b, now.Add(170*time.Millisecond), limits.LoanRequested{LoanID: 10, Tokens: 2, Burst: 2, Deadline: deadline})
		Expect([]float64{g.Tokens, g.Burst}).To(Equal([]float64{1, 1}))
	})
})
