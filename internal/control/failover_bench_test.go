package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkLeaderLost measures, with the default timeouts, how long it takes after
// a crash or silent partition of the leader until a change is accepted again.
func BenchmarkLeaderLost(b *testing.B) {
	for _, failure := range []string{"crash", "cut-off"} {
		b.Run(failure, func(b *testing.B) {
			cluster := newTestCluster(b, 3, func(options *Options) {
				options.Heartbeat, options.ElectionTimeout = 100*time.Millisecond, time.Second
			})
			client := cluster.client()
			longest := time.Duration(0)
			for round := range b.N {
				b.StopTimer()
				leader := cluster.leader()
				b.StartTimer()
				started := time.Now()
				if failure == "crash" {
					leader.crash()
				} else {
					leader.isolated.Store(true)
				}
				id := fmt.Sprint("change-", round)
				require.Equal(b, accepted, apply(b, client, id, id, uint64(round)).GetResult())
				longest = max(longest, time.Since(started))
				b.StopTimer()
				if failure == "crash" {
					leader.restart()
				}
				leader.isolated.Store(false)
				time.Sleep(time.Second)
				b.StartTimer()
			}
			b.ReportMetric(longest.Seconds(), "longest-s")
		})
	}
}
