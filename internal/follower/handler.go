package follower

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/lease"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/routestats"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/wait"
)

const (
	// maxHold bounds how long a call is held while nothing has changed.
	maxHold = 2 * time.Second
	// planDelay batches revisions that are accepted at nearly the same time.
	planDelay = 2 * time.Millisecond
	// tableDelay batches machine changes, which are less urgent than revisions.
	// It bounds the calls that they cause to 4 per second and child.
	tableDelay = 250 * time.Millisecond
	// progressDelay batches acknowledgements before they are aggregated.
	progressDelay = 5 * time.Millisecond
	// expireInterval is how often the handler checks for children whose lease
	// has lapsed.
	expireInterval = 250 * time.Millisecond
	// releasedRetention is how long a child that released its lease is refused a
	// new one. None of its calls is still in flight after this time.
	releasedRetention = time.Minute
)

// HandlerConfig configures a Handler.
type HandlerConfig struct {
	// Name of this process, for events.
	Name string
	// Lease is the duration of leases. For one such duration after the start of
	// a new term, no revision is reported to be in effect.
	Lease time.Duration
	// Root is true for control voters and false for relays. The leases of an
	// earlier incarnation of a relay are still tracked by its upstream; those of
	// an earlier leader are tracked by no one.
	Root bool
	// OnProgress, when set, is called after the active revision of the subtree
	// has increased.
	OnProgress func()
}

// HandlerDeps are the dependencies of a Handler.
type HandlerDeps struct {
	Plans     PlanSource
	Authority Authority
	Tables    Tables
	// Events may be nil.
	Events     Events
	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
}

// Handler serves FollowService. Run must be running while it serves.
type Handler struct {
	config  HandlerConfig
	deps    HandlerDeps
	metrics *handlerMetrics
	// acknowledged notifies Run that a child acknowledged a revision.
	acknowledged chan struct{}

	mutex   sync.Mutex
	term    uint64
	grantor *lease.Grantor
	// plans are the recent plans that this process can send deltas from.
	plans *planHistory
	roles map[string]string
	// routes holds the children's reports on completed requests of the subtree.
	routes *routestats.Collection
	// activeRevision is the active revision at the last update.
	activeRevision uint64
	// changed is closed and replaced when held calls should check for changes.
	changed chan struct{}
	// publishedMachines is the version of the machine table at the last
	// notification. Changes of the router table do not end held calls; they are
	// sent with the next response, within the hold time. Otherwise every router
	// that joins, releases its lease or lapses would make all followers call at
	// once, and a fleet short of CPU time would lose further leases through it.
	publishedMachines uint64
}

// NewHandler returns a Handler without children.
func NewHandler(config HandlerConfig, deps HandlerDeps) *Handler {
	if deps.Events == nil {
		deps.Events = noEvents{}
	}
	return &Handler{
		config:       config,
		deps:         deps,
		metrics:      newHandlerMetrics(deps.Registerer),
		acknowledged: make(chan struct{}, 1),
		grantor:      lease.NewGrantor(time.Time{}),
		plans:        newPlanHistory(),
		roles:        make(map[string]string),
		routes:       routestats.NewCollection(),
		changed:      make(chan struct{}),
	}
}

// Sync serves one call of a child, and holds it while nothing has changed. A
// response without a lease means that the child has to call another server.
func (h *Handler) Sync(
	ctx context.Context, request *connect.Request[v1.SyncRequest],
) (*connect.Response[v1.SyncResponse], error) {
	message := request.Msg
	if err := checkCaller(ctx, message.GetNode()); err != nil {
		return nil, err
	}
	if message.GetLeaving() {
		h.releaseChild(steadyclock.Now(), nodeFromWire(message.GetNode()))
		return connect.NewResponse(&v1.SyncResponse{}), nil
	}
	first := h.recordReports(steadyclock.Now(), message)
	if !first {
		if err := h.waitForChanges(ctx, message); err != nil {
			return nil, err
		}
	}
	response, err := h.answer(ctx, message, first)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// checkCaller checks the node identity in a call against the certificate of
// the caller.
func checkCaller(ctx context.Context, node *v1.NodeIdentity) error {
	if node.GetName() == "" || node.GetBoot() == 0 {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("a node must state its name and boot number"))
	}
	identity, proved := rpc.IdentityFrom(ctx)
	if proved && (identity.Name != node.GetName() || identity.Role != keys.Role(node.GetRole())) {
		return connect.NewError(connect.CodePermissionDenied, errors.Newf(
			"the certificate is of %s %s, the call of %s %s",
			identity.Role, identity.Name, node.GetRole(), node.GetName()))
	}
	return nil
}

// recordReports records the reports of a call and returns whether the child is
// new to this server.
func (h *Handler) recordReports(now time.Time, message *v1.SyncRequest) (first bool) {
	node := nodeFromWire(message.GetNode())
	h.mutex.Lock()
	defer h.mutex.Unlock()
	previous, known := h.grantor.Acknowledged(childID(node))
	if reported := acknowledgedBy(message); known && reported > previous {
		h.grantor.Acknowledge(now, childID(node), reported)
		wait.Notify(h.acknowledged)
	}
	for _, wire := range message.GetObservations() {
		h.observe(now, node, wire)
	}
	for _, wire := range message.GetFollowers() {
		view := viewFromWire(now, wire)
		if view.Relay == "" {
			view.Relay = node.Name
		}
		if wire.GetLeaseLapsed() {
			h.deps.Tables.Lapse(now, node.Name, view.Name)
		} else {
			h.deps.Tables.Report(node.Name, view)
		}
	}
	if len(message.GetRoutes()) > 0 {
		h.routes.Set(now, node.Name, message.GetRoutes())
	}
	return !known
}

// RouteReports aggregates the reports on completed requests of the subtree.
func (h *Handler) RouteReports() []*v1.RouteReport {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.routes.Sum(steadyclock.Now())
}

// acknowledgedBy returns the revision that a child acknowledges: a relay for
// its whole subtree, a router for itself.
func acknowledgedBy(message *v1.SyncRequest) uint64 {
	if message.GetNode().GetRole() == membership.RoleRelay {
		return message.GetSubtreeRevision()
	}
	return message.GetRevision()
}

func (h *Handler) observe(now time.Time, node membership.Node, wire *v1.MachineState) {
	state, known := membership.ParseState(wire.GetState())
	if !known {
		return
	}
	router := node.Name
	if node.Role == membership.RoleRelay {
		router = wire.GetSource()
	}
	h.deps.Tables.Observe(now, membership.Observation{Address: wire.GetAddress(), State: state, Router: router})
}

// releaseChild releases the lease of a child.
func (h *Handler) releaseChild(now time.Time, node membership.Node) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.grantor.Release(now, childID(node), releasedRetention)
	h.deps.Tables.LapseChild(now, node.Name)
	delete(h.roles, node.Name)
	h.routes.Remove(node.Name)
	wait.Notify(h.acknowledged)
	h.deps.Logger.WithFields(logrus.Fields{"node": node.Name, "role": node.Role}).Info("lease released")
}

// waitForChanges waits until something changed for the child or the hold time
// has passed.
func (h *Handler) waitForChanges(ctx context.Context, message *v1.SyncRequest) error {
	holdTime := min(message.GetHold().AsDuration(), maxHold)
	if holdTime <= 0 {
		return nil
	}
	timer := time.NewTimer(holdTime)
	defer timer.Stop()
	for {
		changed, found := h.changesFor(message)
		if found {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// changesFor returns the channel that is closed at the next change, and whether
// there already are changes for the child.
func (h *Handler) changesFor(message *v1.SyncRequest) (<-chan struct{}, bool) {
	revision, _, _ := h.deps.Plans.Latest()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	found := revision > message.GetRevision() || h.publishedMachines > message.GetMachinesVersion()
	return h.changed, found
}

// answer grants a lease if the authority allows it.
func (h *Handler) answer(ctx context.Context, message *v1.SyncRequest, first bool) (*v1.SyncResponse, error) {
	entitlement, err := h.deps.Authority.Confirm(ctx, first)
	var notLeader *NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		h.metrics.refused.Inc()
		return &v1.SyncResponse{Redirect: notLeader.Leader}, nil
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	now := steadyclock.Now()
	// Read after the confirmation, which guarantees that this is the latest.
	revision, latest, _ := h.deps.Plans.Latest()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.enterTerm(now, entitlement.Term) {
		return &v1.SyncResponse{}, nil
	}
	h.grantor.Install(revision)
	h.plans.install(revision, latest)
	return h.grant(now, entitlement, message), nil
}

// enterTerm switches to the term of a confirmation if it is newer. It returns
// false for an outdated term, since confirmations may arrive out of order.
func (h *Handler) enterTerm(now time.Time, term uint64) bool {
	switch {
	case term < h.term:
		return false
	case term == h.term:
		return true
	}
	h.term = term
	h.publishedMachines = 0
	if h.config.Root {
		h.grantor = lease.NewGrantor(now.Add(lease.Lengthened(h.config.Lease)))
		h.activeRevision = 0
		clear(h.roles)
	}
	h.deps.Tables.StartTerm(now, term)
	h.deps.Logger.WithField("term", term).Info("granting leases in a new term")
	return true
}

// grant records the lease and builds the response. The caller holds the lock.
func (h *Handler) grant(now time.Time, entitlement Entitlement, message *v1.SyncRequest) *v1.SyncResponse {
	node := nodeFromWire(message.GetNode())
	revision, err := h.grantor.Grant(now, childID(node), entitlement.Lease)
	if err != nil {
		h.metrics.refused.Inc()
		h.deps.Logger.WithFields(logrus.Fields{"node": node.Name, "reason": err}).Debug("no lease granted")
		return &v1.SyncResponse{}
	}
	h.metrics.granted.Inc()
	h.roles[node.Name] = node.Role
	h.deps.Tables.Report(membership.Direct, membership.NodeView{
		Node: node, Revision: acknowledgedBy(message), LastSeen: now,
	})
	response := &v1.SyncResponse{
		Term:     entitlement.Term,
		Revision: revision,
		Lease:    durationpb.New(entitlement.Lease),
	}
	h.plans.encode(message.GetRevision(), response)
	h.addTables(now, message, response)
	return response
}

// addTables adds the table changes that the child does not have yet.
func (h *Handler) addTables(now time.Time, message *v1.SyncRequest, response *v1.SyncResponse) {
	if routers := h.deps.Tables.Routers(now); routers != nil {
		if changes, found := routers.ChangesSince(message.GetRoutersVersion()); found {
			routerChangesToWire(changes, response)
		}
	}
	if machines := h.deps.Tables.Machines(now); machines != nil {
		if changes, found := machines.ChangesSince(message.GetMachinesVersion()); found {
			machineChangesToWire(changes, response)
		}
	}
}

func childID(node membership.Node) lease.ChildID {
	return lease.ChildID{Name: node.Name, Boot: node.Boot}
}
