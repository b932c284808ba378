package emulator

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/backendapi"
)

// sampleInterval is how often a server with a lagging report is looked at.
const sampleInterval = 20 * time.Millisecond

// reports remembers what a server would have reported earlier, for faults that
// make the report old.
type reports struct {
	mutex   sync.Mutex
	samples []sample
	frozen  backendapi.Health
}

type sample struct {
	at     time.Duration
	health backendapi.Health
}

// add appends a sample and drops those that no lag reaches back to.
func (r *reports) add(taken sample, lag time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.samples = append(r.samples, taken)
	for len(r.samples) > 1 && r.samples[1].at <= taken.at-lag {
		r.samples = r.samples[1:]
	}
}

// before returns the newest sample that is at least as old as asked, or the
// oldest one there is.
func (r *reports) before(at time.Duration) backendapi.Health {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	found := backendapi.Health{}
	for index, one := range r.samples {
		if index > 0 && one.at > at {
			break
		}
		found = one.health
	}
	return found
}

func (r *reports) freeze(health backendapi.Health) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.frozen = health
}

func (r *reports) frozenHealth() backendapi.Health {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.frozen
}

// startLag begins the history of a lagging report with the present.
func (s *Server) startLag(fault *Fault) {
	s.reports.mutex.Lock()
	s.reports.samples = nil
	s.reports.mutex.Unlock()
	s.reports.add(sample{at: s.fleet.elapsed(), health: s.trueHealth(true)}, fault.Delay)
}

// sampleReport adds the present to the history of a lagging report.
func (s *Server) sampleReport() {
	if fault := s.conditions.Load().first(FaultHealthLag); fault != nil {
		s.reports.add(sample{at: s.fleet.elapsed(), health: s.trueHealth(true)}, fault.Delay)
	}
}

// reportedHealth is what the server says about itself; faults make it old or
// false. The shards are left out unless asked for.
func (s *Server) reportedHealth(withShards bool) backendapi.Health {
	active := s.conditions.Load()
	if lie := active.first(FaultHealthLie); lie != nil {
		return s.falseHealth(lie.State, withShards)
	}
	if active.has(FaultHealthFrozen) {
		return s.reports.frozenHealth()
	}
	if lag := active.first(FaultHealthLag); lag != nil {
		return s.reports.before(s.fleet.elapsed() - lag.Delay)
	}
	return s.trueHealth(withShards)
}

// trueHealth is the state of the server as it is.
func (s *Server) trueHealth(withShards bool) backendapi.Health {
	health := backendapi.Health{State: s.state(), Load: s.slots.load()}
	if withShards {
		elapsed := s.fleet.elapsed()
		health.Shards = s.shardStates(func(service string) []uint64 { return s.schedule(service).at(elapsed) })
	}
	return health
}

// falseHealth claims a state, no load, and every version there ever was.
func (s *Server) falseHealth(state backendapi.ReadyState, withShards bool) backendapi.Health {
	health := backendapi.Health{State: state, Load: backendapi.Load{Slots: s.slots.load().Slots}}
	if withShards {
		health.Shards = s.shardStates(func(service string) []uint64 { return s.schedule(service).all() })
	}
	return health
}

func (s *Server) shardStates(versions func(service string) []uint64) []backendapi.ShardState {
	states := lo.MapToSlice(s.holdings, func(held holding, _ uint32) backendapi.ShardState {
		return backendapi.ShardState{Service: held.service, Generation: held.generation,
			Shard: held.shard, Versions: versions(held.service)}
	})
	slices.SortFunc(states, func(left, right backendapi.ShardState) int {
		return cmp.Or(cmp.Compare(left.Service, right.Service),
			cmp.Compare(left.Generation, right.Generation), cmp.Compare(left.Shard, right.Shard))
	})
	return states
}

// state is the server's true state.
func (s *Server) state() backendapi.ReadyState {
	switch {
	case s.isDraining():
		return backendapi.StateDraining
	case s.coldProgress(s.fleet.elapsed()) < 1:
		return backendapi.StateWarming
	default:
		return backendapi.StateReady
	}
}

func (s *Server) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	health := s.reportedHealth(true)
	if health.State == backendapi.StateDraining {
		writer.Header().Set(backendapi.HeaderDraining, "1")
	}
	health.Holdings = backendapi.HoldingsFingerprint(health.Shards)
	writeJSON(writer, health)
}

func writeJSON(writer http.ResponseWriter, document any) {
	writer.Header().Set("Content-Type", "application/json")
	// A client that is gone is of no interest to a server that only reads.
	_ = json.NewEncoder(writer).Encode(document)
}

// loadingShare is the part of a cold start in which the index is still being
// loaded and queries are refused.
const loadingShare = 0.25

// warmUp begins a cold start.
func (s *Server) warmUp() { s.coldSince.Store(int64(s.fleet.elapsed()) + 1) }

// coldProgress is the share of the cold start that has passed; 1 when warm.
func (s *Server) coldProgress(elapsed time.Duration) float64 {
	since := s.coldSince.Load()
	if since == 0 || s.fleet.config.ColdStart <= 0 {
		return 1
	}
	return min(1, float64(elapsed-time.Duration(since-1))/float64(s.fleet.config.ColdStart))
}

// isLoading reports whether a cold start is still in its first part.
func (s *Server) isLoading() bool { return s.coldProgress(s.fleet.elapsed()) < loadingShare }

// coldFactor multiplies service times during a cold start, falling to 1.
func (s *Server) coldFactor(elapsed time.Duration) float64 {
	left := 1 - s.coldProgress(elapsed)
	return 1 + left*(max(1, s.fleet.config.ColdFactor)-1)
}
