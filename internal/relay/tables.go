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
	// reportInterval is how often an unchanged follower is reported again, which
	// repairs the effect of a lost or reordered report.
	reportInterval = 30 * time.Second
	// lagReportDelay is how long followers may lag behind before the relay
	// reports the revision of each.
	lagReportDelay = 2 * time.Second
	// maxObservers bounds the routers whose observations of one back end are
	// forwarded; more of them would not affect the decision.
	maxObservers = 3
)

// tables holds the state that a relay distributes, which it merges from its
// upstream, and the state that it reports upstream, which it collects from its
// followers. It is guarded by the Handler's lock.
type tables struct {
	routers  *membership.Table[membership.Node]
	machines *membership.Table[membership.Machine]
	// children are the nodes of the subtree by name.
	children map[string]*child
	// observations by back end and router.
	observations map[observationKey]*observation
	laggingSince time.Time
	// sequence numbers changes, so that a change during a report in flight is
	// reported again.
	sequence uint64
	inFlight uint64
}

type child struct {
	view   membership.NodeView
	source string
	lapsed bool
	// sequence is the number of the last change that must be reported.
	sequence uint64
	delivery delivery
	// reportedRevision is the revision that was last reported.
	reportedRevision uint64
}

// delivery records the upstream and the time of the last report of an item.
type delivery struct {
	upstream follower.Upstream
	at       time.Time
	sequence uint64
	// pending marks items reported by the call in flight.
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
// leaders, and everything is reported again because the upstream's term has
// changed.
func (t *tables) StartTerm(time.Time, uint64) {}

// Report records a live node of the subtree.
func (t *tables) Report(source string, view membership.NodeView) {
	existing, found := t.children[view.Name]
	if !found {
		existing = &child{}
		t.children[view.Name] = existing
	}
	if found && existing.view.Boot < view.Boot {
		t.removeObservations(view.Name)
	}
	if !found || existing.lapsed || existing.view.Node != view.Node {
		t.sequence++
		existing.sequence = t.sequence
	}
	existing.view, existing.source, existing.lapsed = view, source, false
}

// Lapse records that a source no longer reports a node as live.
func (t *tables) Lapse(_ time.Time, source, name string) {
	existing, found := t.children[name]
	if !found || existing.lapsed || existing.source != source {
		return
	}
	t.sequence++
	existing.sequence = t.sequence
	existing.lapsed = true
}

// LapseChild records the loss of a direct child. Its observations are no longer
// forwarded: a router that now follows another server reports and withdraws
// them there.
func (t *tables) LapseChild(now time.Time, child string) {
	t.Lapse(now, membership.Direct, child)
	for name := range t.children {
		t.Lapse(now, child, name)
	}
	t.removeObservations(child)
}

func (t *tables) removeObservations(router string) {
	for key := range t.observations {
		if key.router == router {
			delete(t.observations, key)
		}
	}
}

// Observe stores an observation to forward it.
func (t *tables) Observe(now time.Time, received membership.Observation) {
	key := observationKey{address: received.Address, router: received.Router}
	existing, found := t.observations[key]
	if !found {
		if received.State == membership.Live || t.observers(received.Address) >= maxObservers {
			return
		}
		existing = &observation{}
		t.observations[key] = existing
	}
	t.sequence++
	existing.sequence = t.sequence
	existing.state = received.State
	existing.until = now.Add(membership.ObservationLifetime)
}

func (t *tables) observers(address string) int {
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
	for key, entry := range t.observations {
		if !now.Before(entry.until) {
			delete(t.observations, key)
		}
	}
}

// Routers returns the routers as received from the upstream; nil before that.
func (t *tables) Routers(time.Time) *membership.Table[membership.Node] {
	if t.routers.Version() == 0 {
		return nil
	}
	return t.routers
}

// Machines returns the machine states as received from the upstream; nil before
// that.
func (t *tables) Machines(time.Time) *membership.Table[membership.Machine] {
	if t.machines.Version() == 0 {
		return nil
	}
	return t.machines
}

// report adds to a call everything that the upstream has not received yet.
func (t *tables) report(now time.Time, upstream follower.Upstream, lagging bool, request *v1.SyncRequest) {
	t.inFlight = t.sequence
	for _, entry := range t.children {
		due := entry.delivery.due(now, upstream, entry.sequence) ||
			t.laggingLong(now, lagging) && entry.view.Revision != entry.reportedRevision
		entry.delivery.pending = due
		if !due {
			continue
		}
		entry.reportedRevision = entry.view.Revision
		view := entry.view
		view.Lapsed = entry.lapsed
		request.Followers = append(request.Followers, follower.StatusToWire(now, view))
	}
	slices.SortFunc(request.Followers, func(left, right *v1.NodeStatus) int {
		return cmp.Compare(left.GetNode(), right.GetNode())
	})
	for key, entry := range t.observations {
		entry.delivery.pending = entry.delivery.due(now, upstream, entry.sequence)
		if entry.delivery.pending {
			request.Observations = append(request.Observations, &v1.MachineState{
				Address: key.address, State: entry.state.String(), Source: key.router,
			})
		}
	}
	slices.SortFunc(request.Observations, func(left, right *v1.MachineState) int {
		return cmp.Or(cmp.Compare(left.GetAddress(), right.GetAddress()), cmp.Compare(left.GetSource(), right.GetSource()))
	})
}

// laggingLong reports whether followers have lagged for more than
// lagReportDelay.
func (t *tables) laggingLong(now time.Time, lagging bool) bool {
	if !lagging {
		t.laggingSince = time.Time{}
		return false
	}
	if t.laggingSince.IsZero() {
		t.laggingSince = now
	}
	return now.Sub(t.laggingSince) > lagReportDelay
}

// markDelivered records that the items added by report were delivered.
func (t *tables) markDelivered(now time.Time, upstream follower.Upstream) {
	for name, entry := range t.children {
		entry.delivery.confirm(now, upstream, t.inFlight)
		if entry.lapsed && entry.delivery.sequence >= entry.sequence {
			delete(t.children, name)
		}
	}
	for key, entry := range t.observations {
		entry.delivery.confirm(now, upstream, t.inFlight)
		if entry.state == membership.Live && entry.delivery.sequence >= entry.sequence {
			delete(t.observations, key)
		}
	}
}

// due reports whether an item must be reported to an upstream.
func (d delivery) due(now time.Time, upstream follower.Upstream, sequence uint64) bool {
	return d.sequence < sequence || d.upstream != upstream || now.Sub(d.at) >= reportInterval
}

// confirm records that a pending item was delivered to an upstream.
func (d *delivery) confirm(now time.Time, upstream follower.Upstream, sequence uint64) {
	if d.pending {
		*d = delivery{upstream: upstream, at: now, sequence: sequence}
	}
}
