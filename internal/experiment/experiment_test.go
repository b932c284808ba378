package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func BenchmarkSteady(b *testing.B) {
	compiled, err := LoadPlan("bangkok", "../../deploy/bangkok/bangkok.policy")
	require.NoError(b, err)
	for b.Loop() {
		_, err := RunVirtual(Config{Deployment: "bangkok", Plan: compiled, Scenario: "steady",
			Variants: []string{"martenstage"}, Seed: 1, Duration: 2 * time.Second})
		require.NoError(b, err)
	}
}
