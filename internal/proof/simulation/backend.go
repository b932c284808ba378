package simulation

import (
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/dataset"
	"github.com/martenstage/martenstage/internal/proof/judge"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
	"github.com/martenstage/martenstage/internal/proof/virtualtime"
	"github.com/martenstage/martenstage/internal/records"
)

// holding names one shard of a back end.
type holding struct {
	service    string
	generation uint32
	shard      uint32
}

// backend models a back-end server: slots, a bounded queue, the index versions
// that it holds, and its faults.
type backend struct {
	process
	address  netip.AddrPort
	service  string
	slots    int
	holdings []holding
	// shards is the number of shards of each generation held.
	shards   map[uint32]uint32
	versions []uint64
	// reported is what health says of holdings and versions; nil after a change.
	reported []backendapi.ShardState
	running  []*execution
	queue    []*execution

	// departing is set while the back end leaves, which can be known since
	// departedAt.
	departing  bool
	departedAt time.Time
	// refusedTo is when each run of a router was first refused since.
	refusedTo map[routerRun]time.Duration
	// slowdown multiplies service times, in tenths.
	slowdown int
	// frozenHealth is reported in place of the truth; lying reports an idle
	// server that is ready.
	frozenHealth *backendapi.Health
	lying        bool
	// confused makes the server echo the shard of another query.
	confused bool
	// lost are holdings that it lost.
	lost bool
}

// execution is one query on a back end.
type execution struct {
	attempt *attempt
	record  records.Execution
	items   []json.RawMessage
	ended   bool
}

const (
	firstVersion = 1
	queuePerSlot = 3
	normalPace   = 10 // tenths
)

func newBackend(world *World, at seat) *backend {
	address := netip.MustParseAddrPort(at.name)
	return &backend{
		process: newProcess(world, at),
		address: address, shards: map[uint32]uint32{}, versions: []uint64{firstVersion}, slowdown: normalPace,
		refusedTo: map[routerRun]time.Duration{},
	}
}

// hold takes in that a configuration places a shard here. Back ends hold every
// shard that any configuration may place on them.
func (b *backend) hold(place plan.Placement) {
	held := holding{place.Service.Name, place.Generation.Number, place.Shard.ID}
	b.service, b.slots = place.Service.Name, place.Replica.Slots
	if !slices.Contains(b.holdings, held) {
		b.holdings, b.reported = append(b.holdings, held), nil
		b.shards[held.generation] = uint32(len(place.Generation.Shards))
	}
}

// refusal returns why the server would not take a query now, or "".
func (b *backend) refusal(wanted holding, version uint64) backendapi.RefusalReason {
	switch {
	case b.departing:
		return backendapi.RefusalDraining
	case b.lost || !slices.Contains(b.holdings, wanted):
		return backendapi.RefusalUnknownShard
	case !slices.Contains(b.versions, version):
		return backendapi.RefusalUnknownVersion
	case len(b.running) >= b.slots && len(b.queue) >= b.slots*queuePerSlot:
		return backendapi.RefusalOverloaded
	}
	return ""
}

// arrive takes a query in.
func (b *backend) arrive(sent *attempt) {
	send := &sent.send
	run := &execution{attempt: sent, record: records.Execution{
		Backend: b.name(), Service: b.service, Shard: send.Shard, Generation: send.Generation, Version: send.Version,
		Request: send.CallerID, Attempt: sent.name, Once: send.Once,
		BodyDigest: sent.bodyDigest, Arrived: wallAt(sent.reached),
	}}
	sent.execution = run
	b.world.trace.detail(b.name(), "query_arrived", send.CallerID, "attempt", sent.name, "shard", send.Shard, "version", send.Version)
	if reason := b.refusal(holding{b.service, send.Generation, send.Shard}, send.Version); reason != "" {
		b.refuse(run, reason)
		return
	}
	b.queue = append(b.queue, run)
	b.startNext()
}

func (b *backend) refuse(run *execution, reason backendapi.RefusalReason) {
	run.ended = true
	run.record.Refusal, run.record.Replied = string(reason), true
	b.world.recordExecution(run)
	if reason == backendapi.RefusalDraining {
		b.told(run.attempt)
	}
	run.attempt.refused(reason, b.reportLoad(), b.departing)
}

func (b *backend) startNext() {
	for len(b.running) < b.slots && len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		if b.world.queue.Now() >= next.attempt.expires {
			b.refuse(next, backendapi.RefusalDeadline)
			continue
		}
		b.start(next)
	}
}

func (b *backend) start(run *execution) {
	now := b.world.queue.Now()
	run.record.Executed, run.record.Started = true, b.world.queue.Wall()
	b.running = append(b.running, run)
	took := b.world.model.ServiceTime(servicetime.Query{
		Service: b.service, Server: b.name(), Request: run.attempt.send.CallerID, Shard: run.attempt.send.Shard,
	}, now).Round(time.Microsecond) * time.Duration(b.slowdown) / normalPace
	// A back end honours the deadline that travels with the query.
	left := max(run.attempt.expires-now, 0)
	b.after(min(took, left), func() { b.finish(run, took <= left) })
}

func (b *backend) finish(run *execution, whole bool) {
	if run.ended {
		return
	}
	run.ended = true
	b.running = remove(b.running, run)
	if whole {
		run.record.Replied = true
		b.produce(run)
		b.world.recordExecution(run)
		run.attempt.replied(run, b.reportLoad(), b.departing)
	} else {
		run.record.Canceled = true
		b.world.recordExecution(run)
	}
	b.startNext()
}

func (b *backend) produce(run *execution) {
	run.items, run.record.ItemDigests = dataset.Part(dataset.Query{
		Service: b.service, Shard: run.record.Shard, Shards: b.shards[run.record.Generation],
		Version: run.record.Version, RequestDigest: run.record.BodyDigest,
	})
}

// cancel ends a query that is no longer wanted.
func (b *backend) cancel(run *execution) {
	if run == nil || run.ended {
		return
	}
	run.ended = true
	run.record.Canceled = true
	if !run.record.Executed {
		run.record.Refusal = string(backendapi.RefusalCanceled)
	}
	b.queue, b.running = remove(b.queue, run), remove(b.running, run)
	b.world.recordExecution(run)
	b.startNext()
}

// crash loses everything under way. What ran, ran, but was cut short.
func (b *backend) crash() {
	for _, run := range slices.Concat(b.running, b.queue) {
		run.ended = true
		run.record.Canceled = run.record.Executed
		if !run.record.Executed {
			run.record.Refusal = string(backendapi.RefusalCanceled)
		}
		b.world.recordExecution(run)
		run.attempt.broken()
	}
	b.running, b.queue = nil, nil
	b.end()
}

// restart begins a new run of the server. One that was leaving is back.
func (b *backend) restart() {
	if b.process.running {
		return
	}
	b.begin()
	b.come()
}

// denies reports whether the health endpoint does not tell the truth about a
// departure.
func (b *backend) denies() bool {
	return b.lying || (b.frozenHealth != nil && b.frozenHealth.State == backendapi.StateReady)
}

// leave begins a departure, come ends it.
func (b *backend) leave() {
	if b.departing {
		return
	}
	b.departing = true
	if !b.denies() {
		b.departureKnown()
		return
	}
	// One that denies its departure is known to leave from its first
	// refusal on, or from when the platform lists it, whichever comes first.
	boot := b.boot
	b.world.queue.After(b.world.platformLag, func() {
		if b.departing && b.boot == boot {
			b.departureKnown()
		}
	})
}

// departureKnown notes the moment from which the bound on new work counts. A
// back end that denies its departure is counted only while news travels
// undisturbed; what a router was told by a refusal counts in any case.
func (b *backend) departureKnown() {
	if !b.departedAt.IsZero() || (b.denies() && b.world.disturbed) {
		return
	}
	b.departedAt = b.world.queue.Wall()
	b.world.judge.AddDeparture(records.Departure{Backend: b.name(), Began: b.departedAt})
}

func (b *backend) come() {
	if !b.departing {
		return
	}
	b.departing = false
	clear(b.refusedTo)
	if !b.departedAt.IsZero() {
		b.world.judge.AddDeparture(records.Departure{Backend: b.name(), Began: b.departedAt, Returned: b.world.queue.Wall()})
		b.departedAt = time.Time{}
	}
}

// told notes that a router was refused because of the departure, and fails when
// it had been long before. A query counts from when it reached the machine: one
// that is paused reads it later, which the router can't help.
func (b *backend) told(refused *attempt) {
	b.departureKnown()
	r := refused.router
	run := routerRun{r.name(), r.boot}
	first, known := b.refusedTo[run]
	if !known {
		b.refusedTo[run] = b.world.queue.Now()
	} else if late := refused.reached - first; late > judge.DefaultLeaveBound {
		b.world.fail("refused_before", "%s sent to %s %v after it was refused because the back end leaves", r.name(), b.name(), late)
	}
}

// routerRun names one run of a router.
type routerRun struct {
	name string
	boot uint64
}

// roll makes a newer index version available, and later drops older ones.
func (b *backend) roll(version uint64) {
	if !slices.Contains(b.versions, version) {
		b.versions, b.reported = append(b.versions, version), nil
	}
}

func (b *backend) drop(version uint64) {
	b.versions = slices.DeleteFunc(b.versions, func(held uint64) bool { return held < version })
	b.reported = nil
}

func (b *backend) reportLoad() backendapi.Load {
	return backendapi.Load{InFlight: len(b.running), Slots: b.slots, Queued: len(b.queue)}
}

// health is what the health endpoint says, which need not be true.
func (b *backend) health() backendapi.Health {
	if b.frozenHealth != nil {
		return *b.frozenHealth
	}
	report := backendapi.Health{State: backendapi.StateReady, Load: b.reportLoad()}
	if b.departing {
		report.State = backendapi.StateDraining
	}
	if b.lying {
		report.State, report.Load = backendapi.StateReady, backendapi.Load{Slots: b.slots}
	}
	if b.lost {
		return report
	}
	if b.reported == nil {
		b.reported = b.shardStates()
	}
	report.Shards = b.reported
	report.Holdings = backendapi.HoldingsFingerprint(report.Shards)
	return report
}

func (b *backend) shardStates() []backendapi.ShardState {
	versions := slices.Clone(b.versions)
	return lo.Map(b.holdings, func(held holding, _ int) backendapi.ShardState {
		return backendapi.ShardState{Service: held.service, Generation: held.generation, Shard: held.shard, Versions: versions}
	})
}

func remove[T comparable](items []T, item T) []T {
	if index := slices.Index(items, item); index >= 0 {
		return slices.Delete(items, index, index+1)
	}
	return items
}

// wallAt returns the date of a time since the beginning.
func wallAt(moment time.Duration) time.Time { return virtualtime.Epoch.Add(moment) }
