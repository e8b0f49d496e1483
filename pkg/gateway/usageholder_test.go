package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/revision"
	"github.com/mulberrysill/mulberrysill/core/usage"
)

const (
	testUsageWindow = time.Second
	testTimeout     = 10 * time.Second
	testPoll        = 10 * time.Millisecond
)

var errNoAnswer = errors.New("no answer")

// usageCall is a usage report that a holder has sent.
type usageCall struct {
	duty   Duty
	report usage.Report
	at     time.Time
}

// usagePlatform is a store with the promotion lease and the fixed reports, and the
// receiver of usage reports. Its hooks run without its mutex.
type usagePlatform struct {
	Store
	mu     sync.Mutex
	duty   Duty                                // guarded by mu
	rows   map[usage.Window]usage.FixedReport  // guarded by mu
	calls  []usageCall                         // guarded by mu
	reads  int                                 // guarded by mu
	claims int                                 // guarded by mu
	lists  int                                 // guarded by mu
	broken error                               // guarded by mu: returned with the fixed reports
	before func(holder string) error           // guarded by mu: before a transaction; an error prevents it
	after  func(holder string) error           // guarded by mu: after a transaction
	answer func(holder string, call int) error // guarded by mu: the answer to a call
}

func newUsagePlatform() *usagePlatform {
	return &usagePlatform{rows: map[usage.Window]usage.FixedReport{}}
}

func (p *usagePlatform) ReadDuty(context.Context) (Duty, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	return p.duty, nil
}

func (p *usagePlatform) ClaimDuty(_ context.Context, from Duty, holder string, started int64) (Duty, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if from.Token != p.duty.Token {
		return Duty{}, ErrConflict
	}
	p.claims++
	p.duty = Duty{Holder: holder, Started: started, Token: p.duty.Token + 1, ClaimedIn: from.Token.Era()}
	return p.duty, nil
}

func (p *usagePlatform) FixUsage(_ context.Context, duty Duty, report usage.Report, acceptedBefore usage.Window, _ []string) (usage.FixedReport, error) {
	p.mu.Lock()
	before, after := p.before, p.after
	p.mu.Unlock()
	if before != nil {
		if err := before(duty.Holder); err != nil {
			return usage.FixedReport{}, err
		}
	}
	fixed, err := p.fix(duty, report, acceptedBefore)
	if after != nil && err == nil {
		err = after(duty.Holder)
	}
	return fixed, err
}

func (p *usagePlatform) fix(duty Duty, report usage.Report, acceptedBefore usage.Window) (usage.FixedReport, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if duty.Token != p.duty.Token {
		return usage.FixedReport{}, ErrConflict
	}
	if _, ok := p.rows[report.Window]; !ok {
		p.rows[report.Window] = usage.FixedReport{Report: report, Era: duty.Token.Era(), Rows: 1, AcceptedBefore: acceptedBefore}
	}
	return p.rows[report.Window], nil
}

func (p *usagePlatform) FixedUsage(context.Context) ([]usage.FixedReport, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists++
	var out []usage.FixedReport
	for _, r := range p.rows {
		out = append(out, r)
	}
	return out, p.broken
}

func (p *usagePlatform) ReportUsage(_ context.Context, duty Duty, report usage.Report) error {
	p.mu.Lock()
	p.calls = append(p.calls, usageCall{duty, report, time.Now()})
	answer, n := p.answer, len(p.calls)
	p.mu.Unlock()
	if answer != nil {
		return answer(duty.Holder, n)
	}
	return nil
}

func (p *usagePlatform) setHooks(before, after func(string) error, answer func(string, int) error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.before, p.after, p.answer = before, after, answer
}

// callsOf returns the calls of a holder, or of all if it is empty.
func (p *usagePlatform) callsOf(holder string) []usageCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []usageCall
	for _, c := range p.calls {
		if holder == "" || c.duty.Holder == holder {
			out = append(out, c)
		}
	}
	return out
}

// contradictions returns the number of calls whose counts differ from those of another call
// for their window.
func (p *usagePlatform) contradictions() int {
	first, n := map[usage.Window]usage.Report{}, 0
	for _, c := range p.callsOf("") {
		if r, ok := first[c.report.Window]; !ok {
			first[c.report.Window] = c.report
		} else if !r.Equal(c.report) {
			n++
		}
	}
	return n
}

// claim makes the instance the holder of the lease, as if the former one had been silent
// for long enough.
func (p *usagePlatform) claim(g *Gateway) {
	duty, _ := p.ReadDuty(context.Background())
	duty, err := p.ClaimDuty(context.Background(), duty, g.cfg.ID, g.started)
	if err != nil {
		panic(err) // another claim ran at the same time, which is a fault of the test
	}
	g.peers.updateDuty(duty)
}

// startUsageHolder starts the loop of a holder whose gatherer receives n requests in each
// window. stop ends it as a crash does.
func startUsageHolder(t *testing.T, p *usagePlatform, id string, n uint64) (g *Gateway, stop context.CancelFunc) {
	log := logrus.New()
	log.SetOutput(testWriter{t})
	g = New(Config{
		ID: id, FirstStart: true, Store: p, UsageStore: p, UsageReporter: p, Log: logrus.NewEntry(log),
		UsageReports: UsageReports{Window: testUsageWindow, Lateness: 5 * time.Second, Tolerance: 0.05},
	})
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Add(2)
	go func() {
		defer running.Done()
		for ctx.Err() == nil {
			window := usage.WindowAt(g.usageCounter.now().True, testUsageWindow)
			g.usageGatherer.merge(g.usageSource(), map[usage.Window]usage.Counts{window: {"coop": n}}, window-1)
			sleep(ctx, 20*time.Millisecond)
		}
	}()
	go func() {
		defer running.Done()
		newUsageHolder(g).run(ctx)
	}()
	t.Cleanup(func() { stop(); running.Wait() })
	return g, stop
}

// testWriter writes log lines to the test's log.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(line []byte) (int, error) { w.t.Log(string(line)); return len(line), nil }

// The next holder must build the report of a window that its predecessor has not fixed, and
// the predecessor's transaction must have no effect when it is carried out late.
func TestUsageHolderDiesBeforeFixing(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newUsagePlatform()
	a, stop := startUsageHolder(t, p, "a", 7)
	died := make(chan struct{})
	p.setHooks(func(holder string) error {
		if holder == "a" {
			stop()
			close(died)
			return errNoAnswer
		}
		return nil
	}, nil, nil)
	b, _ := startUsageHolder(t, p, "b", 9)
	first := usage.WindowAt(b.usageCounter.now().True, testUsageWindow)
	p.claim(a)
	former := p.duty
	g.Eventually(died, testTimeout).Should(BeClosed())
	p.claim(b)
	g.Eventually(func() int { return len(p.callsOf("b")) }, testTimeout, testPoll).Should(BeNumerically(">=", 2))
	g.Expect(p.callsOf("a")).To(BeEmpty())
	g.Expect(p.callsOf("b")[0].report.Window).To(BeNumerically("<=", first+1), "the window that a wanted to fix")
	late := p.callsOf("b")[0].report.Window + 100
	_, err := p.fix(former, usage.Report{Window: late, Counts: usage.Counts{"coop": 7}}, 0)
	g.Expect(err).To(MatchError(ErrConflict))
	g.Expect(p.contradictions()).To(BeZero())
}

// The next holder must send the report that its predecessor has fixed, although it would
// have built another one.
func TestUsageHolderDiesAfterFixing(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newUsagePlatform()
	a, stop := startUsageHolder(t, p, "a", 7)
	b, _ := startUsageHolder(t, p, "b", 9)
	fixedBy := make(chan struct{})
	p.setHooks(nil, func(holder string) error {
		if holder == "a" {
			stop()
			close(fixedBy)
			return errNoAnswer
		}
		return nil
	}, nil)
	p.claim(a)
	g.Eventually(fixedBy, testTimeout).Should(BeClosed())
	p.claim(b)
	g.Eventually(func() int { return len(p.callsOf("b")) }, testTimeout, testPoll).Should(BeNumerically(">=", 3))
	calls := p.callsOf("b")
	g.Expect(p.callsOf("a")).To(BeEmpty())
	g.Expect(calls[0].report.Counts).To(Equal(usage.Counts{"coop": 7}), "fixed by the former holder")
	g.Expect(calls[2].report.Counts).To(Equal(usage.Counts{"coop": 9}))
}

// The next holder cannot know whether a report has arrived. It must repeat it exactly.
func TestUsageHolderDiesAfterSending(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newUsagePlatform()
	a, stop := startUsageHolder(t, p, "a", 7)
	b, _ := startUsageHolder(t, p, "b", 9)
	p.setHooks(nil, nil, func(holder string, _ int) error {
		if holder == "a" {
			stop()
			return errNoAnswer
		}
		return nil
	})
	p.claim(a)
	g.Eventually(func() int { return len(p.callsOf("a")) }, testTimeout, testPoll).Should(Equal(1))
	p.claim(b)
	sent := p.callsOf("a")[0].report
	g.Eventually(func() int { return len(p.callsOf("b")) }, testTimeout, testPoll).Should(BeNumerically(">=", 2))
	g.Expect(p.callsOf("b")[0].report).To(Equal(sent))
	g.Expect(p.contradictions()).To(BeZero())
}

// A holder that wakes up after its lease was taken must not send. It froze between the
// response of its transaction and the call.
func TestUsageHolderThatWakesDoesNotSend(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newUsagePlatform()
	a, _ := startUsageHolder(t, p, "a", 7)
	b, _ := startUsageHolder(t, p, "b", 9)
	frozen, wake := make(chan struct{}), make(chan struct{})
	p.setHooks(nil, func(holder string) error {
		if holder == "a" {
			close(frozen)
			<-wake
		}
		return nil
	}, nil)
	p.claim(a)
	g.Eventually(frozen, testTimeout).Should(BeClosed())
	p.claim(b)
	g.Eventually(func() int { return len(p.callsOf("b")) }, testTimeout, testPoll).Should(BeNumerically(">=", 2))
	close(wake)
	g.Consistently(func() []usageCall { return p.callsOf("a") }, 2*time.Second, testPoll).Should(BeEmpty())
	_, self, _ := a.peers.dutyHolder()
	g.Expect(self).To(BeFalse(), "it has read the lease")
}

// A former holder that has just confirmed its lease may still send: the next one must wait
// so that its higher token does not arrive first.
func TestUsageHolderWaitsAfterItsClaim(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newUsagePlatform()
	a, _ := startUsageHolder(t, p, "a", 7)
	p.rows[usage.WindowAt(a.usageCounter.now().True, testUsageWindow)-1] = usage.FixedReport{
		Report: usage.Report{Window: usage.WindowAt(a.usageCounter.now().True, testUsageWindow) - 1, Counts: usage.Counts{"coop": 1}}, Rows: 1,
	}
	claimed := time.Now()
	p.claim(a)
	g.Eventually(func() int { return len(p.callsOf("a")) }, testTimeout, testPoll).Should(BeNumerically(">=", 1))
	g.Expect(p.callsOf("a")[0].at.Sub(claimed)).To(BeNumerically(">=", 900*time.Millisecond))
}

// Windows that end while the store is away must follow in order when it is back, and
// nothing may be sent before its report is fixed.
func TestUsageReportsFollowWhenTheStoreIsBack(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newUsagePlatform()
	a, _ := startUsageHolder(t, p, "a", 7)
	p.setHooks(func(string) error { return errNoAnswer }, nil, nil)
	p.claim(a)
	g.Consistently(func() []usageCall { return p.callsOf("a") }, 4*time.Second, testPoll).Should(BeEmpty())
	p.setHooks(nil, nil, nil)
	g.Eventually(func() int { return len(p.callsOf("a")) }, testTimeout, testPoll).Should(BeNumerically(">=", 4))
	calls := p.callsOf("a")
	for i := 1; i < len(calls); i++ {
		g.Expect(calls[i].report.Window).To(Equal(calls[i-1].report.Window + 1))
		g.Expect(calls[i].at.Sub(calls[i-1].at)).To(BeNumerically(">=", 150*time.Millisecond), "at most 5 calls per second")
	}
}

// After 429 nothing may be sent before the time that the platform names.
func TestUsageHolderWaitsAsLongAsThePlatformSays(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newUsagePlatform()
	a, _ := startUsageHolder(t, p, "a", 7)
	const wait = 2500 * time.Millisecond
	p.setHooks(nil, nil, func(_ string, call int) error {
		if call == 1 {
			return &UsageRefusedError{Status: http.StatusTooManyRequests, RetryAfter: wait}
		}
		return nil
	})
	p.claim(a)
	g.Eventually(func() int { return len(p.callsOf("a")) }, testTimeout, testPoll).Should(BeNumerically(">=", 2))
	calls := p.callsOf("a")
	g.Expect(calls[1].at.Sub(calls[0].at)).To(BeNumerically(">=", wait))
	g.Expect(calls[1].report).To(Equal(calls[0].report))
}

// A holder whose token was refused must read the lease before it acts again, and claim it
// anew only if it is still the holder.
func TestUsageHolderReadsTheLeaseAfterAConflict(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newUsagePlatform()
	a, _ := startUsageHolder(t, p, "a", 7)
	p.setHooks(nil, nil, func(_ string, call int) error {
		switch call {
		case 1:
			return ErrFenced
		case 2:
			p.mu.Lock()
			defer p.mu.Unlock()
			p.duty = Duty{Holder: "b", Started: 1, Token: p.duty.Token + 1}
			return ErrFenced
		}
		return nil
	})
	p.claim(a)
	g.Eventually(func() int { return len(p.callsOf("a")) }, testTimeout, testPoll).Should(Equal(2))
	calls := p.callsOf("a")
	g.Expect(calls[1].duty.Token).To(BeNumerically(">", calls[0].duty.Token), "claimed again")
	g.Expect(calls[1].report).To(Equal(calls[0].report))
	g.Consistently(func() int { return len(p.callsOf("a")) }, 2500*time.Millisecond, testPoll).Should(Equal(2))
	g.Expect(p.claims).To(Equal(2), "the claim of the test and one more")
}

// A report that was fixed in a former era by another process may have been lost from the
// copy and written again by a late transaction. It must not be sent.
func TestUsageOfAFormerEraIsNotSent(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newUsagePlatform()
	p.duty.Token = revision.New(1, 3)
	p.duty.ClaimedIn = 1
	a, _ := startUsageHolder(t, p, "a", 7)
	a.observeEra(1)
	window := usage.WindowAt(a.usageCounter.now().True, testUsageWindow) - 1
	p.mu.Lock()
	p.rows[window] = usage.FixedReport{Report: usage.Report{Window: window, Counts: usage.Counts{"coop": 3}}, Rows: 1}
	p.mu.Unlock()
	ageEra(a, 0)
	p.claim(a)
	g.Eventually(func() int { return len(p.callsOf("a")) }, testTimeout, testPoll).Should(BeNumerically(">=", 2))
	for _, c := range p.callsOf("a") {
		g.Expect(c.report.Window).To(BeNumerically(">", window))
	}
}

// A holder that starts while its wall clock is wrong must not give up or build windows
// before others have corrected it.
func TestUsageHolderComparesItsClockFirst(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := newUsagePlatform()
	a, _ := startUsageHolder(t, p, "a", 7)
	others := make([]*peer, 0, minComparedClocks)
	a.peers.mu.Lock()
	for _, id := range []string{"x", "y"} {
		other := a.peers.upsert(Instance{ID: id, PeerAddress: "127.0.0.1:1", Started: 1})
		other.lastHeard = time.Now().Add(time.Minute)
		others = append(others, other)
	}
	a.peers.mu.Unlock()
	g.Expect(others).To(HaveLen(minComparedClocks))
	p.claim(a)
	listings := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.lists
	}
	g.Consistently(listings, 3*time.Second, testPoll).Should(BeZero())
	for _, other := range others {
		a.usageCounter.observeClock(other.ID, 0, time.Millisecond)
	}
	g.Eventually(listings, testTimeout, testPoll).Should(Equal(1))
}
