package registry

import "time"

// A server that keeps its name has one process at a time. Of its incarnations at one address,
// one is active; the others are replaced and get no work, since the process that would reply
// for them is that of the active one.
//
// The active incarnation follows from the order in which they were first received and from
// their start times. Where both agree, the later incarnation becomes active at once. Where
// they disagree, a clock was set back or a heartbeat is late: at one address the known
// incarnation stays active until its heartbeats stop and the other one continues to send. Of
// the entries of another node's table, only those with a heartbeat after that of the known
// incarnation count as later.

// resolveNew determines the active incarnation of a server when a new one is added.
func (t *Table) resolveNew(added *entry) {
	t.resetClaims(added)
	if added.instance.Replaced && added.instance.State != Leaving {
		added.instance.State = Missing
		return
	}
	added.instance.Replaced = false
	for _, known := range t.byName[NameOf(added.instance.ID)] {
		switch {
		case known == added || known.superseded:
		case added.instance.StartedAt > known.instance.StartedAt && added.receivedAfter(known):
			t.supersede(known, added)
		case added.instance.Address == known.instance.Address:
			t.deactivate(added)
		}
	}
}

// receivedAfter reports whether a new entry was received after a known one. For an entry
// restored from a file the order is unknown.
func (e *entry) receivedAfter(known *entry) bool {
	return !e.instance.Restored && (known.instance.Restored || !e.lastHeartbeat.Before(known.lastHeartbeat))
}

// supersede deactivates an incarnation because another one of its server has taken its place;
// only its own heartbeats reactivate it. An incarnation that has left was the active one until
// then, whatever is received after it.
func (t *Table) supersede(known, by *entry) {
	if known.instance.State == Leaving {
		return
	}
	known.superseded = true
	if known.instance.Replaced {
		return
	}
	t.deactivate(known)
	t.recordReplacement(known, by.instance.ID)
}

// deactivate stops use of an incarnation until it is the one that continues to send
// heartbeats.
func (t *Table) deactivate(known *entry) {
	if known.instance.State == Leaving {
		return
	}
	known.instance.State, known.instance.Replaced = Missing, true
	delete(t.claims, known.instance.Address)
	t.touch(known)
}

// claimHeartbeats is how many heartbeats in a row an instance has to send to take the place of
// another one: a single one may have been delayed by a network partition until its sender had
// ended and a new instance had started.
//
// A replaced incarnation has to send them over claimShare of the time after which an instance
// counts as missing. Several heartbeats may have been delayed and arrive at once; a heartbeat
// of the active incarnation arrives in between. If another server has the address, calls intended
// for the ended one are answered with 421.
const (
	claimHeartbeats = 2
	claimShare      = 0.5
)

// claim counts the heartbeats that an instance sent since the last one of the instance in its
// place, and records when the first of them arrived.
type claim struct {
	id         string
	heartbeats int
	since      time.Time
}

// acceptHeartbeat records a heartbeat of a known instance and reports whether it is the active
// incarnation of its server and owns its address. Copies of the same heartbeat from other
// nodes count once.
func (t *Table) acceptHeartbeat(now time.Time, known *entry, sequence uint64) bool {
	if sequence > known.instance.Sequence && known.instance.State != Leaving {
		t.resetClaims(known)
	}
	incumbent := t.incumbent(known)
	if incumbent == nil && !known.instance.Replaced {
		t.holdAddress(known)
		return true
	}
	if known.instance.State == Leaving {
		return false
	}
	currentClaim := t.claims[known.instance.Address]
	if currentClaim.id != known.instance.ID {
		currentClaim = claim{id: known.instance.ID, since: now}
	}
	if sequence > known.instance.Sequence {
		currentClaim.heartbeats++
	}
	t.claims[known.instance.Address] = currentClaim
	if incumbent != nil && incumbent.outranks(known.instance) {
		return false // a late heartbeat of an earlier incarnation
	}
	if currentClaim.heartbeats < claimHeartbeats || known.instance.Replaced && now.Sub(currentClaim.since) < t.claimTime() {
		return false
	}
	t.takeOver(known, incumbent)
	return true
}

// claimTime is the time over which a replaced incarnation has to send heartbeats to become
// active.
func (t *Table) claimTime() time.Duration {
	return max(t.minClaimTime, time.Duration(claimShare*float64(t.missingAfter)))
}

// SetMinClaimTime sets a lower bound for the time over which a replaced incarnation has to send
// heartbeats to become active. It must exceed the time that nodes take to forward heartbeats
// that arrived at several of them at once.
func (t *Table) SetMinClaimTime(minimum time.Duration) { t.minClaimTime = minimum }

// incumbent returns the instance that takes precedence over a known one: the active
// incarnation of its server, or the owner of its address; nil if there is none.
func (t *Table) incumbent(known *entry) *entry {
	if known.instance.Replaced {
		if current := t.current(NameOf(known.instance.ID)); current != nil {
			return current
		}
	}
	owner := t.entries[t.byAddress[known.instance.Address]]
	if owner == nil || owner == known || owner.instance.Replaced {
		return nil
	}
	return owner
}

// current returns the active incarnation of a server. Of several, one that is ready goes
// before one that is missing or left, then the one with the latest start time; nil if there is
// none.
func (t *Table) current(name string) (found *entry) {
	for _, known := range t.byName[name] {
		switch ready := known.instance.State == Ready; {
		case known.instance.Replaced:
		case found == nil || ready && found.instance.State != Ready:
			found = known
		case ready == (found.instance.State == Ready) && known.instance.StartedAt > found.instance.StartedAt:
			found = known
		}
	}
	return found
}

// holdAddress keeps an active instance as the owner of its address and ends another server's
// claim to it. An instance that left ends no claim: its heartbeats that say ready are late.
func (t *Table) holdAddress(known *entry) {
	t.byAddress[known.instance.Address] = known.instance.ID
	if known.instance.State != Leaving {
		delete(t.claims, known.instance.Address)
	}
}

// resetClaims restarts the claims of the other incarnations of an instance's server, because a
// heartbeat of the instance was received.
func (t *Table) resetClaims(known *entry) {
	for id, other := range t.byName[NameOf(known.instance.ID)] {
		if address := other.instance.Address; other != known && t.claims[address].id == id {
			delete(t.claims, address)
		}
	}
}

// takeOver puts an instance in the place of the incumbent.
func (t *Table) takeOver(known, incumbent *entry) {
	if incumbent != nil && NameOf(incumbent.instance.ID) != NameOf(known.instance.ID) {
		t.replaceOwner(incumbent.instance.ID, known.instance.ID)
	}
	if known.instance.Replaced {
		t.activate(known)
	}
	t.holdAddress(known)
}

// activate makes a replaced incarnation the active one of its server.
func (t *Table) activate(known *entry) {
	known.superseded, known.instance.Replaced = false, false
	t.touch(known)
	for _, other := range t.byName[NameOf(known.instance.ID)] {
		if other != known {
			t.supersede(other, known)
		}
	}
}

// startedAfter reports whether the entry has a later start time than an instance.
func (e *entry) startedAfter(instance Instance) bool {
	return instance.StartedAt > 0 && e.instance.StartedAt > instance.StartedAt
}

// outranks reports whether an entry takes precedence over an instance that sends heartbeats in
// its place: it is ready and has a later start time. Start times come from the clock of the
// server's machine, which may have been set back, so they do not count if the entry is
// missing.
func (e *entry) outranks(instance Instance) bool {
	return e.instance.State == Ready && e.startedAfter(instance)
}

// MarkNameLeaving marks the incarnations of a server to which a departure applies as leaving. If the
// departure names an incarnation that may have been active, incarnations known before it with
// a later start time are deactivated, since the clock may have been set back in between.
func (t *Table) MarkNameLeaving(departure NameDeparture) {
	departed := t.byName[departure.Name][IncarnationID(departure.Name, departure.StartedAt)]
	inUse := departure.StartedAt > 0 && (departed == nil || !departed.superseded)
	for id, known := range t.byName[departure.Name] {
		switch {
		case departure.appliesTo(known.instance):
			t.MarkLeaving(id)
		case inUse && known.instance.KnownSinceIndex <= departure.LogIndex && known.instance.State != Leaving && !known.instance.Replaced:
			t.deactivate(known)
			t.recordReplacement(known, IncarnationID(departure.Name, departure.StartedAt))
		}
	}
}

// Superseded returns the IDs of the incarnations that the given one has superseded, whatever their
// start times; none unless the given one is known and not superseded itself.
func (t *Table) Superseded(id string) (superseded []string) {
	incarnations := t.byName[NameOf(id)]
	if current := incarnations[id]; current == nil || current.superseded {
		return nil
	}
	for other, known := range incarnations {
		if known.superseded {
			superseded = append(superseded, other)
		}
	}
	return superseded
}
