package query

import (
	"time"

	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/verdict"
)

// waiter is a shard of a request that waits for a free slot at a replica.
type waiter struct {
	request  *request
	sequence uint64
	shard    int
}

// isCurrent reports whether the waiter still refers to a waiting shard.
func (w waiter) isCurrent() bool {
	return w.request.sequence == w.sequence && w.request.phase == phaseRunning &&
		w.request.shards[w.shard].phase == shardWaiting
}

// start pins a snapshot and sends the first attempts.
func (e *Engine) start(r *request) {
	r.phase = phaseRunning
	pinned, found := e.pinSnapshot(r.route, r.Key)
	if !found {
		e.failWith(r, verdict.ReasonNoSnapshot, "no index version is served by enough shards")
		return
	}
	r.setTarget(pinned)
	e.scatter(r)
}

// scatter dispatches every target shard.
func (e *Engine) scatter(r *request) {
	for index := range r.shards {
		e.dispatchShard(r, index)
	}
	e.advanceRequest(r)
}

// advanceRequest makes the decisions that follow from a change of a request.
func (e *Engine) advanceRequest(r *request) {
	if r.phase != phaseRunning {
		return
	}
	if r.versionLost {
		r.versionLost = false
		if e.restart(r) {
			return
		}
	}
	if !e.decide(r) {
		e.schedule(r)
	}
}

// dispatchShard sends a shard's next attempt, queues it for a free slot, or fails the
// shard when no replica can serve it.
func (e *Engine) dispatchShard(r *request, index int) {
	shard := &r.shards[index]
	server, availability := e.pool.Choose(e.now, shard.group, e.need(r, shard))
	switch availability {
	case balancer.Available:
		e.send(r, index, server)
	case balancer.Busy:
		e.enqueue(r, index)
	case balancer.Unavailable:
		e.failUnavailable(r, shard)
	}
}

// need returns the requirements on the server for a shard's next attempt that is not
// a hedge.
func (e *Engine) need(r *request, shard *shardState) balancer.Need {
	return balancer.Need{
		Version: r.version,
		Tried:   shard.triedServers(),
		Hedged:  r.repeatable() && r.route.Policy.Hedge.MaxPerShard > 0 && e.mayHedge(r, shard, false),
		Waiting: r.partition.queues[shard.group.Index()].Waiting(),
	}
}

// failUnavailable fails a shard that no replica can serve. If its replicas lost the
// version, the complete request may still restart on another snapshot.
func (e *Engine) failUnavailable(r *request, shard *shardState) {
	switch {
	case shard.group.Usable() == 0:
		e.failShard(r, shard, verdict.ReasonNoReplica)
	case shard.group.CanServe(r.version):
		e.failShard(r, shard, verdict.ReasonNoReplica)
	default:
		e.failShard(r, shard, verdict.ReasonNoSnapshot)
	}
}

// failShard ends a shard without a part.
func (e *Engine) failShard(r *request, shard *shardState, reason verdict.Reason) {
	e.dequeue(r, shard)
	shard.phase = shardFailed
	shard.reason = reason
	shard.due = time.Time{}
	r.open--
}

// send sends one attempt of a shard to a server.
func (e *Engine) send(r *request, index int, server *balancer.Server) {
	shard := &r.shards[index]
	hedge := shard.inFlightCount > 0
	id := e.attempts.add(attempt{
		request: r, shard: index, group: shard.group, server: server, sent: e.now,
		version: r.version, generation: r.partition.Number,
	})
	e.pool.Begin(server)
	e.countAttempt(r, hedge, shard.retrying)
	e.emit(Send{
		Attempt: id, Request: r.ID, CallerID: r.CallerID, Address: server.Address,
		Service: r.partition.Service, Shard: shard.group.Shard, Generation: r.partition.Number,
		Version: r.version, Timeout: r.deadline.Sub(e.now), Once: r.route.Policy.Once,
		Hedge: hedge, Retry: shard.retrying && !hedge, Body: r.Body,
	})
	shard.addAttempt(id, server)
	shard.phase = shardSent
	r.outstanding++
	r.setDue(shard, e.hedgeTime(r, shard))
}

// countAttempt adds an attempt to the request's counts. First attempts earn the
// budget tokens that extra attempts spend.
func (e *Engine) countAttempt(r *request, hedge, retry bool) {
	switch {
	case hedge:
		r.counts.Hedges++
	case retry:
		r.counts.Retries++
	default:
		r.counts.First++
		state := r.route.service.state
		state.hedges.Earn(1)
		state.retries.Earn(1)
	}
}

// enqueue makes a shard wait until one of its replicas has a free slot. Only then is
// the attempt bound to a replica, the first one with a free slot.
func (e *Engine) enqueue(r *request, index int) {
	shard := &r.shards[index]
	shard.phase = shardWaiting
	shard.due = time.Time{}
	queue := &r.partition.queues[shard.group.Index()]
	queue.Push(r.route.Policy.Priority, waiter{request: r, sequence: r.sequence, shard: index})
	e.waitingShards++
}

// dequeue ends a shard's wait for a free slot, if it is waiting.
func (e *Engine) dequeue(r *request, shard *shardState) {
	if shard.phase != shardWaiting {
		return
	}
	r.partition.queues[shard.group.Index()].Discard(r.route.Policy.Priority)
	e.waitingShards--
	shard.phase = shardSent
}

// dispatchWaiting assigns the free slots of a server to the shards that wait for it.
func (e *Engine) dispatchWaiting(server *balancer.Server) {
	if e.waitingShards > 0 {
		server.Groups(e.dispatchQueue)
	}
}

func (e *Engine) dispatchQueue(group *balancer.Group) {
	partition := e.partitions[group.Generation()]
	queue := &partition.queues[group.Index()]
	for queue.Waiting() > 0 {
		next, found := queue.Pop()
		if !found {
			return
		}
		if next.isCurrent() && !e.dispatchWaiter(next) {
			queue.PushFront(next.request.route.Policy.Priority, next)
			return
		}
	}
}

// dispatchWaiter reports whether the waiter left the queue.
func (e *Engine) dispatchWaiter(w waiter) bool {
	r := w.request
	shard := &r.shards[w.shard]
	server, availability := e.pool.Choose(e.now, shard.group, e.need(r, shard))
	if availability == balancer.Busy {
		return false
	}
	e.dequeue(r, shard)
	if availability == balancer.Available {
		e.send(r, w.shard, server)
		e.schedule(r)
		return true
	}
	e.failUnavailable(r, shard)
	r.versionLost = !shard.group.CanServe(r.version)
	e.advanceRequest(r)
	return true
}
