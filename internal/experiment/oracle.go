package experiment

import (
	"time"

	"github.com/martenstage/martenstage/internal/experiment/virtual"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/verdict"
)

// oracle gathers like the naive variant but knows the future: it sends each
// shard to the replica whose reply will be back first, and a request that can
// not be back before its deadline is not sent at all.
type oracle struct {
	core   *query.Engine
	world  *virtual.World
	router int
	plan   *plan.Plan
}

// Step implements virtual.Engine.
func (o *oracle) Step(now time.Time, event query.Event) []query.Command {
	if installed, ok := event.(query.ConfigInstalled); ok {
		o.plan = installed.Plan
	}
	commands := append([]query.Command(nil), o.core.Step(now, event)...)
	if o.redirect(commands) {
		return commands
	}
	return o.withhold(now, commands)
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
		best := o.best(send)
		if !best.OK || best.Finish > o.world.Now()+send.Timeout {
			inTime = false
			continue
		}
		send.Address = best.Address
		commands[index] = send
	}
	return inTime
}

func (o *oracle) best(send query.Send) virtual.Outlook {
	best := virtual.Outlook{}
	for _, replica := range o.replicas(send) {
		outlook := o.world.Foresee(o.router, replica.Address, send)
		if outlook.OK && (!best.OK || outlook.Finish < best.Finish) {
			best = outlook
		}
	}
	return best
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
