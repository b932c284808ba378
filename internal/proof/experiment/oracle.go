package experiment

import (
	"net/netip"
	"time"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/experiment/virtual"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/verdict"
)

// oracle gathers like the naive variant but knows the future: it sends each
// shard to the replica whose reply will be back first, and a request that can
// not be back before its deadline is not sent at all.
type oracle struct {
	core   *query.Engine
	future future
	router int
	plan   *plan.Plan
}

// future is a world that can be looked into.
type future interface {
	// Now is the time that predictions count in.
	Now() time.Duration
	// Foresee returns when the reply to an attempt would be back at a router,
	// or false if the server would refuse it.
	Foresee(router int, address netip.AddrPort, send query.Send) (time.Duration, bool)
	// Sent tells that an attempt goes to a server.
	Sent(router int, address netip.AddrPort, send query.Send)
}

// virtualFuture is the future on the virtual clock, which needs no telling.
type virtualFuture struct{ *virtual.World }

// Foresee implements future.
func (v virtualFuture) Foresee(router int, address netip.AddrPort, send query.Send) (time.Duration, bool) {
	outlook := v.World.Foresee(router, address, send)
	return outlook.Finish, outlook.OK
}

// Sent implements future.
func (v virtualFuture) Sent(int, netip.AddrPort, query.Send) {}

// Step implements the engine of either world.
func (o *oracle) Step(now time.Time, event query.Event) []query.Command {
	if installed, ok := event.(query.ConfigInstalled); ok {
		o.plan = installed.Plan
	}
	commands := append([]query.Command(nil), o.core.Step(now, anonymous(event))...)
	if o.redirect(commands) {
		o.tell(commands)
		return commands
	}
	return o.withhold(now, commands)
}

// anonymous takes out of an attempt's outcome what it says about its server,
// which is not the one that the core knows it by.
func anonymous(event query.Event) query.Event {
	switch typed := event.(type) {
	case query.PartArrived:
		typed.Report = query.Report{}
		return typed
	case query.AttemptFailed:
		typed.Report = query.Report{}
		if typed.Reason == verdict.ReasonDraining || typed.Reason == verdict.ReasonSnapshotGone {
			typed.Reason = verdict.ReasonBackendError
		}
		return typed
	default:
		return event
	}
}

// redirect chooses the replica of every attempt. It reports false when one of
// them can't be back in time.
func (o *oracle) redirect(commands []query.Command) bool {
	inTime := true
	for index, command := range commands {
		send, ok := command.(query.Send)
		if !ok {
			continue
		}
		address, finish, ok := o.best(send)
		if !ok || finish > o.future.Now()+send.Timeout {
			inTime = false
			continue
		}
		send.Address = address
		commands[index] = send
	}
	return inTime
}

// best returns the replica whose reply will be back first.
func (o *oracle) best(send query.Send) (address netip.AddrPort, finish time.Duration, found bool) {
	for _, replica := range o.replicas(send) {
		back, ok := o.future.Foresee(o.router, replica.Address, send)
		if ok && (!found || back < finish) {
			address, finish, found = replica.Address, back, true
		}
	}
	return address, finish, found
}

func (o *oracle) replicas(send query.Send) []plan.Replica {
	service, ok := o.plan.ServiceNamed(send.Service)
	if !ok {
		return nil
	}
	for _, generation := range service.Generations {
		for _, shard := range generation.Shards {
			if generation.Number == send.Generation && shard.ID == send.Shard {
				return shard.Replicas
			}
		}
	}
	return nil
}

func (o *oracle) tell(commands []query.Command) {
	for _, command := range commands {
		if send, ok := command.(query.Send); ok {
			o.future.Sent(o.router, send.Address, send)
		}
	}
}

// withhold tells the core that its attempts were not run, in place of sending
// them.
func (o *oracle) withhold(now time.Time, commands []query.Command) []query.Command {
	var kept []query.Command
	var failures []query.AttemptFailed
	for _, command := range commands {
		send, ok := command.(query.Send)
		if !ok {
			kept = append(kept, command)
			continue
		}
		failures = append(failures, query.AttemptFailed{
			Attempt: send.Attempt, Verdict: verdict.NotRun, Reason: verdict.ReasonOverloaded,
		})
	}
	for _, failure := range failures {
		kept = append(kept, o.core.Step(now, failure)...)
	}
	return kept
}
