package routestats

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

var start = time.Date(2026, 1, 31, 18, 0, 0, 0, time.UTC)

// TestQuantilesOfManyRouters checks that quantiles from the summed reports of
// several routers lie within a bucket above the exact ones.
func TestQuantilesOfManyRouters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var exact []time.Duration
		collection := NewCollection()
		for router := range rapid.IntRange(1, 5).Draw(t, "routers") {
			recorder := NewRecorder(start)
			for _, micros := range rapid.SliceOfN(rapid.Int64Range(100, 50_000_000), 1, 200).Draw(t, "latencies") {
				latency := time.Duration(micros) * time.Microsecond
				exact = append(exact, latency)
				recorder.Record(start, "sweep", Sample{Latency: latency, Complete: true, Covered: 8, Wanted: 8})
			}
			collection.Set(start, fmt.Sprint(router), recorder.Reports(start.Add(time.Second)))
		}
		sum := collection.Sum(start)
		require.Len(t, sum, 1)
		require.EqualValues(t, len(exact), sum[0].GetAnswered())
		require.InDelta(t, float64(len(exact)), Rate(sum[0]), 1e-6)
		slices.Sort(exact)
		share := rapid.Float64Range(0.01, 1).Draw(t, "share")
		want := exact[max(int(ceil(share*float64(len(exact)))), 1)-1]
		got := Quantile(sum[0], share)
		require.GreaterOrEqual(t, float64(got), float64(want)*0.999)
		require.LessOrEqual(t, float64(got), float64(want)*1.0906)
	})
}

func ceil(value float64) int64 {
	whole := int64(value)
	if float64(whole) < value {
		whole++
	}
	return whole
}

// TestWindowForgets checks that requests older than the window don't count, even
// when their slots are reused.
func TestWindowForgets(t *testing.T) {
	recorder := NewRecorder(start)
	for second := range 300 {
		recorder.Record(start.Add(time.Duration(second)*time.Second), "sweep", Sample{Outcome: Refused})
	}
	reports := recorder.Reports(start.Add(299 * time.Second))
	require.Len(t, reports, 1)
	require.EqualValues(t, 60, reports[0].GetRefused())
	require.EqualValues(t, 59*time.Second, reports[0].GetWindow().AsDuration())
	require.Empty(t, recorder.Reports(start.Add(400*time.Second)))
}

func TestOutcomes(t *testing.T) {
	recorder := NewRecorder(start)
	recorder.Record(start, "sweep", Sample{Covered: 7, Wanted: 8, Late: true, Latency: time.Second})
	recorder.Record(start, "sweep", Sample{Covered: 8, Wanted: 8, Complete: true, Latency: time.Second})
	recorder.Record(start, "sweep", Sample{Outcome: Failed, Covered: 1, Wanted: 8, Latency: time.Second})
	recorder.Record(start, "sweep", Sample{Outcome: Refused})
	report := recorder.Reports(start.Add(time.Second))[0]
	want := &v1.RouteReport{Route: "sweep", Requests: 4, Answered: 2, Refused: 1, Failed: 1, Complete: 1, Late: 1, ShardsCovered: 15, ShardsWanted: 16}
	want.Window, want.FirstBucket, want.Latency = report.GetWindow(), uint32(bucketOf(time.Second)), []uint32{3}
	require.True(t, proto.Equal(want, report), report.String())
	require.InDelta(t, 0.9375, Coverage(report), 1e-9)
}

func TestCollectionForgetsSilentNodes(t *testing.T) {
	collection := NewCollection()
	report := []*v1.RouteReport{{Route: "sweep", Answered: 1, FirstBucket: 1 << 31, Latency: []uint32{1}}}
	collection.Set(start, "silent", report)
	collection.Set(start.Add(reportLifetime), "left", report)
	collection.Set(start.Add(reportLifetime), "live", report)
	collection.Remove("left")
	require.EqualValues(t, 2, collection.Sum(start.Add(reportLifetime))[0].GetAnswered())
	require.EqualValues(t, 1, collection.Sum(start.Add(reportLifetime + 1))[0].GetAnswered())
}
