package routestats

import (
	"math"
	"time"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// Buckets of latency: bucket b ends at shortest * 2^(b/perDoubling), so a
// quantile is off by 9 % at most. The last one, at about 105 s, has no end.
const (
	shortest    = 100 * time.Microsecond
	perDoubling = 8
	bucketCount = 20*perDoubling + 1
)

func bucketOf(latency time.Duration) int {
	if latency <= shortest {
		return 0
	}
	exact := math.Log2(float64(latency)/float64(shortest)) * perDoubling
	return min(int(math.Ceil(exact)), bucketCount-1)
}

// bucketEnd is the longest latency in a bucket.
func bucketEnd(bucket int) time.Duration {
	return time.Duration(float64(shortest) * math.Exp2(float64(bucket)/perDoubling))
}

// Quantile returns the latency that a share, in (0,1], of the counted requests
// did not exceed, rounded up to the end of its bucket. It is 0 without any.
func Quantile(report *v1.RouteReport, share float64) time.Duration {
	var total uint64
	for _, count := range report.GetLatency() {
		total += uint64(count)
	}
	if total == 0 {
		return 0
	}
	wanted := uint64(math.Ceil(share * float64(total)))
	var seen uint64
	for index, count := range report.GetLatency() {
		seen += uint64(count)
		if seen >= max(wanted, 1) {
			return bucketEnd(int(report.GetFirstBucket()) + index)
		}
	}
	return bucketEnd(bucketCount - 1)
}

// Coverage returns the share of wanted shards that answers cover, in [0,1];
// 1 when no answer was given.
func Coverage(report *v1.RouteReport) float64 {
	if report.GetShardsWanted() == 0 {
		return 1
	}
	return float64(report.GetShardsCovered()) / float64(report.GetShardsWanted())
}

// Rate returns the requests per second.
func Rate(report *v1.RouteReport) float64 {
	window := report.GetWindow().AsDuration()
	if window <= 0 {
		return 0
	}
	return float64(report.GetRequests()) / window.Seconds()
}
