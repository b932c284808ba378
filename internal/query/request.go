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
	// phaseRunning has attempts in flight, queued or planned.
	phaseRunning
	// phaseSettling was answered and waits for the attempt outcomes that decide how
	// its claim is settled.
	phaseSettling
	// phaseEnded has finished; the object may be reused.
	phaseEnded
)

// request is one request in flight.
type request struct {
	Request
	// sequence distinguishes uses of the object, for timers and waiters that outlive a
	// request.
	sequence uint64
	phase    phase
	route    *routeView
	revision uint64
	arrived  time.Time
	// The answer is late after deadline; decideBy, a little earlier, is the time of
	// the final decision.
	deadline time.Time
	decideBy time.Time

	partition *partition
	version   uint64
	shards    []shardState
	open      int
	covered   int
	// outstanding counts attempts whose outcome is not known yet.
	outstanding int
	// ran and mayHaveRun summarize the outcomes so far.
	ran        bool
	mayHaveRun bool
	counts     AttemptCounts
	restarts   int
	// versionLost is set when a shard no longer has a replica with the version.
	versionLost bool
	// nextThreshold is the index of the route's next elapsed threshold.
	nextThreshold int
	// due is when the request's timer fires; earliestDue is the earliest time
	// requested by a shard since that timer was set.
	due         time.Time
	earliestDue time.Time
}

// shardPhase is the state of one target shard of a request.
type shardPhase uint8

const (
	// shardSent has at least one attempt in flight.
	shardSent shardPhase = iota + 1
	// shardWaiting is queued for a free slot at a replica.
	shardWaiting
	// shardBackingOff waits before retrying on replicas that it already tried.
	shardBackingOff
	shardCovered
	shardFailed
)

// maxInFlightPerShard bounds the concurrent attempts for one shard, and maxTried the
// replicas that are recorded as tried.
const (
	maxInFlightPerShard = 4
	maxTried            = 6
)

// shardState is one target shard of a request.
type shardState struct {
	group         *balancer.Group
	phase         shardPhase
	hedges        uint8
	retries       uint8
	inFlightCount uint8
	triedCount    uint8
	// retrying marks a waiting shard whose next attempt is a retry.
	retrying bool
	inFlight [maxInFlightPerShard]AttemptID
	tried    [maxTried]*balancer.Server
	due      time.Time
	reason   verdict.Reason
	items    []json.RawMessage
	elapsed  time.Duration
}

func (s *shardState) isOpen() bool { return s.phase < shardCovered }

// triedServers returns the replicas to which attempts of the shard were sent.
func (s *shardState) triedServers() []*balancer.Server { return s.tried[:s.triedCount] }

func (s *shardState) addAttempt(id AttemptID, server *balancer.Server) {
	s.inFlight[s.inFlightCount] = id
	s.inFlightCount++
	if s.triedCount < maxTried {
		s.tried[s.triedCount] = server
		s.triedCount++
	}
}

func (s *shardState) removeAttempt(id AttemptID) {
	for index := range s.inFlightCount {
		if s.inFlight[index] == id {
			s.inFlightCount--
			s.inFlight[index] = s.inFlight[s.inFlightCount]
			return
		}
	}
}

// The final decision precedes the deadline by a fraction of the request's time,
// bounded by maxDecisionMargin, so that the answer reaches its caller in time.
const (
	decisionMarginDivisor = 20
	maxDecisionMargin     = 3 * time.Millisecond
)

// newRequest admits a request. Its deadline is the policy's or, when that is earlier,
// the caller's own.
func (e *Engine) newRequest(input Request, route *routeView) *request {
	created := e.allocateRequest()
	e.sequence++
	*created = request{
		Request: input, sequence: e.sequence, route: route, revision: e.revision, arrived: e.now,
		deadline: deadlineOf(e.now, input, route), shards: created.shards[:0],
	}
	span := created.deadline.Sub(e.now)
	created.decideBy = created.deadline.Add(-min(span/decisionMarginDivisor, maxDecisionMargin))
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

func (e *Engine) allocateRequest() *request {
	if len(e.freeRequests) == 0 {
		return &request{}
	}
	last := len(e.freeRequests) - 1
	reused := e.freeRequests[last]
	e.freeRequests = e.freeRequests[:last]
	return reused
}

// maxFreeRequests bounds the request objects that are kept for reuse.
const maxFreeRequests = 1024

// releaseRequest returns a request object for reuse.
func (e *Engine) releaseRequest(ended *request) {
	ended.phase = phaseEnded
	view := ended.route.service
	view.requests--
	e.releaseIfUnused(view)
	clear(ended.shards)
	ended.Request = Request{}
	if len(e.freeRequests) < maxFreeRequests {
		e.freeRequests = append(e.freeRequests, ended)
	}
}

// setTarget sets the snapshot and the shards that the request needs of it.
func (r *request) setTarget(pinned pin) {
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

// repeatable reports whether running the request twice is harmless.
func (r *request) repeatable() bool { return !r.route.Policy.Once }

// currentVerdict combines the outcomes so far; an attempt in flight may have run.
func (r *request) currentVerdict() verdict.Verdict {
	switch {
	case r.ran:
		return verdict.Ran
	case r.mayHaveRun || r.outstanding > 0:
		return verdict.MayHaveRun
	default:
		return verdict.NotRun
	}
}
