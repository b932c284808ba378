package directory

import (
	"encoding/json"

	"github.com/martenstage/martenstage/internal/consensus"
)

// FollowsLeader reports whether the node follows a known leader.
func (n *Node) Follows() bool {
	status := n.status()
	return status.Leader != 0 && status.Role == consensus.Follower
}

// Machine is the state driven by the log.
type Machine = stateMachine

// NewMachine returns an empty one.
func NewMachine() *Machine { return newStateMachine() }

// MaxDepartures bounds the recorded departures.
const MaxDepartures = maxDepartures

// DeparturesFrom returns the departures after a position, and the next position.
func (m *stateMachine) DeparturesFrom(position int) ([]string, int) { return m.departures(position) }

// DepartEntry returns a log entry that records departures.
func DepartEntry(ids ...string) []byte {
	data, _ := json.Marshal(command{Departures: ids}) // Marshaling strings can't fail.
	return data
}

// Leads reports whether the node leads.
func (n *Node) Leads() bool { return n.status().Role == consensus.Leader }
