//go:build review

package main

import (
	"fmt"
	"time"

	"github.com/mulberrysill/mulberrysill/platform/standin"
)

const (
	// outage is how long the store is down, lateness how late the order without an answer is
	// carried out, and cutPeriod how long the new primary is cut off from its replicas.
	outage, lateness, cutPeriod = 5900 * time.Millisecond, 6300 * time.Millisecond, 5 * time.Second
)

// lateOrder replaces a primary while the store is down. The first order gets no answer and is
// carried out later; its repetition is answered. The new primary is then cut off from its
// replicas and replaced as well, and at last the first order is carried out.
func lateOrder(w *world, trouble bool) (bool, error) {
	stopLoad := make(chan struct{})
	for _, d := range w.daemons {
		for i := range clientsPerDaemon {
			w.spawn(func() { w.writeLoop(d, fmt.Sprintf("key%d", i), stopLoad, 80*time.Millisecond) })
		}
	}
	time.Sleep(3 * time.Second)
	joined, err := w.group.Join(maxConnections)
	if err != nil {
		return false, err
	}
	w.setState(joined, "ready")
	w.rec.say("member %s joins", joined.ID)
	time.Sleep(3 * time.Second)

	first := w.group.Primary()
	w.promotions.LoseOrders(trouble)
	w.rec.say("primary %s is to be replaced: it reports that it is draining", first.ID)
	w.setState(first, "draining")
	orderedAt := time.Now()
	if trouble {
		if !await(5*time.Second, func() bool { return len(w.promotions.LostOrders()) > 0 }) {
			return false, fmt.Errorf("no promotion was ordered")
		}
		orderedAt = time.Now()
		w.setStoreDown(true)
		w.promotions.LoseOrders(false)
		w.rec.say("order without an answer: %+v", w.promotions.LostOrders())
	}
	if !await(6*time.Second, func() bool { return w.group.Primary() != first }) {
		return false, fmt.Errorf("the draining primary was not replaced")
	}
	second := w.group.Primary()
	w.rec.say("%s leads", second.ID)
	time.Sleep(700 * time.Millisecond)

	if trouble {
		cutAt := time.Now()
		w.rec.say("primary %s is cut off from its replicas", second.ID)
		for _, m := range w.group.Members() {
			m.SetReplicationStopped(m != second)
		}
		if await(time.Until(orderedAt.Add(outage)), func() bool { return w.group.Primary() != second }) {
			for _, m := range w.group.Members() {
				m.SetReplicationStopped(m == second)
			}
			w.rec.say("%s leads; %s is still cut off", w.group.Primary().ID, second.ID)
		}
		time.Sleep(time.Until(orderedAt.Add(outage)))
		w.setStoreDown(false)
		time.Sleep(time.Until(orderedAt.Add(lateness)))
		w.rec.say("the order without an answer is carried out %.1f s after it was sent: %+v", time.Since(orderedAt).Seconds(), w.promotions.LostOrders())
		w.promotions.CarryOut(func(standin.LostOrder) bool { return true })
		w.rec.say("%s leads", w.group.Primary().ID)
		time.Sleep(time.Until(cutAt.Add(cutPeriod)))
		for _, m := range w.group.Members() {
			m.SetReplicationStopped(false)
		}
		w.rec.say("the cut has ended")
	}
	time.Sleep(4 * time.Second)
	close(stopLoad)
	time.Sleep(time.Second)

	return w.lostCommits()
}
