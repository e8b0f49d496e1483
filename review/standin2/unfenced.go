//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

func init() { cases["unfenced"] = unfenced }

const (
	// replicaBehind is how far the replicas that do not acknowledge a commit are behind, and
	// promotionTime how long a promotion takes, as at armacao-sul.
	replicaBehind = 60 * time.Millisecond
	promotionTime = 300 * time.Millisecond
	// cutOff is for how long the instances do not reach each other; the site has 5.5 s.
	cutOff = 3 * time.Second
	// listingDelay is the time from the start of a member until it is listed: an interval of
	// heartbeats and the delay of the list.
	listingDelay = 2 * time.Second
	// joiners is the number of members that start in a round.
	joiners = 2
	// rounds is how often the primary is replaced, and betweenRounds the time between.
	rounds        = 8
	betweenRounds = 9 * time.Second
)

// unfenced replaces the primary as planned, several times, while an instance is cut off from the
// other one, and while new replicas have joined that are not listed yet.
func unfenced(e *environment) (bool, error) {
	group, err := standin.NewGroup("first", 3, 33)
	if err != nil {
		return false, err
	}
	group.StatementTime, group.OpenTime = 8*time.Millisecond, 12*time.Millisecond
	group.ApplyDelay, group.ReplicationLag = 60*time.Millisecond, replicaBehind
	d := &deployment{store: standin.NewStore(), promotions: standin.NewPromotionServer(group), groups: []*standin.Group{group}}
	d.promotions.SetDelay(promotionTime)
	config := standin.Config{Version: 10, Group: group.Name, MaxConnections: 33, StatementTimeout: time.Second}
	for i := range tenants {
		config.Workspaces = append(config.Workspaces, standin.Workspace{Name: fmt.Sprintf("tenant%d", i), Keys: []string{fmt.Sprintf("key%d", i)}, Rate: 2000, Burst: 2000})
	}
	d.store.PutConfig(config)
	d.registerMembers()
	instances, err := e.startInstances(d, 2)
	if err != nil {
		return false, err
	}
	if err := awaitServing(instances, standin.StrictDatabase, "key0"); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // until the promotion duty has a holder
	w := &commitWriters{e: e, stop: make(chan struct{}), sent: map[string]*sent{}}
	for _, in := range instances {
		for i := range tenants {
			w.clients.Go(func() { w.write(in, i) })
		}
	}
	time.Sleep(2 * time.Second)
	for n := range rounds {
		if e.trouble {
			e.notef("round %d: the instances are cut off from each other; both reach the store, the members and their clients", n+1)
			for _, in := range instances {
				in.peers.Freeze()
			}
		}
		ended := time.Now().Add(cutOff)
		time.Sleep(200 * time.Millisecond)
		var joined []*standin.Member
		for range joiners {
			m, err := group.Join(33)
			if err != nil {
				return false, err
			}
			joined = append(joined, m)
			e.notef("round %d: member %s starts and receives commits", n+1, m.ID)
		}
		leaving := group.Primary()
		listed := time.AfterFunc(listingDelay, func() {
			for _, m := range joined {
				d.putMember(m, "ready")
			}
		})
		time.Sleep(200 * time.Millisecond)
		e.notef("round %d: the primary %s reports that it drains", n+1, leaving.ID)
		d.putMember(leaving, "draining")
		time.Sleep(time.Until(ended))
		for _, in := range instances {
			in.peers.Restore()
		}
		e.notef("round %d: the instances reach each other again; primary is %s", n+1, group.Primary().ID)
		time.Sleep(betweenRounds - cutOff - 2*time.Second)
		listed.Stop()
		for _, m := range []*standin.Member{leaving, joined[1]} {
			if group.Leave(m) {
				d.store.RemoveMember(m.ID)
				e.notef("round %d: %s has left", n+1, m.ID)
			}
		}
		time.Sleep(2 * time.Second)
	}
	close(w.stop)
	w.clients.Wait()
	return judgeCommits(e, group, w.sent), nil
}

// putMember writes the entry of a member.
func (d *deployment) putMember(m *standin.Member, state string) {
	entry := m.Entry(state)
	entry["zone"] = "z1"
	d.store.Put("servers", m.ID, entry)
}

// commitWriters are clients that write items of their own.
type commitWriters struct {
	e       *environment
	stop    chan struct{}
	clients sync.WaitGroup
	count   atomic.Int64
	mu      sync.Mutex
	sent    map[string]*sent // guarded by mu
}

func (w *commitWriters) write(in *instance, tenant int) {
	for {
		c, err := dial(in.address, standin.StrictDatabase, fmt.Sprintf("key%d", tenant))
		for err == nil {
			select {
			case <-w.stop:
				c.close()
				return
			case <-time.After(20 * time.Millisecond):
			}
			item := fmt.Sprintf("item%d", w.count.Add(1))
			s := &sent{id: in.name + "-" + item, through: in.name, text: "WRITE " + item + " data", at: time.Now()}
			s.answer = c.query(s.id, s.text)
			w.mu.Lock()
			w.sent[item] = s
			w.mu.Unlock()
			if s.answer.err != nil {
				c.close()
				break
			}
		}
		select {
		case <-w.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// judgeCommits reports whether an acknowledged commit was not in the log of a member that was
// promoted.
func judgeCommits(e *environment, group *standin.Group, all map[string]*sent) bool {
	for item, s := range all {
		e.noteAt(s.at, "%s to %s: WRITE %s: %s", s.id, s.through, item, s.answer)
	}
	lost := 0
	for _, p := range group.Promotions() {
		e.noteAt(p.At, "%s leads in place of %s; its log lacks %d commits", p.To, p.From, len(p.Discarded))
		for _, c := range p.Discarded {
			if s := all[c.Item]; s != nil && s.answer.done() {
				lost++
				e.noteAt(p.At, "BROKEN: the commit of %s was acknowledged through %s to its client and isn't in the log of %s: %s", c.Item, s.through, p.To, strings.TrimSpace(s.answer.signature))
			}
		}
	}
	text := fmt.Sprintf("%d writes sent, %d changes of primary, %d acknowledged commits lost", len(all), len(group.Promotions()), lost)
	e.notef("%s", text)
	fmt.Println(text)
	return lost > 0
}
