package experiment

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The comparison", func() {
	It("gives the same result for the same seed", func() {
		// Guards against figures in docs/limits.md that cannot be reproduced.
		moving := Patterns[2]
		moving.Length = 15 * time.Second
		for _, scheme := range Schemes {
			Expect(Run(3, moving, scheme)).To(Equal(Run(3, moving, scheme)))
		}
	})

	It("keeps the targets of M3 in this design", func() {
		// Guards against loans that leave within-rate demand unserved.
		for _, p := range Patterns[:5] {
			r := Run(1, p, newLeased)
			Expect(r.Violations).To(BeZero(), p.Name)
			Expect(r.Wrongful*1000).To(BeNumerically("<", r.Within), p.Name)
		}
	})
})
