package query

import (
	"time"

	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/verdict"
)

// waiter is a shard of a request that waits for a place at a replica.
type waiter struct {
	request  *request
	sequence uint64
	shard    int
}

// wanted reports whether the waiter still stands for a waiting shard.
func (w waiter) wanted() bool {
	return w.request.sequence == w.sequence && w.request.phase == phaseRunning &&
		w.request.shards[w.shard].phase == shardWaiting
}

// start pins a snapshot and sends the first attempts.
func (e *Engine) start(r *request) {
	r.phase = phaseRunning
	pinned, found := e.pinSnapshot(r.route, r.Key)
	if !found {
		e.endWith(r, verdict.ReasonNoSnapshot, "no index version is served by enough shards")
		return
	}
	r.target(pinned)
	e.scatter(r)
}

// scatter places every target shard.
func (e *Engine) scatter(r *request) {
	for index := range r.shards {
		e.place(r, index)
	}
	e.settleEvent(r)
}

// settleEvent takes the decisions that follow from a change of a request.
func (e *Engine) settleEvent(r *request) {
	if r.phase != phaseRunning {
		return
	}
	if r.vanished {
		r.vanished = false
		if e.restart(r) {
			return
		}
	}
	if !e.decide(r) {
		e.schedule(r)
	}
}

// place sends a shard's next attempt, lets it wait for a place, or gives it up
// when no replica can serve it.
func (e *Engine) place(r *request, index int) {
	shard := &r.shards[index]
	server, availability := e.pool.Choose(e.now, shard.group, e.need(r, shard))
	switch availability {
	case balancer.Available:
		e.send(r, index, server)
	case balancer.Busy:
		e.enqueue(r, index)
	case balancer.Unavailable:
		e.unavailable(r, shard)
	}
}

// need is what a shard's next attempt, if it is not a hedge, is chosen for.
func (e *Engine) need(r *request, shard *shardState) balancer.Need {
	return balancer.Need{
		Version: r.version,
		Tried:   shard.triedServers(),
		Hedged:  r.repeatable() && r.route.Policy.Hedge.MaxPerShard > 0 && e.mayHedge(r, shard, false),
		Waiting: r.partition.queues[shard.group.Index()].Waiting(),
	}
}

// unavailable gives up a shard that no replica can serve. Where the version
// was there before, the whole request may still start over on another one.
func (e *Engine) unavailable(r *request, shard *shardState) {
	switch {
	case shard.group.Usable() == 0:
		e.failShard(r, shard, verdict.ReasonNoReplica)
	case shard.group.CanServe(r.version):
		e.failShard(r, shard, verdict.ReasonNoReplica)
	default:
		e.failShard(r, shard, verdict.ReasonNoSnapshot)
	}
}

// failShard settles a shard without a part.
func (e *Engine) failShard(r *request, shard *shardState, reason verdict.Reason) {
	e.leaveQueue(r, shard)
	shard.phase = shardFailed
	shard.reason = reason
	shard.due = time.Time{}
	r.open--
}

// send sends one attempt of a shard to a server.
func (e *Engine) send(r *request, index int, server *balancer.Server) {
	shard := &r.shards[index]
	hedge := shard.outCount > 0
	id := e.attempts.add(attempt{
		request: r, shard: index, group: shard.group, server: server, sent: e.now,
		version: r.version, generation: r.partition.Number,
	})
	e.pool.Begin(server)
	e.count(r, hedge, shard.again)
	e.emit(Send{
		Attempt: id, Request: r.ID, CallerID: r.CallerID, Address: server.Address,
		Service: r.partition.Service, Shard: shard.group.Shard, Generation: r.partition.Number,
		Version: r.version, Timeout: r.deadline.Sub(e.now), Once: r.route.Policy.Once,
		Hedge: hedge, Retry: shard.again && !hedge, Body: r.Body,
	})
	shard.addAttempt(id, server)
	shard.phase = shardSent
	r.outstanding++
	r.setDue(shard, e.hedgeTime(r, shard))
}

// count adds an attempt to the request's load. First attempts earn the tokens
// that extra ones spend.
func (e *Engine) count(r *request, hedge, retry bool) {
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

// enqueue lets a shard wait until one of its replicas has a place. The attempt
// is bound to a replica only then, to whichever is free first.
func (e *Engine) enqueue(r *request, index int) {
	shard := &r.shards[index]
	shard.phase = shardWaiting
	shard.due = time.Time{}
	queue := &r.partition.queues[shard.group.Index()]
	queue.Push(r.route.Policy.Priority, waiter{request: r, sequence: r.sequence, shard: index})
	e.waiting++
}

// leaveQueue takes a shard out of the count of those that wait.
func (e *Engine) leaveQueue(r *request, shard *shardState) {
	if shard.phase != shardWaiting {
		return
	}
	r.partition.queues[shard.group.Index()].Leave(r.route.Policy.Priority)
	e.waiting--
	shard.phase = shardSent
}

// serveWaiting gives the places of a server to the shards that wait for it.
func (e *Engine) serveWaiting(server *balancer.Server) {
	if e.waiting > 0 {
		server.Groups(e.serveQueue)
	}
}

func (e *Engine) serveQueue(group *balancer.Group) {
	partition := e.partitions[group.Generation()]
	queue := &partition.queues[group.Index()]
	for queue.Waiting() > 0 {
		next, found := queue.Pop()
		if !found {
			return
		}
		if next.wanted() && !e.placeWaiter(next) {
			queue.PushFront(next.request.route.Policy.Priority, next)
			return
		}
	}
}

// placeWaiter reports whether the waiter left the queue.
func (e *Engine) placeWaiter(w waiter) bool {
	r := w.request
	shard := &r.shards[w.shard]
	server, availability := e.pool.Choose(e.now, shard.group, e.need(r, shard))
	if availability == balancer.Busy {
		return false
	}
	e.leaveQueue(r, shard)
	if availability == balancer.Available {
		e.send(r, w.shard, server)
		e.schedule(r)
		return true
	}
	e.unavailable(r, shard)
	r.vanished = !shard.group.CanServe(r.version)
	e.settleEvent(r)
	return true
}
