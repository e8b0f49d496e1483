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
	h.TookOver(h.now(), fixed)
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
	for {
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
})
