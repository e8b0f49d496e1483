package catalog_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mulberrysill/mulberrysill/core/catalog"
	"github.com/mulberrysill/mulberrysill/core/revision"
)

// The restoration model: a store that is restored from copies, an operator that writes
// lost entries again within revision.SettleTime of the store's return, and instances that
// read the store, exchange configurations and restart at any time. Time advances in steps.
const (
	modelStep     = 250 * time.Millisecond
	modelLease    = 4 * time.Second
	modelSteps    = 120
	modelReplicas = 3
)

// modelStore is the state of the store that a copy holds.
type modelStore struct {
	version, configVersion, configAt uint64
	// zonesOut has a bit for each zone that is out of service.
	zonesOut uint64
}

type restoration struct {
	now      time.Duration
	store    modelStore
	copies   []modelStore
	era      uint64
	returned time.Duration // when the store was restored last
	down     bool
	// acked is the last acknowledged state. The operator has written it again unless
	// pending is set.
	acked   modelStore
	pending bool
	// configAckedAt is when each configuration was acknowledged.
	configAckedAt map[uint64]time.Duration
	// zones is the number of zones that have been taken out, each only once.
	zones     int
	instances []*modelInstance
}

type modelInstance struct {
	entries catalog.Entries
	eras    revision.Eras
	writes  catalog.WriteLog
	lease   catalog.Lease
	// knownOut has a bit for each zone that the instance has taken for out of service.
	knownOut uint64
	// trustListings is the broken variant in which each answer confirms the configuration.
	trustListings bool
}

func newModelInstance() *modelInstance {
	return &modelInstance{lease: catalog.Lease{MaxAge: modelLease}}
}

// read applies a listing of the store.
func (i *modelInstance) read(m *restoration) {
	i.eras.Observe(m.era, m.now)
	next := catalog.Entries{ZonesOut: map[string]bool{}, Revision: revision.New(m.era, m.store.version)}
	if m.store.configVersion > 0 {
		next.Spec = &catalog.Spec{Version: m.store.configVersion}
		i.writes.Observe(m.store.configVersion, revision.New(m.era, m.store.configAt), true)
	}
	for zone := range m.zones {
		if m.store.zonesOut>>zone&1 == 1 {
			next.ZonesOut[zoneName(zone)] = true
		}
	}
	i.merge(next, m.now >= i.eras.SettledAt())
	if i.entries.Spec != nil && (i.trustListings || m.now >= i.eras.SettledAt() || i.writes.WrittenIn(m.era)) {
		i.lease.Confirm(m.now)
	}
}

func (i *modelInstance) merge(next catalog.Entries, settled bool) {
	i.entries, _ = i.entries.Merge(next, settled)
}

// ask takes over what another instance knows, with the age of its confirmation.
func (i *modelInstance) ask(other *modelInstance, now time.Duration) {
	age, confirmed := other.lease.Age(now)
	if !confirmed {
		return
	}
	era, known := other.eras.KnownFor(now)
	i.eras.Observe(era, now)
	i.eras.KnownElsewhere(era, now-known)
	i.merge(other.entries, false)
	if i.entries.Version() == other.entries.Version() {
		i.lease.Confirm(now - age)
		i.merge(i.entries, now-age >= i.eras.SettledAt())
	}
}

func (m *restoration) write(change func(*modelStore)) {
	m.store.version++
	change(&m.store)
	m.acked = m.store
}

// rewrite writes again what the store has lost.
func (m *restoration) rewrite() {
	if !m.pending || m.down {
		return
	}
	m.pending = false
	if m.store.configVersion != m.acked.configVersion {
		m.store.version++
		m.store.configVersion, m.store.configAt = m.acked.configVersion, m.store.version
	}
	if m.store.zonesOut != m.acked.zonesOut {
		m.store.version++
		m.store.zonesOut = m.acked.zonesOut
	}
	m.acked = m.store
}

// violation returns what an instance does that an acknowledged change forbids, or "".
func (m *restoration) violation() string {
	newest := slices.Max(slices.Collect(maps.Keys(m.configAckedAt)))
	for _, i := range m.instances {
		_, confirmed := i.lease.Age(m.now)
		if !confirmed {
			continue // it serves nobody
		}
		// A lease may last for MaxAge after a newer configuration was acknowledged.
		if next := i.entries.Version() + 1; i.lease.Valid(m.now) && next <= newest && m.now-m.configAckedAt[next] > modelLease {
			return "a configuration is in use although a newer one was acknowledged long ago"
		}
		for zone := range m.zones {
			bit := uint64(1) << zone
			switch {
			case i.entries.IsOutOfService(zoneName(zone)):
				i.knownOut |= bit
			case i.knownOut&m.acked.zonesOut&bit != 0:
				return "a zone that was taken out is in use again"
			}
		}
	}
	return ""
}

func zoneName(zone int) string { return fmt.Sprint("z", zone) }

// play runs the model and returns the first violation.
func play(t *rapid.T, trustListings bool) string {
	m := &restoration{configAckedAt: map[uint64]time.Duration{}}
	m.write(func(s *modelStore) { s.configVersion, s.configAt = 1, s.version })
	m.configAckedAt[1] = 0
	for range modelReplicas {
		m.instances = append(m.instances, newModelInstance())
	}
	start := func() *modelInstance {
		i := newModelInstance()
		i.trustListings = trustListings
		return i
	}
	for range modelSteps {
		m.now += modelStep
		one := rapid.IntRange(0, modelReplicas-1)
		i, other := one.Draw(t, "instance"), one.Draw(t, "peer")
		switch rapid.IntRange(0, 8).Draw(t, "event") {
		case 0:
			if !m.down && !m.pending {
				m.write(func(s *modelStore) { s.configVersion, s.configAt = s.configVersion+1, s.version })
				m.configAckedAt[m.store.configVersion] = m.now
			}
		case 1:
			if !m.down && !m.pending {
				if m.zones > 0 && m.store.zonesOut>>(m.zones-1)&1 == 1 {
					m.write(func(s *modelStore) { s.zonesOut &^= 1 << (m.zones - 1) })
				} else if m.zones < 64 {
					m.zones++
					m.write(func(s *modelStore) { s.zonesOut |= 1 << (m.zones - 1) })
				}
			}
		case 2:
			m.copies = append(m.copies, m.store)
		case 3:
			m.down = !m.down
		case 4:
			if len(m.copies) > 0 && !m.pending {
				m.store = m.copies[rapid.IntRange(0, len(m.copies)-1).Draw(t, "copy")]
				m.era, m.returned, m.down, m.pending = m.era+1, m.now, false, true
			}
		case 5:
			m.instances[i] = start()
		case 6:
			m.rewrite()
		default:
			if i == other && !m.down {
				m.instances[i].read(m)
			} else if i != other {
				m.instances[i].ask(m.instances[other], m.now)
			}
		}
		if m.now-m.returned >= revision.SettleTime-modelStep {
			m.down = m.down && !m.pending
			m.rewrite()
		}
		if v := m.violation(); v != "" {
			return v
		}
	}
	return ""
}

// A key that was withdrawn is in no configuration that may be used later than the lease
// allows, and a zone that an instance knows to be out of service stays out, whatever
// copies the store is restored from and whoever starts anew meanwhile.
func TestRestorationsBringNothingBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if v := play(t, false); v != "" {
			t.Fatal(v)
		}
	})
}

// The model finds the fault if each answer of the store confirms the configuration.
func TestRestorationModelRejectsTrustInListings(t *testing.T) {
	found := false
	for seed := range 400 {
		v := rapid.Custom(func(t *rapid.T) string { return play(t, true) }).Example(seed)
		found = found || v != ""
	}
	if !found {
		t.Fatal("no violation was found")
	}
}
