package registry

import "time"

// A server that keeps its name has one process at a time. Of its starts at one address, one is in use; the
// others are replaced and get no work, since the process that answers for them is that of the start in
// use.
//
// Which start is in use follows from the order in which they were heard of and from the times of start
// that they name. Where both agree, the later one is in use at once. Where they don't, a clock was set back
// or a heartbeat is late: at one address the known start stays in use until it is silent and the other one
// goes on sending heartbeats. Of what another node tells, only what was heard of after the known start
// counts as later.

// succeed settles which start of a server is in use, when one of them is heard of for the first time.
func (t *Table) succeed(added *entry) {
	t.endClaims(added)
	if added.instance.Replaced && added.instance.State != Leaving {
		added.instance.State = Missing
		return
	}
	added.instance.Replaced = false
	for _, known := range t.byName[NameOf(added.instance.ID)] {
		switch {
		case known == added || known.former:
		case added.instance.Born > known.instance.Born && added.heardLater(known):
			t.supersede(known, added)
		case added.instance.Address == known.instance.Address:
			t.setAside(added)
		}
	}
}

// heardLater reports whether an entry that is added was heard of after one that is known. Of one that
// was restored from a file, that is not known.
func (e *entry) heardLater(known *entry) bool {
	return !e.instance.Restored && (known.instance.Restored || !e.heard.Before(known.heard))
}

// supersede takes a start out of use: another one of its server has taken its place, and only its own
// heartbeats bring it back. One that has left was in use until then, whatever is heard of after it.
func (t *Table) supersede(known, by *entry) {
	if known.instance.State == Leaving {
		return
	}
	known.former = true
	if known.instance.Replaced {
		return
	}
	t.setAside(known)
	t.noteReplaced(known, by.instance.ID)
}

// setAside takes a start out of use until it is the one that goes on sending heartbeats.
func (t *Table) setAside(known *entry) {
	if known.instance.State == Leaving {
		return
	}
	known.instance.State, known.instance.Replaced = Missing, true
	delete(t.rivals, known.instance.Address)
	t.touch(known)
}

// rivalBeats is how many heartbeats in a row an instance has to send to be believed where another one
// is: one may have been held up by a cut until its sender had ended and a new instance was there.
//
// A start that is replaced has to send them over claimShare of the time after which an instance counts
// as missing. Several may have been held up and come at once; the start in use is heard of in between.
// Where another server has the address, what is meant for one that is gone is answered 421.
const (
	rivalBeats = 2
	claimShare = 0.5
)

// rival is an instance with the heartbeats that it sent since the one in its place sent the last one, and
// when the first of them came.
type rival struct {
	id    string
	beats int
	since time.Time
}

// owns takes in a heartbeat of a known instance and reports whether it is the one in use, of its
// server and at its address. What other nodes tell of the same heartbeat counts once.
func (t *Table) owns(now time.Time, known *entry, sequence uint64) bool {
	if sequence > known.instance.Sequence && known.instance.State != Leaving {
		t.endClaims(known)
	}
	before := t.ahead(known)
	if before == nil && !known.instance.Replaced {
		t.hold(known)
		return true
	}
	if known.instance.State == Leaving {
		return false
	}
	claiming := t.rivals[known.instance.Address]
	if claiming.id != known.instance.ID {
		claiming = rival{id: known.instance.ID, since: now}
	}
	if sequence > known.instance.Sequence {
		claiming.beats++
	}
	t.rivals[known.instance.Address] = claiming
	if before != nil && before.precedes(known.instance) {
		return false // It is a late one of an earlier start.
	}
	if claiming.beats < rivalBeats || known.instance.Replaced && now.Sub(claiming.since) < t.claimTime() {
		return false
	}
	t.takeOver(known, before)
	return true
}

// claimTime is over which time a start that is replaced has to send heartbeats to be believed.
func (t *Table) claimTime() time.Duration {
	return max(t.leastClaim, time.Duration(claimShare*float64(t.missingAfter)))
}

// ClaimAtLeast sets a lower bound of the time over which a start that is replaced has to send heartbeats to
// be believed: longer than heartbeats that came to several nodes at once take to be told from one to another.
func (t *Table) ClaimAtLeast(least time.Duration) { t.leastClaim = least }

// ahead returns the instance that is believed rather than one: the start in use of its server, or
// the owner of its address; nil for none.
func (t *Table) ahead(known *entry) *entry {
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

// current returns the start of a server that is in use: of several, one that is heard of before one
// that is silent or left, and the one that claims to be the latest; nil for none.
func (t *Table) current(name string) (found *entry) {
	for _, known := range t.byName[name] {
		switch ready := known.instance.State == Ready; {
		case known.instance.Replaced:
		case found == nil || ready && found.instance.State != Ready:
			found = known
		case ready == (found.instance.State == Ready) && known.instance.Born > found.instance.Born:
			found = known
		}
	}
	return found
}

// hold has an instance in use keep its address, and ends the claim of another server to it. An
// instance that left ends none: heartbeats of it that say ready are late.
func (t *Table) hold(known *entry) {
	t.byAddress[known.instance.Address] = known.instance.ID
	if known.instance.State != Leaving {
		delete(t.rivals, known.instance.Address)
	}
}

// endClaims has the other starts of an instance's server that claim its place begin anew: it was
// heard of.
func (t *Table) endClaims(known *entry) {
	for id, other := range t.byName[NameOf(known.instance.ID)] {
		if address := other.instance.Address; other != known && t.rivals[address].id == id {
			delete(t.rivals, address)
		}
	}
}

// takeOver puts an instance in the place of the one that was believed.
func (t *Table) takeOver(known, before *entry) {
	if before != nil && NameOf(before.instance.ID) != NameOf(known.instance.ID) {
		t.replaceAt(before.instance.ID, known.instance.ID)
	}
	if known.instance.Replaced {
		t.putInUse(known)
	}
	t.hold(known)
}

// putInUse makes a start that was replaced the one in use, in the place of all others of its server.
func (t *Table) putInUse(known *entry) {
	known.former, known.instance.Replaced = false, false
	t.touch(known)
	for _, other := range t.byName[NameOf(known.instance.ID)] {
		if other != known {
			t.supersede(other, known)
		}
	}
}

// later reports whether the entry is of a later start than an instance, by what both say.
func (e *entry) later(instance Instance) bool {
	return instance.Born > 0 && e.instance.Born > instance.Born
}

// precedes reports whether an entry goes before an instance that sends heartbeats in its place: it is
// of a later start and was heard of lately. The time of a start is by the clock of the server's machine,
// which may have been set back, so that it does not tell for one that is silent.
func (e *entry) precedes(instance Instance) bool {
	return e.instance.State == Ready && e.later(instance)
}

// LeaveName marks the starts of a server as leaving for which a departure holds. Where the departure
// names a start, and that one may have been in use, starts that were known before it and claim to be later
// are set aside: a clock may have been set back between them.
func (t *Table) LeaveName(left NameDeparture) {
	departed := t.byName[left.Name][LifeID(left.Name, left.Born)]
	inUse := left.Born > 0 && (departed == nil || !departed.former)
	for id, known := range t.byName[left.Name] {
		switch {
		case left.holds(known.instance):
			t.Leave(id)
		case inUse && known.instance.Since <= left.Before && known.instance.State != Leaving && !known.instance.Replaced:
			t.setAside(known)
			t.noteReplaced(known, LifeID(left.Name, left.Born))
		}
	}
}

// Former returns the ids of the starts that one start of a server has taken the place of, whatever
// times of start they name; none where that one is not known to be in use.
func (t *Table) Former(id string) (former []string) {
	starts := t.byName[NameOf(id)]
	if current := starts[id]; current == nil || current.former {
		return nil
	}
	for other, known := range starts {
		if known.former {
			former = append(former, other)
		}
	}
	return former
}
