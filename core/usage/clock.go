package usage

import (
	"slices"
	"time"
)

const (
	// maxRoundTrip is the round-trip time from which on a response is not used to compare
	// clocks: either way may have taken most of it.
	maxRoundTrip = 200 * time.Millisecond
	// offsetTTL is how long an offset counts. It is longer than the interval between
	// exchanges with an idle peer, and short against the drift of clocks.
	offsetTTL = time.Minute
	// maxOffsets bounds the number of offsets. The median of that many does not depend on
	// single peers.
	maxOffsets = 64
)

// Clock is the clock of a process: its wall clock at the start plus the boot clock elapsed
// since, corrected by the median of the offsets to its peers. Later jumps of the wall clock
// have no effect, and a process that started with a wrong wall clock is outvoted.
type Clock struct {
	// origin is the uncorrected time since 1970 at which the boot clock read 0.
	origin  time.Duration
	offsets map[string]clockOffset
}

type clockOffset struct{ offset, at time.Duration }

// NewClock returns the clock of a process that started when its wall clock read wall, as a
// time since 1970, and its boot clock read boot.
func NewClock(wall, boot time.Duration) *Clock {
	return &Clock{origin: wall - boot, offsets: map[string]clockOffset{}}
}

// Raw returns the uncorrected time since 1970. Only uncorrected times are exchanged and
// compared, so that corrections do not feed back.
func (c *Clock) Raw(boot time.Duration) time.Duration { return c.origin + boot }

// Now returns the corrected time.
func (c *Clock) Now(boot time.Duration) Time {
	return Time{Boot: boot, True: c.Raw(boot) + c.correction(boot)}
}

// Observe records a peer's clock. difference is the peer's uncorrected time in its response
// less the uncorrected time of this process when it sent the request, and roundTrip the
// time from then until the response arrived. A process that receives a request may use it
// as well, if the request says how long the sender's last round trip took: difference is
// then the sender's uncorrected time in the request, plus that round trip, less the
// uncorrected time of arrival.
func (c *Clock) Observe(peer string, difference, roundTrip, boot time.Duration) {
	if roundTrip < 0 || roundTrip >= maxRoundTrip {
		return
	}
	c.offsets[peer] = clockOffset{difference - roundTrip/2, boot}
	if len(c.offsets) <= maxOffsets {
		return
	}
	oldest, at := "", boot
	for name, o := range c.offsets {
		if o.at < at || o.at == at && (oldest == "" || name < oldest) {
			oldest, at = name, o.at
		}
	}
	delete(c.offsets, oldest)
}

// Peers returns the number of peers whose clocks count.
func (c *Clock) Peers(boot time.Duration) int {
	n := 0
	for _, o := range c.offsets {
		if boot-o.at <= offsetTTL {
			n++
		}
	}
	return n
}

// correction returns the median of the offsets, the own offset of 0 included. For an even
// number it is the mean of the middle two, so that two processes agree on one time.
func (c *Clock) correction(boot time.Duration) time.Duration {
	offsets := []time.Duration{0}
	for _, o := range c.offsets {
		if boot-o.at <= offsetTTL {
			offsets = append(offsets, o.offset)
		}
	}
	slices.Sort(offsets)
	upper := offsets[len(offsets)/2]
	lower := offsets[(len(offsets)-1)/2]
	return lower + (upper-lower)/2
}
