package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/promotion"
	pb "github.com/mulberrysill/mulberrysill/rpc/gate"
)

// unreportedCommitPeriod is how long a process that ended without a last report is taken
// into account: it may have seen a commit acknowledged that nobody else knows of. It is as
// long as a silent instance is remembered.
const unreportedCommitPeriod = peerForgetTimeout

// instanceAnswers is what the instances know about a primary and its commits.
type instanceAnswers struct {
	votes promotion.Votes
	// allAnswered is set if all instances that may be running have answered.
	allAnswered bool
}

// callReporters calls all peers that may be running, at once. It returns the answers, and the
// errors of those that have not answered, by ID.
func callReporters[T any](ctx context.Context, c *primaryChange, call func(context.Context, pb.Gate) (T, error)) (answers map[string]T, failed map[string]error) {
	clients := c.controller.gw.peers.reporters()
	type answer struct {
		id    string
		value T
		err   error
	}
	results := make(chan answer, len(clients))
	for id, client := range clients {
		go func() {
			value, err := call(ctx, client)
			if err != nil {
				c.log().WithField("peer", id).WithError(err).Info("instance does not tell which commits it knows")
			}
			results <- answer{id, value, err}
		}()
	}
	answers, failed = make(map[string]T, len(clients)), map[string]error{}
	for range clients {
		if a := <-results; a.err == nil {
			answers[a.id] = a.value
		} else {
			failed[a.id] = a.err
		}
	}
	return answers, failed
}

// askInstances asks all instances whether they can reach the primary, and which commits
// they have seen acknowledged.
func (c *primaryChange) askInstances(ctx context.Context) instanceAnswers {
	type view struct {
		reaches      bool
		acknowledged group.Position
	}
	ctx, cancel := context.WithTimeout(ctx, 2*peerTimeout)
	defer cancel()
	own := make(chan view, 1)
	go func() {
		reaches, acknowledged := c.controller.gw.checkPrimary(ctx, c.pool.name, c.primary)
		own <- view{reaches, acknowledged}
	}()
	answers, failed := callReporters(ctx, c, func(ctx context.Context, client pb.Gate) (view, error) {
		r, err := client.CheckPrimary(ctx, &pb.CheckPrimaryRequest{Group: c.pool.name, Member: c.primary})
		if err != nil {
			return view{}, err // no vote, and its commits are unknown
		}
		return view{r.Reachable, group.Position{Term: r.AcknowledgedTerm, Index: r.AcknowledgedIndex}}, nil
	})
	out := instanceAnswers{allAnswered: len(failed) == 0}
	ownView := <-own
	for _, v := range append(slices.Collect(maps.Values(answers)), ownView) {
		c.noteAcknowledged(v.acknowledged)
		if v.reaches {
			out.votes.Reachable++
		} else {
			out.votes.Unreachable++
		}
	}
	c.votes, c.reachesPrimary = out.votes, ownView.reaches
	return out
}

func (c *primaryChange) noteAcknowledged(at group.Position) {
	if at.Compare(c.acknowledged) > 0 {
		c.acknowledged = at
	}
}

// knowledge returns what is known about acknowledged commits. The instances are asked only
// if the logs of the members do not show them, and fenced if some of them reach the primary.
func (c *primaryChange) knowledge(ctx context.Context, candidates []promotion.Member) promotion.Knowledge {
	_, _, _, acknowledged := c.pool.snapshot()
	c.noteAcknowledged(acknowledged)
	if known := c.addStop(promotion.Knowledge{Acknowledged: c.acknowledged}); known.Stopped || !promotion.NeedsCompleteKnowledge(candidates, c.primary) {
		return known
	}
	answers := c.askInstances(ctx)
	unreported := c.controller.gw.peers.unreported(time.Now())
	known := promotion.Knowledge{Acknowledged: c.acknowledged, Complete: answers.allAnswered && unreported == ""}
	if answers.votes.Reachable > 0 {
		known.Complete, known.Fenced = false, known.Complete
		_, provable := promotion.Choose(candidates, c.primary, known)
		known.Fenced = provable && c.mayDiscardCommits(candidates) && c.fenceCommits(ctx, "")
		known.Acknowledged = c.acknowledged
	}
	if !known.Complete && !known.Fenced {
		c.log().WithFields(logrus.Fields{
			"reach": answers.votes.Reachable, "fail": answers.votes.Unreachable, "allAnswered": answers.allAnswered, "unreported": unreported,
		}).Info("a replica is silent, and the instances may not know all commits that it has")
	}
	return known
}

// mayDiscardCommits reports whether the primary may be replaced without commits of it that no
// instance has seen acknowledged: too many instances do not reach it, or it has answered and
// its commits reach no replica. Otherwise a primary that does not answer may be too busy to.
func (c *primaryChange) mayDiscardCommits(candidates []promotion.Member) bool {
	switch c.reason {
	case promotion.Unreachable:
		return true
	case promotion.CutOff:
		return slices.ContainsFunc(candidates, func(m promotion.Member) bool { return m.ID == c.primary && m.Answered })
	default:
		return false
	}
}

// reporters returns the clients of the peers that may be running, by ID. Unlike clients, it
// includes those that are leaving: they still run statements.
func (ps *peers) reporters() map[string]pb.Gate { return ps.selectClients((*peer).mayReport) }

// mayReport reports whether the peer may be running and in touch with this instance.
func (p *peer) mayReport(now time.Time) bool {
	return !p.stopped && (now.Sub(p.lastHeard) < peerAliveTimeout || now.Sub(p.addedAt) < peerAliveTimeout)
}

// unreported returns the ID of an instance of which not all acknowledged commits can be
// known although all reporters answer, or "". That is an instance that is silent, or whose
// process ended without a last report, and this one if it has started too recently to know
// of such processes.
func (ps *peers) unreported(now time.Time) string {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if !ps.gw.cfg.FirstStart && bootTime()-ps.startedAt < unreportedCommitPeriod {
		return ps.gw.cfg.ID
	}
	if now.Sub(ps.lostReportAt) < unreportedCommitPeriod {
		return ps.lostReportOf
	}
	for id, p := range ps.byID {
		if !p.stopped && !p.mayReport(now) {
			return id
		}
	}
	return ""
}

// noteReplaced records that a peer's process has been replaced by another one. The caller
// holds ps.mu.
func (ps *peers) noteReplaced(p *peer) {
	if !p.stopped && p.lastHeard.After(ps.lostReportAt) {
		ps.lostReportAt, ps.lostReportOf = p.lastHeard, p.ID
	}
}

// announceStop tells the peers the commits that this instance knows to be acknowledged, and
// that it runs no more statements.
func (ps *peers) announceStop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	state := ps.localState(workspaceSet{})
	state.Stopped = true
	ps.sendToPeers(ctx, func(string) *pb.State { return state }).Wait()
}
