package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/follower"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/membership"
)

const (
	// reportAgain is how often a follower is reported that nothing changed of,
	// so that a lost or reordered report does not last.
	reportAgain = 30 * time.Second
	// behindAfter is how long followers may be behind before the relay reports
	// the revision of each.
	behindAfter = 2 * time.Second
	// maxWitnesses bounds whose observations of one back end are passed on;
	// more of them would decide nothing.
	maxWitnesses = 3
)

// tables are what a relay knows: merged from above what it spreads, and from
// below what it reports. The Handler's lock guards them.
type tables struct {
	routers  *membership.Table[membership.Node]
	machines *membership.Table[membership.Machine]
	// children are the nodes reported from below, by name.
	children map[string]*child
	// observations by back end and router.
	observations map[observationKey]*observation
	behindSince  time.Time
	// sequence numbers changes, so that one that happens while a report is
	// under way is reported again.
	sequence uint64
	inFlight uint64
}

type child struct {
	view   membership.NodeView
	source string
	lapsed bool
	// sequence of the last change that must be reported.
	sequence uint64
	delivery delivery
	// revision that was last reported.
	revision uint64
}

// delivery says to whom and when something was last reported.
type delivery struct {
	to       follower.Upstream
	at       time.Time
	sequence uint64
	// pending marks what the call under way reports.
	pending bool
}

type observationKey struct{ address, router string }

type observation struct {
	state    membership.State
	until    time.Time
	sequence uint64
	delivery delivery
}

func newTables() *tables {
	return &tables{
		routers:      membership.NewRouterTable(),
		machines:     membership.NewMachineTable(),
		children:     make(map[string]*child),
		observations: make(map[observationKey]*observation),
	}
}

// StartTerm does nothing: children keep their leases from this relay across
// leaders, and everything is reported again because the upstream's term is
// another.
func (t *tables) StartTerm(time.Time, uint64) {}

// Report notes a node below.
func (t *tables) Report(source string, view membership.NodeView) {
	known, found := t.children[view.Name]
	if !found {
		known = &child{}
		t.children[view.Name] = known
	}
	if found && known.view.Boot < view.Boot {
		t.forgetObservations(view.Name)
	}
	if !found || known.lapsed || known.view.Node != view.Node {
		t.sequence++
		known.sequence = t.sequence
	}
	known.view, known.source, known.lapsed = view, source, false
}

// Lapse notes that a source no longer vouches for a node.
func (t *tables) Lapse(_ time.Time, source, name string) {
	known, found := t.children[name]
	if !found || known.lapsed || known.source != source {
		return
	}
	t.sequence++
	known.sequence = t.sequence
	known.lapsed = true
}

// LapseChild notes that a direct child is gone. What it observed is no longer
// passed on: a router that follows another server now tells that one, and takes
// its words back there.
func (t *tables) LapseChild(now time.Time, gone string) {
	t.Lapse(now, membership.Direct, gone)
	for name := range t.children {
		t.Lapse(now, gone, name)
	}
	t.forgetObservations(gone)
}

func (t *tables) forgetObservations(router string) {
	for key := range t.observations {
		if key.router == router {
			delete(t.observations, key)
		}
	}
}

// Observe keeps an observation to pass it on.
func (t *tables) Observe(now time.Time, seen membership.Observation) {
	key := observationKey{address: seen.Address, router: seen.Router}
	known, found := t.observations[key]
	if !found {
		if seen.State == membership.Live || t.witnesses(seen.Address) >= maxWitnesses {
			return
		}
		known = &observation{}
		t.observations[key] = known
	}
	t.sequence++
	known.sequence = t.sequence
	known.state = seen.State
	known.until = now.Add(membership.ObservationLifetime)
}

func (t *tables) witnesses(address string) int {
	count := 0
	for key := range t.observations {
		if key.address == address {
			count++
		}
	}
	return count
}

// Expire drops observations that were not repeated.
func (t *tables) Expire(now time.Time) {
	for key, known := range t.observations {
		if !now.Before(known.until) {
			delete(t.observations, key)
		}
	}
}

// Routers returns the routers as heard from above; nil before.
func (t *tables) Routers(time.Time) *membership.Table[membership.Node] {
	if t.routers.Version() == 0 {
		return nil
	}
	return t.routers
}

// Machines returns the states of machines as heard from above; nil before.
func (t *tables) Machines(time.Time) *membership.Table[membership.Machine] {
	if t.machines.Version() == 0 {
		return nil
	}
	return t.machines
}

// report adds to a call what its receiver does not know yet.
func (t *tables) report(now time.Time, upstream follower.Upstream, behind bool, request *v1.SyncRequest) {
	t.inFlight = t.sequence
	for _, known := range t.children {
		due := known.delivery.due(now, upstream, known.sequence) ||
			t.behindLong(now, behind) && known.view.Revision != known.revision
		known.delivery.pending = due
		if !due {
			continue
		}
		known.revision = known.view.Revision
		view := known.view
		view.Lapsed = known.lapsed
		request.Followers = append(request.Followers, follower.StatusToWire(now, view))
	}
	slices.SortFunc(request.Followers, func(left, right *v1.NodeStatus) int {
		return cmp.Compare(left.GetNode(), right.GetNode())
	})
	for key, known := range t.observations {
		known.delivery.pending = known.delivery.due(now, upstream, known.sequence)
		if known.delivery.pending {
			request.Observations = append(request.Observations, &v1.MachineState{
				Address: key.address, State: known.state.String(), Source: key.router,
			})
		}
	}
	slices.SortFunc(request.Observations, func(left, right *v1.MachineState) int {
		return cmp.Or(cmp.Compare(left.GetAddress(), right.GetAddress()), cmp.Compare(left.GetSource(), right.GetSource()))
	})
}

// behindLong reports whether followers have been behind for a while.
func (t *tables) behindLong(now time.Time, behind bool) bool {
	if !behind {
		t.behindSince = time.Time{}
		return false
	}
	if t.behindSince.IsZero() {
		t.behindSince = now
	}
	return now.Sub(t.behindSince) > behindAfter
}

// delivered notes that what report added has arrived.
func (t *tables) delivered(now time.Time, upstream follower.Upstream) {
	for name, known := range t.children {
		known.delivery.arrived(now, upstream, t.inFlight)
		if known.lapsed && known.delivery.sequence >= known.sequence {
			delete(t.children, name)
		}
	}
	for key, known := range t.observations {
		known.delivery.arrived(now, upstream, t.inFlight)
		if known.state == membership.Live && known.delivery.sequence >= known.sequence {
			delete(t.observations, key)
		}
	}
}

// due reports whether something must be reported to an upstream.
func (d delivery) due(now time.Time, upstream follower.Upstream, sequence uint64) bool {
	return d.sequence < sequence || d.to != upstream || now.Sub(d.at) >= reportAgain
}

func (d *delivery) arrived(now time.Time, upstream follower.Upstream, sequence uint64) {
	if d.pending {
		*d = delivery{to: upstream, at: now, sequence: sequence}
	}
}
