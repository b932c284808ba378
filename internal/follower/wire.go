package follower

import (
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/membership"
)

func nodeFromWire(wire *v1.NodeIdentity) membership.Node {
	return membership.Node{
		Name: wire.GetName(), Role: wire.GetRole(), Zone: wire.GetZone(),
		Address: wire.GetAddress(), Boot: wire.GetBoot(),
	}
}

func nodeToWire(node membership.Node) *v1.NodeIdentity {
	return &v1.NodeIdentity{Name: node.Name, Role: node.Role, Zone: node.Zone, Address: node.Address, Boot: node.Boot}
}

// StatusToWire encodes a node for reports to upstreams and for operators.
func StatusToWire(now time.Time, view membership.NodeView) *v1.NodeStatus {
	return &v1.NodeStatus{
		Node: view.Name, Role: view.Role, Zone: view.Zone, Address: view.Address, Boot: view.Boot,
		Revision: view.Revision, LeaseLapsed: view.Lapsed, Relay: view.Relay,
		SinceSeen: durationpb.New(now.Sub(view.LastSeen)),
	}
}

func viewFromWire(now time.Time, wire *v1.NodeStatus) membership.NodeView {
	return membership.NodeView{
		Node: membership.Node{
			Name: wire.GetNode(), Role: wire.GetRole(), Zone: wire.GetZone(),
			Address: wire.GetAddress(), Boot: wire.GetBoot(),
		},
		Revision: wire.GetRevision(),
		Relay:    wire.GetRelay(),
		LastSeen: now.Add(-wire.GetSinceSeen().AsDuration()),
	}
}

func machinesToWire(machines []membership.Machine) []*v1.MachineState {
	return lo.Map(machines, func(machine membership.Machine, _ int) *v1.MachineState {
		return &v1.MachineState{Address: machine.Address, State: machine.State.String(), Source: machine.Source}
	})
}

// machineChangesToWire adds machine changes to a response. A machine that was
// removed from the table is encoded as live, without a source.
func machineChangesToWire(changes membership.Changes[membership.Machine], response *v1.SyncResponse) {
	response.MachinesVersion = changes.Version
	response.MachinesFull = changes.Full
	response.Machines = machinesToWire(changes.Set)
	for _, address := range changes.Removed {
		response.Machines = append(response.Machines, &v1.MachineState{Address: address, State: membership.Live.String()})
	}
}

func machineChangesFromWire(response *v1.SyncResponse) membership.Changes[membership.Machine] {
	changes := membership.Changes[membership.Machine]{
		Version: response.GetMachinesVersion(), Full: response.GetMachinesFull(),
	}
	for _, wire := range response.GetMachines() {
		state, known := membership.ParseState(wire.GetState())
		switch {
		case !known:
			// States added by later versions are ignored.
		case state == membership.Live:
			changes.Removed = append(changes.Removed, wire.GetAddress())
		default:
			changes.Set = append(changes.Set, membership.Machine{
				Address: wire.GetAddress(), State: state, Source: wire.GetSource(),
			})
		}
	}
	return changes
}

func routerChangesToWire(changes membership.Changes[membership.Node], response *v1.SyncResponse) {
	response.RoutersVersion = changes.Version
	response.RoutersFull = changes.Full
	response.Routers = lo.Map(changes.Set, func(node membership.Node, _ int) *v1.NodeIdentity {
		return nodeToWire(node)
	})
	response.RemovedRouters = changes.Removed
}

func routerChangesFromWire(response *v1.SyncResponse) membership.Changes[membership.Node] {
	return membership.Changes[membership.Node]{
		Version: response.GetRoutersVersion(),
		Full:    response.GetRoutersFull(),
		Set: lo.Map(response.GetRouters(), func(wire *v1.NodeIdentity, _ int) membership.Node {
			return nodeFromWire(wire)
		}),
		Removed: response.GetRemovedRouters(),
	}
}
