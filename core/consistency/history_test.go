package consistency_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/mulberrysill/mulberrysill/core/consistency"
	"github.com/mulberrysill/mulberrysill/core/group"
)

// entry is one log entry. The id tells apart entries with the same index in
// diverged logs.
type entry struct {
	term uint64
	id   uint64
}

// member is a simulated member of the group. It may follow a term while its log
// still has entries that conflict with the log of that term.
type member struct {
	name                         string
	log                          []entry
	applied                      int
	promised, current            uint64
	primary                      bool
	start, previous, incarnation uint64
}

func (m *member) status() group.Status {
	s := group.Status{
		Member: m.name, Role: group.Replica, PromisedTerm: m.promised, CurrentTerm: m.current,
		Received: uint64(len(m.log)), Applied: uint64(m.applied), TermStart: m.start,
		PreviousTerm: m.previous, Incarnation: m.incarnation,
	}
	if m.primary {
		s.Role = group.Primary
	}
	if len(m.log) > 0 {
		s.LogTerm = m.log[len(m.log)-1].term
	}
	if m.applied > 0 {
		s.AppliedTerm = m.log[m.applied-1].term
	}
	return s
}

func (m *member) sees(id uint64) bool {
	return slices.ContainsFunc(m.log[:m.applied], func(e entry) bool { return e.id == id })
}

// coveredFloor is a floor, and the ids of the writes that a read with that floor
// must see.
type coveredFloor struct {
	floor  group.Position
	covers []uint64
}

// cluster is a simulated group of three members that is used by two instances. The
// rules are checked for the first instance. The second one, otherCommits, only
// confirms the commits of its own sessions.
type cluster struct {
	t            *rapid.T
	members      []*member
	nextID       uint64
	terms        []consistency.Term
	commits      *consistency.CommitTracker
	otherCommits *consistency.CommitTracker
	ages         *consistency.StalenessTracker
	now          time.Time
	positions    map[uint64]group.Position
	observed     map[string]group.Status
	floors       []coveredFloor
	acked        []uint64
	ackedAt      []time.Time
	discarded    []uint64
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{
		t: t, commits: consistency.NewCommitTracker(3), otherCommits: consistency.NewCommitTracker(3), ages: consistency.NewStalenessTracker(3), now: time.Unix(1000, 0),
		positions: map[uint64]group.Position{}, observed: map[string]group.Status{},
	}
	for i := range 3 {
		c.members = append(c.members, &member{name: fmt.Sprint("m", i), incarnation: 1})
	}
	return c
}

func (c *cluster) pick(label string) *member { return rapid.SampledFrom(c.members).Draw(c.t, label) }

func (c *cluster) pickPrimary() *member {
	var primaries []*member
	for _, m := range c.members {
		if m.primary {
			primaries = append(primaries, m)
		}
	}
	if len(primaries) == 0 {
		c.t.Skip("no primary")
	}
	return rapid.SampledFrom(primaries).Draw(c.t, "primary")
}

func (c *cluster) write(*rapid.T) {
	p := c.pickPrimary()
	if p.promised != p.current {
		c.t.Skip("fenced")
	}
	c.nextID++
	p.log = append(p.log, entry{p.current, c.nextID})
	p.applied = len(p.log)
	at := group.Position{Term: p.current, Index: uint64(len(p.log))}
	c.positions[c.nextID] = at
	owner := c.commits
	if rapid.Bool().Draw(c.t, "other instance") {
		owner = c.otherCommits
	}
	c.recordOutcome(c.nextID, owner.Add(c.nextID, at))
}

// recordOutcome records the result that an instance reports to its client.
func (c *cluster) recordOutcome(id uint64, r consistency.CommitResult) {
	switch r {
	case consistency.Acknowledged:
		c.acked, c.ackedAt = append(c.acked, id), append(c.ackedAt, c.now)
		c.floors = append(c.floors, coveredFloor{c.positions[id], []uint64{id}})
	case consistency.Discarded:
		c.discarded = append(c.discarded, id)
	}
}

// follow makes a member follow the primary's term without receiving entries.
func (c *cluster) follow(*rapid.T) { c.followPrimary() }

func (c *cluster) followPrimary() (p, m *member) {
	p, m = c.pickPrimary(), c.pick("member")
	if m == p || m.promised > p.current {
		c.t.Skip("refused")
	}
	m.promised, m.current, m.primary = p.current, p.current, false
	m.start, m.previous = p.start, p.previous
	return p, m
}

// push sends some entries of the primary to a member. The member discards its
// conflicting entries.
func (c *cluster) push(*rapid.T) {
	p, m := c.followPrimary()
	same := 0
	for same < len(m.log) && same < len(p.log) && m.log[same] == p.log[same] {
		same++
	}
	n := rapid.IntRange(same, len(p.log)).Draw(c.t, "entries")
	if n == same {
		return
	}
	if m.applied > same {
		m.applied = same
		m.incarnation++
	}
	m.log = append(slices.Clone(m.log[:same]), p.log[same:n]...)
}

func (c *cluster) apply(*rapid.T) {
	m := c.pick("member")
	m.applied = rapid.IntRange(m.applied, len(m.log)).Draw(c.t, "applied")
}

func (c *cluster) restart(*rapid.T) {
	m := c.pick("member")
	m.applied, m.primary = rapid.IntRange(0, m.applied).Draw(c.t, "applied"), false
	m.incarnation++
}

// promote fences a majority and makes its most advanced member the primary.
func (c *cluster) promote(*rapid.T) {
	excluded := c.pick("left out")
	all := rapid.Bool().Draw(c.t, "all")
	var best *member
	term := uint64(len(c.terms) + 1)
	for _, m := range c.members {
		if m == excluded && !all {
			continue
		}
		m.promised = term
		if best == nil || m.status().ReceivedPosition().Compare(best.status().ReceivedPosition()) > 0 {
			best = m
		}
	}
	if rapid.IntRange(0, 3).Draw(c.t, "promoter dies") == 0 {
		c.terms = append(c.terms, consistency.Term{Number: term})
		return
	}
	c.nextID++
	best.previous = best.status().LogTerm
	best.log = append(best.log, entry{term, c.nextID})
	best.applied, best.current, best.primary = len(best.log), term, true
	best.start = uint64(len(best.log))
	c.terms = append(c.terms, consistency.Term{Primary: best.name, Number: term})
}

// observe delivers the status of one member to the first instance.
func (c *cluster) observe(*rapid.T) {
	m := c.pick("member")
	c.now = c.now.Add(time.Millisecond)
	s := m.status()
	c.observed[m.name] = s
	c.ages.Observe(s, c.now)
	for _, o := range c.commits.Observe(s) {
		c.recordOutcome(o.ID, o.Result)
	}
}

// observeElsewhere delivers the statuses of all members to the second instance.
func (c *cluster) observeElsewhere(*rapid.T) {
	for _, m := range c.members {
		for _, o := range c.otherCommits.Observe(m.status()) {
			c.recordOutcome(o.ID, o.Result)
		}
	}
}

// sample adds the floor that covers all writes acknowledged before a recent time.
func (c *cluster) sample(*rapid.T) {
	since := c.now.Add(-time.Duration(rapid.IntRange(0, 5).Draw(c.t, "age ms")) * time.Millisecond)
	floor, ok := c.ages.FloorSince(since)
	if !ok {
		c.t.Skip("age not proved")
	}
	b := coveredFloor{floor: floor}
	for i, id := range c.acked {
		if c.ackedAt[i].Before(since) {
			b.covers = append(b.covers, id)
		}
	}
	c.floors = append(c.floors, b)
}

// check verifies that every member that may serve a floor has all writes that the
// floor covers.
func (c *cluster) check(*rapid.T) {
	for _, m := range c.members {
		s, known := c.observed[m.name]
		connected := known && s.Incarnation == m.incarnation
		for _, term := range c.terms {
			term.Confirmed = c.commits.IsTermConfirmed(term.Number)
			for _, b := range c.floors {
				serves := connected && consistency.ReplicaServes(s, term, b.floor) ||
					m.primary && m.current == term.Number && consistency.PrimaryServes(term, b.floor)
				for _, id := range b.covers {
					if serves && !m.sees(id) {
						c.t.Fatalf("%s serves floor %s in term %d without write %d", m.name, b.floor, term.Number, id)
					}
				}
			}
		}
	}
	c.checkDiscarded()
}

// checkDiscarded verifies that no write reported as not run is in the log of the
// latest term's primary.
func (c *cluster) checkDiscarded() {
	for _, p := range c.members {
		if !p.primary || int(p.current) != len(c.terms) {
			continue
		}
		for _, id := range c.discarded {
			if slices.ContainsFunc(p.log, func(e entry) bool { return e.id == id }) {
				c.t.Fatalf("write %d was reported as not run and is on primary %s", id, p.name)
			}
		}
	}
}

func checkHistory(t *rapid.T) {
	c := newCluster(t)
	c.promote(t)
	t.Repeat(map[string]func(*rapid.T){
		"write": c.write, "push": c.push, "push again": c.push, "follow": c.follow, "apply": c.apply,
		"restart": c.restart, "promote": c.promote, "observe": c.observe, "observe again": c.observe,
		"observe elsewhere": c.observeElsewhere,
		"sample":            c.sample, "": c.check,
	})
}

var _ = Describe("any history of a group", func() {
	It("never shows a session a state below its floor, nor keeps a write reported as not run", func() {
		// rapid.Check runs 100 histories by default. Faults in the rules took about
		// 2,000 histories to show.
		for range 30 {
			rapid.Check(GinkgoT(), checkHistory)
		}
	})
})
