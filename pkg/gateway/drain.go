package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/mulberrysill/mulberrysill/core/shutdown"
	"github.com/mulberrysill/mulberrysill/core/statement"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

const (
	// readinessDelay is how long the platform may continue to send new
	// connections after the readiness probe starts to fail: two probes one
	// second apart, plus propagation.
	readinessDelay = 2300 * time.Millisecond
	// drainPollInterval is the interval between checks of the remaining
	// sessions.
	drainPollInterval = 50 * time.Millisecond
	// exitPollInterval is the same for the remaining answers.
	exitPollInterval = 10 * time.Millisecond
	// stopTimeout bounds the last message to the peers and the wait for answers that are
	// being written to them. It follows the end of the schedule and fits into the rest of
	// the grace period.
	stopTimeout = 200 * time.Millisecond
)

// serveHTTP starts the readiness, metrics and peer servers.
func (g *Gateway) serveHTTP(failed chan<- error) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET /readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !g.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	serve := func(server *http.Server, name string, start func() error) {
		go func() {
			if err := start(); !errors.Is(err, http.ErrServerClosed) {
				failed <- errors.Wrap(err, name)
			}
		}()
	}
	readiness := &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout}
	serve(readiness, "readiness", func() error { return readiness.Serve(g.cfg.ReadinessListener) })
	serve(g.peerServer, "peers", func() error { return g.peerServer.Serve(g.cfg.PeerListener) })
	if g.cfg.MetricsListener != nil && g.cfg.Metrics != nil {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", g.cfg.Metrics.Handler())
		stats := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
		serve(stats, "metrics", func() error { return stats.Serve(g.cfg.MetricsListener) })
	}
}

// headerTimeout closes HTTP connections that send no complete request header.
const headerTimeout = 3 * time.Second

// isReady reports whether the instance should get new clients.
func (g *Gateway) isReady() bool {
	if g.draining.Load() || g.currentConfig.Load() == nil || !g.configLeaseValid() {
		return false
	}
	g.poolsMu.RLock()
	defer g.poolsMu.RUnlock()
	return len(g.pools) > 0
}

// beginWait marks the session as waiting for a statement. It returns false if the instance
// closes such sessions, and marks this one as closing. A statement that has begun to arrive
// is still read.
func (g *Gateway) beginWait(s *session) bool {
	g.sessionsMu.Lock()
	defer g.sessionsMu.Unlock()
	stage := waitsInTransaction
	if s.state == statement.Idle {
		stage = waitsIdle
	}
	if g.closesWaiting(stage, time.Now()) && !s.client.HasInput() {
		g.sessions[s] = sessionProgress{stage: closing}
		return false
	}
	g.sessions[s] = sessionProgress{stage: stage}
	return true
}

// closesWaiting reports whether the instance closes sessions that wait.
func (g *Gateway) closesWaiting(stage sessionStage, now time.Time) bool {
	schedule := g.stopSchedule()
	switch stage {
	case waitsIdle:
		return !schedule.AcceptsTransactions(now)
	case waitsInTransaction:
		return !schedule.AwaitsTransactions(now)
	default:
		return false
	}
}

// interruptWaiting interrupts the sessions that wait and are to be closed. It is called
// repeatedly, since a session may set its own read deadline just after it was interrupted.
func (g *Gateway) interruptWaiting() {
	g.sessionsMu.Lock()
	defer g.sessionsMu.Unlock()
	now := time.Now()
	for s, progress := range g.sessions {
		if g.closesWaiting(progress.stage, now) {
			if err := s.client.SetReadDeadline(now); err != nil {
				g.log.WithField("event", "drain").WithError(err).Debug("cannot interrupt a session; it has ended")
			}
		}
	}
}

// stopSchedule returns the schedule of the stop; nothing ends if none was requested.
func (g *Gateway) stopSchedule() shutdown.Schedule {
	if s := g.stopping.Load(); s != nil {
		return *s
	}
	return shutdown.Schedule{}
}

// acceptStatement returns the refusal of a statement that would have to be sent to a member
// too shortly before the instance ends. inTransaction says that its transaction ends with it.
func (g *Gateway) acceptStatement(now time.Time, inTransaction bool) error {
	schedule := g.stopSchedule()
	switch {
	case schedule.AcceptsStatements(now):
		return nil
	case inTransaction:
		return shutdownAbortedError()
	default:
		return g.shuttingDownError()
	}
}

// answerDeadline returns until when a statement with the deadline may wait for its member.
func (g *Gateway) answerDeadline(deadline time.Time) time.Time {
	schedule := g.stopSchedule()
	return schedule.AnswerBefore(deadline)
}

// acceptTransaction returns the refusal of a session or transaction that would hardly end
// before the instance does.
func (g *Gateway) acceptTransaction(now time.Time) error {
	schedule := g.stopSchedule()
	if schedule.AcceptsTransactions(now) {
		return nil
	}
	return g.shuttingDownError()
}

// shuttingDownError tells the client to use another instance, which may be at once.
func (g *Gateway) shuttingDownError() error {
	return notRun(verdict.ShuttingDown, "the instance is shutting down; use another one")
}

// shutdownAbortedError tells the client that its transaction ends with the instance.
func shutdownAbortedError() *verdict.Error {
	return notRun(verdict.TransactionAborted, "the instance is shutting down; the transaction is rolled back")
}

// workLeft returns the number of sessions, open transactions of peers, and statements that
// run for peers.
func (g *Gateway) workLeft() int {
	g.sessionsMu.Lock()
	sessions := len(g.sessions)
	g.sessionsMu.Unlock()
	return sessions + g.relayedSessions.count() + int(g.relayedSessions.running.Load())
}

// drain shuts the instance down. It announces the departure, waits until the
// platform sends no more clients, closes idle sessions, and gives open
// transactions until shortly before the end of the grace period. Statements that
// are running then get an answer before drain returns, whatever their own timeouts.
func (g *Gateway) drain(ctx context.Context) {
	schedule := shutdown.NewSchedule(time.Now(), g.cfg.GracePeriod, readinessDelay)
	g.stopping.Store(&schedule)
	g.draining.Store(true)
	g.log.WithFields(logrus.Fields{"event": "drain"}).Info("draining")
	g.peers.announceLeave(ctx)
	time.Sleep(time.Until(schedule.CloseIdle))
	for now := time.Now(); now.Before(schedule.End); now = time.Now() {
		g.interruptWaiting()
		if !schedule.AwaitsTransactions(now) {
			g.abandonRunning()
		}
		if g.workLeft() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	_ = g.cfg.ClientListener.Close()
	var last sync.WaitGroup
	last.Go(func() { g.peers.announceStop(ctx) })
	last.Go(func() { g.closePeerServer(ctx) })
	if g.usageSender != nil {
		last.Go(g.usageSender.flush)
	}
	last.Wait()
	for g.answersOwed() > 0 && time.Now().Before(schedule.Exit) {
		g.abandonRunning()
		time.Sleep(exitPollInterval)
	}
	g.sessionsMu.Lock()
	left := len(g.sessions)
	g.sessionsMu.Unlock()
	g.log.WithFields(logrus.Fields{
		"event": "drained", "sessions": left, "unanswered": g.logUnanswered(time.Now()),
		"relayedTransactions": g.relayedSessions.count(), "relayedStatements": g.relayedSessions.running.Load(),
	}).Info("drained")
}

// abandonRunning ends the wait of all statements for members and peers, so that their clients
// get an answer. It is called repeatedly, since a statement may just be about to be sent.
func (g *Gateway) abandonRunning() {
	g.abandonStatements()
	g.forEachPool((*pool).interruptStatements)
}

// closePeerServer waits until the answers to peers have been written.
func (g *Gateway) closePeerServer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := g.peerServer.Shutdown(ctx); err != nil {
		g.log.WithField("event", "drain").WithError(err).Warn("answers to peers may not have been written")
	}
}
