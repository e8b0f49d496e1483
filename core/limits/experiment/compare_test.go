package experiment

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The comparison of schemes", func() {
	It("gives the same result for the same seed", func() {
		// The figures in docs/limits.md must be reproducible.
		moving := Scenarios[2]
		moving.Length = 15 * time.Second
		for _, scheme := range Schemes {
			Expect(Run(3, moving, scheme)).To(Equal(Run(3, moving, scheme)))
		}
	})

	It("finds no violation and under 0.1% wrongful refusals with leases and loans", func() {
		// Loans must move enough of a limit to serve all demand within its rate.
		for _, scenario := range Scenarios[:5] {
			r := Run(1, scenario, newLeaseScheme)
			Expect(r.Violations).To(BeZero(), scenario.Name)
			Expect(r.WronglyRefused*1000).To(BeNumerically("<", r.WithinRate), scenario.Name)
		}
	})
})
