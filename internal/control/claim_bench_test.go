package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// BenchmarkClaims measures claims on three voters for several maximum batch sizes.
// 256 callers claim at the leader, each with one claim in flight.
func BenchmarkClaims(b *testing.B) {
	const callers = 256
	for _, batch := range []int{1, 4, 16, 64, 256, 512} {
		b.Run(fmt.Sprintf("batch-%d", batch), func(b *testing.B) {
			cluster := newTestCluster(b, 3, func(options *Options) { options.ClaimBatch = batch })
			claims := cluster.leader().process.server.claims
			latencies := make([]time.Duration, b.N)
			var running sync.WaitGroup
			b.ResetTimer()
			for caller := range callers {
				running.Go(func() {
					for number := caller; number < b.N; number += callers {
						started := time.Now()
						_, err := claims.submit(context.Background(), &v1.ClaimOperation{
							RequestId: fmt.Sprint("request-", number), Holder: "router/1", Call: uint64(number + 1),
							Digest: "0123456789abcdef", Route: "reminder", ExpiryMs: time.Hour.Milliseconds(),
						})
						latencies[number] = time.Since(started)
						if err != nil {
							b.Error(err)
						}
					}
				})
			}
			running.Wait()
			b.StopTimer()
			require.NotEmpty(b, latencies)
			slices.Sort(latencies)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(latencies[b.N/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(latencies[b.N*99/100].Microseconds())/1000, "p99-ms")
		})
	}
}
