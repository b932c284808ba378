package virtual

import (
	"net/netip"
	"time"

	"github.com/martenstage/martenstage/internal/probing"
	"github.com/martenstage/martenstage/internal/proof/virtualtime"
	"github.com/martenstage/martenstage/internal/query"
)

// watch is one server as one router probes it.
type watch struct {
	server   *server
	schedule *probing.Schedule
	// armed is when the router looks at the schedule again.
	armed time.Duration
}

// probeAll probes every server at once, which sets the schedules going.
func (r *router) probeAll() {
	for _, server := range r.world.order {
		watched := r.watches[server.address]
		if watched == nil {
			watched = &watch{server: server, armed: never}
			seed := r.world.config.Model.Seed + uint64(r.index)<<32 + uint64(len(r.watches))
			watched.schedule = probing.New(probing.Config{Interval: r.world.config.ProbeEvery}, r.world.wall(), seed)
			watched.schedule.SetRouters(len(r.world.config.Zones))
			r.watches[server.address] = watched
		}
		r.probe(watched)
	}
}

// probe asks a server for its health, as the prober does.
func (r *router) probe(watched *watch) {
	r.world.probes++
	observed := query.HealthObserved{Address: watched.server.address}
	if watched.server.fault("crash") == nil {
		observed.Reachable, observed.Health = true, watched.server.health()
	}
	watched.schedule.ObserveProbe(probing.ProbeOf(observed, r.world.wall()))
	r.step(observed)
	r.arm(watched)
}

// arm makes the router look at a schedule when its probe is due, unless it does
// so earlier anyway.
func (r *router) arm(watched *watch) {
	clock := &r.world.clock
	due := max(watched.schedule.Due().Sub(virtualtime.Epoch), clock.Now())
	if watched.armed > clock.Now() && watched.armed <= due {
		return
	}
	watched.armed = due
	clock.At(due, func() {
		if watched.armed != due || r.watches[watched.server.address] != watched {
			return
		}
		watched.armed = never
		if watched.schedule.Due().Sub(virtualtime.Epoch) > clock.Now() {
			r.arm(watched)
			return
		}
		r.probe(watched)
	})
}

// heard takes the end of an attempt into the schedule of its server.
func (r *router) heard(address netip.AddrPort, reply probing.Reply) {
	if watched := r.watches[address]; watched != nil {
		watched.schedule.ObserveReply(reply)
		r.arm(watched)
	}
}

// hear takes in that the word of others about a server changed.
func (r *router) hear(word query.MachineObserved) {
	r.step(word)
	if watched := r.watches[word.Address]; watched != nil {
		watched.schedule.ProbeClosely(r.world.wall())
		r.arm(watched)
	}
}

// Probes returns how many probes all routers have made.
func (w *World) Probes() int { return w.probes }
