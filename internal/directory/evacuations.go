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

// Evacuation is a zone whose servers get no requests, by an operator's order.
type Evacuation struct {
	Zone string `json:"zone"`
	// By is the address that the order came from, At when it came, by the clock of the
	// node that took it.
	By string    `json:"by"`
	At time.Time `json:"at"`
}

// evacuationOrder is an operator's order: to evacuate a zone, or to take that back.
type evacuationOrder struct {
	Evacuation
	Ended bool `json:"ended,omitempty"`
}

// maxZoneName bounds the names of zones that are taken, bytes.
const maxZoneName = 200

// Evacuate takes the order that the servers of a zone get no requests, or with ended
// that they get them again, from a caller's address. Nil means that a quorum has synced
// it; sent again, it changes nothing. Other outcomes are *routing.InvalidError (nothing
// was changed) and ErrUnavailable (it may be in force, now or later).
func (n *Node) Evacuate(ctx context.Context, zone string, ended bool, by string) error {
	began := steadyclock.Now()
	var err error
	if zone == "" || len(zone) > maxZoneName {
		err = &routing.InvalidError{Detail: "the name of a zone has between 1 and 200 bytes"}
	} else {
		order := evacuationOrder{Evacuation: Evacuation{Zone: zone, By: by, At: time.Now().UTC()}, Ended: ended} // The wall clock: a person reads it.
		err = n.atLeader(ctx, func(ctx context.Context) error { return n.evacuateHere(ctx, order) }, pathEvacuate, order, nil)
	}
	operation := "evacuation_started"
	if ended {
		operation = "evacuation_ended"
	}
	n.record(operation, began, err, logrus.Fields{"zone": zone, "by": by})
	return err
}

// evacuateHere is Evacuate at the leader. Also an order that changes nothing here goes
// through the log: only that proves that what is held here is committed.
func (n *Node) evacuateHere(ctx context.Context, order evacuationOrder) error {
	if !n.mayAcknowledge() {
		return errNotFormed
	}
	_, err := n.propose(ctx, command{Evacuations: []evacuationOrder{order}})
	return err
}

// evacuate carries out an order. The caller holds the mutex.
func (m *machine) evacuate(order evacuationOrder) {
	at, evacuated := slices.BinarySearchFunc(m.state.Evacuated, order.Zone, func(held Evacuation, zone string) int {
		return cmp.Compare(held.Zone, zone)
	})
	if evacuated != order.Ended {
		return
	}
	// Readers may hold the former list.
	held := slices.Clone(m.state.Evacuated)
	if order.Ended {
		held = slices.Delete(held, at, at+1)
	} else {
		held = slices.Insert(held, at, order.Evacuation)
	}
	m.state.Evacuated = held
	m.state.EvacuationRevision++
}

// evacuations returns the zones that are evacuated, and the revision of that list.
func (m *machine) evacuations() ([]Evacuation, uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.Evacuated, m.state.EvacuationRevision
}

// EvacuationList is the evacuated zones as a node knows them.
type EvacuationList struct {
	Revision  uint64       `json:"revision"`
	Evacuated []Evacuation `json:"evacuated"`
}

// Evacuations returns the zones that are evacuated as this node knows them.
func (n *Node) Evacuations() EvacuationList {
	held, revision := n.member.state().evacuations()
	return EvacuationList{Revision: revision, Evacuated: held}
}

// ListEvacuations asks the node at a peer address for the zones that are evacuated as it
// knows them.
func ListEvacuations(ctx context.Context, address string) (EvacuationList, error) {
	var list EvacuationList
	err := newPeerClient().call(ctx, address, pathEvacuations, struct{}{}, &list)
	return list, err
}

// tellEvacuations logs and counts the zones that are evacuated, if their revision is
// another than the one last told, and returns it.
func (n *Node) tellEvacuations(applied *machine, told uint64) uint64 {
	held, revision := applied.evacuations()
	if revision == told {
		return told
	}
	n.metrics.evacuated.Set(float64(len(held)))
	n.logger.WithFields(logrus.Fields{"revision": revision, "before": told, "zones": zoneNames(held)}).Info("evacuations_changed")
	return revision
}

func zoneNames(held []Evacuation) []string {
	return lo.Map(held, func(of Evacuation, _ int) string { return of.Zone })
}
