package promotion_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
)

const maxModelSteps = 60

// modelReplica is a replica in the model.
type modelReplica struct {
	id       string
	received uint64
	paused   bool
	// down replicas neither receive nor respond; notReceiving ones respond but do
	// not receive.
	down, notReceiving bool
}

// model simulates a group whose primary acknowledges a commit once one replica has
// received it. The promoter pauses one replica and requests the promotion of the
// other, which takes effect at a later step.
type model struct {
	rng                  *rand.Rand
	primaryIndex         uint64 // index of the primary's last commit
	acknowledged         uint64
	primaryUp            bool
	replicas             []*modelReplica
	pendingPromotion     *modelReplica
	ignoreSilentReplicas bool
	skipPausing          bool
	violations           []string
}

func newModel(seed uint64) *model {
	return &model{
		rng: rand.New(rand.NewPCG(seed, 7)), primaryUp: true,
		replicas: []*modelReplica{{id: "a"}, {id: "b"}},
	}
}

func (m *model) run() {
	for range maxModelSteps {
		if m.pendingPromotion != nil && m.rng.IntN(4) == 0 {
			m.promote()
			return
		}
		m.randomEvent()
	}
}

func (m *model) randomEvent() {
	r := m.replicas[m.rng.IntN(len(m.replicas))]
	switch m.rng.IntN(8) {
	case 0, 1, 2:
		if m.primaryUp {
			m.primaryIndex++
		}
	case 3, 4:
		if m.primaryUp && !r.paused && !r.down && !r.notReceiving {
			r.received = m.primaryIndex
			m.acknowledged = max(m.acknowledged, r.received)
		}
	case 5:
		switch m.rng.IntN(4) {
		case 0:
			m.primaryUp = false
		case 1:
			r.notReceiving = !r.notReceiving
		default:
			// A crashed replica restarts with its log intact, always before it would be
			// considered lost.
			r.down = !r.down
		}
	case 6, 7:
		if m.pendingPromotion == nil {
			m.changePrimary()
		}
	}
}

// changePrimary performs the promoter's steps: it chooses a successor by the status
// of all replicas, pauses the other replicas, and checks the choice again.
func (m *model) changePrimary() {
	chosen, ok := promotion.Choose(m.memberStates(), "p", group.Position{})
	if !ok {
		return
	}
	for _, r := range m.replicas {
		if r.id == chosen {
			m.pendingPromotion = r
		} else if !m.skipPausing && !r.down {
			r.paused = true
		}
	}
	// Commits may complete between the first status request and the pause.
	if second, ok := promotion.Choose(m.memberStates(), "p", group.Position{}); !ok || second != chosen {
		m.resume()
	}
}

func (m *model) resume() {
	for _, r := range m.replicas {
		r.paused = false
	}
	m.pendingPromotion = nil
}

func (m *model) memberStates() []promotion.Member {
	out := []promotion.Member{{ID: "p"}}
	for _, r := range m.replicas {
		if r.down {
			missing := time.Duration(0)
			if m.ignoreSilentReplicas {
				missing = promotion.UnlistedTimeout
			}
			out = append(out, promotion.Member{ID: r.id, UnlistedFor: missing})
			continue
		}
		out = append(out, promotion.Member{ID: r.id, Answered: true, Received: group.Position{Term: 1, Index: r.received}})
	}
	return out
}

func (m *model) promote() {
	if m.pendingPromotion.received < m.acknowledged {
		m.violations = append(m.violations, fmt.Sprintf("%s has %d of %d", m.pendingPromotion.id, m.pendingPromotion.received, m.acknowledged))
	}
}
