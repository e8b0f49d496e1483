package quota_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mulberrysill/mulberrysill/core/quota"
)

const (
	tickInterval       = 100 * time.Millisecond
	minSectionInterval = 400 * time.Millisecond
	exchangeTimeout    = 400 * time.Millisecond
	aliveTimeout       = 2500 * time.Millisecond
)

// exchangingFleet simulates one workspace's limit in a fleet whose instances exchange
// reports with the collector of their section, as the gateway does: at its intervals, with
// a delay each way, and with exchanges that get no answer.
type exchangingFleet struct {
	now       time.Time
	rng       *rand.Rand
	instances []*exchangingInstance
	// candidates holds the instances of each section that collect for it, in turn if
	// turnEvery is set.
	candidates [][]*exchangingInstance
	turnEvery  time.Duration
	// isSilent is set while no exchange gets an answer.
	isSilent bool
	pending  []delivery
	admitted []time.Time
	refused  int
}

type delivery struct {
	at      time.Time
	deliver func()
}

type exchangingInstance struct {
	*quota.Limiter
	name    string
	section int
	// nextTick, periodAt, shortPeriodAt and heardAt are when the instance looks for due
	// exchanges, began its accounting periods and last heard of another instance.
	nextTick, periodAt, shortPeriodAt, heardAt time.Time
	exchanging                                 bool
	// askedAt and askedAllAt are when the instance last asked each collector.
	askedAt, askedAllAt map[string]time.Time
}

func newExchangingFleet(seed uint64, sections, n int, limit quota.Limit) *exchangingFleet {
	f := &exchangingFleet{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1))}
	f.candidates = make([][]*exchangingInstance, sections)
	for i := range n {
		in := &exchangingInstance{
			Limiter: quota.New(limit, 1, f.now), name: fmt.Sprint("i", i), section: i % sections, heardAt: f.now,
			nextTick: f.now.Add(f.upTo(tickInterval)), periodAt: f.now.Add(-f.upTo(reportInterval)),
			askedAt: map[string]time.Time{}, askedAllAt: map[string]time.Time{},
		}
		in.SetInstances(n, n)
		f.instances = append(f.instances, in)
		if list := f.candidates[in.section]; len(list) < 2 {
			f.candidates[in.section] = append(list, in)
		}
	}
	return f
}

func (f *exchangingFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(d)))
}

func (f *exchangingFleet) collector(section int) *exchangingInstance {
	list := f.candidates[section]
	if f.turnEvery == 0 {
		return list[0]
	}
	return list[int(f.now.UnixNano()/int64(f.turnEvery))%len(list)]
}

func (f *exchangingFleet) after(d time.Duration, deliver func()) {
	f.pending = append(f.pending, delivery{f.now.Add(d), deliver})
}

// tick does what the gateway does at each of its ticks.
func (f *exchangingFleet) tick(in *exchangingInstance) {
	if f.now.Sub(in.heardAt) > aliveTimeout {
		in.SetInstances(1, len(f.instances))
	} else {
		in.SetInstances(len(f.instances), len(f.instances))
	}
	near, interval := in.NeedsFrequentReports(), reportInterval
	if near {
		interval = shortReportInterval
	}
	if f.now.Sub(in.periodAt) >= reportInterval {
		in.periodAt, in.shortPeriodAt = f.now, f.now
		in.StartPeriod(f.now)
	} else if near && f.now.Sub(in.shortPeriodAt) >= shortReportInterval {
		in.shortPeriodAt = f.now
		in.StartPeriod(f.now)
	}
	collector := f.collector(in.section)
	if in != collector {
		f.askCollector(in, collector, interval)
		return
	}
	for section := range f.candidates {
		if section != in.section {
			f.askSection(in, f.collector(section), max(interval, minSectionInterval))
		}
	}
}

func (f *exchangingFleet) askCollector(in, collector *exchangingInstance, interval time.Duration) {
	if in.exchanging || f.now.Sub(in.askedAt[collector.name]) < interval {
		return
	}
	in.exchanging, in.askedAt[collector.name] = true, f.now
	if f.isSilent {
		f.after(exchangeTimeout, func() { in.exchanging = false })
		return
	}
	own := in.Report(f.now)
	own.Section = fmt.Sprint(in.section)
	f.after(f.upTo(messageDelay), func() {
		collector.Observe(in.name, own, f.now)
		collector.heardAt = f.now
		others := collector.ReportExcluding(in.name, f.now)
		others.Aggregate = true
		f.after(f.upTo(messageDelay), func() {
			in.exchanging, in.heardAt = false, f.now
			in.Observe(collector.name, others, f.now)
		})
	})
}

func (f *exchangingFleet) askSection(in, other *exchangingInstance, interval time.Duration) {
	if f.now.Sub(in.askedAt[other.name]) < interval {
		return
	}
	in.askedAt[other.name] = f.now
	whole := f.now.Sub(in.askedAllAt[other.name]) >= reportInterval
	if whole {
		in.askedAllAt[other.name] = f.now
	}
	if f.isSilent {
		return
	}
	f.after(f.upTo(messageDelay), func() {
		if !whole && !other.NeedsFrequentReports() {
			return // the other collector reports only workspaces near their limits
		}
		r := other.ReportSection(f.now)
		r.Section = fmt.Sprint(other.section)
		f.after(f.upTo(messageDelay), func() {
			in.heardAt = f.now
			in.Observe(other.name, r, f.now)
		})
	})
}

// run simulates the duration d, in which instance i gets rates[i] operations per second.
func (f *exchangingFleet) run(d time.Duration, rates []float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(simulationStep) {
		var later []delivery
		due := f.pending
		f.pending = nil
		for _, m := range due {
			if m.at.After(f.now) {
				later = append(later, m)
			} else {
				m.deliver()
			}
		}
		f.pending = append(f.pending, later...)
		for i, in := range f.instances {
			if !f.now.Before(in.nextTick) {
				in.nextTick = in.nextTick.Add(tickInterval)
				f.tick(in)
			}
			for expected := rates[i] * simulationStep.Seconds(); expected > 0; expected-- {
				if f.rng.Float64() >= min(expected, 1) {
					continue
				}
				if ok, _ := in.Admit(f.now); ok {
					f.admitted = append(f.admitted, f.now)
				} else {
					f.refused++
				}
			}
		}
	}
}
