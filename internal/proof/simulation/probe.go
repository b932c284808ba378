package simulation

import (
	"time"

	"github.com/martenstage/martenstage/internal/probing"
	"github.com/martenstage/martenstage/internal/query"
)

// watch is one back end as one router probes it.
type watch struct {
	router   *router
	server   *backend
	schedule *probing.Schedule
	alarm    alarm
	underWay bool
}

// watchShared begins to probe the back ends that the router got a share of, and
// ends with the others.
func (r *router) watchShared() {
	for index, server := range r.world.backends {
		_, used := r.shares[server.address]
		watched := r.watches[server.address]
		switch {
		case used && watched == nil:
			watched = &watch{router: r, server: server}
			watched.schedule = probing.New(probing.Config{Interval: probeInterval}, r.now(),
				r.world.seed^r.boot<<8^uint64(index)<<24^uint64(len(r.name())))
			watched.alarm = alarm{process: &r.process, act: watched.look}
			r.watches[server.address] = watched
		case !used && watched != nil:
			watched.alarm.set(time.Time{})
			delete(r.watches, server.address)
			continue
		case !used:
			continue
		}
		watched.schedule.SetRouters(len(r.members))
		watched.arm()
	}
}

func (w *watch) arm() {
	if !w.underWay {
		w.alarm.set(w.schedule.Due())
	}
}

// look makes a probe if it is still due.
func (w *watch) look() {
	r := w.router
	if w.underWay || r.watches[w.server.address] != w {
		return
	}
	if w.schedule.Due().After(r.now()) {
		w.arm()
		return
	}
	w.underWay = true
	r.world.call(call{
		from: &r.process, to: &w.server.process, timeout: probeTimeout,
		handle: func(reply reply) { reply(w.server.health()) },
		done: func(result callResult) {
			observed := query.HealthObserved{
				Address: w.server.address, Reachable: !result.failed, TimedOut: result.failed && !result.refused,
			}
			if !result.failed {
				observed.Health = r.world.mutations.health(result.answer)
			}
			w.underWay = false
			w.schedule.ObserveProbe(probing.ProbeOf(observed, r.now()))
			w.arm()
			r.step(observed)
		},
	})
}

// heard takes the end of an attempt into the schedule of its back end.
func (r *router) heard(ended *attempt, outcome query.Event) {
	if watched := r.watches[ended.send.Address]; watched != nil {
		watched.schedule.ObserveReply(probing.ReplyOf(outcome, ended.sentAt, r.now()))
		watched.arm()
	}
}

// hear takes in that the word of others about a back end changed.
func (r *router) hear(word query.MachineObserved) {
	if watched := r.watches[word.Address]; watched != nil {
		watched.schedule.ProbeClosely(r.now())
		watched.arm()
	}
	r.step(word)
}
