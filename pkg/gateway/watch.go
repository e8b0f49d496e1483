package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/catalog"
)

const (
	// operatorsPollWait is how long a long poll for a new configuration waits.
	// Each response confirms the keys as of the time the poll was sent, so a
	// confirmation can be up to two waits old, and three waits must fit into
	// the revocation bound.
	operatorsPollWait = 1500 * time.Millisecond
	// collectorPollWait is the same for the collectors of a large fleet,
	// whose confirmation reaches the other instances up to exchangeInterval
	// later. Two waits and that interval must fit into maxConfirmationAge.
	collectorPollWait = 900 * time.Millisecond
	// peerConfirmedPollWait is the same for an instance that gets its
	// confirmations from a peer.
	peerConfirmedPollWait = 25 * time.Second
	// membersPollWait is the same for the list of members, on which no
	// revocation depends, and largeFleetMembersPollWait in a large fleet.
	// Each response of the store is charged for; the wait also bounds how long a
	// poll hangs if its response is lost.
	membersPollWait, largeFleetMembersPollWait = 8 * time.Second, 15 * time.Second
	// membersBatchDelay delays the next poll for members in a large
	// fleet, so that one response carries several changes. Each response goes
	// to all instances, and starting members change their entries at every
	// heartbeat. A change of primary or a failed member is detected sooner by
	// other means.
	membersBatchDelay = 2 * time.Second
	// collectorMembersBatchDelay is the same for the collectors of a large fleet, from
	// which the other instances learn of changes.
	collectorMembersBatchDelay = 400 * time.Millisecond
	// instancesListInterval is the interval between listings of the instances. New
	// instances contact the others themselves, and a collector names all of them.
	// maxInstancesRetryDelay bounds the delay after a failed one.
	// secondListingDelay is the time between the first two listings when the whole fleet
	// starts for the first time: the first one shows few others.
	secondListingDelay     = 500 * time.Millisecond
	instancesListInterval  = 20 * time.Second
	maxInstancesRetryDelay = 6 * time.Second
	// recoveryPollWait is the wait of the first poll after a failure. A poll
	// sent while the store does not respond hangs until its timeout, even if
	// the store recovers in the meantime.
	recoveryPollWait = 100 * time.Millisecond
	// listTimeout bounds the listing of a table.
	listTimeout = 1500 * time.Millisecond
	// minStoreRetryDelay and maxStoreRetryDelay bound the delay after a failed
	// call to the store.
	minStoreRetryDelay, maxStoreRetryDelay = 100 * time.Millisecond, 700 * time.Millisecond
)

// watcher follows one table of the store by long polls.
type watcher[T any] struct {
	name  string
	table Table[T]
	// pollWait returns how long a poll waits for changes. batchDelay returns
	// the delay between a change and the next poll, and may be nil.
	pollWait, batchDelay func() time.Duration
	log                  *logrus.Entry
	// apply applies a complete list, or changes. asked is when the call was
	// sent.
	apply func(batch Batch[T], complete bool, asked time.Duration)
	// failing is set if the last call failed.
	failing bool
	// interrupt ends the current long poll, which is followed at once by a poll
	// with a short wait. It may be nil.
	interrupt <-chan struct{}
	// interrupted is set if interrupt ended the last poll.
	interrupted bool
	// suspended reports whether the table need not be polled because a collector reports
	// its changes, and knownRevision the revision up to which they are known; both may be
	// nil.
	suspended     func() bool
	knownRevision func() uint64
	// relist asks for the table to be listed again; it may be nil.
	relist *atomic.Bool
	// onRecovered is called when the store responds again; it may be nil.
	onRecovered func()
}

// run follows the table until ctx is done.
func (w *watcher[T]) run(ctx context.Context) {
	var revision, era uint64
	listed := false
	retry := minStoreRetryDelay
	for ctx.Err() == nil {
		if w.relist != nil && w.relist.Swap(false) {
			listed = false
		}
		if listed && !w.interrupted && !w.failing && w.suspended != nil && w.suspended() {
			w.awaitInterrupt(ctx, followCheckInterval)
			continue
		}
		if w.knownRevision != nil {
			revision = max(revision, w.knownRevision())
		}
		asked := bootTime()
		batch, err := w.poll(ctx, listed, revision)
		switch {
		case err == nil:
			w.noteSuccess()
			retry = minStoreRetryDelay
			if !listed || batch.Era != era {
				w.log.WithFields(logrus.Fields{
					"event": "table-read", "table": w.name, "era": batch.Era, "revision": batch.Revision, "listed": !listed,
					"entries": len(batch.Changes), "newest": newestChange(batch.Changes), "knownEra": era, "knownRevision": revision,
				}).Info("read a table of the store")
			}
			era = batch.Era
			w.apply(batch, !listed, asked)
			revision, listed = max(revision, batch.Revision), true
			if w.batchDelay != nil && len(batch.Changes) > 0 {
				sleep(ctx, w.batchDelay())
			}
		case w.interrupted:
			// Not a failure: the next poll follows immediately with a short
			// wait.
		case errors.Is(err, ErrHistoryLost):
			w.log.WithFields(logrus.Fields{"event": "history-lost", "table": w.name, "revision": revision}).Info("the store dropped changes; listing the table again")
			listed = false
		default:
			w.noteFailure(ctx, err)
			sleep(ctx, retry)
			retry = min(2*retry, maxStoreRetryDelay)
		}
	}
}

// newestChange returns the version of the last change among the changes.
func newestChange[T any](changes []Change[T]) uint64 {
	var newest uint64
	for i := range changes {
		newest = max(newest, changes[i].Version)
	}
	return newest
}

// awaitInterrupt waits for d or until the watcher is interrupted.
func (w *watcher[T]) awaitInterrupt(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-w.interrupt:
		w.interrupted = true
	}
}

func (w *watcher[T]) poll(ctx context.Context, listed bool, revision uint64) (Batch[T], error) {
	if listed && (w.failing || w.interrupted) {
		w.interrupted = false
		return w.table.Await(ctx, revision, recoveryPollWait)
	}
	if listed {
		return w.awaitChanges(ctx, revision)
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return w.table.List(ctx)
}

// awaitChanges polls for changes until interrupt ends the poll.
func (w *watcher[T]) awaitChanges(ctx context.Context, revision uint64) (Batch[T], error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	returned := make(chan struct{})
	defer close(returned)
	interrupted := make(chan struct{})
	go func() {
		select {
		case <-w.interrupt:
			close(interrupted)
			cancel()
		case <-returned:
		}
	}()
	batch, err := w.table.Await(ctx, revision, w.pollWait())
	select {
	case <-interrupted:
		w.interrupted = err != nil
	default:
	}
	return batch, err
}

func (w *watcher[T]) noteFailure(ctx context.Context, err error) {
	if !w.failing && ctx.Err() == nil {
		w.failing = true
		w.log.WithFields(logrus.Fields{"event": "store-lost", "table": w.name}).WithError(err).Warn("store does not answer")
	}
}

func (w *watcher[T]) noteSuccess() {
	if w.failing {
		w.failing = false
		if w.onRecovered != nil {
			w.onRecovered()
		}
		w.log.WithFields(logrus.Fields{"event": "store-regained", "table": w.name}).Info("store answers again")
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// watchOperators follows the operators' entries.
func (g *Gateway) watchOperators(ctx context.Context) {
	entries := map[string]OperatorEntry{}
	var newest uint64
	w := watcher[OperatorEntry]{name: "operators", table: g.cfg.Store.Operators(), pollWait: g.operatorsPollTimeout, log: g.log, interrupt: g.interruptOperatorsPoll, suspended: g.peers.followsForConfig}
	// A longer poll for members sent during the outage may still hang.
	w.onRecovered = func() { interruptPoll(g.interruptMembersPoll) }
	w.apply = func(batch Batch[OperatorEntry], complete bool, asked time.Duration) {
		g.noteStoreAnswer(asked)
		if complete {
			entries = map[string]OperatorEntry{}
		}
		for _, c := range batch.Changes {
			newest = max(newest, c.Version)
			switch {
			case c.Err != nil:
				g.log.WithFields(logrus.Fields{"event": "entry-unreadable", "key": c.Key}).WithError(c.Err).Warn("operators' entry ignored")
			case c.Removed:
				delete(entries, c.Key)
			default:
				entries[c.Key] = c.Value
			}
		}
		if complete || len(batch.Changes) > 0 {
			g.applyOperatorEntries(entries, newest)
		}
		if g.currentConfig.Load() != nil {
			g.confirmConfig(asked)
		}
	}
	w.run(ctx)
}

// applyOperatorEntries compiles the operators' entries into a configuration
// and installs it.
func (g *Gateway) applyOperatorEntries(entries map[string]OperatorEntry, revision uint64) {
	next := &configuration{outOfServiceZones: map[string]bool{}, revision: revision}
	for _, e := range entries {
		if e.Spec != nil {
			next.spec = e.Spec
		} else {
			next.outOfServiceZones[e.OutOfServiceZone] = true
		}
	}
	g.installConfiguration(next)
}

// installConfiguration makes a configuration current unless a newer one
// already is. It is safe for concurrent use.
func (g *Gateway) installConfiguration(next *configuration) {
	if next.spec == nil {
		return
	}
	c, err := catalog.Compile(*next.spec)
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "configuration-refused", "version": next.spec.Version}).WithError(err).Error("configuration ignored")
		return
	}
	next.catalog = c
	for {
		current := g.currentConfig.Load()
		if current != nil && (current.revision > next.revision || current.catalog.Version() > c.Version()) {
			g.log.WithFields(logrus.Fields{
				"event": "configuration-kept", "version": current.catalog.Version(), "revision": current.revision,
				"readVersion": c.Version(), "readRevision": next.revision,
			}).Info("an older configuration was read; keeping the newer one")
			return
		}
		if g.currentConfig.CompareAndSwap(current, next) {
			break
		}
	}
	g.limits.configure(c.Workspaces())
	g.controller.enqueue(func() { g.controller.updatePools() })
	g.log.WithFields(logrus.Fields{"event": "configuration", "version": c.Version(), "revision": next.revision, "zonesOut": len(next.outOfServiceZones)}).Info("configuration installed")
}

// needsConfirmation reports whether the last confirmation is older than it
// gets when the store and the peers respond normally.
func needsConfirmation(age time.Duration) bool { return age > maxConfirmationAge }

// interruptPoll ends the current poll of the watcher that reads from the
// channel.
func interruptPoll(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // no poll is in progress, or it is just ending
	}
}

// operatorsPollTimeout returns how long a poll for a new configuration waits.
// In a large fleet only the collectors poll frequently, and the other
// instances rely on their confirmation.
func (g *Gateway) operatorsPollTimeout() time.Duration {
	switch few, reads := g.peers.storeReaders(); {
	case !few:
		return operatorsPollWait
	case reads:
		return collectorPollWait
	default:
		return peerConfirmedPollWait
	}
}

// watchMembers follows the platform's list of members.
func (g *Gateway) watchMembers(ctx context.Context) {
	w := watcher[Member]{name: "members", table: g.cfg.Store.Members(), log: g.log, interrupt: g.interruptMembersPoll, relist: &g.relistMembers}
	w.suspended = g.peers.followsCollector
	w.knownRevision = func() uint64 {
		if list := g.memberList.Load(); list != nil {
			return list.revision
		}
		return 0
	}
	w.pollWait = func() time.Duration {
		if g.peers.readsStore() {
			return membersPollWait
		}
		return largeFleetMembersPollWait
	}
	w.batchDelay = func() time.Duration {
		switch few, reads := g.peers.storeReaders(); {
		case !few:
			return 0
		case reads:
			return collectorMembersBatchDelay
		default:
			return membersBatchDelay
		}
	}
	w.apply = func(batch Batch[Member], complete bool, _ time.Duration) {
		for _, c := range batch.Changes {
			if c.Err != nil {
				g.log.WithFields(logrus.Fields{"event": "entry-unreadable", "key": c.Key}).WithError(c.Err).Warn("member's entry ignored")
			}
		}
		if complete || len(batch.Changes) > 0 {
			g.controller.enqueue(func() { g.controller.applyMembers(batch.Changes, complete, batch.Revision) })
		}
	}
	w.run(ctx)
}

// register writes this instance's entry and reports whether that succeeded.
func (g *Gateway) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	err := g.cfg.Store.PutInstance(ctx, Instance{ID: g.cfg.ID, Zone: g.cfg.Zone, PeerAddress: g.cfg.PeerAddress, Started: g.started, Capacity: g.cfg.Capacity})
	if err != nil {
		g.log.WithField("event", "register").WithError(err).Warn("cannot register the instance; retrying")
	}
	return err == nil
}

// watchInstances registers this instance and periodically lists all instances.
func (g *Gateway) watchInstances(ctx context.Context) {
	for ctx.Err() == nil && !g.register(ctx) {
		sleep(ctx, maxStoreRetryDelay)
	}
	retry := maxStoreRetryDelay
	for first := true; ctx.Err() == nil; first = false {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		batch, err := g.cfg.Store.Instances().List(callCtx)
		cancel()
		g.peers.applyListing(batch.Changes)
		if err == nil && !g.draining.Load() && !slices.ContainsFunc(batch.Changes, func(c Change[Instance]) bool { return c.Key == g.cfg.ID }) {
			// The others took this instance for lost, for example during a partition.
			g.register(ctx)
		}
		if first && err == nil && g.cfg.FirstStart {
			// All instances register at about the same time. What this listing shows is
			// used, since an instance that knows no other admits whole limits; whether the
			// fleet is large is known after the next one.
			sleep(ctx, secondListingDelay)
			continue
		}
		g.peers.noteListing()
		if err != nil {
			g.log.WithFields(logrus.Fields{"event": "store-lost", "table": "instances"}).WithError(err).Warn("cannot list instances")
			sleep(ctx, retry)
			retry = min(2*retry, maxInstancesRetryDelay)
			continue
		}
		retry = maxStoreRetryDelay
		sleep(ctx, instancesListInterval)
		for ctx.Err() == nil && g.peers.followsCollector() {
			sleep(ctx, followCheckInterval) // the collector names all instances
		}
	}
}
