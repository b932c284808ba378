// Package routestats counts the outcomes of requests by route over the last minute
// and adds up the counts of many routers. Latencies are counted in buckets of
// exponentially growing width, so that quantiles over all routers can be computed
// from the summed counts, with an error of at most one bucket.
package routestats

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// The sliding window of a report consists of slots; the oldest is dropped when a new
// one begins.
const (
	slotDuration = 10 * time.Second
	slotCount    = 6
)

// Sample is the result of one request.
type Sample struct {
	Outcome Outcome
	Latency time.Duration
	// Complete and Late are the properties of the answer.
	Complete bool
	Late     bool
	// Covered and Wanted count the shards that the answer covers and that were
	// requested.
	Covered int
	Wanted  int
}

// Outcome classifies the end of a request.
type Outcome uint8

// Outcomes.
const (
	// Answered requests got an answer, complete or partial.
	Answered Outcome = iota
	// Refused requests were not run.
	Refused
	// Failed requests ran, or may have run, without an answer.
	Failed
)

// Recorder counts the requests of one router. It is safe for concurrent use.
type Recorder struct {
	mutex   sync.Mutex
	started time.Time
	routes  map[string]*window
}

// NewRecorder returns an empty recorder whose window begins at now.
func NewRecorder(now time.Time) *Recorder {
	return &Recorder{started: now, routes: make(map[string]*window)}
}

// Record counts a request that ended at now.
func (r *Recorder) Record(now time.Time, route string, sample Sample) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	routeWindow, found := r.routes[route]
	if !found {
		routeWindow = &window{}
		r.routes[route] = routeWindow
	}
	routeWindow.slotFor(r.slotAt(now)).add(sample)
}

// slotAt returns the number of the slot of a time, counted from the start.
func (r *Recorder) slotAt(now time.Time) int64 { return int64(now.Sub(r.started) / slotDuration) }

// Reports returns the counts of the window by route, sorted by route name. Routes
// without a request in the window are left out.
func (r *Recorder) Reports(now time.Time) []*v1.RouteReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	current := r.slotAt(now)
	covered := now.Sub(r.started)
	if current >= slotCount {
		covered -= time.Duration(current-slotCount+1) * slotDuration
	}
	var reports []*v1.RouteReport
	for route, routeWindow := range r.routes {
		total := routeWindow.total(current)
		if total.requests() == 0 {
			delete(r.routes, route)
			continue
		}
		report := total.report(route)
		report.Window = durationpb.New(covered)
		reports = append(reports, report)
	}
	sortByRoute(reports)
	return reports
}

func sortByRoute(reports []*v1.RouteReport) {
	slices.SortFunc(reports, func(left, right *v1.RouteReport) int { return cmp.Compare(left.GetRoute(), right.GetRoute()) })
}

// window holds the slots of one route.
type window struct {
	slots [slotCount]slot
}

// slotFor returns the slot with a number, cleared if it held an earlier one.
func (w *window) slotFor(number int64) *slot {
	current := &w.slots[number%slotCount]
	if current.number != number {
		*current = slot{number: number}
	}
	return current
}

// total adds up the slots in the window.
func (w *window) total(current int64) *slot {
	total := &slot{}
	for index := range w.slots {
		if counted := &w.slots[index]; counted.number > current-slotCount {
			total.merge(counted)
		}
	}
	return total
}

// slot counts the requests of one slotDuration.
type slot struct {
	number                    int64
	answered, refused, failed uint64
	complete, late            uint64
	covered, wanted           uint64
	latency                   [bucketCount]uint32
}

func (s *slot) requests() uint64 { return s.answered + s.refused + s.failed }

func (s *slot) add(sample Sample) {
	switch sample.Outcome {
	case Refused:
		s.refused++
		return
	case Failed:
		s.failed++
	default:
		s.answered++
		s.covered += uint64(sample.Covered)
		s.wanted += uint64(sample.Wanted)
		if sample.Complete {
			s.complete++
		}
		if sample.Late {
			s.late++
		}
	}
	s.latency[bucketOf(sample.Latency)]++
}

func (s *slot) merge(other *slot) {
	s.answered += other.answered
	s.refused += other.refused
	s.failed += other.failed
	s.complete += other.complete
	s.late += other.late
	s.covered += other.covered
	s.wanted += other.wanted
	for index, count := range other.latency {
		s.latency[index] += count
	}
}

// report returns the counts as a protobuf message.
func (s *slot) report(route string) *v1.RouteReport {
	first, latency := trim(s.latency[:])
	return &v1.RouteReport{
		Route: route, Requests: s.requests(), Answered: s.answered, Refused: s.refused, Failed: s.failed,
		Complete: s.complete, Late: s.late, ShardsCovered: s.covered, ShardsWanted: s.wanted,
		FirstBucket: first, Latency: latency,
	}
}

// trim returns a copy without the empty buckets at both ends, and the index of the
// first bucket kept.
func trim(buckets []uint32) (first uint32, latency []uint32) {
	begin := slices.IndexFunc(buckets, func(count uint32) bool { return count > 0 })
	if begin < 0 {
		return 0, nil
	}
	end := len(buckets)
	for buckets[end-1] == 0 {
		end--
	}
	return uint32(begin), slices.Clone(buckets[begin:end])
}
