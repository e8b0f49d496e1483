package usage_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/usage"
)

const (
	windowLength = 5 * time.Second
	lateness     = 10 * time.Second
	// bootOffset is the difference between the true time and the boot clock in tests.
	bootOffset = 1000 * time.Hour
)

func trueTime(at time.Duration) usage.Time { return usage.Time{Boot: at - bootOffset, True: at} }

func gatheredCounts(n uint64) usage.Gathered {
	return usage.Gathered{Counts: usage.Counts{"a": n, "idle": 0}, Covered: 3}
}

// holder drives a ledger at a given time.
type holder struct {
	*usage.Ledger
	at time.Duration
}

// first is a window, and afterEnd is the time after its end at which the test begins.
const first = usage.Window(800000)

func newHolder(afterEnd time.Duration, fixed ...usage.FixedReport) *holder {
	h := &holder{usage.NewLedger(windowLength, lateness), first.End(windowLength) + afterEnd}
	h.TookOver(h.now(), fixed, nil)
	return h
}

func (h *holder) now() usage.Time { return trueTime(h.at) }

func (h *holder) next() usage.Action { return h.Next(h.now()) }

// expect returns the next action, which must be of the given kind and for the window.
func (h *holder) expect(kind usage.Kind, w usage.Window) usage.Action {
	GinkgoHelper()
	a := h.next()
	Expect(a.Kind).To(Equal(kind), "%+v", a)
	if kind != usage.Wait && kind != usage.ReadLease {
		Expect(a.Window).To(Equal(w))
	}
	return a
}

// expectWait fails unless nothing is due until the time after the end of the first window.
func (h *holder) expectWait(afterEnd time.Duration) {
	GinkgoHelper()
	a := h.expect(usage.Wait, 0)
	if afterEnd == math.MaxInt64 {
		Expect(a.At).To(Equal(time.Duration(math.MaxInt64)))
		return
	}
	Expect(a.At + bootOffset - first.End(windowLength)).To(Equal(afterEnd))
}

func stored(r usage.Report) usage.FixedReport { return usage.FixedReport{Report: r, Rows: 1} }

// earlier returns fixed reports of the n windows up to last.
func earlier(last usage.Window, n int) []usage.FixedReport {
	var fixed []usage.FixedReport
	for w := last - usage.Window(n) + 1; w <= last; w++ {
		fixed = append(fixed, stored(usage.Report{Window: w, Counts: usage.Counts{"old": uint64(w)}}))
	}
	return fixed
}

// resend lets a new holder send the reports of the past windows.
func (h *holder) resend() []usage.Window {
	var sent []usage.Window
	for range 100 {
		a := h.next()
		switch a.Kind {
		case usage.Send:
			sent = append(sent, a.Window)
			h.Sent(a.ID)
		case usage.Wait:
			if a.At-h.now().Boot >= time.Second {
				return sent
			}
			h.at += a.At - h.now().Boot
		default:
			return sent
		}
	}
	return sent
}

// caughtUp returns a holder that has sent the fixed reports again, a second after the end of
// the first window.
func caughtUp(fixed ...usage.FixedReport) *holder {
	h := newHolder(-4*time.Second, fixed...)
	h.resend()
	h.at = first.End(windowLength) + time.Second
	return h
}

var _ = Describe("the holder", func() {
	It("gathers a window a second after its end, fixes it, and sends what the store holds", func() {
		h := newHolder(-4*time.Second, earlier(first-1, 25)...)
		h.resend()
		h.expectWait(time.Second)
		h.at = first.End(windowLength) + time.Second
		a := h.expect(usage.Gather, first)
		h.expectWait(math.MaxInt64)
		h.Gathered(a.ID, h.now(), gatheredCounts(7))
		a = h.expect(usage.Fix, first)
		Expect(a.Report).To(Equal(usage.Report{Window: first, Counts: usage.Counts{"a": 7}}))
		h.expectWait(math.MaxInt64)
		// Another holder's transaction was first.
		h.Fixed(a.ID, h.now(), stored(usage.Report{Window: first, Counts: usage.Counts{"a": 6}}))
		a = h.expect(usage.Send, first)
		Expect(a.Report.Counts).To(Equal(usage.Counts{"a": 6}))
		h.Sent(a.ID)
		h.expectWait(6 * time.Second)
	})

	It("asks again while live instances are missing, and takes the best answer after 3.5 s", func() {
		h := caughtUp(earlier(first-1, 25)...)
		for _, n := range []uint64{7, 9, 8} {
			a := h.expect(usage.Gather, first)
			h.Gathered(a.ID, h.now(), usage.Gathered{Counts: usage.Counts{"a": n}, Covered: 2, Missing: 1})
			h.expectWait(h.at - first.End(windowLength) + 700*time.Millisecond)
			h.at += 700 * time.Millisecond
		}
		a := h.expect(usage.Gather, first)
		h.Gathered(a.ID, h.now(), usage.Gathered{Counts: usage.Counts{"a": 1}, Covered: 1, Missing: 2})
		a = h.expect(usage.Fix, first)
		Expect(a.Report.Counts).To(Equal(usage.Counts{"a": 9}))
		Expect(a.Gathered.Missing).To(Equal(1))
	})
	It("sends nothing for a window of which nothing is known", func() {
		h := caughtUp(earlier(first-1, 25)...)
		a := h.expect(usage.Gather, first)
		h.Gathered(a.ID, h.now(), usage.Gathered{Counts: usage.Counts{"a": 0}, Covered: 3})
		Expect(h.expect(usage.GiveUp, first).Reason).To(Equal(usage.NothingKnown))
		h.expectWait(6 * time.Second)
	})
	// Guards against a row that cannot be decoded and blocks all later windows, whose
	// transactions wait for those of its window.
	It("gives up a window whose rows cannot be decoded, and goes on with the next", func() {
		h := caughtUp(earlier(first-1, 25)...)
		h.at = (first + 1).End(windowLength) + time.Second
		h.TookOver(h.now(), earlier(first-1, 25), map[usage.Window]int{first: 2})
		a := h.Next(h.now())
		for a.Kind == usage.Send {
			h.Sent(a.ID)
			h.at += time.Second
			a = h.Next(h.now())
		}
		Expect(a).To(Equal(usage.Action{Kind: usage.GiveUp, Window: first, Last: first, Reason: usage.Undecodable}))
		a = h.Next(h.now())
		for a.Kind == usage.Send {
			h.Sent(a.ID)
			h.at += time.Second
			a = h.Next(h.now())
		}
		Expect(a.Kind).To(Equal(usage.Gather))
		Expect(a.Window).To(Equal(first + 1))
	})
	// Guards against a new holder that spends seconds on each of the old empty windows because
	// its predecessor has just died.
	It("asks once for an empty window that is late if only silent sources are missing", func() {
		h := caughtUp(earlier(first-1, 25)...)
		h.at = first.End(windowLength) + time.Second
		a := h.expect(usage.Gather, first)
		h.Gathered(a.ID, h.now(), usage.Gathered{Missing: 1, Silent: 1})
		Expect(h.Next(h.now()).Kind).To(Equal(usage.Wait), "the window is not late")
		h.at = first.End(windowLength) + lateness
		Expect(h.expect(usage.GiveUp, first).Reason).To(Equal(usage.NothingKnown))
	})
	It("goes on asking when no gatherer responds, until the report is late", func() {
		h := caughtUp(earlier(first-1, 25)...)
		for h.at < first.End(windowLength)+lateness {
			a := h.expect(usage.Gather, first)
			h.Gathered(a.ID, h.now(), usage.Gathered{Missing: 3})
			h.at += 700 * time.Millisecond
		}
		Expect(h.expect(usage.GiveUp, first).Reason).To(Equal(usage.NothingKnown))
	})
	It("gives up a report that the store cannot take", func() {
		h := caughtUp(earlier(first-1, 25)...)
		a := h.expect(usage.Gather, first)
		h.Gathered(a.ID, h.now(), usage.Gathered{Counts: workspaces(60000)})
		Expect(h.expect(usage.GiveUp, first).Reason).To(Equal(usage.TooLarge))
	})
	It("writes the same report again when the store does not respond, and sends nothing meanwhile", func() {
		h := caughtUp(earlier(first-1, 25)...)
		a := h.expect(usage.Gather, first)
		h.Gathered(a.ID, h.now(), gatheredCounts(7))
		fix := h.expect(usage.Fix, first)
		h.FixFailed(fix.ID, h.now())
		wait := h.expect(usage.Wait, 0)
		Expect(wait.At - h.now().Boot).To(Equal(500 * time.Millisecond))
		h.at += 500 * time.Millisecond
		again := h.expect(usage.Fix, first)
		Expect(again.Report).To(Equal(fix.Report))
		h.Fixed(fix.ID, h.now(), stored(fix.Report))
		h.expectWait(math.MaxInt64) // the answer to the first call no longer counts
	})
	It("gathers and fixes later windows while the platform does not respond, and sends them in order", func() {
		h := caughtUp(earlier(first-1, 25)...)
		for w := first; w < first+3; w++ {
			h.at = w.End(windowLength) + time.Second
			if w > first {
				a := h.expect(usage.Send, first)
				h.SendFailed(a.ID, h.now(), 0)
			}
			a := h.expect(usage.Gather, w)
			h.Gathered(a.ID, h.now(), gatheredCounts(uint64(w)))
			a = h.expect(usage.Fix, w)
			h.Fixed(a.ID, h.now(), stored(a.Report))
			if w == first {
				a = h.expect(usage.Send, first)
				h.SendFailed(a.ID, h.now(), 0)
			}
		}
		h.at += time.Second
		Expect(h.resend()).To(Equal([]usage.Window{first, first + 1, first + 2}))
	})
	DescribeTable("after a refused call waits",
		func(retryAfter, want time.Duration) {
			h := newHolder(0, earlier(first-1, 1)...)
			h.at = first.End(windowLength) - time.Second
			a := h.expect(usage.Send, first-1)
			h.SendFailed(a.ID, h.now(), retryAfter)
			sent := h.now().Boot
			for range 100 {
				a = h.next()
				if a.Kind == usage.Gather {
					h.Gathered(a.ID, h.now(), usage.Gathered{Covered: 3})
				} else if a.Kind == usage.Wait {
					break
				}
			}
			Expect(a.At - sent).To(Equal(want))
			h.at += want
			h.expect(usage.Send, first-1)
		},
		Entry("1 s if the platform names no time", time.Duration(0), time.Second),
		Entry("as long as the platform says", 1700*time.Millisecond, 1700*time.Millisecond),
		Entry("not longer than the interval between calls requires", time.Millisecond, 200*time.Millisecond),
	)
	It("makes at most 5 calls per second", func() {
		h := newHolder(-time.Second, earlier(first-1, 25)...)
		began := h.at
		Expect(h.resend()).To(HaveLen(6))
		Expect(h.at - began).To(Equal(5 * 200 * time.Millisecond))
	})
	It("deletes the rows of windows more than 24 before the fixed one, but not the newest 24 of the table", func() {
		h := caughtUp(append(earlier(first-40, 2), earlier(first-1, 25)...)...)
		a := h.expect(usage.Gather, first)
		h.Gathered(a.ID, h.now(), gatheredCounts(7))
		a = h.expect(usage.Fix, first)
		Expect(a.Drop).To(Equal([]string{usage.RowKey(first-41, 0), usage.RowKey(first-40, 0), usage.RowKey(first-25, 0)}))
		sparse := newHolder(time.Second, append(earlier(first-40, 2), earlier(first-1, 22)...)...)
		for range 100 {
			a = sparse.next()
			switch {
			case a.Kind == usage.Gather && a.Window == first:
				sparse.Gathered(a.ID, sparse.now(), gatheredCounts(7))
			case a.Kind == usage.Gather:
				sparse.Gathered(a.ID, sparse.now(), usage.Gathered{Covered: 3})
			case a.Kind == usage.Wait:
				sparse.at += 200 * time.Millisecond
			}
			if a.Kind == usage.Fix {
				break
			}
		}
		Expect(a.Kind).To(Equal(usage.Fix))
		Expect(a.Drop).To(BeEmpty(), "a holder whose clock is ahead deletes nothing that is needed")
	})
})
