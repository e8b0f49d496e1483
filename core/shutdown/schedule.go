// Package shutdown decides what an instance still accepts while it stops. It does no I/O
// and reads no clock.
package shutdown

import "time"

const (
	// exitMargin is the part of the grace period that is left for the process to end, and
	// killMargin that which is left if it still writes answers.
	exitMargin, killMargin = 500 * time.Millisecond, 150 * time.Millisecond
	// answerMargin is the time before End in which answers are written and connections
	// closed.
	answerMargin = 200 * time.Millisecond
	// statementReserve is the time before End from which on no statement is sent to a
	// member. A member answers most statements within a tenth of it.
	statementReserve = time.Second
)

// Schedule holds the times of a planned stop, in their order. Requests that arrive later
// than a time allows are refused as not run. Its zero value is that of an instance that is
// not stopping.
type Schedule struct {
	// CloseIdle is when idle sessions are closed and no new transaction is accepted. Until
	// then the platform may send new clients.
	CloseIdle time.Time
	// LastStatement is when the last statement may be sent to a member. Transactions that
	// are open then are rolled back at their next statement.
	LastStatement time.Time
	// LastAnswer is when the wait for members ends, whatever a statement's own timeout, so
	// that the client gets an answer.
	LastAnswer time.Time
	// End is when the instance ends, and Exit when it does so although answers are still
	// being written.
	End, Exit time.Time
}

// NewSchedule returns the schedule of a stop that was requested at started and must be
// complete within the grace period. The platform needs readinessDelay to send no more
// clients.
func NewSchedule(started time.Time, grace, readinessDelay time.Duration) Schedule {
	end := started.Add(max(grace-exitMargin, 0))
	s := Schedule{
		CloseIdle: started.Add(readinessDelay), LastStatement: end.Add(-statementReserve), LastAnswer: end.Add(-answerMargin),
		End: end, Exit: started.Add(max(grace-killMargin, 0)),
	}
	if s.LastStatement.Before(s.CloseIdle) {
		s.CloseIdle = s.LastStatement // the grace period is short
	}
	return s
}

func (s *Schedule) isStopping() bool { return !s.End.IsZero() }

// AcceptsTransactions reports whether new sessions and transactions are accepted.
func (s *Schedule) AcceptsTransactions(now time.Time) bool {
	return !s.isStopping() || now.Before(s.CloseIdle)
}

// AcceptsStatements reports whether a statement may be sent to a member.
func (s *Schedule) AcceptsStatements(now time.Time) bool {
	return !s.isStopping() || now.Before(s.LastStatement)
}

// AwaitsTransactions reports whether the instance still waits for statements of open
// transactions, be it to refuse them.
func (s *Schedule) AwaitsTransactions(now time.Time) bool {
	return !s.isStopping() || now.Before(s.LastAnswer)
}

// AnswerBefore returns until when a statement with the deadline may wait for its member.
func (s *Schedule) AnswerBefore(deadline time.Time) time.Time {
	if s.isStopping() && s.LastAnswer.Before(deadline) {
		return s.LastAnswer
	}
	return deadline
}
