package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/membership"
	"github.com/mulberrysill/mulberrysill/core/placement"
	"github.com/mulberrysill/mulberrysill/core/revision"
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
	// maxListDelay bounds the delay before an instance of a large fleet that is no collector
	// lists a table itself. Until then its collector may answer again.
	maxListDelay = exchangeInterval
	// minStoreRetryDelay and maxStoreRetryDelay bound the delay after a failed
	// call to the store.
	minStoreRetryDelay, maxStoreRetryDelay = 100 * time.Millisecond, 700 * time.Millisecond
	// maxSparedRetryDelay is the same for an instance that can do without the store for the
	// moment, because its peers confirm the configuration. A store that refuses some of a
	// large fleet's instances would otherwise get several calls a second from each of them.
	maxSparedRetryDelay = 3 * time.Second
)

// watcher follows one table of the store by long polls.
type watcher[T any] struct {
	name  string
	table Table[T]
	// pollWait returns how long a poll waits for changes. batchDelay returns
	// the delay between a change and the next poll, and may be nil.
	pollWait, batchDelay func() time.Duration
	// spreadPollWait returns the wait of a poll that all instances begin at about the same
	// time; nil means pollWait.
	spreadPollWait func() time.Duration
	// aligned is set if the last call was no ordinary poll that ended with its wait: other
	// instances are likely to begin their next polls at the same time.
	aligned bool
	log     *logrus.Entry
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
	knownRevision func() revision.Revision
	// relist asks for the table to be listed again; it may be nil.
	relist *atomic.Bool
	// maxRetryDelay returns the bound of the delay after a failed call; nil means
	// maxStoreRetryDelay.
	maxRetryDelay func() time.Duration
	// onRecovered is called when the store responds again; it may be nil.
	onRecovered func()
	// currentEra returns the newest known era of the store, and observeEra records one.
	// listDelay returns the delay before a table whose history is lost is listed. All may
	// be nil.
	currentEra func() uint64
	observeEra func(era uint64)
	listDelay  func() time.Duration
}

// errFormerEra means that an answer is of an era that has ended.
var errFormerEra = errors.New("the answer is from before the restoration of the store")

// run follows the table until ctx is done.
func (w *watcher[T]) run(ctx context.Context) {
	var known revision.Revision
	listed, everListed := false, false
	retry, relistDelay := minStoreRetryDelay, time.Duration(0)
	for ctx.Err() == nil {
		if w.relist != nil && w.relist.Swap(false) {
			listed = false
		}
		if everListed && !w.interrupted && !w.failing && w.suspended != nil && w.suspended() {
			w.awaitInterrupt(ctx, followCheckInterval)
			continue
		}
		if w.knownRevision != nil {
			known = max(known, w.knownRevision())
		}
		if w.currentEra != nil && known.Era() < w.currentEra() {
			listed = false // the versions of the former era mean nothing to the store
		}
		asked := bootTime()
		batch, err := w.poll(ctx, listed, known)
		if err == nil {
			err = w.checkEra(batch.Revision)
		}
		switch {
		case err == nil:
			w.noteSuccess()
			retry = minStoreRetryDelay
			if listed {
				relistDelay = 0
			} else {
				w.discardInterrupt()
				w.log.WithFields(logrus.Fields{
					"event": "table-listed", "table": w.name, "era": batch.Revision.Era(), "version": batch.Revision.Version(),
					"entries": len(batch.Changes), "newest": newestChange(batch.Changes).Version(), "knownEra": known.Era(), "knownVersion": known.Version(),
				}).Info("listed a table of the store")
			}
			w.aligned = w.aligned || !listed || len(batch.Changes) > 0
			w.apply(batch, !listed, asked)
			known, listed, everListed = max(known, batch.Revision), true, true
			if w.batchDelay != nil && len(batch.Changes) > 0 {
				sleep(ctx, w.batchDelay())
			}
		case w.interrupted:
			// Not a failure: the next poll follows immediately with a short
			// wait.
		case errors.Is(err, ErrHistoryLost):
			w.noteSuccess() // the store answers
			w.log.WithFields(logrus.Fields{"event": "history-lost", "table": w.name, "era": known.Era(), "version": known.Version()}).Info("the store does not have the changes; listing the table again")
			listed = false
			delay := relistDelay
			if w.listDelay != nil {
				delay = max(delay, w.listDelay())
			}
			sleep(ctx, delay)
			// The next loss without an answer in between is delayed.
			relistDelay = min(max(minStoreRetryDelay, 2*relistDelay), maxStoreRetryDelay)
		default:
			w.noteFailure(ctx, err)
			longest := maxStoreRetryDelay
			if w.maxRetryDelay != nil {
				longest = w.maxRetryDelay()
			}
			retry = min(retry, longest)
			if retry > maxStoreRetryDelay {
				w.awaitInterrupt(ctx, retry)
			} else {
				sleep(ctx, retry)
			}
			retry = min(2*retry, longest)
		}
	}
}

// discardInterrupt discards an interruption that was sent before a listing ended.
func (w *watcher[T]) discardInterrupt() {
	select {
	case <-w.interrupt:
	default: // there is none
	}
}

// checkEra records the era of an answer, and fails if a later one is known: a delayed
// answer of a former era must not be applied to what the present one holds.
func (w *watcher[T]) checkEra(at revision.Revision) error {
	if w.observeEra != nil {
		w.observeEra(at.Era())
	}
	if w.currentEra != nil && at.Era() < w.currentEra() {
		return errFormerEra
	}
	return nil
}

// newestChange returns the revision of the last change among the changes.
func newestChange[T any](changes []Change[T]) revision.Revision {
	var newest revision.Revision
	for i := range changes {
		newest = max(newest, changes[i].Revision)
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

func (w *watcher[T]) poll(ctx context.Context, listed bool, known revision.Revision) (Batch[T], error) {
	if listed && (w.failing || w.interrupted) {
		w.interrupted, w.aligned = false, true
		return w.table.Await(ctx, known, recoveryPollWait)
	}
	if listed {
		return w.awaitChanges(ctx, known)
	}
	w.interrupted = false
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return w.table.List(ctx)
}

// awaitChanges polls for changes until interrupt ends the poll.
func (w *watcher[T]) awaitChanges(ctx context.Context, known revision.Revision) (Batch[T], error) {
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
	wait := w.pollWait
	if w.aligned && w.spreadPollWait != nil {
		wait = w.spreadPollWait
	}
	w.aligned = false
	batch, err := w.table.Await(ctx, known, wait())
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
	var newest revision.Revision
	var writes catalog.WriteLog
	w := watcher[OperatorEntry]{name: "operators", table: g.cfg.Store.Operators(), log: g.log, interrupt: g.interruptOperatorsPoll, suspended: g.peers.followsForConfig, pollWait: g.operatorsPollTimeout}
	w.currentEra, w.listDelay = g.eras.current, g.listDelay
	w.observeEra = func(era uint64) {
		g.observeEra(era)
		g.learnSettledEra(ctx)
	}
	w.spreadPollWait, w.maxRetryDelay = g.spreadPollTimeout, g.maxStoreRetryDelay
	// A longer poll for members sent during the outage may still hang.
	w.onRecovered = func() { interruptPoll(g.interruptMembersPoll) }
	w.apply = func(batch Batch[OperatorEntry], complete bool, asked time.Duration) {
		g.noteStoreAnswer(asked)
		if complete {
			entries = map[string]OperatorEntry{}
			newest = max(newest, revision.New(batch.Revision.Era(), 0))
		}
		for _, c := range batch.Changes {
			newest = max(newest, c.Revision)
			switch {
			case c.Err != nil:
				g.log.WithFields(logrus.Fields{"event": "entry-unreadable", "key": c.Key}).WithError(c.Err).Warn("operators' entry ignored")
			case c.Removed:
				delete(entries, c.Key)
			default:
				entries[c.Key] = c.Value
				if c.Value.Spec != nil {
					writes.Observe(c.Value.Spec.Version, c.Revision, complete)
				}
			}
		}
		settled := g.eras.settledAt(asked)
		if complete || len(batch.Changes) > 0 {
			g.applyOperatorEntries(entries, newest)
		}
		if settled {
			g.releaseHeldZones()
		}
		// A restored store may lack the newest configuration until it is written again.
		if g.currentConfig.Load() != nil && (settled || writes.WrittenIn(batch.Revision.Era())) {
			g.confirmConfig(asked)
		}
	}
	w.run(ctx)
}

// applyOperatorEntries compiles the operators' entries into a configuration
// and installs it.
func (g *Gateway) applyOperatorEntries(entries map[string]OperatorEntry, at revision.Revision) {
	next := catalog.Entries{ZonesOut: map[string]bool{}, Revision: at}
	for _, e := range entries {
		if e.Spec != nil {
			next.Spec = e.Spec
		} else {
			next.ZonesOut[e.OutOfServiceZone] = true
		}
	}
	g.installConfiguration(next)
}

// installConfiguration merges entries read from the store or a peer into those in use. It
// is safe for concurrent use.
func (g *Gateway) installConfiguration(next catalog.Entries) { g.mergeConfiguration(next, false) }

func (g *Gateway) mergeConfiguration(next catalog.Entries, settled bool) {
	for {
		current := g.currentConfig.Load()
		var inUse catalog.Entries
		if current != nil {
			inUse = current.Entries
		}
		merged, changed := inUse.Merge(next, settled)
		if next.Spec != nil && next.Version() < merged.Version() {
			g.log.WithFields(logrus.Fields{
				"event": "configuration-kept", "version": merged.Version(), "readVersion": next.Version(), "readEra": next.Revision.Era(), "readRevision": next.Revision.Version(),
			}).Info("an older configuration was read; keeping the newer one")
		}
		if !changed || merged.Spec == nil {
			return
		}
		installed := &configuration{Entries: merged, poolsUpdated: make(chan struct{})}
		if current != nil && merged.Spec == current.Spec {
			installed.catalog = current.catalog
		} else if installed.catalog = g.compile(merged.Spec); installed.catalog == nil {
			return
		}
		if g.currentConfig.CompareAndSwap(current, installed) {
			g.noteInstalled(installed)
			return
		}
	}
}

// compile returns the compiled configuration, or nil if it is invalid.
func (g *Gateway) compile(spec *catalog.Spec) *catalog.Catalog {
	c, err := catalog.Compile(*spec)
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "configuration-refused", "version": spec.Version}).WithError(err).Error("configuration ignored")
		return nil
	}
	return c
}

func (g *Gateway) noteInstalled(c *configuration) {
	g.limits.configure(c.catalog.Workspaces(), c.Version())
	g.controller.enqueue(func() {
		g.controller.updatePools()
		close(c.poolsUpdated)
	})
	g.log.WithFields(logrus.Fields{
		"event": "configuration", "version": c.Version(), "era": c.Revision.Era(), "revision": c.Revision.Version(), "zonesOut": len(c.ZonesOut), "zonesHeld": len(c.HeldZones),
	}).Info("configuration installed")
}

// releaseHeldZones puts zones back into service that were out of service before the store
// was restored. The entries in use must have been read once the operators had had the time
// to write theirs again.
func (g *Gateway) releaseHeldZones() {
	if c := g.currentConfig.Load(); c != nil && len(c.HeldZones) > 0 {
		g.mergeConfiguration(c.Entries, true)
	}
}

// listDelay returns the delay before this instance lists a table whose history the store
// has lost. In a large fleet the collectors list it at once, and the others only if no
// collector serves them by then.
func (g *Gateway) listDelay() time.Duration {
	if g.peers.readsStore() {
		return 0
	}
	return rand.N(maxListDelay)
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

// maxStoreRetryDelay bounds the delay after a failed call to the store. An instance of a large
// fleet that is served by member asks rarely while its peers confirm the configuration; an old
// confirmation ends the delay.
func (g *Gateway) maxStoreRetryDelay() time.Duration {
	age, known := g.configLeaseAge()
	few, _ := g.peers.storeReaders()
	if g.cfg.ServingScope == placement.ServingByMember && few && known && !needsConfirmation(age) {
		return maxSparedRetryDelay
	}
	return maxStoreRetryDelay
}

// spreadPollTimeout returns the wait of a poll that all instances begin at about the same
// time, as after a change. The instances divide the usual wait between them, so that some of
// them always have a recent confirmation for the others.
func (g *Gateway) spreadPollTimeout() time.Duration {
	wait := g.operatorsPollTimeout()
	if few, _ := g.peers.storeReaders(); few {
		return wait
	}
	live := g.peers.liveInstances().instances
	rank := slices.IndexFunc(live, func(i membership.Instance) bool { return i.ID == g.cfg.ID })
	if rank < 0 {
		return wait // this instance is leaving
	}
	return wait * time.Duration(rank+1) / time.Duration(len(live))
}

// watchMembers follows the platform's list of members.
func (g *Gateway) watchMembers(ctx context.Context) {
	w := watcher[Member]{name: "members", table: g.cfg.Store.Members(), log: g.log, interrupt: g.interruptMembersPoll, relist: &g.relistMembers}
	w.suspended, w.maxRetryDelay = g.peers.followsCollector, g.maxStoreRetryDelay
	w.currentEra, w.observeEra, w.listDelay = g.eras.current, g.observeEra, g.listDelay
	w.knownRevision = func() revision.Revision {
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
		logUnreadable(g.log, batch.Changes)
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
			// The others took this instance for lost, for example during a partition, or
			// the store was restored from a copy that lacks the entry.
			g.register(ctx)
		}
		if err == nil {
			g.registerUnlisted(ctx, batch.Changes)
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
		g.awaitInstancesListing(ctx)
	}
}

// awaitInstancesListing waits until the instances are to be listed again.
func (g *Gateway) awaitInstancesListing(ctx context.Context) {
	timer := time.NewTimer(instancesListInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-g.relistInstances:
	}
	for ctx.Err() == nil && g.peers.followsCollector() {
		sleep(ctx, followCheckInterval) // the collector names all instances
	}
}

// registerUnlisted writes the entries of live instances that are missing in a listing. The
// collector of a zone does so for the instances that follow it, which list none themselves.
func (g *Gateway) registerUnlisted(ctx context.Context, listing []Change[Instance]) {
	if _, isCollector := g.peers.collector(); !isCollector || g.draining.Load() {
		return
	}
	for _, i := range g.peers.unlisted(listing) {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		err := g.cfg.Store.PutInstance(ctx, i)
		cancel()
		if err != nil {
			g.log.WithFields(logrus.Fields{"event": "register", "peer": i.ID}).WithError(err).Warn("cannot register a live instance; retrying at the next listing")
			return
		}
	}
}
