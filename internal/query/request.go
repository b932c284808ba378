package query

import (
	"encoding/json"
	"time"

	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/verdict"
)

// phase is the state of a request.
type phase uint8

const (
	// phaseClaiming waits for the decision on its claim; nothing was sent.
	phaseClaiming phase = iota + 1
	// phaseRunning has attempts out, waiting or planned.
	phaseRunning
	// phaseSettling was answered and waits for the outcome of attempts that
	// decides about its claim.
	phaseSettling
	// phaseEnded is left over; the object may be used again.
	phaseEnded
)

// request is one request under way.
type request struct {
	Request
	// sequence tells uses of the object apart, for timers and waiters that
	// outlive a request.
	sequence uint64
	phase    phase
	route    *routeView
	revision uint64
	arrived  time.Time
	// deadline is when the answer is late; decideBy, a little earlier, is when
	// the last decision is taken.
	deadline time.Time
	decideBy time.Time

	partition *partition
	version   uint64
	shards    []shardState
	open      int
	covered   int
	// outstanding counts attempts whose outcome has not come.
	outstanding int
	// ran and doubtful fold the outcomes that have come.
	ran      bool
	doubtful bool
	counts   AttemptCounts
	restarts int
	// vanished is set when a shard found no replica with the version any more.
	vanished bool
	// moment is the index of the next of the route's moments.
	moment int
	// due is when the request's timer fires; soonest is the earliest moment
	// that a shard has asked for since that timer was set.
	due     time.Time
	soonest time.Time
}

// shardPhase is the state of one target shard of a request.
type shardPhase uint8

const (
	// shardSent has at least one attempt out.
	shardSent shardPhase = iota + 1
	// shardWaiting waits in the queue for a place at a replica.
	shardWaiting
	// shardPausing waits to retry on a replica that it tried already.
	shardPausing
	shardCovered
	shardFailed
)

// maxAttemptsOut bounds the attempts that are out at a time for one shard, and
// maxTried the replicas that are remembered as tried.
const (
	maxAttemptsOut = 4
	maxTried       = 6
)

// shardState is one target shard of a request.
type shardState struct {
	group     *balancer.Group
	phase     shardPhase
	hedges    uint8
	retries   uint8
	outCount  uint8
	triedSize uint8
	// again marks a waiting shard whose next attempt is a retry.
	again  bool
	out    [maxAttemptsOut]AttemptID
	tried  [maxTried]*balancer.Server
	due    time.Time
	reason verdict.Reason
	items  []json.RawMessage
	took   time.Duration
}

func (s *shardState) isOpen() bool { return s.phase < shardCovered }

// triedServers returns the replicas that the shard was sent to.
func (s *shardState) triedServers() []*balancer.Server { return s.tried[:s.triedSize] }

func (s *shardState) addAttempt(id AttemptID, server *balancer.Server) {
	s.out[s.outCount] = id
	s.outCount++
	if s.triedSize < maxTried {
		s.tried[s.triedSize] = server
		s.triedSize++
	}
}

func (s *shardState) removeAttempt(id AttemptID) {
	for index := range s.outCount {
		if s.out[index] == id {
			s.outCount--
			s.out[index] = s.out[s.outCount]
			return
		}
	}
}

// Shares and bounds of the time between the last decision and the deadline,
// which lets an answer reach its caller in time.
const (
	decideShare = 20
	decideMost  = 3 * time.Millisecond
)

// newRequest takes a request in. Its deadline is the policy's or, when that is
// earlier, the caller's own.
func (e *Engine) newRequest(input Request, route *routeView) *request {
	created := e.takeSpare()
	e.sequence++
	*created = request{
		Request: input, sequence: e.sequence, route: route, revision: e.revision, arrived: e.now,
		deadline: deadlineOf(e.now, input, route), shards: created.shards[:0],
	}
	span := created.deadline.Sub(e.now)
	created.decideBy = created.deadline.Add(-min(span/decideShare, decideMost))
	e.requests[input.ID] = created
	route.service.requests++
	return created
}

func deadlineOf(now time.Time, input Request, route *routeView) time.Time {
	deadline := now.Add(route.Policy.Deadline)
	if !input.Deadline.IsZero() && input.Deadline.Before(deadline) {
		return input.Deadline
	}
	return deadline
}

func (e *Engine) takeSpare() *request {
	if len(e.spare) == 0 {
		return &request{}
	}
	last := len(e.spare) - 1
	taken := e.spare[last]
	e.spare = e.spare[:last]
	return taken
}

// maxSpare bounds the request objects that are kept for use again.
const maxSpare = 1024

// discard ends the use of a request object.
func (e *Engine) discard(ended *request) {
	ended.phase = phaseEnded
	view := ended.route.service
	view.requests--
	e.releaseIfUnused(view)
	clear(ended.shards)
	ended.Request = Request{}
	if len(e.spare) < maxSpare {
		e.spare = append(e.spare, ended)
	}
}

// target fills in the shards that the request needs of a snapshot.
func (r *request) target(pinned pin) {
	r.partition, r.version = pinned.partition, pinned.version
	clear(r.shards)
	r.shards = r.shards[:0]
	groups := pinned.partition.Groups
	if r.route.Target == plan.TargetKey {
		groups = groups[ShardOfKey(r.Key, len(groups)):][:1]
	}
	for _, group := range groups {
		r.shards = append(r.shards, shardState{group: group, phase: shardSent})
	}
	r.open, r.covered = len(r.shards), 0
}

// repeatable reports whether running the request twice does no harm.
func (r *request) repeatable() bool { return !r.route.Policy.Once }

// verdictNow folds the outcomes so far; an attempt that is out may have run.
func (r *request) verdictNow() verdict.Verdict {
	switch {
	case r.ran:
		return verdict.Ran
	case r.doubtful || r.outstanding > 0:
		return verdict.MayHaveRun
	default:
		return verdict.NotRun
	}
}
