package virtual

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/dataset"
	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
	"github.com/martenstage/martenstage/internal/records"
)

// holding names one shard of a server.
type holding struct {
	service    string
	generation uint32
	shard      uint32
}

// server models one back end: slots, a bounded queue, versions and faults.
type server struct {
	world    *World
	address  netip.AddrPort
	name     string
	zone     string
	service  string
	group    string
	slots    int
	limit    int
	holdings []holding
	// shards is the number of shards of each generation held.
	shards  map[uint32]uint32
	steps   []versionStep
	active  []*emulator.Fault
	running []*execution
	queue   []*execution
	// warmSince is when the server last came back; departed when it began to
	// leave, negative when it does not.
	warmSince time.Duration
	departed  time.Duration
	frozen    *backendapi.Health
	// faults are all that the script holds for the server.
	faults []*emulator.Fault
}

// versionStep is the arrival of an index version at one server.
type versionStep struct {
	version uint64
	arrives time.Duration
	dropped time.Duration
}

// execution is one query on a server.
type execution struct {
	attempt *attempt
	record  records.Execution
	items   []json.RawMessage
	finish  time.Duration
	ended   bool
}

const never = time.Duration(-1)

func (w *World) addServer(service *plan.Service, shard *plan.Shard, replica plan.Replica) *server {
	if known, ok := w.servers[replica.Address]; ok {
		return known
	}
	added := &server{
		world: w, address: replica.Address, name: replica.Address.String(), zone: replica.Zone,
		service: service.Name, group: shard.Name, slots: replica.Slots, limit: replica.Connections,
		shards: map[uint32]uint32{}, departed: never, warmSince: never,
	}
	version := uint64(emulator.DefaultFirstVersion)
	for _, roll := range w.config.Rolls {
		if roll.Service != service.Name {
			continue
		}
		version++
		offset := servicetime.Uniform(w.config.Model.Seed, added.name, "roll", version) * float64(roll.Stagger)
		arrives := roll.At + time.Duration(offset)
		added.steps = append(added.steps, versionStep{version, arrives, arrives + roll.Keep})
	}
	w.servers[replica.Address] = added
	w.order = append(w.order, added)
	return added
}

func (s *server) hold(generation *plan.Generation, shard uint32) {
	held := holding{s.service, generation.Number, shard}
	if !slices.Contains(s.holdings, held) {
		s.holdings = append(s.holdings, held)
		s.shards[generation.Number] = uint32(len(generation.Shards))
	}
}

// versions returns the index versions held now, oldest first.
func (s *server) versions() []uint64 { return s.versionsAt(s.world.clock.Now()) }

func (s *server) versionsAt(moment time.Duration) []uint64 {
	held := []uint64{emulator.DefaultFirstVersion}
	for _, step := range s.steps {
		if moment < step.arrives {
			break
		}
		if moment >= step.dropped {
			held = held[:0]
		}
		held = append(held, step.version)
	}
	return held
}

func (s *server) fault(kind emulator.FaultKind) *emulator.Fault {
	for _, fault := range s.active {
		if fault.Kind == kind {
			return fault
		}
	}
	return nil
}

// refusal returns why the server would not take a query now, or "".
func (s *server) refusal(generation, shard uint32, version uint64) backendapi.RefusalReason {
	switch {
	case s.fault(emulator.FaultDrain) != nil:
		return backendapi.RefusalDraining
	case !slices.Contains(s.holdings, holding{s.service, generation, shard}):
		return backendapi.RefusalUnknownShard
	case !slices.Contains(s.versions(), version):
		return backendapi.RefusalUnknownVersion
	case len(s.running) >= s.slots && len(s.queue) >= s.slots*s.world.config.QueuePerSlot:
		return backendapi.RefusalOverloaded
	}
	return ""
}

// arrive takes a query in. It is the moment that the back end records.
func (s *server) arrive(sent *attempt) {
	if s.fault(emulator.FaultCrash) != nil {
		sent.lost()
		return
	}
	send := &sent.send
	run := &execution{attempt: sent, record: records.Execution{
		Backend: s.name, Service: s.service, Shard: send.Shard, Generation: send.Generation, Version: send.Version,
		Request: send.CallerID, Attempt: fmt.Sprint(sent.router.index, "-", send.Attempt), Once: send.Once,
		BodyDigest: sent.bodyDigest, Arrived: s.world.wall(),
	}}
	sent.execution = run
	if reason := s.refusal(send.Generation, send.Shard, send.Version); reason != "" {
		s.refuse(run, reason)
		return
	}
	s.queue = append(s.queue, run)
	s.startNext()
}

func (s *server) refuse(run *execution, reason backendapi.RefusalReason) {
	run.ended = true
	run.record.Refusal = string(reason)
	run.record.Replied = true
	s.world.record(run)
	run.attempt.refused(reason, s.reportLoad())
}

// startNext runs queued queries while there are free slots.
func (s *server) startNext() {
	for len(s.running) < s.slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if s.world.clock.Now() >= next.attempt.expires {
			s.refuse(next, backendapi.RefusalDeadline)
			continue
		}
		s.start(next)
	}
}

func (s *server) start(run *execution) {
	now := s.world.clock.Now()
	run.record.Executed, run.record.Started = true, s.world.wall()
	run.finish = now + s.serviceTime(run.attempt.send.CallerID, run.attempt.send.Shard, now)
	s.running = append(s.running, run)
	// A back end honours the deadline that travels with the query.
	end := min(run.finish, max(run.attempt.expires, now))
	s.world.clock.At(end, func() { s.finish(run) })
}

// serviceTime is how long a query that starts at a moment takes.
func (s *server) serviceTime(request string, shard uint32, start time.Duration) time.Duration {
	query := servicetime.Query{Service: s.service, Server: s.name, Request: request, Shard: shard}
	factor := 1.0
	for _, fault := range s.active {
		if fault.Kind == emulator.FaultSlow {
			factor *= fault.Factor
		}
	}
	if cold := s.world.config.ColdStart; s.warmSince != never && start-s.warmSince < cold {
		progress := float64(start-s.warmSince) / float64(cold)
		factor *= s.world.config.ColdFactor - (s.world.config.ColdFactor-1)*progress
	}
	return time.Duration(float64(s.world.config.Model.ServiceTime(query, start)) * factor)
}

// finish ends a running query, whole or by its deadline.
func (s *server) finish(run *execution) {
	if run.ended {
		return
	}
	run.ended = true
	s.running = remove(s.running, run)
	if s.world.clock.Now() < run.finish {
		run.record.Canceled = true
		s.world.record(run)
	} else {
		run.record.Replied = true
		s.produce(run)
		s.world.record(run)
		run.attempt.replied(run, s.reportLoad())
	}
	s.startNext()
}

func (s *server) produce(run *execution) {
	run.items, run.record.ItemDigests = dataset.Part(dataset.Query{
		Service: s.service, Shard: run.record.Shard, Shards: s.shards[run.record.Generation],
		Version: run.record.Version, RequestDigest: run.record.BodyDigest,
	})
}

// cancel ends a query that is no longer wanted and frees its slot.
func (s *server) cancel(run *execution) {
	if run == nil || run.ended {
		return
	}
	run.ended = true
	run.record.Canceled = true
	if !run.record.Executed {
		run.record.Refusal = string(backendapi.RefusalCanceled)
	}
	s.queue = remove(s.queue, run)
	s.running = remove(s.running, run)
	s.world.record(run)
	s.startNext()
}

func (s *server) reportLoad() backendapi.Load {
	return backendapi.Load{InFlight: len(s.running), Slots: s.slots, Queued: len(s.queue)}
}

// health is what the health endpoint says, which need not be true.
func (s *server) health() backendapi.Health {
	if s.frozen != nil {
		return *s.frozen
	}
	report := backendapi.Health{State: backendapi.StateReady, Load: s.reportLoad()}
	if s.fault(emulator.FaultDrain) != nil {
		report.State = backendapi.StateDraining
	}
	if lie := s.fault(emulator.FaultHealthLie); lie != nil {
		report.State, report.Load = lie.State, backendapi.Load{Slots: s.slots}
	}
	versions := s.versions()
	for _, held := range s.holdings {
		report.Shards = append(report.Shards, backendapi.ShardState{
			Service: held.service, Generation: held.generation, Shard: held.shard, Versions: versions,
		})
	}
	report.Holdings = backendapi.HoldingsFingerprint(report.Shards)
	return report
}

// holdingsMark is what replies say about what the server holds.
func (s *server) holdingsMark() string { return s.health().Holdings }

func remove[T comparable](items []T, item T) []T {
	if index := slices.Index(items, item); index >= 0 {
		return slices.Delete(items, index, index+1)
	}
	return items
}
