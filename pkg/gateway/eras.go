package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/revision"
)

// storeEras tracks the eras of the store. It is safe for concurrent use.
type storeEras struct {
	mu   sync.Mutex
	eras revision.Eras // guarded by mu
	// observed is set once an era is known; guarded by mu.
	observed bool
}

// observe records an era and reports whether the store was restored while this process ran.
func (s *storeEras) observe(era uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	began := s.eras.Observe(era, bootTime()) && s.observed
	s.observed = true
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

// observePeerEra records the era that a peer has known for the given time.
func (g *Gateway) observePeerEra(era uint64, age time.Duration) {
	g.observeEra(era)
	g.eras.mu.Lock()
	defer g.eras.mu.Unlock()
	g.eras.eras.KnownElsewhere(era, bootTime()-age)
}
