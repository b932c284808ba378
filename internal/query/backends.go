package query

import (
	"net/netip"

	"github.com/martenstage/martenstage/internal/balancer"
	"github.com/martenstage/martenstage/internal/journal"
)

// connectionCounts holds the numbers of connections requested by command Warm.
type connectionCounts map[netip.AddrPort]int

func (e *Engine) healthObserved(event HealthObserved) {
	if event.TimedOut {
		e.serverChanged(e.pool.ObserveProbeTimeout(e.now, event.Address))
		return
	}
	e.serverChanged(e.pool.ObserveHealth(e.now, event.Address, event.Reachable, event.Health))
}

func (e *Engine) machineObserved(event MachineObserved) {
	server := e.pool.ObserveExternalReport(e.now, event.Address, event.State != MachineLive)
	e.serverChanged(server)
}

func (e *Engine) shareChanged(event ShareChanged) {
	e.serverChanged(e.pool.Share(event.Address, event.Slots, event.Connections))
}

// serverChanged updates the connections and the queues of a server that may have
// become more or less usable.
func (e *Engine) serverChanged(server *balancer.Server) {
	if server == nil {
		return
	}
	e.warm(server)
	e.dispatchWaiting(server)
}

// warm requests the connections that the pool wants for a server.
func (e *Engine) warm(server *balancer.Server) {
	wanted := server.Connections()
	if e.requestedConnections[server.Address] == wanted {
		return
	}
	e.requestedConnections[server.Address] = wanted
	e.emit(Warm{Address: server.Address, Connections: wanted})
}

// warmServices requests the connections of all configured servers.
func (e *Engine) warmServices() {
	for _, name := range sortedKeys(e.services) {
		for _, partition := range e.services[name].partitions {
			for _, group := range partition.Groups {
				group.Servers(e.warm)
			}
		}
	}
}

// releaseRetired drops the views that no request uses any more. It runs at the end of
// a step, when nothing iterates over their groups.
func (e *Engine) releaseRetired() {
	for _, view := range e.retiredServices {
		for _, partition := range view.partitions {
			e.pool.Release(partition.Generation)
			delete(e.partitions, partition.Generation)
			for _, group := range partition.Groups {
				group.Servers(e.closeRemoved)
			}
		}
	}
	clear(e.retiredServices)
	e.retiredServices = e.retiredServices[:0]
}

// closeRemoved closes the connections of a server that was removed from the
// configuration.
func (e *Engine) closeRemoved(server *balancer.Server) {
	if _, known := e.pool.Server(server.Address); known || e.requestedConnections[server.Address] == 0 {
		return
	}
	delete(e.requestedConnections, server.Address)
	e.emit(Warm{Address: server.Address})
}

// reportTransitions journals changes of servers and groups, and publishes those that
// this engine observed itself to other nodes.
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
		e.publishTransition(transition)
	}
}

// publishTransition informs other nodes that this engine observed a back end start
// draining or return to service.
func (e *Engine) publishTransition(transition balancer.Transition) {
	if !transition.Own {
		return
	}
	switch transition.Kind {
	case journal.KindDrainBegun:
		e.emit(PublishMachineState{Address: transition.Server.Address, State: MachineDraining})
	case journal.KindDrainDone:
		e.emit(PublishMachineState{Address: transition.Server.Address, State: MachineLive})
	}
}
