package pace

import (
	"math"
	"time"
)

const (
	// statementsPerSlot is the number of statements per execution slot that all
	// serving instances together may have in progress at a member. More would only
	// wait in the member's own queue, which is not ordered by urgency.
	statementsPerSlot = 3
	// minWaitingPerSlot and maxWaitingPerSlot bound the number of statements per slot
	// that may wait at the member in addition to those that run or are on the network.
	// The lower bound keeps the slots busy when several statements end within one
	// round trip. With the upper bound, one of two instances can use all slots while
	// the other one has no demand.
	minWaitingPerSlot, maxWaitingPerSlot = 0.5, 1.0
	// maxMemberWait is the mean time in the member's queue above which fewer than
	// maxWaitingPerSlot statements wait there: about a tenth of the shortest objective
	// of a route (150 ms).
	maxMemberWait = 20 * time.Millisecond
	// initialLimit is the limit at which slow start begins.
	initialLimit = 1
	// slowFactor is the ratio of service times from which on a member counts as slow
	// during slow start. The statements of the other instances can make answers 1.8
	// times slower while this instance has one statement in progress.
	slowFactor = 2.5
	// minSlowAnswers is the number of answers that are averaged before slow start is
	// abandoned: a single statement may take ten times the mean.
	minSlowAnswers = 8
	// raiseMargin and lowerMargin are the differences between the computed and the
	// present limit from which on the limit is changed. Together they exceed 1, so
	// that a steady load does not change the limit back and forth.
	raiseMargin, lowerMargin = 0.5, 0.75
	// lowerAfterAnswers is the number of consecutive answers after each of which the
	// computed limit must be lower before the limit is lowered.
	lowerAfterAnswers = 5
	// maxConsecutiveFailures is the number of failed or lost statements in a row after
	// which the limit starts again from initialLimit.
	maxConsecutiveFailures = 8
	// minPause and maxPause bound the time without new statements after the member
	// rejected one although the limit was 1. A member with a full queue frees a place
	// every 1 to 8 ms.
	minPause, maxPause = 10 * time.Millisecond, 80 * time.Millisecond
	// rejectionMemory is how long the limit stays below the value at which the member
	// rejected a statement.
	rejectionMemory = time.Second
)

// Phase is the state of a Limiter.
type Phase uint8

const (
	// SlowStart means that the limit doubles with each round of answers at normal
	// speed.
	SlowStart Phase = iota
	// Steady means that the limit follows the learned service time.
	Steady
	// BackedOff means that the member rejected a statement, and the limit grows by one
	// with each round of answers.
	BackedOff
)

// String returns the name of the phase for logs and metrics.
func (p Phase) String() string {
	switch p {
	case SlowStart:
		return "slow-start"
	case Steady:
		return "steady"
	default:
		return "backed-off"
	}
}

// Outcome is how a statement ended.
type Outcome uint8

const (
	// Served means that the member executed the statement. Errors in the statement
	// itself, such as a violated constraint, count as served too.
	Served Outcome = iota
	// Rejected means that the member did not run the statement because it is busy.
	Rejected
	// Failed means that the member answered with an error of its own. The time of the
	// answer says nothing about the member's speed.
	Failed
	// Lost means that no answer arrived in time, or that the connection was lost.
	Lost
	// Canceled means that the end says nothing about the member: a connection was
	// opened, or the statement was not sent or needs no execution slot.
	Canceled
)

// Statement is a statement in progress. It is returned by Start and passed to Finish.
type Statement struct {
	sentAt time.Time
	epoch  uint64
	// load is the limiter's load integral when the statement was sent.
	load float64
}

// Limiter limits the number of statements that one instance has in progress at one
// member. It computes the limit from the member's service time and the network round
// trip, and learns the service time from the member's answers.
type Limiter struct {
	slots, instances int

	limit int
	phase Phase
	// epoch counts the starts, recoveries and promotions of the member. Answers to
	// statements of former epochs have no effect.
	epoch      uint64
	inProgress int
	// load is the integral of inProgress over time, in statement seconds, until loadAt.
	load   float64
	loadAt time.Time

	learned   answers
	roundTrip roundTrip
	// reference is the service time of the group's other members, or zero.
	reference time.Duration
	// normal is the service time with which answers are compared during slow start, or
	// zero if it is not known.
	normal time.Duration

	round answerRound
	// wasLimited is set if the limit was reached in the round before this one.
	wasLimited   bool
	lowerAnswers int
	failures     int

	loweredAt time.Time
	// rejectedLimit is the limit at which the member rejected a statement.
	rejectedLimit int
	pause         time.Duration
	pausedUntil   time.Time
	reportedLimit int
}

// answerRound sums up the answers since the limit was last considered.
type answerRound struct {
	count      int
	time       time.Duration
	concurrent float64
	// limited is set if the limit was reached.
	limited bool
}

// NewLimiter returns a limiter in slow start, for a member with the given number of
// execution slots that is served by the given number of instances.
func NewLimiter(slots, instances int) *Limiter {
	l := &Limiter{limit: initialLimit, reportedLimit: initialLimit}
	l.SetCapacity(slots, instances)
	return l
}

// SetCapacity sets the member's number of execution slots and the number of instances
// that serve it.
func (l *Limiter) SetCapacity(slots, instances int) {
	l.slots, l.instances = max(slots, 1), max(instances, 1)
	l.limit = min(l.limit, l.UpperBound())
}

// SetReference sets the service time of the group's other members, with which the
// first answers of a member of unknown speed are compared. 0 means unknown.
func (l *Limiter) SetReference(service time.Duration) {
	l.reference = service
	if l.phase == SlowStart && !l.learned.known() {
		l.normal = service
	}
}

// ObserveRoundTrip records the time of an exchange with the member that needs no
// execution slot, such as the begin of a transaction.
func (l *Limiter) ObserveRoundTrip(now time.Time, took time.Duration) {
	l.roundTrip.observe(now, took, true)
}

// Restarted records that the member was started again.
func (l *Limiter) Restarted(now time.Time) { l.restart(now) }

// Recovered records that the member answers again after it was down.
func (l *Limiter) Recovered(now time.Time) { l.restart(now) }

// Promoted records that the member became primary.
func (l *Limiter) Promoted(now time.Time) { l.restart(now) }

func (l *Limiter) restart(now time.Time) {
	l.advance(now)
	l.epoch++
	l.pause, l.pausedUntil, l.rejectedLimit, l.loweredAt = 0, time.Time{}, 0, time.Time{}
	l.beginSlowStart()
}

func (l *Limiter) beginSlowStart() {
	l.phase, l.failures, l.lowerAnswers = SlowStart, 0, 0
	l.normal = l.reference
	if l.learned.known() {
		l.normal = l.serviceTime()
	}
	l.setLimit(initialLimit)
}

func (l *Limiter) setLimit(limit int) {
	l.limit = min(max(limit, 1), l.UpperBound())
	if l.limit > 1 {
		l.pausedUntil = time.Time{} // the member has accepted statements since
	}
	l.round, l.wasLimited, l.lowerAnswers = answerRound{}, l.round.limited, 0
}

// UpperBound returns the highest possible limit: the instance's part of the
// statements that all instances may have in progress, rounded up.
func (l *Limiter) UpperBound() int {
	return (l.slots*statementsPerSlot + l.instances - 1) / l.instances
}

// Limit returns the number of statements that may be in progress. It is at least 1.
func (l *Limiter) Limit() int { return l.limit }

// InProgress returns the number of statements in progress.
func (l *Limiter) InProgress() int { return l.inProgress }

// MayStart reports whether a statement may be sent at now. If it returns false, the
// caller tries again after the next call of Finish and at RetryAt.
func (l *Limiter) MayStart(now time.Time) bool {
	if l.inProgress >= l.limit {
		l.NoteWaiting()
	}
	return l.inProgress < l.LimitAt(now)
}

// LimitAt returns the number of statements that may be in progress at now, which is 0
// during the pause that follows a rejection. It is for callers that count statements
// themselves; they call NoteWaiting instead of MayStart.
func (l *Limiter) LimitAt(now time.Time) int {
	if now.Before(l.pausedUntil) {
		return 0
	}
	return l.limit
}

// NoteWaiting records that a statement has to wait because the limit is reached. The
// limit changes only while it is reached.
func (l *Limiter) NoteWaiting() { l.round.limited = true }

// RetryAt returns the end of the pause that follows a rejection, or the zero time if
// there was none.
func (l *Limiter) RetryAt() time.Time { return l.pausedUntil }

// Start records that a statement is sent. It does not check the limit: statements of
// an open transaction are sent even if the limit is reached.
func (l *Limiter) Start(now time.Time) Statement {
	l.advance(now)
	l.inProgress++
	if l.inProgress >= l.limit {
		l.NoteWaiting()
	}
	return Statement{sentAt: now, epoch: l.epoch, load: l.load}
}

// Finish records the end of a statement. It must be called once for each call of
// Start, also after the member was restarted or removed.
func (l *Limiter) Finish(now time.Time, s Statement, outcome Outcome) {
	l.advance(now)
	l.inProgress = max(l.inProgress-1, 0)
	if s.epoch != l.epoch || outcome == Canceled {
		return
	}
	took := now.Sub(s.sentAt)
	switch outcome {
	case Served:
		l.failures, l.pause = 0, 0
		l.observe(now, took, (l.load-s.load)/max(took.Seconds(), minAnswerTime.Seconds()))
		l.adjust(now)
	case Rejected:
		if !s.sentAt.Before(l.loweredAt) {
			l.backOff(now)
		}
	default:
		// A lost statement took at least this long.
		if outcome == Lost && l.learned.known() && took > l.learned.mean.time() {
			l.observe(now, took, (l.load-s.load)/took.Seconds())
		}
		l.learned.noteFailure()
		if l.failures++; l.failures >= maxConsecutiveFailures {
			l.beginSlowStart()
		}
	}
}

// advance brings the load integral up to now.
func (l *Limiter) advance(now time.Time) {
	if now.After(l.loadAt) {
		if !l.loadAt.IsZero() {
			l.load += float64(l.inProgress) * now.Sub(l.loadAt).Seconds()
		}
		l.loadAt = now
	}
}

// observe adds an answer to the learned times and to the present round. concurrent is
// the mean number of statements that were in progress meanwhile.
func (l *Limiter) observe(now time.Time, took time.Duration, concurrent float64) {
	concurrent = max(concurrent, 1)
	l.roundTrip.observe(now, took, false)
	counted := l.learned.observe(now, took, concurrent)
	if l.normal > 0 {
		counted = min(counted, maxAnswerRatio*(l.normal+l.roundTrip.estimate()))
	}
	l.round.count++
	l.round.time += counted
	l.round.concurrent += concurrent
}

// serviceTime returns the learned time that a statement occupies a slot.
func (l *Limiter) serviceTime() time.Duration {
	return l.deriveService(l.learned.mean.time(), l.learned.mean.concurrent)
}

// deriveService derives the service time from a mean answer time. An answer takes
// the service time, the round trip, and the time in the member's queue. If this
// instance has more statements in progress than its share of the slots, the member
// completes share/service statements per second for it, so that by Little's law the
// answer time is concurrent*service/share.
func (l *Limiter) deriveService(mean time.Duration, concurrent float64) time.Duration {
	service := float64(mean - l.roundTrip.estimate())
	if share := l.share(); concurrent > share {
		service = min(service, float64(mean)*share/concurrent)
	}
	return time.Duration(max(service, float64(mean)*minServiceFraction))
}

// share returns the instance's part of the member's slots.
func (l *Limiter) share() float64 { return float64(l.slots) / float64(l.instances) }

// computedLimit returns the limit at which the slots are busy during round trips and
// few statements wait at the member.
func (l *Limiter) computedLimit() float64 {
	if !l.learned.known() {
		return float64(l.UpperBound())
	}
	service := float64(l.serviceTime())
	waiting := min(max(float64(maxMemberWait)/service, minWaitingPerSlot), maxWaitingPerSlot)
	onNetwork := float64(l.roundTrip.estimate()) / service
	return min(max(l.share()*(1+waiting+onNetwork), 1), float64(l.UpperBound()))
}

// adjust changes the limit after an answer.
func (l *Limiter) adjust(now time.Time) {
	target := l.computedLimit()
	roundEnded := l.round.count >= l.limit
	switch l.phase {
	case SlowStart:
		switch {
		case l.limit >= int(math.Round(target)):
			l.phase = Steady
		case roundEnded && !l.roundIsSlow():
			if l.round.limited {
				l.setLimit(min(2*l.limit, int(math.Round(target))))
			} else {
				l.round = answerRound{}
			}
		case roundEnded && l.round.count >= minSlowAnswers:
			l.phase = Steady
		}
	case Steady:
		l.follow(target, roundEnded)
	case BackedOff:
		switch {
		case now.Sub(l.loweredAt) >= rejectionMemory && l.limit >= l.rejectedLimit-1, target <= float64(l.limit):
			l.phase = Steady
		case roundEnded && l.round.limited && l.limit+1 < l.rejectedLimit:
			l.setLimit(l.limit + 1)
		case roundEnded:
			l.round = answerRound{}
		}
	}
}

// roundIsSlow reports whether the answers of the round show a slow member.
func (l *Limiter) roundIsSlow() bool {
	if l.normal == 0 || l.round.count == 0 {
		return false
	}
	n := l.round.count
	service := l.deriveService(l.round.time/time.Duration(n), l.round.concurrent/float64(n))
	return float64(service) > slowFactor*float64(l.normal)
}

// follow moves the limit towards target. It does so only while the limit is reached:
// otherwise the limit has no effect on the answers.
func (l *Limiter) follow(target float64, roundEnded bool) {
	limited := l.round.limited || l.wasLimited
	if limited && target < float64(l.limit)-lowerMargin {
		l.lowerAnswers++
	} else {
		l.lowerAnswers = 0
	}
	switch {
	case l.lowerAnswers >= lowerAfterAnswers:
		l.setLimit(int(math.Round(target)))
	case roundEnded && l.round.limited && target >= float64(l.limit)+raiseMargin:
		l.setLimit(l.limit + 1)
	case roundEnded:
		l.wasLimited = l.round.limited
		l.round = answerRound{}
	}
}

// backOff lowers the limit after a rejection. Rejections of statements that were sent
// before the limit was last lowered are ignored by the caller.
func (l *Limiter) backOff(now time.Time) {
	if l.limit == 1 {
		l.pause = min(max(2*l.pause, minPause), maxPause)
		l.pausedUntil = now.Add(l.pause)
	}
	l.rejectedLimit = max(l.limit, 2)
	l.phase, l.loweredAt = BackedOff, now
	l.setLimit(l.limit / 2)
}
