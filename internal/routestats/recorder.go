// Package routestats counts what happened to requests, by route, over the last
// minute, and adds up the counts of many routers. Latencies are counted in
// buckets of equal ratio, so that quantiles of a fleet come from the sum of its
// routers' counts and are off by a bucket's width at most.
package routestats

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// The window of a report is made of slots; the oldest is dropped when a new
// one begins.
const (
	slotDuration = 10 * time.Second
	slotCount    = 6
)

// Sample is the end of one request.
type Sample struct {
	Outcome Outcome
	Latency time.Duration
	// Complete and Late are those of the answer.
	Complete bool
	Late     bool
	// Covered and Wanted count shards of the answer.
	Covered int
	Wanted  int
}

// Outcome is how a request ended.
type Outcome uint8

// Outcomes.
const (
	// Answered requests got an answer, be it partial.
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

// NewRecorder returns a recorder that counts from now on.
func NewRecorder(now time.Time) *Recorder {
	return &Recorder{started: now, routes: make(map[string]*window)}
}

// Record counts a request that ended now.
func (r *Recorder) Record(now time.Time, route string, sample Sample) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counted, found := r.routes[route]
	if !found {
		counted = &window{}
		r.routes[route] = counted
	}
	counted.at(r.slotAt(now)).add(sample)
}

// slotAt numbers the slots since the start.
func (r *Recorder) slotAt(now time.Time) int64 { return int64(now.Sub(r.started) / slotDuration) }

// Reports returns the counts of the window, by route in order of their names.
// Routes without a request in the window are left out.
func (r *Recorder) Reports(now time.Time) []*v1.RouteReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	current := r.slotAt(now)
	covered := now.Sub(r.started)
	if current >= slotCount {
		covered -= time.Duration(current-slotCount+1) * slotDuration
	}
	var reports []*v1.RouteReport
	for route, counted := range r.routes {
		total := counted.total(current)
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

// at returns the slot of a number, emptied if it held an earlier one.
func (w *window) at(number int64) *slot {
	current := &w.slots[number%slotCount]
	if current.number != number {
		*current = slot{number: number}
	}
	return current
}

// total adds up the slots that are not older than the window.
func (w *window) total(current int64) *slot {
	total := &slot{}
	for index := range w.slots {
		if counted := &w.slots[index]; counted.number > current-slotCount {
			total.merge(counted)
		}
	}
	return total
}

// slot counts the requests of one span of time.
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

// report returns the counts in wire form.
func (s *slot) report(route string) *v1.RouteReport {
	first, latency := trim(s.latency[:])
	return &v1.RouteReport{
		Route: route, Requests: s.requests(), Answered: s.answered, Refused: s.refused, Failed: s.failed,
		Complete: s.complete, Late: s.late, ShardsCovered: s.covered, ShardsWanted: s.wanted,
		FirstBucket: first, Latency: latency,
	}
}

// trim returns a copy without the empty buckets at both ends.
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
