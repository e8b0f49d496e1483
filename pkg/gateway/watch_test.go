package gateway

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/revision"
)

// scriptedTable answers calls with scripted errors and records the requested
// waits.
type scriptedTable struct {
	script []error
	waits  []time.Duration
	lists  int
	done   context.CancelFunc
}

func (t *scriptedTable) next() error {
	if len(t.script) == 0 {
		t.done()
		return context.Canceled
	}
	err := t.script[0]
	t.script = t.script[1:]
	return err
}

func (t *scriptedTable) List(context.Context) (Batch[int], error) {
	t.lists++
	return Batch[int]{Revision: 5}, t.next()
}

func (t *scriptedTable) Await(_ context.Context, after revision.Revision, wait time.Duration) (Batch[int], error) {
	t.waits = append(t.waits, wait)
	return Batch[int]{Revision: after}, t.next()
}

// A long poll for members sent while the store did not respond hung for 8 s
// after the store recovered. The operators' watcher polls more often and must
// signal the recovery.
func TestWatcherReportsStoreRecovery(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	recoveries := 0
	w := watcher[int]{
		name: "test", table: &scriptedTable{script: []error{nil, errors.New("silent"), nil, nil}, done: cancel}, log: silentLog(),
		pollWait: func() time.Duration { return time.Minute }, onRecovered: func() { recoveries++ },
	}
	w.apply = func(Batch[int], bool, time.Duration) {}
	w.run(ctx)
	g.Expect(recoveries).To(Equal(1))
}

func silentLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func watch(script ...error) (*scriptedTable, int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	table := &scriptedTable{script: script, done: cancel}
	applied := 0
	w := watcher[int]{name: "test", table: table, pollWait: func() time.Duration { return time.Minute }, log: silentLog()}
	w.apply = func(Batch[int], bool, time.Duration) { applied++ }
	w.run(ctx)
	return table, applied
}

// A watcher that retried with its full wait after a failure hung for 2.2 s
// when the store recovered just after the retry was sent.
func TestWatcherPollsBrieflyAfterFailure(t *testing.T) {
	g := NewWithT(t)
	table, applied := watch(nil, nil, errors.New("silent"), errors.New("silent"), nil, nil)
	g.Expect(table.waits[:5]).To(Equal([]time.Duration{time.Minute, time.Minute, recoveryPollWait, recoveryPollWait, time.Minute}))
	g.Expect(applied).To(Equal(4))
}

// Changes that the store no longer keeps must not be missed.
func TestWatcherListsAgainWhenHistoryIsLost(t *testing.T) {
	g := NewWithT(t)
	table, _ := watch(nil, nil, ErrHistoryLost, nil, nil)
	g.Expect(table.lists).To(Equal(2))
}

// An instance whose group has no usable member lists the table again, also during a long
// poll.
func TestWatcherListsAgainOnRequest(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	table := &hangingTable{waiting: make(chan struct{}), asked: make(chan time.Duration, 1)}
	interrupt := make(chan struct{})
	var relist atomic.Bool
	applied := make(chan bool, 10)
	w := watcher[int]{name: "test", table: table, log: silentLog(), pollWait: func() time.Duration { return time.Minute }, interrupt: interrupt, relist: &relist}
	w.apply = func(_ Batch[int], complete bool, _ time.Duration) { applied <- complete }
	go w.run(ctx)
	g.Eventually(applied).Should(Receive(BeTrue()))
	<-table.waiting
	relist.Store(true)
	interrupt <- struct{}{}
	g.Eventually(applied).Should(Receive(BeTrue()), "the table is listed again")
}

// Starting members change their entries at every heartbeat. With 60 instances,
// each change cost 60 responses of the store, half of all calls on an
// undisturbed day.
func TestWatcherBatchesChanges(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	table := &changingTable{changes: 3, done: cancel}
	delays := 0
	w := watcher[int]{name: "test", table: table, log: silentLog(), pollWait: func() time.Duration { return time.Minute }}
	w.batchDelay = func() time.Duration { delays++; return 0 }
	w.apply = func(Batch[int], bool, time.Duration) {}
	w.run(ctx)
	g.Expect(delays).To(Equal(3), "a response without changes needs no delay")
}

// changingTable answers with a number of changes, and then with none until it
// ends.
type changingTable struct {
	changes, empty int
	done           context.CancelFunc
}

func (t *changingTable) List(context.Context) (Batch[int], error) { return Batch[int]{}, nil }

func (t *changingTable) Await(_ context.Context, after revision.Revision, _ time.Duration) (Batch[int], error) {
	if t.changes > 0 {
		t.changes--
		return Batch[int]{Revision: after + 1, Changes: make([]Change[int], 1)}, nil
	}
	if t.empty++; t.empty == 3 {
		t.done()
	}
	return Batch[int]{Revision: after}, nil
}

// hangingTable blocks long polls until they are cancelled and answers short
// ones immediately.
type hangingTable struct {
	waiting chan struct{}
	asked   chan time.Duration
}

func (t *hangingTable) List(context.Context) (Batch[int], error) { return Batch[int]{Revision: 7}, nil }

func (t *hangingTable) Await(ctx context.Context, after revision.Revision, wait time.Duration) (Batch[int], error) {
	t.asked <- wait
	if wait == recoveryPollWait {
		return Batch[int]{Revision: after}, nil
	}
	t.waiting <- struct{}{}
	<-ctx.Done()
	return Batch[int]{}, ctx.Err()
}

// When the collector of a large fleet was cut off from the store, 80
// instances refused all statements for 6 s because each was in a long poll of
// 25 s.
func TestWatcherPollsAtOnceWhenInterrupted(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	table := &hangingTable{waiting: make(chan struct{}), asked: make(chan time.Duration, 1)}
	interrupt := make(chan struct{})
	applied := make(chan bool, 10)
	w := watcher[int]{name: "test", table: table, log: silentLog(), pollWait: func() time.Duration { return time.Minute }, interrupt: interrupt}
	w.apply = func(_ Batch[int], complete bool, _ time.Duration) { applied <- complete }
	go w.run(ctx)
	g.Eventually(applied).Should(Receive(BeTrue()))
	g.Eventually(table.asked).Should(Receive(Equal(time.Minute)))
	<-table.waiting
	interrupt <- struct{}{}
	g.Eventually(table.asked).Should(Receive(Equal(recoveryPollWait)))
	g.Eventually(applied).Should(Receive(BeFalse()), "the response confirms the configuration")
	g.Eventually(table.asked).Should(Receive(Equal(time.Minute)), "an interrupted poll is not a failure")
}

// With a longer wait, the confirmations of all instances of a large fleet were too old
// every few seconds while it was idle, and each instance asked the store itself.
func TestConfirmationsOfCollectorsArriveInTime(t *testing.T) {
	NewWithT(t).Expect(2*collectorPollWait + exchangeInterval + peerTickInterval).To(BeNumerically("<", maxConfirmationAge))
}

// registryStore counts the registrations of an instance and lists none.
type registryStore struct {
	Store
	registered atomic.Int64
}

func (s *registryStore) PutInstance(context.Context, Instance) error {
	s.registered.Add(1)
	return nil
}

func (s *registryStore) Instances() Table[Instance] { return emptyTable{} }

type emptyTable struct{}

func (emptyTable) List(context.Context) (Batch[Instance], error) { return Batch[Instance]{}, nil }

func (emptyTable) Await(context.Context, revision.Revision, time.Duration) (Batch[Instance], error) {
	return Batch[Instance]{}, nil
}

// The others remove the entry of an instance that is silent for 30 s. It registered only at
// its start, so that after a longer partition the two sides did not find each other.
func TestInstanceRegistersAgainWhenItsEntryIsGone(t *testing.T) {
	g := NewWithT(t)
	store := &registryStore{}
	gw := newTestInstance("a", store)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go gw.watchInstances(ctx)
	g.Eventually(store.registered.Load, 5*time.Second).Should(BeNumerically(">=", 2))

	leaving := &registryStore{}
	gw = newTestInstance("b", leaving)
	gw.draining.Store(true)
	go gw.watchInstances(ctx)
	g.Consistently(leaving.registered.Load, 2*secondListingDelay).Should(BeNumerically("<=", 1), "an instance that leaves has removed its entry")
}

// A change ended the polls of all instances at once. From then on they were confirmed at
// the same moments, and 2 s after the store was lost all of them refused keys.
func TestPollsAreSpreadAfterAChange(t *testing.T) {
	g := NewWithT(t)
	const instances = 6
	waits := map[time.Duration]bool{}
	for _, ps := range fleetOf(t, instances, 3) {
		waits[ps.gw.spreadPollTimeout()] = true
	}
	for n := range instances {
		g.Expect(waits).To(HaveKey(operatorsPollWait * time.Duration(n+1) / instances))
	}
	large := fleetOf(t, 24, 3)[5].gw
	g.Expect(large.spreadPollTimeout()).To(Equal(large.operatorsPollTimeout()))
}

// Each event that aligns the polls of the instances is followed by a poll that spreads them.
func TestWatcherSpreadsPollsThatAreAligned(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	table := &scriptedTable{script: []error{nil, nil, nil, errors.New("silent"), nil, nil, nil}, done: cancel}
	w := watcher[int]{name: "test", table: table, pollWait: func() time.Duration { return time.Minute }, spreadPollWait: func() time.Duration { return time.Second }, log: silentLog()}
	w.apply = func(Batch[int], bool, time.Duration) {}
	w.run(ctx)
	// A listing, an ordinary poll, one that fails and one after the failure.
	g.Expect(table.waits[:6]).To(Equal([]time.Duration{time.Second, time.Minute, time.Minute, recoveryPollWait, time.Second, time.Minute}))
}

// An instance that followed a collector was interrupted when its table had to be listed
// again. While the store was down, the listings that failed counted as interrupted polls,
// and 24 instances made 30,000 calls a second.
func TestWatcherBacksOffWhenAListingAfterAnInterruptionFails(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 4*minStoreRetryDelay)
	defer cancel()
	table := &scriptedTable{script: []error{nil}, done: func() {}}
	for range 1000 {
		table.script = append(table.script, errors.New("down"))
	}
	interrupt := make(chan struct{}, 1)
	var relist atomic.Bool
	w := watcher[int]{name: "test", table: table, pollWait: func() time.Duration { return time.Minute }, interrupt: interrupt, relist: &relist, log: silentLog()}
	follows := true
	w.suspended = func() bool { defer func() { follows = false }(); return follows }
	w.apply = func(Batch[int], bool, time.Duration) {
		relist.Store(true)
		interrupt <- struct{}{}
	}
	w.run(ctx)
	g.Expect(table.lists).To(BeNumerically("<=", 10))
}
