//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// comesBackRounds is the number of rounds, one each roundPeriod.
	comesBackRounds, roundPeriod = 6, 12 * time.Second
	// joinAfter and darkAfter are when a member joins and the primary goes dark, after the cut
	// has begun, and listedAfter how long after its start a member's first entry is listed.
	joinAfter, darkAfter, listedAfter = 700 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second
	// maxDark and maxCut bound the disruptions.
	maxDark, maxCut = 4 * time.Second, 5 * time.Second
)

// comesBack lets the primary go dark while one daemon is cut off from the other one, and come
// back as the order for its successor is accepted, which takes effect a second later. A member
// that starts meanwhile is not listed yet.
func comesBack(w *world, trouble bool) (bool, error) {
	stopLoad := make(chan struct{})
	for _, d := range w.daemons {
		for i := range 8 {
			w.spawn(func() { w.writeLoop(d, fmt.Sprintf("key%d", i), stopLoad, 40*time.Millisecond) })
		}
	}
	time.Sleep(4 * time.Second)
	for round := range comesBackRounds {
		began := time.Now()
		primary := w.group.Primary()
		dark := w.links[primary]
		accepted := make(chan struct{}, 8)
		w.orders.onAccepted = func(string) { accepted <- struct{}{} }
		w.rec.say("round %d: primary %s", round+1, primary.ID)
		if trouble {
			for _, d := range w.daemons {
				d.peers.freeze()
			}
			w.rec.say("the daemons are cut off from each other")
			time.Sleep(time.Until(began.Add(darkAfter)))
			dark.freeze()
			w.rec.say("%s is dark", primary.ID)
		}
		time.Sleep(time.Until(began.Add(joinAfter)))
		joined, err := w.group.Join(maxConnections)
		if err != nil {
			return false, err
		}
		if err := w.addLink(joined); err != nil {
			return false, err
		}
		w.rec.say("%s starts", joined.ID)
		time.AfterFunc(listedAfter, func() { w.setState(joined, "ready") })
		if trouble {
			select {
			case <-accepted:
			case <-time.After(time.Until(began.Add(darkAfter + maxDark))):
			}
			dark.restore()
			w.rec.say("%s is back", primary.ID)
			await(time.Until(began.Add(maxCut)), func() bool { return w.group.Primary() != primary })
			time.Sleep(100 * time.Millisecond)
			for _, d := range w.daemons {
				d.peers.restore()
			}
			w.rec.say("the cut has ended")
		}
		time.Sleep(time.Until(began.Add(roundPeriod)))
	}
	close(stopLoad)
	time.Sleep(time.Second)
	return w.lostCommits()
}
