package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ChildID identifies one run of a child. A restarted process is another child: the lease of
// its earlier run may not have expired yet.
type ChildID struct {
	Name string
	Boot uint64
}

// ErrRevisionReported is returned for a grant below a revision that was already reported in
// effect.
var ErrRevisionReported = errors.New("a higher revision was already reported in force")

// ErrChildReleased is returned for a grant to a child that released its lease.
var ErrChildReleased = errors.New("the child gave its lease back")

// ErrNothingInstalled is returned while there is no revision to grant.
var ErrNothingInstalled = errors.New("no revision is installed")

// Grantor tracks the leases granted to direct children and derives the highest revision that
// is surely in effect below it. It is not safe for concurrent use.
type Grantor struct {
	installed    uint64
	reported     uint64
	unknownUntil time.Time
	children     map[ChildID]*child
	// departed remembers children that released their lease, for as long as a call of theirs
	// may still be in flight.
	departed map[ChildID]time.Time
}

// child is the state of one run of a child.
type child struct {
	// acknowledged is the revision that the child last reported as the lowest under which it
	// and the holders below it admit work.
	acknowledged uint64
	// outstanding are the grants that may still be valid, lowest revision first and at most
	// one for each. A relay's grant may end earlier than the ones before it if the relay's own
	// lease was not renewed in between.
	outstanding []outstanding
	lastSeen    time.Time
}

type outstanding struct {
	revision uint64
	until    time.Time
}

// ChildStatus describes a child for operators.
type ChildStatus struct {
	ID           ChildID
	Acknowledged uint64
	// Until is when the child's lease has surely expired, by the local clock.
	Until    time.Time
	LastSeen time.Time
}

// NewGrantor returns a grantor without children. Until the given time, leases of an earlier
// grantor may still be valid, so no revision is reported in effect. A new leader passes a time
// one whole lease after its election; a relay passes the zero time, because its parent still
// tracks its earlier run.
func NewGrantor(unknownUntil time.Time) *Grantor {
	return &Grantor{
		unknownUntil: unknownUntil,
		children:     make(map[ChildID]*child),
		departed:     make(map[ChildID]time.Time),
	}
}

// Install sets the newest accepted revision known here. Lower ones are ignored.
func (g *Grantor) Install(revision uint64) { g.installed = max(g.installed, revision) }

// Installed returns the revision that grants are for.
func (g *Grantor) Installed() uint64 { return g.installed }

// Acknowledge records the revision that a child reports for itself and its subtree.
func (g *Grantor) Acknowledge(now time.Time, id ChildID, revision uint64) {
	known, found := g.children[id]
	if !found {
		return
	}
	known.lastSeen = now
	known.acknowledged = max(known.acknowledged, revision)
	known.prune(now)
}

// Acknowledged returns the revision that a child acknowledged last, and whether the child
// holds or held a lease from here.
func (g *Grantor) Acknowledged(id ChildID) (uint64, bool) {
	known, found := g.children[id]
	if !found {
		return 0, false
	}
	return known.acknowledged, true
}

// Grant records a lease for the installed revision and returns that revision. If it returns an
// error, no grant may be sent.
func (g *Grantor) Grant(now time.Time, id ChildID, duration time.Duration) (uint64, error) {
	if g.installed == 0 {
		return 0, ErrNothingInstalled
	}
	if g.installed < g.reported {
		return 0, errors.Wrapf(ErrRevisionReported, "revision %d, reported %d", g.installed, g.reported)
	}
	if _, departed := g.departed[id]; departed {
		return 0, ErrChildReleased
	}
	known, found := g.children[id]
	if !found {
		known = &child{}
		g.children[id] = known
	}
	known.lastSeen = now
	known.prune(now)
	known.add(g.installed, now.Add(Lengthened(duration)))
	return g.installed, nil
}

// Release removes a child that promised to admit nothing more. Grants to it are refused from now
// on, because a call sent before may arrive after.
func (g *Grantor) Release(now time.Time, id ChildID, remember time.Duration) {
	delete(g.children, id)
	g.departed[id] = now.Add(remember)
}

// Expire removes children whose lease has surely expired and returns them sorted by name and
// boot.
func (g *Grantor) Expire(now time.Time) []ChildID {
	var expired []ChildID
	for id, known := range g.children {
		if known.expired(now) {
			expired = append(expired, id)
			delete(g.children, id)
		}
	}
	for id, until := range g.departed {
		if now.After(until) {
			delete(g.departed, id)
		}
	}
	slices.SortFunc(expired, compareChildren)
	return expired
}

// InEffect returns the highest revision such that every holder of a lease below admits work
// only under that revision or a higher one, now and from now on. It never decreases.
func (g *Grantor) InEffect(now time.Time) uint64 {
	if now.Before(g.unknownUntil) {
		return g.reported
	}
	lowest := g.installed
	for _, known := range g.children {
		if !known.expired(now) {
			lowest = min(lowest, known.lowestRevision(now))
		}
	}
	g.reported = max(g.reported, lowest)
	return g.reported
}

// Children describes the children, sorted by name and boot.
func (g *Grantor) Children() []ChildStatus {
	statuses := make([]ChildStatus, 0, len(g.children))
	for id, known := range g.children {
		statuses = append(statuses, ChildStatus{
			ID: id, Acknowledged: known.acknowledged, Until: known.until(), LastSeen: known.lastSeen,
		})
	}
	slices.SortFunc(statuses, func(left, right ChildStatus) int {
		return compareChildren(left.ID, right.ID)
	})
	return statuses
}

// CountLive returns the number of children whose lease may be valid.
func (g *Grantor) CountLive(now time.Time) int {
	live := 0
	for _, known := range g.children {
		if !known.expired(now) {
			live++
		}
	}
	return live
}

func compareChildren(left, right ChildID) int {
	return cmp.Or(cmp.Compare(left.Name, right.Name), cmp.Compare(left.Boot, right.Boot))
}

// lowestRevision returns the lowest revision that the child may admit under. Work that it
// admits under another grantor's grant is counted there.
func (c *child) lowestRevision(now time.Time) uint64 {
	for _, grant := range c.outstanding {
		if now.Before(grant.until) {
			return max(grant.revision, c.acknowledged)
		}
	}
	return c.acknowledged
}

func (c *child) add(revision uint64, until time.Time) {
	last := len(c.outstanding) - 1
	if last >= 0 && c.outstanding[last].revision == revision {
		if until.After(c.outstanding[last].until) {
			c.outstanding[last].until = until
		}
		return
	}
	c.outstanding = append(c.outstanding, outstanding{revision: revision, until: until})
}

// prune drops expired grants, and those below the acknowledged revision unless no other is
// left: the last one determines when the child's lease has expired.
func (c *child) prune(now time.Time) {
	for len(c.outstanding) > 1 {
		oldest, next := c.outstanding[0], c.outstanding[1]
		outlasted := !next.until.Before(oldest.until)
		if now.Before(oldest.until) && (!outlasted || oldest.revision >= c.acknowledged) {
			return
		}
		c.outstanding = c.outstanding[1:]
	}
}

func (c *child) until() time.Time {
	var latest time.Time
	for _, grant := range c.outstanding {
		if grant.until.After(latest) {
			latest = grant.until
		}
	}
	return latest
}

func (c *child) expired(now time.Time) bool { return !now.Before(c.until()) }
