package pace

import "time"

const (
	// minKnownAnswers is the number of answers from which on the learned times are
	// used. Service times have a coefficient of variation of about 0.9, so that the
	// standard error of a mean of 8 is a third.
	minKnownAnswers = 8
	// answerWeight is the weight of one answer in the moving averages, which gives a
	// standard error of 11%.
	answerWeight = 0.03
	// changeWeight bounds the weight of one answer in the averages that detect a
	// change, and learningTime is the time that these cover at lower rates. They let a
	// member whose statements take 150 ms show within a second that it is slow.
	changeWeight = 0.125
	learningTime = 250 * time.Millisecond
	// changeRatio is the ratio of the two averages from which on the member's speed
	// has changed; the standard error of the faster one is 24%. The learned times are
	// then those of the faster one for changeAnswers answers. With a ratio of 1.8, a
	// member whose statements take 150 ms instead of 30 ms was found 0.1 to 0.2 s
	// later in the median, and after up to 1.8 s.
	changeRatio   = 1.6
	changeAnswers = 24
	// maxAnswerRatio bounds the answer times that are averaged, as a multiple of the
	// mean, so that a single slow statement does not change the limit.
	maxAnswerRatio = 4
	// minAnswerTime is the shortest answer time, for clocks of low resolution.
	minAnswerTime = time.Microsecond
	// minServiceFraction is the smallest part of the answer time that is taken for
	// service, in case the round trip is overestimated.
	minServiceFraction = 0.05
	// minServedFraction bounds how far failures lower the completion rate, so that a
	// member that failed for some time is tried again.
	minServedFraction = 0.05
	// roundTripWindow is the time over which the shortest round trip is sought.
	roundTripWindow = 10 * time.Second
	// minRoundTripAnswers is the number of answers from which on the shortest of them
	// stands for the round trip, if none was measured.
	minRoundTripAnswers = 20
)

// answers holds moving averages over the answers of a member.
type answers struct {
	samples uint64
	// mean is the average that is used, and recent the one that detects a change.
	mean, recent answerAverage
	// adapting is the number of answers for which mean still equals recent.
	adapting int
	// failed is the fraction of the statements that failed.
	failed float64
	lastAt time.Time
}

// answerAverage holds the mean answer time and the mean number of statements in
// progress during a statement.
type answerAverage struct{ seconds, concurrent float64 }

func (a *answerAverage) observe(weight, seconds, concurrent float64) {
	a.seconds += weight * (seconds - a.seconds)
	a.concurrent += weight * (concurrent - a.concurrent)
}

func (a *answerAverage) time() time.Duration {
	return time.Duration(a.seconds * float64(time.Second))
}

func (a *answers) known() bool { return a.samples >= minKnownAnswers }

// observe adds an answer and returns the time that was averaged.
func (a *answers) observe(now time.Time, took time.Duration, concurrent float64) time.Duration {
	took = max(took, minAnswerTime)
	if a.known() {
		took = min(took, maxAnswerRatio*a.recent.time())
	}
	a.samples++
	first := 1 / float64(a.samples)
	weight := min(max(now.Sub(a.lastAt).Seconds()/learningTime.Seconds(), answerWeight), changeWeight)
	a.recent.observe(max(weight, first), took.Seconds(), concurrent)
	a.mean.observe(max(answerWeight, first), took.Seconds(), concurrent)
	if ratio := a.recent.seconds / a.mean.seconds; a.known() && (ratio > changeRatio || ratio < 1/changeRatio) {
		a.adapting = changeAnswers
	}
	if a.adapting > 0 {
		a.adapting--
		a.mean = a.recent
	}
	a.failed -= changeWeight * a.failed
	a.lastAt = now
	return took
}

func (a *answers) noteFailure() { a.failed += changeWeight * (1 - a.failed) }

// roundTrip keeps the shortest time of an exchange with the member in the present and
// the previous window.
type roundTrip struct {
	measured     bool
	answers      int
	current      time.Duration
	previous     time.Duration
	currentSince time.Time
}

// observe records an exchange. measured is set if it needed no execution slot.
func (r *roundTrip) observe(now time.Time, took time.Duration, measured bool) {
	if now.Sub(r.currentSince) >= roundTripWindow {
		if r.current > 0 {
			r.previous = r.current
		}
		r.current, r.currentSince = 0, now
	}
	took = max(took, minAnswerTime)
	if measured && !r.measured {
		r.measured, r.current, r.previous = true, took, 0
	}
	if r.current == 0 || took < r.current {
		// An answer alone does not replace a measured time, which is shorter.
		if !r.measured || measured || r.previous == 0 || took < r.previous {
			r.current = took
		}
	}
	r.answers = min(r.answers+1, minRoundTripAnswers)
}

// estimate returns the round trip, or 0 if it is not known.
func (r *roundTrip) estimate() time.Duration {
	if !r.measured && r.answers < minRoundTripAnswers {
		return 0
	}
	if r.previous == 0 || (r.current > 0 && r.current < r.previous) {
		return r.current
	}
	return r.previous
}

// Estimate is a learned service time.
type Estimate struct {
	// Mean is the mean time that a statement occupies a slot of the member.
	Mean time.Duration
	// Samples is the number of answers from which it was learned. Known is set if
	// they are enough.
	Samples uint64
	Known   bool
	// UpdatedAt is the time of the last of them.
	UpdatedAt time.Time
}

// ServiceTime returns the learned service time per statement.
func (l *Limiter) ServiceTime() Estimate {
	return Estimate{Mean: l.serviceTime(), Samples: l.learned.samples, Known: l.learned.known(), UpdatedAt: l.learned.lastAt}
}

// CompletionRate returns the number of statements per second that the member
// completes for this instance while the limit is reached, without those that fail. It
// returns false if that is not known yet.
func (l *Limiter) CompletionRate() (perSecond float64, known bool) {
	if !l.learned.known() {
		return 0, false
	}
	service := l.serviceTime().Seconds()
	answer := max(service+l.roundTrip.estimate().Seconds(), float64(l.limit)*service/l.share())
	return float64(l.limit) / answer * max(1-l.learned.failed, minServedFraction), true
}

// State is the state of a Limiter for logs and metrics.
type State struct {
	Limit, UpperBound, InProgress int
	Phase                         Phase
	Service                       Estimate
	RoundTrip                     time.Duration
	PausedUntil                   time.Time
}

// State returns the limiter's state.
func (l *Limiter) State() State {
	return State{
		Limit: l.limit, UpperBound: l.UpperBound(), InProgress: l.inProgress, Phase: l.phase,
		Service: l.ServiceTime(), RoundTrip: l.roundTrip.estimate(), PausedUntil: l.pausedUntil,
	}
}

// LimitChangedByHalf reports whether the limit has changed by at least half since it
// last returned true, and between which values.
func (l *Limiter) LimitChangedByHalf() (from, to int, changed bool) {
	from, to = l.reportedLimit, l.limit
	if difference := max(from, to) - min(from, to); 2*difference < from || difference == 0 {
		return from, to, false
	}
	l.reportedLimit = to
	return from, to, true
}
