package routestats

import (
	"math"
	"time"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// Latency buckets: bucket b ends at firstBucketEnd * 2^(b/bucketsPerDoubling), so the
// error of a quantile is at most 9 %. The last bucket, at about 105 s, has no upper
// bound.
const (
	firstBucketEnd     = 100 * time.Microsecond
	bucketsPerDoubling = 8
	bucketCount        = 20*bucketsPerDoubling + 1
)

func bucketOf(latency time.Duration) int {
	if latency <= firstBucketEnd {
		return 0
	}
	exact := math.Log2(float64(latency)/float64(firstBucketEnd)) * bucketsPerDoubling
	return min(int(math.Ceil(exact)), bucketCount-1)
}

// bucketEnd returns the upper bound of a bucket.
func bucketEnd(bucket int) time.Duration {
	return time.Duration(float64(firstBucketEnd) * math.Exp2(float64(bucket)/bucketsPerDoubling))
}

// Quantile returns the latency that a share, in (0,1], of the counted requests did
// not exceed, rounded up to the end of its bucket. It returns 0 if none are counted.
func Quantile(report *v1.RouteReport, share float64) time.Duration {
	var total uint64
	for _, count := range report.GetLatency() {
		total += uint64(count)
	}
	if total == 0 {
		return 0
	}
	rank := uint64(math.Ceil(share * float64(total)))
	var seen uint64
	for index, count := range report.GetLatency() {
		seen += uint64(count)
		if seen >= max(rank, 1) {
			return bucketEnd(int(report.GetFirstBucket()) + index)
		}
	}
	return bucketEnd(bucketCount - 1)
}

// Coverage returns the fraction of requested shards that the answers cover, in
// [0,1]; 1 if there were no answers.
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
