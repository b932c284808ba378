// Package registry keeps the table of servers that register by heartbeat. Every directory node
// holds its own table and merges those of the other nodes, so that a server is known
// everywhere whichever node it sent its heartbeat to.
//
// The table is soft state: it is rebuilt from heartbeats after a restart. The departure of a
// server is made durable elsewhere (package directory) and only applied here. A Table must be
// confined to one goroutine or guarded by its owner; it reads no clock.
package registry

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

// State is the state that a server reports, or that its table derives.
type State string

// States of an instance.
const (
	Ready   State = "ready"
	Leaving State = "leaving"
	// Missing is never reported by a server: a table sets it once heartbeats stop.
	Missing State = "missing"
)

// Instance is one incarnation of a server: the process from one start to its end. Its ID is
// never reused: for a server that keeps its name across restarts, it combines the name and the
// start time.
type Instance struct {
	ID string `json:"id"`
	// Start time of the server in ms since 1970 by its own clock; 0 if not reported.
	StartedAt int64  `json:"born,omitempty"`
	Service   string `json:"service"`
	// Address is IP and port. It may be assigned to another server later.
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
	// Version is the server's software version.
	Version string `json:"version,omitempty"`
	Slots   int    `json:"slots"`
	State   State  `json:"state"`
	// Sequence increases with each heartbeat, so that late heartbeats are detected.
	Sequence uint64 `json:"sequence"`
	// Index of the first log entry that was not yet applied by the node that first learned of
	// the instance: a departure of the server at that index or above came later. 0 if the node
	// does not report it.
	KnownSinceIndex uint64 `json:"since,omitempty"`
	// Restored says that the instance is only known from a table that its node restored after
	// a restart, and that no heartbeat was received since.
	Restored bool `json:"restored,omitempty"`
	// WarmLeft is for how much longer the server stays slow after its start, counted from when
	// the entry was returned.
	WarmLeft time.Duration `json:"warm_left,omitempty"`
	// Replaced says that another incarnation of the same server is considered the active one.
	// A replaced instance gets no work.
	Replaced bool `json:"replaced,omitempty"`
	// Age is the time since the last heartbeat, counted likewise.
	Age time.Duration `json:"age,omitempty"`
}

// entry is an instance with times of the table's own clock.
type entry struct {
	instance      Instance
	lastHeartbeat time.Time
	warmUntil     time.Time
	// superseded says that the incarnation was active until another one of its server took its
	// place.
	superseded bool
	// recentAtDeparture says that the last heartbeat was recent when the incarnation left.
	recentAtDeparture bool
	// revision is the one at which the entry last changed in a way that routers must know.
	revision uint64
	// element is the entry's position in the table's list of changes.
	element *list.Element
}

// Table is the set of known instances.
type Table struct {
	missingAfter time.Duration
	forgetAfter  time.Duration
	minClaimTime time.Duration
	entries      map[string]*entry
	byAddress    map[string]string
	// byName holds the incarnations of each server; withStartTime counts the entries that have
	// a start time.
	byName        map[string]map[string]*entry
	withStartTime int
	// claims are, by address, instances that continue to send heartbeats although another
	// instance has since taken their place.
	claims map[string]claim
	// changes lists the entries, the most recently changed first.
	changes  *list.List
	revision uint64
	// replacements are those not yet taken.
	replacements []Replacement
	// lastCall is the time passed to the last call that took one.
	lastCall time.Time
	// visited counts the entries that ChangedSince visited, for tests.
	visited int
}

// New returns an empty table. An instance without a heartbeat for missingAfter becomes
// Missing; it is removed after forgetAfter.
func New(missingAfter, forgetAfter time.Duration) *Table {
	return &Table{
		missingAfter: missingAfter, forgetAfter: forgetAfter,
		entries: make(map[string]*entry), byAddress: make(map[string]string), claims: make(map[string]claim),
		byName:  make(map[string]map[string]*entry),
		changes: list.New(),
	}
}

// Revision increases with every change that routers must know.
func (t *Table) Revision() uint64 { return t.revision }

// Report records a heartbeat, or another table's entry for one, received instance.Age ago. It
// reports whether routers must know of the change. A heartbeat with a lower sequence than the
// last one is ignored; Leaving is final.
func (t *Table) Report(now time.Time, instance Instance) bool {
	t.lastCall = now
	heartbeatAt := now.Add(-instance.Age)
	known, exists := t.entries[instance.ID]
	if !exists {
		if instance.Age > t.missingAfter {
			return false
		}
		t.add(heartbeatAt, now, instance)
		return true
	}
	known.instance.Restored = known.instance.Restored && instance.Restored
	if instance.KnownSinceIndex > 0 {
		known.instance.KnownSinceIndex = min(known.instance.KnownSinceIndex, instance.KnownSinceIndex)
	}
	if instance.Sequence < known.instance.Sequence {
		return false
	}
	if heartbeatAt.After(known.lastHeartbeat) {
		known.lastHeartbeat = heartbeatAt
	}
	owned := t.acceptHeartbeat(now, known, instance.Sequence)
	before := known.instance
	known.instance.Sequence = instance.Sequence
	turnedCold := instance.WarmLeft > 0 && !now.Before(known.warmUntil)
	known.warmUntil = now.Add(instance.WarmLeft)
	if before.State != Leaving && instance.State != Missing && (owned || instance.State == Leaving) {
		known.recentAtDeparture = instance.State == Leaving
		known.instance.State = instance.State
	}
	if instance.State == Leaving {
		known.instance.Replaced = false
		t.resetClaims(known)
	}
	known.instance.Slots = instance.Slots
	if before.State == known.instance.State && before.Slots == known.instance.Slots && !turnedCold {
		return false
	}
	t.touch(known)
	return true
}

// Refresh records a heartbeat of a known instance without changes. It reports whether routers
// must know of it because the instance was missing.
func (t *Table) Refresh(now time.Time, id string, sequence uint64) bool {
	t.lastCall = now
	known, exists := t.entries[id]
	if !exists || sequence < known.instance.Sequence {
		return false
	}
	owned := t.acceptHeartbeat(now, known, sequence)
	known.instance.Sequence, known.lastHeartbeat, known.instance.Restored = sequence, now, false
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

func (t *Table) add(heartbeatAt, now time.Time, instance Instance) {
	added := &entry{instance: instance, lastHeartbeat: heartbeatAt, warmUntil: now.Add(instance.WarmLeft), recentAtDeparture: instance.State == Leaving}
	t.entries[instance.ID] = added
	t.addIncarnation(added)
	t.resolveNew(added)
	t.assignAddress(added)
	t.touch(added)
}

// assignAddress makes a new entry the owner of its address unless the present owner takes
// precedence.
func (t *Table) assignAddress(added *entry) {
	address := added.instance.Address
	owner := t.entries[t.byAddress[address]]
	switch {
	case added.instance.Replaced:
		t.claims[address] = claim{id: added.instance.ID, since: added.lastHeartbeat}
		return
	case owner != nil && owner.instance.State != Leaving && !owner.instance.Replaced && owner.startedAfter(added.instance):
		if added.instance.State == Ready {
			added.instance.State = Missing
		}
		return
	case owner != nil:
		t.replaceOwner(owner.instance.ID, added.instance.ID)
	}
	t.byAddress[address] = added.instance.ID
}

// replaceOwner marks the previous owner of an address as missing: another instance listens
// there now.
func (t *Table) replaceOwner(id, by string) {
	if previous, ok := t.entries[id]; ok && previous.instance.State == Ready {
		previous.instance.State = Missing
		t.touch(previous)
		t.recordReplacement(previous, by)
	}
}

// Replacement records that an instance was considered ended because another one registered.
type Replacement struct{ ID, By, Address string }

// maxReplacements bounds the replacements kept until they are taken.
const maxReplacements = 64

func (t *Table) recordReplacement(previous *entry, by string) {
	if len(t.replacements) < maxReplacements {
		t.replacements = append(t.replacements, Replacement{ID: previous.instance.ID, By: by, Address: previous.instance.Address})
	}
}

// TakeReplacements returns and clears the replacements recorded since the last call. If there were
// more than the limit, the later ones are lost.
func (t *Table) TakeReplacements() []Replacement {
	taken := t.replacements
	t.replacements = nil
	return taken
}

// MarkLeaving marks an instance as leaving. If the instance is not known yet, nothing is kept: the
// caller has to check each later report against the departures that it knows.
func (t *Table) MarkLeaving(id string) bool {
	known, exists := t.entries[id]
	if !exists || known.instance.State == Leaving {
		return false
	}
	known.recentAtDeparture = t.lastCall.Sub(known.lastHeartbeat) <= t.missingAfter
	known.instance.State, known.instance.Replaced = Leaving, false
	t.touch(known)
	return true
}

// MarkOtherVersionsLeaving marks all instances of a service with another version than the given one as
// leaving, after a rollout replaced them. It returns how many it marked.
func (t *Table) MarkOtherVersionsLeaving(service, version string) (marked int) {
	for _, known := range t.entries {
		if known.instance.Service == service && known.instance.Version != version && known.instance.State != Leaving {
			known.instance.State = Leaving
			t.touch(known)
			marked++
		}
	}
	return marked
}

// Expire marks instances without recent heartbeats as missing and removes those that have been
// silent for forgetAfter. It reports whether any instance became missing.
func (t *Table) Expire(now time.Time) bool {
	t.lastCall = now
	before := t.revision
	for id, known := range t.entries {
		silent := now.Sub(known.lastHeartbeat)
		switch {
		case silent > t.forgetAfter:
			delete(t.entries, id)
			t.removeIncarnation(known)
			t.changes.Remove(known.element)
			if t.byAddress[known.instance.Address] == id {
				delete(t.byAddress, known.instance.Address)
				delete(t.claims, known.instance.Address)
			}
		case silent > t.missingAfter && known.instance.State == Ready:
			known.instance.State = Missing
			t.touch(known)
		}
	}
	return t.revision != before
}

// ChangedSince returns the instances that changed after a revision, ordered by ID; revision 0 returns
// all.
func (t *Table) ChangedSince(now time.Time, revision uint64) []Instance {
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

// Len returns the number of instances, whatever their state.
func (t *Table) Len() int { return len(t.entries) }

// Get returns an instance.
func (t *Table) Get(now time.Time, id string) (Instance, bool) {
	known, exists := t.entries[id]
	if !exists {
		return Instance{}, false
	}
	return known.at(now), true
}

// Count returns how many instances are in a state, without those that were replaced by another
// incarnation of their server.
func (t *Table) Count(state State) int {
	count := 0
	for _, known := range t.entries {
		if known.instance.State == state && !known.instance.Replaced {
			count++
		}
	}
	return count
}

// CountReplaced returns how many instances were replaced by another incarnation of their
// server.
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
	instance.Age = max(0, now.Sub(e.lastHeartbeat))
	instance.WarmLeft = max(0, e.warmUntil.Sub(now))
	return instance
}

func (t *Table) touch(changed *entry) {
	t.revision++
	changed.revision = t.revision
	if changed.element == nil {
		changed.element = t.changes.PushFront(changed)
		return
	}
	t.changes.MoveToFront(changed.element)
}
