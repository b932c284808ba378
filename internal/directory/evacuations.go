package directory

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Evacuation is a zone whose servers get no requests, by order of an operator.
type Evacuation struct {
	Zone string `json:"zone"`
	// By is the address that sent the order, At the time of receipt by the clock of the
	// receiving node.
	By string    `json:"by"`
	At time.Time `json:"at"`
}

// evacuationOrder is an operator's order to evacuate a zone or to end its evacuation.
type evacuationOrder struct {
	Evacuation
	Ended bool `json:"ended,omitempty"`
}

// maxZoneName bounds the length of a zone name in bytes.
const maxZoneName = 200

// Evacuate orders that the servers of a zone get no requests, or, if ended is set, that they
// get them again; by is the caller's address. Nil means that a quorum has synced the order;
// repeating it has no effect. Other outcomes are *routing.InvalidError (nothing was changed)
// and ErrUnavailable (the order may be in effect, now or later).
func (n *Node) Evacuate(ctx context.Context, zone string, ended bool, by string) error {
	start := steadyclock.Now()
	var err error
	if zone == "" || len(zone) > maxZoneName {
		err = &routing.InvalidError{Detail: "the name of a zone has between 1 and 200 bytes"}
	} else {
		order := evacuationOrder{Evacuation: Evacuation{Zone: zone, By: by, At: time.Now().UTC()}, Ended: ended} // wall clock, since operators read it.
		err = n.onLeader(ctx, func(ctx context.Context) error { return n.evacuateAsLeader(ctx, order) }, pathEvacuate, order, nil)
	}
	operation := "evacuation_started"
	if ended {
		operation = "evacuation_ended"
	}
	n.recordOperation(operation, start, err, logrus.Fields{"zone": zone, "by": by})
	return err
}

// evacuateAsLeader is Evacuate at the leader. An order that changes nothing here still goes
// through the log, because only that proves that the local state is committed.
func (n *Node) evacuateAsLeader(ctx context.Context, order evacuationOrder) error {
	if !n.mayAcknowledge() {
		return errNotFormed
	}
	_, err := n.propose(ctx, command{Evacuations: []evacuationOrder{order}})
	return err
}

// applyEvacuation applies an order. The caller holds the mutex.
func (m *stateMachine) applyEvacuation(order evacuationOrder) {
	index, found := slices.BinarySearchFunc(m.state.Evacuated, order.Zone, func(existing Evacuation, zone string) int {
		return cmp.Compare(existing.Zone, zone)
	})
	if found != order.Ended {
		return
	}
	// Copy on write: readers may hold the former slice.
	zones := slices.Clone(m.state.Evacuated)
	if order.Ended {
		zones = slices.Delete(zones, index, index+1)
	} else {
		zones = slices.Insert(zones, index, order.Evacuation)
	}
	m.state.Evacuated = zones
	m.state.EvacuationRevision++
}

// evacuations returns the evacuated zones and the revision of that list.
func (m *stateMachine) evacuations() ([]Evacuation, uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Evacuated, m.state.EvacuationRevision
}

// EvacuationList is the list of evacuated zones known to a node.
type EvacuationList struct {
	Revision  uint64       `json:"revision"`
	Evacuated []Evacuation `json:"evacuated"`
}

// Evacuations returns the evacuated zones known to this node.
func (n *Node) Evacuations() EvacuationList {
	evacuated, revision := n.member.state().evacuations()
	return EvacuationList{Revision: revision, Evacuated: evacuated}
}

// ListEvacuations queries the node at a peer address for the evacuated zones that it knows.
func ListEvacuations(ctx context.Context, address string) (EvacuationList, error) {
	var list EvacuationList
	err := newPeerClient().call(ctx, address, pathEvacuations, struct{}{}, &list)
	return list, err
}

// reportEvacuations logs and counts the evacuated zones if their revision differs from the last
// reported one, and returns the current revision.
func (n *Node) reportEvacuations(state *stateMachine, reported uint64) uint64 {
	evacuated, revision := state.evacuations()
	if revision == reported {
		return reported
	}
	n.metrics.evacuated.Set(float64(len(evacuated)))
	n.logger.WithFields(logrus.Fields{"revision": revision, "before": reported, "zones": zoneNames(evacuated)}).Info("evacuations_changed")
	return revision
}

func zoneNames(evacuations []Evacuation) []string {
	return lo.Map(evacuations, func(evacuation Evacuation, _ int) string { return evacuation.Zone })
}
