// Command compare prints the comparison of docs/limits.md as a Markdown table.
package main

import (
	"flag"
	"fmt"

	"github.com/mulberrysill/mulberrysill/core/limits/experiment"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the demand, the network and the store")
	flag.Parse()
	fmt.Println("| demand and fault | scheme | ceiling violations | wrongful refusals | admitted / ideal | messages/s | store writes/s | store reads/s |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, scenario := range experiment.Scenarios {
		for _, scheme := range experiment.Schemes {
			r := experiment.Run(*seed, scenario, scheme)
			fmt.Printf("| %s | %s | %d | %.3f%% (%d of %d) | %.3f | %.0f | %.2f | %.2f |\n",
				r.Scenario, r.Scheme, r.Violations, 100*float64(r.WronglyRefused)/float64(max(1, r.WithinRate)), r.WronglyRefused, r.WithinRate,
				float64(r.Admitted)/float64(max(1, r.Ideal)), r.Messages, r.Writes, r.Reads)
		}
	}
}
