package gateway

import (
	"context"
	"hash/maphash"
	"strconv"
	"time"

	"github.com/mulberrysill/mulberrysill/core/group"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// Sync applies a peer's state and responds with this instance's state.
func (ps *peers) Sync(_ context.Context, s *pb.State) (*pb.State, error) {
	ps.observeState(s)
	var workspaces workspaceSet
	switch {
	case s.SectionOnly && s.Partial:
		workspaces = ps.gw.limits.nearLimit()
	case s.Partial:
		workspaces = make(workspaceSet, len(s.Usages))
		for _, u := range s.Usages {
			workspaces[u.Workspace] = true
		}
	}
	answer := ps.localState(workspaces)
	switch collector, isCollector := ps.collector(); {
	case isCollector && s.SectionOnly:
		answer.Section = answer.Zone
		answer.Usages = usages(ps.gw.limits.reportSection(workspaces))
		ps.fillAlive(answer, s, answer.Zone)
	case isCollector:
		if list := ps.gw.memberList.Load(); list != nil && ps.gw.storeAnswers() {
			answer.MembersRevision = uint64(list.revision)
		}
		answer.Usages = usages(ps.gw.limits.reportOthers(s.Id+"/"+strconv.FormatInt(s.Started, 10), workspaces))
		ps.fillAlive(answer, s, "")
	case collector != "":
		// The asker takes this instance for the collector of its zone, perhaps because it
		// has heard of no other there. Told of them, it finds the actual collector, through
		// which the usages of this instance reach it.
		answer.Usages, answer.Partial = nil, true
		ps.fillAlive(answer, s, answer.Zone)
	}
	return answer, nil
}

// fillAlive adds the live instances of a zone, or of all zones if it is empty, unless the
// asker has them.
func (ps *peers) fillAlive(answer, asker *pb.State, zone string) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	now := time.Now()
	var alive []*pb.Member
	for _, p := range ps.byID {
		if p.alive(now) && !p.lastHeard.IsZero() && (zone == "" || p.Zone == zone) {
			alive = append(alive, &pb.Member{Id: p.ID, Zone: p.Zone, Address: p.PeerAddress, Started: p.Started, Capacity: p.Capacity})
			// A sum is independent of the iteration order.
			answer.AliveDigest += maphash.Comparable(ps.digestSeed, p.Instance)
		}
	}
	if answer.AliveDigest != asker.AliveDigest {
		answer.Alive = alive
	}
}

// ReportPrimary receives a peer's report of an unusable primary.
func (ps *peers) ReportPrimary(_ context.Context, r *pb.PrimaryReport) (*pb.Ack, error) {
	ps.gw.controller.enqueue(func() { ps.gw.controller.handlePrimaryReport(r) })
	return &pb.Ack{}, nil
}

// CheckPrimary reports whether this instance can reach a primary.
func (ps *peers) CheckPrimary(ctx context.Context, r *pb.CheckPrimaryRequest) (*pb.CheckPrimaryResponse, error) {
	reachable, acknowledged := ps.gw.checkPrimary(ctx, r.Group, r.Member)
	return &pb.CheckPrimaryResponse{
		Reachable: reachable, AcknowledgedTerm: acknowledged.Term, AcknowledgedIndex: acknowledged.Index,
	}, nil
}

// PrimaryChanged receives the result of a completed promotion.
func (ps *peers) PrimaryChanged(_ context.Context, primary *pb.Primary) (*pb.Ack, error) {
	ps.recordPrimary(primary)
	return &pb.Ack{}, nil
}

// FetchCatalog returns the newest configuration of this instance.
func (ps *peers) FetchCatalog(_ context.Context, request *pb.FetchCatalogRequest) (*pb.FetchCatalogResponse, error) {
	c := ps.gw.currentConfig.Load()
	age, known := ps.gw.configLeaseAge()
	if c == nil || !known {
		return &pb.FetchCatalogResponse{AgeMs: -1}, nil
	}
	plain, compressed, err := c.encode()
	if err != nil {
		return nil, err
	}
	response := &pb.FetchCatalogResponse{Revision: uint64(c.Revision), ConfigVersion: c.Version(), AgeMs: age.Milliseconds() + 1}
	if request.AcceptGzip {
		response.CompressedEntries = compressed
	} else {
		response.Entries = plain
	}
	return response, nil
}

// FetchMembers returns this instance's list of members.
func (ps *peers) FetchMembers(context.Context, *pb.FetchMembersRequest) (*pb.FetchMembersResponse, error) {
	list := ps.gw.memberList.Load()
	if list == nil {
		return &pb.FetchMembersResponse{}, nil
	}
	data, err := list.encode()
	if err != nil {
		return nil, err
	}
	return &pb.FetchMembersResponse{Revision: uint64(list.revision), Entries: data}, nil
}

// checkPrimary reports whether the member responds to this instance now, and the
// highest position that this instance has seen acknowledged.
func (g *Gateway) checkPrimary(ctx context.Context, groupName, member string) (bool, group.Position) {
	p := g.pool(groupName)
	if p == nil {
		return false, group.Position{}
	}
	p.mu.Lock()
	m, acknowledged := p.members[member], p.acknowledged
	fresh := m != nil && !m.down && time.Since(m.lastAnswerAt) < probeTimeout/2
	p.mu.Unlock()
	if m == nil {
		return false, acknowledged
	}
	return fresh || p.isReachable(ctx, m), acknowledged
}
