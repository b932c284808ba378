package simulation

import (
	"testing"
)

// BenchmarkRun reports how much faster than real time one run goes on one
// processor.
func BenchmarkRun(b *testing.B) {
	for _, world := range []string{defaultWorld, "small"} {
		b.Run(world, func(b *testing.B) {
			virtual := 0.0
			for seed := uint64(1); b.Loop(); seed++ {
				outcome, err := RunSeed(Choice{World: world}, seed, nil)
				if err != nil {
					b.Fatal(err)
				}
				virtual += outcome.counts.virtual.Seconds()
			}
			b.ReportMetric(virtual/b.Elapsed().Seconds(), "virtual_s/s")
		})
	}
}
