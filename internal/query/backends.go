package query

import (
	"net/netip"

	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/journal"
)

// warmLevels are the numbers of connections asked for by command Warm.
type warmLevels map[netip.AddrPort]int

func (e *Engine) healthObserved(event HealthObserved) {
	if event.Silent {
		e.serverChanged(e.pool.ObserveSilence(e.now, event.Address))
		return
	}
	e.serverChanged(e.pool.ObserveHealth(e.now, event.Address, event.Reachable, event.Health))
}

func (e *Engine) machineObserved(event MachineObserved) {
	server := e.pool.ObserveWord(e.now, event.Address, event.State != MachineLive)
	e.serverChanged(server)
}

func (e *Engine) shareChanged(event ShareChanged) {
	e.serverChanged(e.pool.Share(event.Address, event.Slots, event.Connections))
}

// serverChanged takes in that a server may have become more or less usable.
func (e *Engine) serverChanged(server *balancer.Server) {
	if server == nil {
		return
	}
	e.warm(server)
	e.serveWaiting(server)
}

// warm asks for the connections that a server is worth.
func (e *Engine) warm(server *balancer.Server) {
	wanted := server.Connections()
	if e.warmed[server.Address] == wanted {
		return
	}
	e.warmed[server.Address] = wanted
	e.emit(Warm{Address: server.Address, Connections: wanted})
}

// warmServices asks for the connections of all configured servers.
func (e *Engine) warmServices() {
	for _, name := range sortedKeys(e.services) {
		for _, partition := range e.services[name].partitions {
			for _, group := range partition.Groups {
				group.Servers(e.warm)
			}
		}
	}
}

// releaseRetired drops the views that no request uses any more, at the end of
// a step, when nothing walks over their groups.
func (e *Engine) releaseRetired() {
	for _, view := range e.retired {
		for _, partition := range view.partitions {
			e.pool.Release(partition.Generation)
			delete(e.partitions, partition.Generation)
			for _, group := range partition.Groups {
				group.Servers(e.coolForgotten)
			}
		}
	}
	clear(e.retired)
	e.retired = e.retired[:0]
}

// coolForgotten closes the connections of a server that left the
// configuration.
func (e *Engine) coolForgotten(server *balancer.Server) {
	if _, known := e.pool.Server(server.Address); known || e.warmed[server.Address] == 0 {
		return
	}
	delete(e.warmed, server.Address)
	e.emit(Warm{Address: server.Address})
}

// reportTransitions tells operators, and other nodes where this engine saw it
// itself, about changes of servers and groups.
func (e *Engine) reportTransitions() {
	for _, transition := range e.pool.TakeTransitions() {
		event := journal.Event{
			Kind: transition.Kind, Service: transition.Service, Shard: transition.Shard, Detail: transition.Detail,
		}
		if transition.Server != nil {
			event.Address = transition.Server.Address.String()
			e.warm(transition.Server)
		}
		e.record(event)
		e.tellOthers(transition)
	}
}

// tellOthers passes on that this engine itself saw a back end leave or return.
func (e *Engine) tellOthers(transition balancer.Transition) {
	if !transition.Own {
		return
	}
	switch transition.Kind {
	case journal.KindDrainBegun:
		e.emit(Observed{Address: transition.Server.Address, State: MachineLeaving})
	case journal.KindDrainDone:
		e.emit(Observed{Address: transition.Server.Address, State: MachineLive})
	}
}
