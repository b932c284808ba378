// Package registry keeps the table of servers that announce themselves by
// heartbeat. Every directory node holds a table of its own and merges those of
// the others, so that a server is known everywhere whichever node it called.
//
// The table is soft state: it is rebuilt from heartbeats after a restart. That a
// server leaves is durable elsewhere (package directory) and only repeated here.
// A Table belongs to one goroutine or is guarded by its owner; it reads no clock.
package registry

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

// State is what a server says of itself.
type State string

// States of an instance.
const (
	Ready   State = "ready"
	Leaving State = "leaving"
	// Missing is never reported: a table sets it once heartbeats stay away.
	Missing State = "missing"
)

// Instance is one start of a server. Its id is never used again: where a server keeps its
// name over starts, LifeID makes one of the name and the time of the start.
type Instance struct {
	ID string `json:"id"`
	// Born is when the server started, in ms since 1970 by its own clock; 0 if it does not
	// say.
	Born    int64  `json:"born,omitempty"`
	Service string `json:"service"`
	// Address is IP and port. It may be given to another server later.
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
	// Version is that of the server's software.
	Version string `json:"version,omitempty"`
	Slots   int    `json:"slots"`
	State   State  `json:"state"`
	// Sequence rises with each heartbeat, so that a late one can be told.
	Sequence uint64 `json:"sequence"`
	// Since is the index of the first entry of the log that the node which heard of the
	// instance first had not applied then: a departure of the server from that index on came
	// later. 0 is of a node that does not tell.
	Since uint64 `json:"since,omitempty"`
	// Restored says that the instance is only known from a table that was kept over a start of
	// its node: nothing was heard of it since.
	Restored bool `json:"restored,omitempty"`
	// WarmLeft is for how much longer the server stays slow after its start,
	// counted from when the entry was handed out.
	WarmLeft time.Duration `json:"warm_left,omitempty"`
	// Replaced says that another start of the same server has taken its place, or is believed rather
	// than it: it gets no work.
	Replaced bool `json:"replaced,omitempty"`
	// Age is how long ago the last heartbeat came, counted likewise.
	Age time.Duration `json:"age,omitempty"`
}

// entry is an instance with times of the table's own clock.
type entry struct {
	instance Instance
	heard    time.Time
	warm     time.Time
	// former says that the start was in use until another one of its server took its place.
	former bool
	// leftInUse says that the start was heard of lately when it left.
	leftInUse bool
	// revision at which the entry last changed in a way that routers must know.
	revision uint64
	// place is that in the table's order of changes.
	place *list.Element
}

// Table is the set of known instances.
type Table struct {
	missingAfter time.Duration
	forgetAfter  time.Duration
	leastClaim   time.Duration
	entries      map[string]*entry
	byAddress    map[string]string
	// byName are the starts of each server, named how many entries tell a time of start.
	byName map[string]map[string]*entry
	named  int
	// rivals are, by address, instances that go on sending heartbeats although another
	// one announced itself there since.
	rivals map[string]rival
	// changes are the entries, the one that changed last first.
	changes  *list.List
	revision uint64
	// replaced are the replacements that were not taken yet.
	replaced []Replacement
	// latest is the time of the last call that told one.
	latest time.Time
	// visited counts the entries that Since looked at, for tests.
	visited int
}

// New returns an empty table. An instance that was not heard of for
// missingAfter becomes Missing, and is forgotten after forgetAfter.
func New(missingAfter, forgetAfter time.Duration) *Table {
	return &Table{
		missingAfter: missingAfter, forgetAfter: forgetAfter,
		entries: make(map[string]*entry), byAddress: make(map[string]string), rivals: make(map[string]rival),
		byName:  make(map[string]map[string]*entry),
		changes: list.New(),
	}
}

// Revision rises with every change that routers must know.
func (t *Table) Revision() uint64 { return t.revision }

// Report takes in a heartbeat, or what another table knows of one, that is
// instance.Age old. It reports whether routers must know of it. A heartbeat with
// a lower sequence than the last one is ignored; leaving is never taken back.
func (t *Table) Report(now time.Time, instance Instance) bool {
	t.latest = now
	heard := now.Add(-instance.Age)
	known, exists := t.entries[instance.ID]
	if !exists {
		if instance.Age > t.missingAfter {
			return false
		}
		t.add(heard, now, instance)
		return true
	}
	known.instance.Restored = known.instance.Restored && instance.Restored
	if instance.Since > 0 {
		known.instance.Since = min(known.instance.Since, instance.Since)
	}
	if instance.Sequence < known.instance.Sequence {
		return false
	}
	if heard.After(known.heard) {
		known.heard = heard
	}
	owned := t.owns(now, known, instance.Sequence)
	before := known.instance
	known.instance.Sequence = instance.Sequence
	turnedCold := instance.WarmLeft > 0 && !now.Before(known.warm)
	known.warm = now.Add(instance.WarmLeft)
	if before.State != Leaving && instance.State != Missing && (owned || instance.State == Leaving) {
		known.leftInUse = instance.State == Leaving
		known.instance.State = instance.State
	}
	if instance.State == Leaving {
		known.instance.Replaced = false
		t.endClaims(known)
	}
	known.instance.Slots = instance.Slots
	if before.State == known.instance.State && before.Slots == known.instance.Slots && !turnedCold {
		return false
	}
	t.touch(known)
	return true
}

// Refresh takes in a heartbeat of a known instance that brings nothing new. It
// reports whether routers must know of it: the instance was missing.
func (t *Table) Refresh(now time.Time, id string, sequence uint64) bool {
	t.latest = now
	known, exists := t.entries[id]
	if !exists || sequence < known.instance.Sequence {
		return false
	}
	owned := t.owns(now, known, sequence)
	known.instance.Sequence, known.heard, known.instance.Restored = sequence, now, false
	if known.instance.State != Missing || !owned {
		return false
	}
	known.instance.State = Ready
	t.touch(known)
	return true
}

// Knows reports whether the table holds an instance.
func (t *Table) Knows(id string) bool {
	_, exists := t.entries[id]
	return exists
}

func (t *Table) add(heard, now time.Time, instance Instance) {
	added := &entry{instance: instance, heard: heard, warm: now.Add(instance.WarmLeft), leftInUse: instance.State == Leaving}
	t.entries[instance.ID] = added
	t.addStart(added)
	t.succeed(added)
	t.enterAddress(added)
	t.touch(added)
}

// enterAddress makes a new entry the owner of its address, unless one that goes before it is there.
func (t *Table) enterAddress(added *entry) {
	address := added.instance.Address
	owner := t.entries[t.byAddress[address]]
	switch {
	case added.instance.Replaced:
		t.rivals[address] = rival{id: added.instance.ID, since: added.heard}
		return
	case owner != nil && owner.instance.State != Leaving && !owner.instance.Replaced && owner.later(added.instance):
		if added.instance.State == Ready {
			added.instance.State = Missing
		}
		return
	case owner != nil:
		t.replaceAt(owner.instance.ID, added.instance.ID)
	}
	t.byAddress[address] = added.instance.ID
}

// replaceAt marks the former owner of an address: whoever listens there now is
// another instance.
func (t *Table) replaceAt(id, by string) {
	if former, ok := t.entries[id]; ok && former.instance.State == Ready {
		former.instance.State = Missing
		t.touch(former)
		t.noteReplaced(former, by)
	}
}

// Replacement says that an instance was taken for gone because another one announced itself.
type Replacement struct{ ID, By, Address string }

// maxReplacements bounds the replacements that are kept until they are taken.
const maxReplacements = 64

func (t *Table) noteReplaced(former *entry, by string) {
	if len(t.replaced) < maxReplacements {
		t.replaced = append(t.replaced, Replacement{ID: former.instance.ID, By: by, Address: former.instance.Address})
	}
}

// TakeReplaced returns the replacements since the last call, the first ones if there were many.
func (t *Table) TakeReplaced() []Replacement {
	taken := t.replaced
	t.replaced = nil
	return taken
}

// Leave marks an instance as leaving. One that is not known yet is left to the caller, who has
// to check each report against the departures that it knows of.
func (t *Table) Leave(id string) bool {
	known, exists := t.entries[id]
	if !exists || known.instance.State == Leaving {
		return false
	}
	known.leftInUse = t.latest.Sub(known.heard) <= t.missingAfter
	known.instance.State, known.instance.Replaced = Leaving, false
	t.touch(known)
	return true
}

// LeaveOthers marks all instances of a service as leaving that are of another version than
// one: a roll-out has replaced them. It reports how many it marked.
func (t *Table) LeaveOthers(service, version string) (marked int) {
	for _, known := range t.entries {
		if known.instance.Service == service && known.instance.Version != version && known.instance.State != Leaving {
			known.instance.State = Leaving
			t.touch(known)
			marked++
		}
	}
	return marked
}

// Expire marks instances that were not heard of as missing and forgets those
// that were missing for long. It reports whether anything changed.
func (t *Table) Expire(now time.Time) bool {
	t.latest = now
	before := t.revision
	for id, known := range t.entries {
		silent := now.Sub(known.heard)
		switch {
		case silent > t.forgetAfter:
			delete(t.entries, id)
			t.removeStart(known)
			t.changes.Remove(known.place)
			if t.byAddress[known.instance.Address] == id {
				delete(t.byAddress, known.instance.Address)
				delete(t.rivals, known.instance.Address)
			}
		case silent > t.missingAfter && known.instance.State == Ready:
			known.instance.State = Missing
			t.touch(known)
		}
	}
	return t.revision != before
}

// Since returns the instances that changed after a revision, ordered by id; 0
// gives all.
func (t *Table) Since(now time.Time, revision uint64) []Instance {
	var changed []Instance
	for place := t.changes.Front(); place != nil; place = place.Next() {
		t.visited++
		known := place.Value.(*entry)
		if known.revision <= revision {
			break
		}
		changed = append(changed, known.at(now))
	}
	slices.SortFunc(changed, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return changed
}

// Get returns an instance.
func (t *Table) Get(now time.Time, id string) (Instance, bool) {
	known, exists := t.entries[id]
	if !exists {
		return Instance{}, false
	}
	return known.at(now), true
}

// Count returns how many instances are in a state. Those that other starts of their servers have
// replaced are in none.
func (t *Table) Count(state State) int {
	count := 0
	for _, known := range t.entries {
		if known.instance.State == state && !known.instance.Replaced {
			count++
		}
	}
	return count
}

// CountReplaced returns how many instances other starts of their servers have replaced.
func (t *Table) CountReplaced() int {
	count := 0
	for _, known := range t.entries {
		if known.instance.Replaced {
			count++
		}
	}
	return count
}

func (e *entry) at(now time.Time) Instance {
	instance := e.instance
	instance.Age = max(0, now.Sub(e.heard))
	instance.WarmLeft = max(0, e.warm.Sub(now))
	return instance
}

func (t *Table) touch(changed *entry) {
	t.revision++
	changed.revision = t.revision
	if changed.place == nil {
		changed.place = t.changes.PushFront(changed)
		return
	}
	t.changes.MoveToFront(changed.place)
}
