// Package relay distributes the state of the control group. A relay follows
// control, or another relay, with one Sync call at a time, and serves Sync to
// the routers of its zone: plans, leases within its own lease, machine states
// and the list of routers. It aggregates the reports of its followers into its
// own calls: the lowest revision of all, and the followers that joined, left or
// lag behind. The cost of control thus grows with the number of relays, not of
// routers.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/martenstage/martenstage/internal/follower"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/lease"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/routestats"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Config configures a Relay.
type Config struct {
	Name    string
	Zone    string
	Address string
	// Boot is higher at every start.
	Boot uint64
	// Upstreams are control voters, or relays nearer to them.
	Upstreams []string
}

// Deps are the dependencies of a Relay.
type Deps struct {
	Dial follower.Dial
	// Events may be nil.
	Events     follower.Events
	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
	// Random returns a number in [0,1) for jitter.
	Random func() float64
}

// Relay follows control and serves followers. It implements the follower
// package's PlanSource, Authority and Sink for its two ends.
type Relay struct {
	handler  *follower.Handler
	follower *follower.Follower
	tables   *tables

	mutex    sync.Mutex
	revision uint64
	latest   *plan.Plan
	changed  chan struct{}
	term     uint64
	until    time.Time
	// routes limits the rate of reports on requests.
	routes routestats.Pace
}

// New returns a relay; Run starts it.
func New(config Config, deps Deps) (*Relay, error) {
	relay := &Relay{tables: newTables(), changed: make(chan struct{})}
	node := membership.Node{
		Name: config.Name, Role: membership.RoleRelay, Zone: config.Zone,
		Address: config.Address, Boot: config.Boot,
	}
	upstreamFollower, err := follower.New(follower.Config{Node: node, Upstreams: config.Upstreams}, follower.Deps{
		Dial: deps.Dial, Sink: relay, Reporter: relay, Events: deps.Events,
		Logger: deps.Logger, Registerer: deps.Registerer, Random: deps.Random,
	})
	if err != nil {
		return nil, err
	}
	relay.follower = upstreamFollower
	relay.handler = follower.NewHandler(
		follower.HandlerConfig{Name: config.Name, Lease: lease.DefaultDuration, OnProgress: upstreamFollower.Interrupt},
		follower.HandlerDeps{
			Plans: relay, Authority: relay, Tables: relay.tables, Events: deps.Events,
			Logger: deps.Logger, Registerer: deps.Registerer,
		})
	return relay, nil
}

// Service returns the handler to mount.
func (r *Relay) Service() martenstagev1connect.FollowServiceHandler { return r.handler }

// Follower returns the client that follows the upstream, for status pages.
func (r *Relay) Follower() *follower.Follower { return r.follower }

// ActiveRevision returns the active revision of the followers: each of them
// admits work under this revision or a higher one.
func (r *Relay) ActiveRevision() uint64 { return r.handler.ActiveRevision() }

// Run follows the upstream and serves followers until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.follower.Run(ctx) })
	group.Go(func() error {
		r.handler.Run(ctx)
		return nil
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Latest returns the installed plan.
func (r *Relay) Latest() (uint64, *plan.Plan, <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.revision, r.latest, r.changed
}

// Confirm allows grants for the rest of the relay's own lease. The first call of
// a child waits for a later call to the upstream, so that a restarted router
// starts with the latest revision even when this relay lags behind.
func (r *Relay) Confirm(ctx context.Context, first bool) (follower.Entitlement, error) {
	if first {
		if err := r.follower.Refresh(ctx); err != nil {
			return follower.Entitlement{}, errors.Wrap(err, "fetch the latest revision from the upstream")
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	remaining := steadyclock.Until(r.until)
	if r.until.IsZero() || remaining <= 0 {
		return follower.Entitlement{}, &follower.NotLeaderError{}
	}
	return follower.Entitlement{Term: r.term, Lease: remaining}, nil
}

// InstallPlan sets the revision that leases are granted for.
func (r *Relay) InstallPlan(revision uint64, installed *plan.Plan) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.revision, r.latest = revision, installed
	close(r.changed)
	r.changed = make(chan struct{})
}

// ExtendLease sets the time until which the relay may grant leases.
func (r *Relay) ExtendLease(term uint64, until time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.term, r.until = term, until
}

// MergeRouters applies changes of the list of routers.
func (r *Relay) MergeRouters(changes membership.Changes[membership.Node]) {
	r.handler.UpdateTables(func(time.Time) { r.tables.routers.Merge(changes) })
}

// MergeMachines applies changes of machine states.
func (r *Relay) MergeMachines(changes membership.Changes[membership.Machine]) {
	r.handler.UpdateTables(func(time.Time) { r.tables.machines.Merge(changes) })
}

// Versions returns the current versions of the tables.
func (r *Relay) Versions() (routers, machines uint64) {
	r.handler.UpdateTables(func(time.Time) {
		routers, machines = r.tables.routers.Version(), r.tables.machines.Version()
	})
	return routers, machines
}

// Prepare adds the aggregated reports to a call.
func (r *Relay) Prepare(now time.Time, upstream follower.Upstream, request *v1.SyncRequest) {
	if r.routes.Due(now, upstream.Address) {
		request.Routes = r.handler.RouteReports()
	}
	request.SubtreeRevision = r.handler.ActiveRevision()
	lagging := request.GetSubtreeRevision() < request.GetRevision()
	r.handler.UpdateTables(func(time.Time) { r.tables.report(now, upstream, lagging, request) })
}

// Delivered records that the reports were delivered.
func (r *Relay) Delivered(upstream follower.Upstream, _ *v1.SyncRequest) {
	r.handler.UpdateTables(func(now time.Time) { r.tables.markDelivered(now, upstream) })
}
