//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

func init() { cases["moved-route"] = movedRoute }

const (
	// revertSlack is the bound of the pages.
	revertSlack = 250 * time.Millisecond
	// cutLength is within the 5.5 s of the sites.
	cutLength = 5 * time.Second
	// connections is the limit of each member, as at velacruz-utileria.
	connections = 21
	tenants     = 8
	sessionsPer = 2
)

// sent is a statement as its client knows it.
type sent struct {
	id, text string
	through  string
	at       time.Time
	answer   answer
}

// movedRoute moves a route to another service while one instance is cut off from the store.
// The others know of it, and must not go back.
func movedRoute(e *environment) (bool, error) {
	first, err := standin.NewGroup("first", 3, connections)
	if err != nil {
		return false, err
	}
	second, err := standin.NewGroup("second", 3, connections)
	if err != nil {
		return false, err
	}
	d := &deployment{store: standin.NewStore(), promotions: standin.NewPromotionServer(first, second), groups: []*standin.Group{first, second}}
	for _, g := range d.groups {
		g.StatementTime, g.OpenTime, g.ApplyDelay = 6*time.Millisecond, 12*time.Millisecond, 60*time.Millisecond
	}
	config := standin.Config{Version: 10, Group: first.Name, ReadYourWritesGroup: first.Name, MaxConnections: connections}
	for i := range tenants {
		config.Workspaces = append(config.Workspaces, standin.Workspace{Name: fmt.Sprintf("tenant%d", i), Keys: []string{fmt.Sprintf("key%d", i)}, Rate: 1000, Burst: 1000})
	}
	d.store.PutConfig(config)
	d.registerMembers()
	instances, err := e.startInstances(d, 3)
	if err != nil {
		return false, err
	}
	if err := awaitServing(instances, standin.ReadYourWritesDatabase, "key0"); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var all []*sent
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, in := range instances {
		for i := range tenants * sessionsPer {
			clients.Go(func() {
				for n := 0; ; n++ {
					c, err := dial(in.address, standin.ReadYourWritesDatabase, fmt.Sprintf("key%d", i%tenants))
					for err == nil {
						select {
						case <-stop:
							c.close()
							return
						default:
						}
						n++
						s := &sent{id: fmt.Sprintf("%s-%d-%d", in.name, i, n), through: in.name}
						s.text = "READ " + s.id
						if n%4 == 0 {
							s.text = "WRITE " + s.id + " data"
						}
						s.at = time.Now()
						s.answer = c.query(s.id, s.text)
						mu.Lock()
						all = append(all, s)
						mu.Unlock()
						if s.answer.err != nil {
							c.close()
							break
						}
						time.Sleep(150 * time.Millisecond)
					}
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	cut := instances[2]
	if e.trouble {
		e.notef("%s is cut off from the store", cut.name)
		cut.store.Freeze()
	}
	time.Sleep(300 * time.Millisecond)
	config.Version, config.ReadYourWritesGroup = 20, second.Name
	d.store.PutConfig(config)
	acknowledged := time.Now()
	e.notef("version 20 is acknowledged: the route goes to service second")
	time.Sleep(cutLength - 300*time.Millisecond)
	if e.trouble {
		cut.store.Restore()
		e.notef("%s reaches the store again", cut.name)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	misplaced := judgeMoved(e, d, all, cut.name, acknowledged)
	for _, s := range misplaced {
		if strings.HasPrefix(s.text, "WRITE") && s.answer.done() {
			e.readBack(instances[0], s.id)
		}
	}
	return len(misplaced) > 0, nil
}

// readBack reads the item of an acknowledged write through the route, long after all instances
// have the new version.
func (e *environment) readBack(in *instance, item string) {
	c, err := dial(in.address, standin.ReadYourWritesDatabase, "key0")
	if err != nil {
		e.notef("cannot read %s back: %v", item, err)
		return
	}
	defer c.close()
	e.notef("read back through the route: READ %s: %s", item, c.query("back-"+item, "READ "+item))
}

// run is where a statement was run.
type run struct {
	service, member string
	at              time.Time
}

// judgeMoved returns the statements that went to the old service although they were sent to an
// instance through which a member had seen the new version. The instance that was cut off is
// left out.
func judgeMoved(e *environment, d *deployment, all []*sent, cut string, acknowledged time.Time) (misplaced []*sent) {
	runs := map[string][]run{}
	for _, g := range d.groups {
		for _, x := range g.ExecutedStatements() {
			_, item, _ := strings.Cut(x.Text, " ")
			id, _, _ := strings.Cut(item, " ")
			runs[id] = append(runs[id], run{g.Name, x.Member, x.BeganAt})
		}
	}
	seen := map[string]time.Time{}
	for _, s := range all {
		for _, r := range runs[s.id] {
			if at, ok := seen[s.through]; r.service == "second" && (!ok || r.at.Before(at)) {
				seen[s.through] = r.at
			}
		}
	}
	for name, at := range seen {
		e.noteAt(at, "a member of service second runs the first statement that was sent to %s", name)
	}
	back, lateBack, writes := map[string]int{}, 0, 0
	for _, s := range all {
		for _, r := range runs[s.id] {
			e.noteAt(s.at, "%s to %s: %s; run by %s (%s) %d ms later; %s", s.id, s.through, s.text, r.member, r.service, r.at.Sub(s.at).Milliseconds(), s.answer)
			at, ok := seen[s.through]
			if r.service != "first" || s.through == cut || !ok || s.at.Before(at.Add(revertSlack)) {
				continue
			}
			back[s.through]++
			misplaced = append(misplaced, s)
			if s.at.Sub(acknowledged) > 3*time.Second {
				lateBack++
			}
			if strings.HasPrefix(s.text, "WRITE") && s.answer.done() {
				writes++
			}
			e.noteAt(s.at, "BROKEN: %s was sent to %s %d ms after a member had seen version 20 through it, and was run by the old service", s.id, s.through, s.at.Sub(at).Milliseconds())
		}
	}
	for name, n := range back {
		e.notef("%s went back for %d statements", name, n)
	}
	text := fmt.Sprintf("%d statements, %d went back, of which %d acknowledged writes, %d later than 3 s after the acknowledgement", len(all), len(misplaced), writes, lateBack)
	e.notef("%s", text)
	fmt.Println(text)
	return misplaced
}
