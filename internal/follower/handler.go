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
	// maxHold bounds how long a call without news is held.
	maxHold = 2 * time.Second
	// planDelay gathers revisions that are accepted at nearly the same time.
	planDelay = 2 * time.Millisecond
	// tableDelay gathers changes of machines, which are less urgent than
	// revisions. It bounds the calls that they cause to 4 per second and child.
	tableDelay = 250 * time.Millisecond
	// progressDelay gathers acknowledgements before they are summed up.
	progressDelay = 5 * time.Millisecond
	// expireInterval is how often lapsed children are looked for.
	expireInterval = 250 * time.Millisecond
	// leftMemory is how long a child that left is refused a lease. No call of
	// its is under way any more after this time.
	leftMemory = time.Minute
)

// HandlerConfig describes a serving process.
type HandlerConfig struct {
	// Name of this process, for events.
	Name string
	// Lease is the duration of leases; after a new term began, nothing is
	// reported in force for one such time.
	Lease time.Duration
	// Root is true for control and false for relays. An earlier run of a relay
	// is still counted by its upstream, an earlier leader by nobody.
	Root bool
	// OnProgress, when set, is called after the revision in force below rose.
	OnProgress func()
}

// HandlerDeps are the parts that a Handler works with.
type HandlerDeps struct {
	Plans     PlanSource
	Authority Authority
	Tables    Tables
	// Events may be nil.
	Events     Events
	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
}

// Handler serves FollowService. Run must run beside it.
type Handler struct {
	config  HandlerConfig
	deps    HandlerDeps
	metrics *handlerMetrics
	// acknowledged tells Run that a child acknowledged a revision.
	acknowledged chan struct{}

	mutex   sync.Mutex
	term    uint64
	grantor *lease.Grantor
	// plans are those that this process may still send deltas from.
	plans *planHistory
	roles map[string]string
	// routes are what children reported of the requests that ended below.
	routes *routestats.Collection
	// inForce is the revision last passed to OnProgress.
	inForce uint64
	// news is closed and replaced when held calls should look again.
	news chan struct{}
	// published is the version of the machines at the last news. Changes of
	// the routers are no news: they come with the next answer, within the hold
	// time. Otherwise whoever joined, left or lapsed would make all followers
	// call at once, and a fleet short of processor time would lose further
	// leases by that.
	published uint64
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
		news:         make(chan struct{}),
	}
}

// Sync answers one call of a child. It is held while there is no news. A
// response without a lease means that another server has to be asked.
func (h *Handler) Sync(
	ctx context.Context, request *connect.Request[v1.SyncRequest],
) (*connect.Response[v1.SyncResponse], error) {
	message := request.Msg
	if err := checkCaller(ctx, message.GetNode()); err != nil {
		return nil, err
	}
	if message.GetLeaving() {
		h.leave(steadyclock.Now(), nodeFromWire(message.GetNode()))
		return connect.NewResponse(&v1.SyncResponse{}), nil
	}
	first := h.receive(steadyclock.Now(), message)
	if !first {
		if err := h.hold(ctx, message); err != nil {
			return nil, err
		}
	}
	response, err := h.answer(ctx, message, first)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// checkCaller compares what a node says of itself with its certificate.
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

// receive takes in what a call reports and says whether the child is new here.
func (h *Handler) receive(now time.Time, message *v1.SyncRequest) (first bool) {
	node := nodeFromWire(message.GetNode())
	h.mutex.Lock()
	defer h.mutex.Unlock()
	before, known := h.grantor.Acknowledged(childID(node))
	if reported := acknowledgedBy(message); known && reported > before {
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

// RouteReports adds up what was reported of the requests that ended below.
func (h *Handler) RouteReports() []*v1.RouteReport {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.routes.Sum(steadyclock.Now())
}

// acknowledgedBy is the revision that a child vouches for: a relay for its
// whole subtree, a router for itself.
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

// leave takes a lease back.
func (h *Handler) leave(now time.Time, node membership.Node) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.grantor.Leave(now, childID(node), leftMemory)
	h.deps.Tables.LapseChild(now, node.Name)
	delete(h.roles, node.Name)
	h.routes.Remove(node.Name)
	wait.Notify(h.acknowledged)
	h.deps.Logger.WithFields(logrus.Fields{"node": node.Name, "role": node.Role}).Info("lease given back")
}

// hold waits until there is news for the child or its hold time is over.
func (h *Handler) hold(ctx context.Context, message *v1.SyncRequest) error {
	wait := min(message.GetHold().AsDuration(), maxHold)
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		news, found := h.newsFor(message)
		if found {
			return nil
		}
		select {
		case <-news:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// newsFor returns the channel that is closed at the next news, and whether
// there is some for the child now.
func (h *Handler) newsFor(message *v1.SyncRequest) (<-chan struct{}, bool) {
	revision, _, _ := h.deps.Plans.Latest()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	found := revision > message.GetRevision() || h.published > message.GetMachinesVersion()
	return h.news, found
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
	// Read after the confirmation, which guarantees that it is the latest.
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

// enterTerm reports whether a confirmation is of the newest term; confirmations
// may be delivered out of order.
func (h *Handler) enterTerm(now time.Time, term uint64) bool {
	switch {
	case term < h.term:
		return false
	case term == h.term:
		return true
	}
	h.term = term
	h.published = 0
	if h.config.Root {
		h.grantor = lease.NewGrantor(now.Add(lease.Lengthened(h.config.Lease)))
		h.inForce = 0
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
