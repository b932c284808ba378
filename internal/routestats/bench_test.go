package routestats

import (
	"testing"
	"time"
)

// BenchmarkRecord measures the cost of recording a request, with several engines
// recording concurrently.
func BenchmarkRecord(b *testing.B) {
	recorder := NewRecorder(start)
	routes := []string{"sweep", "pick", "feed", "send"}
	b.ReportAllocs()
	b.RunParallel(func(worker *testing.PB) {
		now := start
		for index := 0; worker.Next(); index++ {
			now = now.Add(time.Microsecond)
			recorder.Record(now, routes[index%len(routes)], Sample{Latency: time.Duration(index) * time.Microsecond, Covered: 8, Wanted: 8})
		}
	})
}

// BenchmarkSum measures the cost of one upstream report by a control node or a relay
// with 100 followers of 8 routes each.
func BenchmarkSum(b *testing.B) {
	collection := NewCollection()
	for node := range 100 {
		recorder := NewRecorder(start)
		for route := range 8 {
			for latency := range 200 {
				recorder.Record(start, string(rune('a'+route)), Sample{Latency: time.Duration(latency*latency) * 10 * time.Microsecond})
			}
		}
		collection.Set(start, string(rune('A'+node)), recorder.Reports(start.Add(time.Second)))
	}
	b.ReportAllocs()
	for b.Loop() {
		collection.Sum(start)
	}
}
