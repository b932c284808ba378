package scale

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of recorded delays, in microseconds.
const (
	shortestDelay  = 1
	longestDelay   = int64(10 * time.Minute / time.Microsecond)
	delayPrecision = 3
)

// Accepted is a revision and when the operator heard that it was accepted.
type Accepted struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
}

// ReportRequest asks a fleet when revisions were installed.
type ReportRequest struct {
	Accepted []Accepted `json:"accepted"`
	// Since bounds the gaps that are reported.
	Since time.Time `json:"since"`
}

// Report says how fast a fleet's followers installed revisions.
type Report struct {
	// Delays are microseconds from acceptance to installation, one for each
	// revision and follower that had an earlier revision when it was accepted.
	Delays *hdrhistogram.Snapshot `json:"delays"`
	// Last holds, for each revision asked, when the last follower had it.
	Last []time.Time `json:"last"`
	// Behind counts followers and revisions that were not installed yet.
	Behind int `json:"behind"`
	// Gaps counts the times without a lease, and the longest.
	Gaps       int           `json:"gaps"`
	LongestGap time.Duration `json:"longest_gap"`
	// Churn counts how followers ended since the report before.
	Churn Churn `json:"churn"`
}

// State says how far a fleet is.
type State struct {
	// Running followers, how many of them hold a lease, and the lowest
	// revision that a running one has installed.
	Running        int    `json:"running"`
	Holding        int    `json:"holding"`
	LowestRevision uint64 `json:"lowest_revision"`
	// Lapsed followers run and had a lease that they lost.
	Lapsed int `json:"lapsed"`
	// Foreign counts plans, of all followers so far, with services of another
	// region.
	Foreign int `json:"foreign"`
}

// plus adds the states of two fleets up.
func (s State) plus(other State) State {
	lowest := min(s.LowestRevision, other.LowestRevision)
	if s.Running == 0 {
		lowest = other.LowestRevision
	}
	return State{
		Running: s.Running + other.Running, Holding: s.Holding + other.Holding, LowestRevision: lowest,
		Lapsed: s.Lapsed + other.Lapsed, Foreign: s.Foreign + other.Foreign,
	}
}

func newDelays() *hdrhistogram.Histogram {
	return hdrhistogram.New(shortestDelay, longestDelay, delayPrecision)
}

// Report answers when revisions were installed.
func (f *Fleet) Report(request ReportRequest) Report {
	delays := newDelays()
	report := Report{Last: make([]time.Time, len(request.Accepted))}
	for _, one := range f.all() {
		for index, accepted := range request.Accepted {
			at, counted := one.reached(accepted)
			switch {
			case !counted:
			case at.IsZero():
				report.Behind++
			default:
				// A follower may have it before the operator hears of it.
				delay := max(at.Sub(accepted.At).Microseconds(), shortestDelay)
				_ = delays.RecordValue(min(delay, longestDelay))
				if at.After(report.Last[index]) {
					report.Last[index] = at
				}
			}
		}
		for _, known := range one.gapsSince(request.Since) {
			report.Gaps++
			report.LongestGap = max(report.LongestGap, known.length)
		}
	}
	report.Delays = delays.Export()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	report.Churn, f.counts = f.counts, Churn{}
	return report
}

// State describes the running followers.
func (f *Fleet) State() State {
	now := time.Now()
	var state State
	for _, one := range f.all() {
		known := one.state(now)
		state.Foreign += known.foreign
		if known.ended {
			continue
		}
		if state.Running == 0 || known.revision < state.LowestRevision {
			state.LowestRevision = known.revision
		}
		state.Running++
		if known.holding {
			state.Holding++
		}
		if known.lapsed {
			state.Lapsed++
		}
	}
	return state
}
