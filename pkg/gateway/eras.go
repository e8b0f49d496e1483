package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/revision"
)

// eraRecordAge is how long an era is known before it is recorded as settled. Whoever reads
// the record need not wait for anything that a recent restoration would require.
const eraRecordAge = max(revision.SettleTime, minDutyTenure)

// storeEras tracks the eras of the store. It is safe for concurrent use.
type storeEras struct {
	mu   sync.Mutex
	eras revision.Eras // guarded by mu
	// observed is set once an era is known, and first is that era; guarded by mu.
	observed bool
	first    uint64
}

// observe records an era and reports whether the store was restored while this process ran.
func (s *storeEras) observe(era uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	began := s.eras.Observe(era, bootTime()) && s.observed
	if !s.observed {
		s.observed, s.first = true, era
	}
	return began
}

// knownFor returns the newest era and for how long it has been known.
func (s *storeEras) knownFor() (era uint64, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eras.KnownFor(bootTime())
}

func (s *storeEras) current() uint64 {
	era, _ := s.knownFor()
	return era
}

// settledAt reports whether what the store lacked at the given time was never
// acknowledged, or has been taken back by its writer.
func (s *storeEras) settledAt(at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return at >= s.eras.SettledAt()
}

func (s *storeEras) settled() bool { return s.settledAt(bootTime()) }

// observeEra records the era of an answer of the store, or one that a peer knows. After a
// restoration, this instance reads the tables anew, unless a collector does that for it.
func (g *Gateway) observeEra(era uint64) {
	if !g.eras.observe(era) {
		return
	}
	g.log.WithFields(logrus.Fields{"event": "store-restored", "era": era}).Warn("the store was restored from a copy; reading its tables again")
	if g.peers.followsCollector() {
		return
	}
	interruptPoll(g.interruptOperatorsPoll)
	interruptPoll(g.interruptMembersPoll)
	interruptPoll(g.relistInstances)
}

// startedInUnsettled reports whether this process started in the present era and cannot
// know yet whether that has settled.
func (s *storeEras) startedInUnsettled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	era, _ := s.eras.KnownFor(0)
	return s.first == era && bootTime() < s.eras.SettledAt()
}

// learnSettledEra reads from the store whether the present era has settled. Otherwise a
// fleet that starts as a whole, long after a restoration, would have to wait like one that
// starts right after it.
func (g *Gateway) learnSettledEra(ctx context.Context) {
	if !g.eras.startedInUnsettled() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	era, err := g.cfg.Store.SettledEra(ctx)
	if err != nil {
		g.log.WithField("event", "settled-era").WithError(err).Warn("cannot read whether the era of the store has settled")
		return
	}
	g.eras.mu.Lock()
	defer g.eras.mu.Unlock()
	g.eras.eras.KnownElsewhere(era, bootTime()-eraRecordAge)
}

// recordSettledEra records in the store that the present era has settled. The holder of the
// promotion lease does so once an era.
func (c *controller) recordSettledEra(ctx context.Context, now time.Time) {
	era, age := c.gw.eras.knownFor()
	if c.recordedEra >= era || age < eraRecordAge || c.recordingEra || now.Sub(c.eraRecordTriedAt) < claimRetryInterval || !c.mayAct() {
		return
	}
	c.recordingEra, c.eraRecordTriedAt = true, now
	go func() {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		err := c.gw.cfg.Store.PutSettledEra(ctx, era)
		if err != nil {
			c.gw.log.WithField("event", "settled-era").WithError(err).Info("cannot record that the era of the store has settled; retrying")
		}
		c.enqueue(func() {
			c.recordingEra = false
			if err == nil {
				c.recordedEra = era
			}
		})
	}()
}

// observePeerEra records the era that a peer has known for the given time.
func (g *Gateway) observePeerEra(era uint64, age time.Duration) {
	g.observeEra(era)
	g.eras.mu.Lock()
	defer g.eras.mu.Unlock()
	g.eras.eras.KnownElsewhere(era, bootTime()-age)
}
