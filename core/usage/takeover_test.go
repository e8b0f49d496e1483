package usage_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/usage"
)

// fixing returns a holder whose transaction for the first window is in progress.
func fixing() (*holder, usage.Action) {
	h := caughtUp(earlier(first-1, 25)...)
	a := h.expect(usage.Gather, first)
	h.Gathered(a.ID, h.now(), gatheredCounts(7))
	return h, h.expect(usage.Fix, first)
}

// remembering returns a holder that knows the report of the first window to be fixed, and the
// call that sends it.
func remembering() (*holder, usage.Action) {
	h, a := fixing()
	h.Fixed(a.ID, h.now(), stored(a.Report))
	return h, h.expect(usage.Send, first)
}

// unsentFrom returns the windows from w up to the one before the first window.
func unsentFrom(w usage.Window) []usage.Window {
	var windows []usage.Window
	for ; w < first; w++ {
		windows = append(windows, w)
	}
	return windows
}

var _ = Describe("a new holder", func() {
	It("sends the fixed reports of the last 6 windows as the store holds them, and builds only windows without rows", func() {
		h := newHolder(-4*time.Second, earlier(first-1, 25)...)
		a := h.expect(usage.Send, first-6)
		Expect(a.Report.Counts).To(Equal(usage.Counts{"old": uint64(first - 6)}))
		h.Sent(a.ID)
		Expect(h.resend()).To(Equal([]usage.Window{first - 5, first - 4, first - 3, first - 2, first - 1}))
		h.expectWait(time.Second)
	})
	// Guards against a report that stays unsent because the lease has moved while the
	// platform refused calls for longer than 6 windows.
	It("sends older fixed reports that no earlier holder has seen accepted", func() {
		fixed := earlier(first-1, 25)
		for i := range fixed {
			fixed[i].AcceptedBefore = first - 12
		}
		h := newHolder(-4*time.Second, fixed...)
		Expect(h.resend()).To(Equal(unsentFrom(first - 12)))
	})
	It("does not believe a holder whose clock was ahead that older reports are settled", func() {
		fixed := earlier(first-1, 25)
		fixed[24].AcceptedBefore = first - 12
		ahead := earlier(first+40, 1)[0]
		ahead.AcceptedBefore = first + 40
		h := newHolder(-4*time.Second, append(fixed, ahead)...)
		Expect(h.resend()).To(Equal(append(unsentFrom(first-12), ahead.Window)))
	})
	It("says in the store which reports were not accepted, its own and those of earlier holders", func() {
		fixed := earlier(first-1, 25)
		fixed[24].AcceptedBefore = first - 12
		h := newHolder(time.Second, fixed...)
		a := h.expect(usage.Send, first-12)
		h.SendFailed(a.ID, h.now(), 0)
		a = h.expect(usage.Gather, first)
		h.Gathered(a.ID, h.now(), gatheredCounts(7))
		a = h.expect(usage.Fix, first)
		Expect(a.AcceptedBefore).To(Equal(first - 12))
		h.Fixed(a.ID, h.now(), stored(a.Report))
		h.at += time.Second
		Expect(h.resend()).To(HaveLen(13))
		h.at = (first + 1).End(windowLength) + time.Second
		a = h.expect(usage.Gather, first+1)
		h.Gathered(a.ID, h.now(), gatheredCounts(7))
		Expect(h.expect(usage.Fix, first+1).AcceptedBefore).To(Equal(first + 1))
	})
	It("builds no window whose row may have been deleted", func() {
		h := newHolder(-4*time.Second, earlier(first+20, usage.RetainedWindows)...)
		for range 20 {
			a := h.next()
			Expect(a.Kind).To(BeElementOf(usage.Send, usage.Wait), "%+v", a)
			if a.Kind == usage.Send {
				h.Sent(a.ID)
			}
			h.at += 50 * time.Millisecond
		}
	})
	It("does not send again what this process knows to be accepted", func() {
		h, send := remembering()
		h.Sent(send.ID)
		h.LeaseLost()
		h.TookOver(h.now(), append(earlier(first-1, 25), stored(send.Report)), nil)
		Expect(h.resend()).NotTo(ContainElement(first))
	})
})

var _ = Describe("a holder", func() {
	It("stops at once when it has lost the lease, and ignores answers to earlier calls", func() {
		h, fix := fixing()
		h.LeaseLost()
		h.expectWait(math.MaxInt64)
		h.Fixed(fix.ID, h.now(), stored(fix.Report))
		h.expectWait(math.MaxInt64)
	})
	It("reads the lease after a rejected token before anything else, at most once a second", func() {
		h, send := remembering()
		h.Fenced(send.ID)
		a := h.expect(usage.ReadLease, 0)
		h.expectWait(math.MaxInt64)
		h.LeaseReadFailed(a.ID, h.now())
		Expect(h.expect(usage.Wait, 0).At - h.now().Boot).To(Equal(time.Second))
		h.at += time.Second
		a = h.expect(usage.ReadLease, 0)
		h.LeaseKept(a.ID)
		a = h.expect(usage.Send, first)
		h.Fenced(a.ID)
		Expect(h.expect(usage.Wait, 0).At - h.now().Boot).To(Equal(time.Second))
	})
	It("reads the lease when a transaction is refused because the lease has changed", func() {
		h, fix := fixing()
		h.FixRefused(fix.ID)
		a := h.expect(usage.ReadLease, 0)
		h.LeaseLost()
		h.LeaseKept(a.ID)
		h.expectWait(math.MaxInt64)
	})
	It("gives up windows more than 24 old", func() {
		h, send := remembering()
		h.SendFailed(send.ID, h.now(), 0)
		h.at += 30 * windowLength
		a := h.expect(usage.GiveUp, first+1)
		Expect(a.Reason).To(Equal(usage.TooOld))
		Expect(a.Last).To(Equal(first + 6))
		a = h.expect(usage.GiveUp, first)
		Expect(a.Reason).To(Equal(usage.TooOld))
		h.expect(usage.Gather, first+7)
	})
	It("builds the present windows after its clock was far ahead", func() {
		h := caughtUp(earlier(first-1, 25)...)
		ahead := usage.Time{Boot: h.now().Boot, True: h.at + time.Hour}
		for range 100 {
			a := h.Next(ahead)
			if a.Kind == usage.Wait {
				break
			}
			if a.Kind == usage.Gather {
				h.Gathered(a.ID, ahead, usage.Gathered{Covered: 3})
			}
		}
		for range 100 {
			a := h.next()
			if a.Kind == usage.Gather && a.Window == first {
				return
			}
			if a.Kind == usage.Gather {
				h.Gathered(a.ID, h.now(), usage.Gathered{Covered: 3})
			}
		}
		Fail("the window is not gathered")
	})
})

var _ = Describe("in a restored store", func() {
	It("the holder writes the reports that it remembers again before it sends them", func() {
		h, send := remembering()
		h.EraChanged(1, h.at)
		h.expectWait(math.MaxInt64)
		h.Sent(send.ID)
		h.TookOver(h.now(), nil, nil)
		var written []usage.Window
		for range 100 {
			a := h.next()
			if a.Kind == usage.Wait {
				h.at += 200 * time.Millisecond
			}
			if a.Kind == usage.Fix {
				written = append(written, a.Window)
				h.Fixed(a.ID, h.now(), usage.FixedReport{Report: a.Report, Era: 1, Rows: 1})
			}
			if a.Kind == usage.Send {
				Expect(written).To(ContainElement(a.Window))
				Expect(a.Window).To(Equal(first))
				Expect(a.Report).To(Equal(send.Report))
				return
			}
		}
		Fail("the report is not sent")
	})
	It("a window that ended before the era was known is given up by a process that has not fixed it", func() {
		h, fix := fixing()
		h.EraChanged(1, h.at)
		h.TookOver(h.now(), nil, nil)
		h.Fixed(fix.ID, h.now(), usage.FixedReport{Report: fix.Report, Rows: 1})
		for range 100 {
			a := h.next()
			switch a.Kind {
			case usage.Fix:
				Expect(a.Window).NotTo(Equal(first))
				h.Fixed(a.ID, h.now(), usage.FixedReport{Report: a.Report, Era: 1, Rows: 1})
			case usage.GiveUp:
				if a.Window == first {
					Expect(a.Reason).To(Equal(usage.FormerEra))
					return
				}
			default:
				Expect(a.Kind).To(Equal(usage.Wait))
			}
		}
		Fail("the window is not given up")
	})
	DescribeTable("a new process meets a row of the first window that names an era",
		func(era uint64, knownSince time.Duration, want usage.Kind) {
			h := &holder{usage.NewLedger(windowLength, lateness), first.End(windowLength) + time.Second}
			h.EraChanged(2, first.End(windowLength)+knownSince)
			fixed := earlier(first-1, usage.RetainedWindows-1)
			for i := range fixed {
				fixed[i].Era = 2
			}
			h.TookOver(h.now(), append(fixed, usage.FixedReport{Report: usage.Report{Window: first, Counts: usage.Counts{"a": 1}}, Era: era, Rows: 1}), nil)
			for range 100 {
				a := h.next()
				if a.Kind == usage.Send {
					h.Sent(a.ID)
				} else if a.Kind == usage.Wait {
					h.at += 200 * time.Millisecond
				}
				if a.Window == first {
					Expect(a.Kind).To(Equal(want))
					return
				}
			}
			Fail("nothing is done")
		},
		Entry("the present one: it is the report", uint64(2), 500*time.Millisecond, usage.Send),
		Entry("a former one, and the window ended before the era was known: another report may have been sent", uint64(1), 500*time.Millisecond, usage.GiveUp),
		Entry("a former one, and the window ended later: nothing was fixed before", uint64(1), -time.Second, usage.Send),
	)
	It("a report that differs from the remembered one is not sent", func() {
		h, send := remembering()
		h.EraChanged(1, h.at)
		h.TookOver(h.now(), []usage.FixedReport{{Report: usage.Report{Window: first, Counts: usage.Counts{"a": 1}}, Rows: 1}}, nil)
		a := h.expect(usage.GiveUp, first)
		Expect(a.Reason).To(Equal(usage.Contradiction))
		h.Sent(send.ID)
		for range 100 {
			if a = h.next(); a.Kind == usage.Send {
				Expect(a.Window).NotTo(Equal(first))
				h.Sent(a.ID)
			}
		}
	})
})
