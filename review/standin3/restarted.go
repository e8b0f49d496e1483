//go:build review

package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/mulberrysill/mulberrysill/platform"
)

const (
	// restartedRounds is the number of rounds, one each restartedPeriod.
	restartedRounds, restartedPeriod = 7, 13 * time.Second
	// leavesAfter is how long a draining member still runs.
	leavesAfter = 7500 * time.Millisecond
	// startsPerRound is the number of members that start in each round.
	startsPerRound = 2
)

// restarted stops and starts the daemon that does not hold the promotion duty, as planned, while
// it is cut off from the other one. Then members start and the primary is replaced, as planned.
func restarted(w *world, trouble bool) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	duty, err := platform.NewStore(w.store.Address()).ReadDuty(ctx)
	cancel()
	if err != nil {
		return false, err
	}
	var other *daemon
	for _, d := range w.daemons {
		if d.name != duty.Holder {
			other = d
		}
	}
	w.rec.say("%s holds the promotion duty", duty.Holder)
	stopLoad := make(chan struct{})
	for _, d := range w.daemons {
		sessions := 6
		if d == other {
			sessions = 24
		}
		for i := range sessions {
			w.spawn(func() { w.writeLoop(d, fmt.Sprintf("key%d", i%8), stopLoad, 25*time.Millisecond) })
		}
	}
	time.Sleep(4 * time.Second)
	for round := range restartedRounds {
		began := time.Now()
		primary := w.group.Primary()
		w.rec.say("round %d: primary %s; %s is stopped and started", round+1, primary.ID, other.name)
		other.expected.Store(true)
		other.signal(syscall.SIGTERM)
		select {
		case <-other.exited:
		case <-time.After(6 * time.Second):
			return false, fmt.Errorf("%s did not end in the grace period", other.name)
		}
		cutAt := time.Now()
		if trouble {
			for _, d := range w.daemons {
				d.peers.freeze()
			}
			w.rec.say("the daemons are cut off from each other")
		}
		// The whole system starts for the first time only once.
		if err := other.forgetFirstStart(); err != nil {
			return false, err
		}
		if err := other.start(); err != nil {
			return false, err
		}
		before := w.acknowledgedBy(other)
		if !await(4*time.Second, func() bool { return w.acknowledgedBy(other) >= before+20 }) {
			return false, fmt.Errorf("%s does not serve", other.name)
		}
		w.rec.say("%s serves again", other.name)
		for range startsPerRound {
			joined, err := w.group.Join(maxConnections)
			if err != nil {
				return false, err
			}
			if err := w.addLink(joined); err != nil {
				return false, err
			}
			w.rec.say("%s starts", joined.ID)
			time.AfterFunc(listedAfter, func() { w.setState(joined, "ready") })
		}
		time.Sleep(100 * time.Millisecond)
		w.rec.say("%s reports that it is draining", primary.ID)
		w.setState(primary, "draining")
		await(time.Until(cutAt.Add(maxCut)), func() bool { return w.group.Primary() != primary })
		time.Sleep(100 * time.Millisecond)
		if trouble {
			for _, d := range w.daemons {
				d.peers.restore()
			}
			w.rec.say("the cut has ended after %.1f s", time.Since(cutAt).Seconds())
		}
		if !await(8*time.Second, func() bool { return w.group.Primary() != primary }) {
			return false, fmt.Errorf("the primary was not replaced")
		}
		time.Sleep(leavesAfter)
		w.leave(primary)
		time.Sleep(time.Until(began.Add(restartedPeriod)))
	}
	close(stopLoad)
	time.Sleep(time.Second)
	return w.lostCommits()
}
