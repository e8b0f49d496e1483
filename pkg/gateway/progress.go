package gateway

import (
	"time"

	"github.com/sirupsen/logrus"
)

// sessionStage says what a session does.
type sessionStage uint8

const (
	// running sessions run a statement.
	running sessionStage = iota
	// answering sessions write an answer to the client.
	answering
	// waitsIdle sessions wait for a statement outside a transaction.
	waitsIdle
	// waitsInTransaction sessions wait for a statement of an open or failed transaction.
	waitsInTransaction
	// closing sessions are being closed.
	closing
)

var stageNames = [...]string{"running", "answering", "idle", "in-transaction", "closing"}

// String returns the name used in logs.
func (s sessionStage) String() string { return stageNames[s] }

// owesAnswer reports whether the client waits for an answer.
func (s sessionStage) owesAnswer() bool { return s == running || s == answering }

// sessionProgress is what a session does, and for which statement since when.
type sessionProgress struct {
	stage     sessionStage
	statement string
	since     time.Time
}

// noteProgress records that the session has read the statement, or begins to answer it.
func (g *Gateway) noteProgress(s *session, stage sessionStage, statementID string) {
	g.sessionsMu.Lock()
	defer g.sessionsMu.Unlock()
	g.sessions[s] = sessionProgress{stage, statementID, time.Now()}
}

func (g *Gateway) removeSession(s *session) {
	g.sessionsMu.Lock()
	defer g.sessionsMu.Unlock()
	delete(g.sessions, s)
}

// answersOwed returns the number of sessions whose clients wait for an answer.
func (g *Gateway) answersOwed() int {
	g.sessionsMu.Lock()
	defer g.sessionsMu.Unlock()
	count := 0
	for _, progress := range g.sessions {
		if progress.stage.owesAnswer() {
			count++
		}
	}
	return count
}

// maxUnansweredLines bounds the lines on statements that are cut off as the instance ends.
const maxUnansweredLines = 50

// logUnanswered logs the statements whose clients get no answer, since the instance ends, and
// returns their number.
func (g *Gateway) logUnanswered(now time.Time) int {
	g.sessionsMu.Lock()
	defer g.sessionsMu.Unlock()
	count := 0
	for s, progress := range g.sessions {
		if !progress.stage.owesAnswer() {
			continue
		}
		if count++; count <= maxUnansweredLines {
			g.log.WithFields(logrus.Fields{
				"event": "unanswered", "id": progress.statement, "database": s.startup.Database,
				"stage": progress.stage.String(), "ms": now.Sub(progress.since).Milliseconds(),
			}).Warn("the instance ends before the client has its answer")
		}
	}
	return count
}
