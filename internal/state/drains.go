package state

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"time"

	"github.com/samber/lo"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	eventjournal "github.com/martenstage/martenstage/internal/journal"
)

// Drain marks a back end that an operator is draining.
type Drain struct {
	// Address is the back end's IP address with port.
	Address string
	Author  string
	Since   time.Time
}

type drainMarks struct {
	byAddress map[string]Drain
	version   uint64
}

func newDrainMarks() drainMarks { return drainMarks{byAddress: map[string]Drain{}} }

func (d *drainMarks) sorted() []Drain {
	return slices.SortedFunc(slices.Values(lo.Values(d.byAddress)), func(left, right Drain) int {
		return cmp.Compare(left.Address, right.Address)
	})
}

// Drains returns the drain marks, sorted by address, and a version that increases
// with every change to them.
func (m *Machine) Drains() ([]Drain, uint64) { return m.drains.sorted(), m.drains.version }

// DrainsVersion returns the version of the drain marks without copying them.
func (m *Machine) DrainsVersion() uint64 { return m.drains.version }

// DrainHash returns the request hash of a drain command.
func DrainHash(address string, draining bool) []byte {
	sum := sha256.Sum256([]byte("drain " + address + " " + lo.Ternary(draining, "begin", "end")))
	return sum[:]
}

// applyDrain sets or removes a drain mark. As for changes, a resent command gets
// its first result, so that a late copy can't undo a newer command.
func (m *Machine) applyDrain(command *v1.DrainCommand) ChangeResult {
	hash := DrainHash(command.GetAddress(), command.GetDraining())
	if first, known := m.ChangeResult(command.GetChangeId(), hash); known {
		return first
	}
	_, marked := m.drains.byAddress[command.GetAddress()]
	if marked != command.GetDraining() {
		m.setDrain(command)
	}
	result := ChangeResult{Result: v1.ApplyResult_APPLY_RESULT_ACCEPTED, Revision: m.Latest().Number}
	m.changes.record(command.GetChangeId(), hash, result, m.now, m.limits)
	return result
}

func (m *Machine) setDrain(command *v1.DrainCommand) {
	address := command.GetAddress()
	m.drains.version++
	if !command.GetDraining() {
		delete(m.drains.byAddress, address)
		m.record("drain/"+command.GetChangeId(), eventjournal.KindDrainDone, address, "mark removed by "+command.GetAuthor())
		return
	}
	m.drains.byAddress[address] = Drain{Address: address, Author: command.GetAuthor(), Since: m.Now()}
	m.record("drain/"+command.GetChangeId(), eventjournal.KindDrainBegun, address, "marked by "+command.GetAuthor())
}
