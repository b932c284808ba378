package directory

import (
	"encoding/json"

	"github.com/martenstage/martenstage/internal/consensus"
)

// Follows reports whether the node follows a leader that it hears.
func (n *Node) Follows() bool {
	status := n.status()
	return status.Leader != 0 && status.Role == consensus.Follower
}

// Machine is the state that the log drives.
type Machine = machine

// NewMachine returns an empty one.
func NewMachine() *Machine { return newMachine() }

// MaxDepartures bounds the remembered departures.
const MaxDepartures = maxDepartures

// DeparturesFrom returns the departures behind a position, and the next position.
func (m *machine) DeparturesFrom(position int) ([]string, int) { return m.departures(position) }

// DepartEntry is a log entry by which servers depart.
func DepartEntry(ids ...string) []byte {
	data, _ := json.Marshal(command{Departures: ids}) // It holds only texts.
	return data
}
