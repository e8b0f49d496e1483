package quota_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrysill/mulberrysill/core/quota"
)

var _ = Describe("a limiter after a restart of the whole fleet", func() {
	tolerance := quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	start := time.Unix(1000, 0)

	DescribeTable("starts with half of the tolerance that is left",
		func(rate, burst float64) {
			stated := quota.Limit{Rate: rate, Burst: burst}
			widened := tolerance.Widen(stated)
			tokens := tolerance.RestartLevel(stated) * widened.Burst
			tolerated := tolerance.Overage*(rate*tolerance.Window.Seconds()+burst) + tolerance.Slack
			// The bucket may have been empty before the restart, and the widened burst may
			// have been used as well.
			Expect(tokens + widened.Burst - burst).To(BeNumerically("<=", tolerated))
			Expect(tokens).To(BeNumerically(">", 0))
		},
		Entry("of a small limit", 20.0, 20.0),
		Entry("of a limit that is not widened", 400.0, 400.0),
		Entry("of a limit with a burst below one second of the rate", 100.0, 10.0),
	)
	It("starts empty without a tolerance or without a limit", func() {
		Expect(quota.Tolerance{}.RestartLevel(quota.Limit{Rate: 10, Burst: 10})).To(BeZero())
		Expect(tolerance.RestartLevel(quota.Limit{})).To(BeZero())
	})
	It("admits its part of the tokens at once: without it all instances refuse until their share of the refill is one operation", func() {
		const instances = 62
		stated := quota.Limit{Rate: 350, Burst: 350}
		admit := func(grant bool) int {
			admitted := 0
			for range instances {
				widened := tolerance.Widen(stated)
				level := tolerance.RestartLevel(stated)
				l := quota.New(widened, 0, start)
				l.SetInstances(instances, instances)
				if grant {
					l.Grant(uint64(math.Floor(level*widened.Burst/instances)), level*widened.Burst)
				}
				for range 10 {
					if ok, _ := l.Admit(start.Add(10 * time.Millisecond)); ok {
						admitted++
					}
				}
			}
			return admitted
		}
		Expect(admit(false)).To(BeZero())
		tokens := tolerance.RestartLevel(stated) * tolerance.Widen(stated).Burst
		Expect(admit(true)).To(And(BeNumerically(">=", instances), BeNumerically("<=", tokens)))
	})
})
