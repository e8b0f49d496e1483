package gateway

import (
	"context"
	"github.com/mulberrysill/mulberrysill/core/placement"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// Instances that serve only replicas of a group send the primary no statements. They fetch
// the primary's position, which reads with bounded staleness need, from an instance that
// serves the primary.

// positionFetch is a request for the primary's position that is in progress.
type positionFetch struct{ done chan struct{} }

// fetchesPositions reports whether this instance gets the primary's positions from another
// one. The caller holds p.mu.
func (p *pool) fetchesPositions() bool {
	m := p.members[p.primary]
	return p.scope == placement.ServingByMember && m != nil && !m.served
}

// beginPositionFetch requests the primary's position unless a request is in progress, and
// returns the request. The caller holds p.mu.
func (p *pool) beginPositionFetch() *positionFetch {
	if p.fetching == nil {
		p.fetching = &positionFetch{done: make(chan struct{})}
		go p.fetchPosition(p.fetching)
	}
	return p.fetching
}

// positionWait is how long a read waits for a position of the primary.
const positionWait = 100 * time.Millisecond

// awaitPosition waits until a request for the primary's position has ended, for at most
// positionWait. It returns at once if this instance does not fetch positions.
func (p *pool) awaitPosition() {
	p.mu.Lock()
	if !p.fetchesPositions() {
		p.mu.Unlock()
		return
	}
	fetch := p.beginPositionFetch()
	p.mu.Unlock()
	timer := time.NewTimer(positionWait)
	defer timer.Stop()
	select {
	case <-fetch.done:
	case <-timer.C: // the read goes on to the primary
	}
}

func (p *pool) fetchPosition(fetch *positionFetch) {
	defer func() {
		p.mu.Lock()
		p.fetching = nil
		p.mu.Unlock()
		close(fetch.done)
	}()
	p.mu.Lock()
	m := p.members[p.primary]
	if m == nil {
		p.mu.Unlock()
		return
	}
	member := m.Member
	size := p.memberSetSize
	p.mu.Unlock()
	to := p.instances.memberOwner(member, p.instances.gw.cfg.ID, size)
	if to == nil {
		return // this instance has begun to serve the primary
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	asked := bootTime()
	primary, err := to.client.Position(ctx, &pb.PositionRequest{Group: p.name})
	if err != nil {
		p.instances.markSuspect(to)
		p.instances.gw.log.WithFields(logrus.Fields{"event": "fetch-position", "group": p.name, "peer": to.ID}).WithError(err).Info("cannot fetch the position of the primary")
		return
	}
	p.instances.recordPeerSamples([]*pb.Primary{primary}, asked)
}

// Position returns the newest position of a group's primary that is known here.
func (ps *peers) Position(_ context.Context, r *pb.PositionRequest) (*pb.Primary, error) {
	none := &pb.Primary{Group: r.Group, SampleAgeMs: -1}
	p := ps.gw.pool(r.Group)
	if p == nil {
		return none, nil
	}
	p.refreshPosition()
	if state := p.primaryState(); state != nil {
		return state, nil
	}
	return none, nil
}

// refreshPosition asks the primary for its position if the newest known one is older than
// maxSampleAge.
func (p *pool) refreshPosition() {
	p.mu.Lock()
	m := p.members[p.primary]
	wanted := m != nil && m.served && !m.down && p.sampleAge() > maxSampleAge
	p.lastRead = time.Now() // keeps the position fresh from now on, see tick
	p.mu.Unlock()
	if !wanted {
		return
	}
	deadline := time.Now().Add(probeTimeout)
	conn, err := p.witnessConn(m, "", deadline)
	if err != nil {
		return // the asker learns that the position is old
	}
	ok, err := p.proveLeadership(conn, deadline)
	if err == nil && !ok {
		p.recordNotPrimary(conn.memberID)
	}
	p.returnConn(conn, err == nil || errors.Is(err, errUnconfirmed))
}
