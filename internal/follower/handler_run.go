package follower

import (
	"context"
	"strings"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/lease"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/wait"
)

// Run notifies held calls of changes, aggregates acknowledgements and expires
// the leases of children, until the context ends.
func (h *Handler) Run(ctx context.Context) {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	tables := time.NewTicker(tableDelay)
	defer tables.Stop()
	var notified uint64
	for {
		revision, _, changed := h.deps.Plans.Latest()
		if revision > notified {
			// The revision is compared as well as waited for, because it may have
			// changed while another case was being handled.
			wait.For(ctx, planDelay)
			h.notifyHeldCalls()
			notified = revision
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tables.C:
			h.publishMachines(steadyclock.Now())
		case <-h.acknowledged:
			wait.For(ctx, progressDelay)
			h.updateProgress(steadyclock.Now())
		case <-expire.C:
			h.expireChildren(steadyclock.Now())
			h.updateProgress(steadyclock.Now())
		}
	}
}

// RunRoot keeps the term of a control voter up to date while no child calls, so
// that the wait for the leases of an earlier leader starts at the election. It
// runs until the context ends.
func (h *Handler) RunRoot(ctx context.Context) {
	ticker := time.NewTicker(lease.RenewInterval)
	defer ticker.Stop()
	for {
		_, _, changed := h.deps.Plans.Latest()
		h.confirmTerm(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (h *Handler) confirmTerm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lease.RenewInterval)
	defer cancel()
	entitlement, err := h.deps.Authority.Confirm(ctx, false)
	if err != nil {
		return // another voter leads, or none does; retried at the next interval
	}
	now := steadyclock.Now()
	revision, latest, _ := h.deps.Plans.Latest()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.enterTerm(now, entitlement.Term) {
		return
	}
	h.grantor.Install(revision)
	h.plans.install(revision, latest)
}

// notifyHeldCalls makes held calls check for changes. Closing a channel notifies
// all of them at a cost that does not depend on what they wait for.
func (h *Handler) notifyHeldCalls() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.notifyHeldCallsLocked()
}

func (h *Handler) notifyHeldCallsLocked() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// publishMachines notifies held calls if the machine table changed since the
// last notification.
func (h *Handler) publishMachines(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	machines := h.deps.Tables.Machines(now)
	if machines != nil && machines.Version() != h.publishedMachines {
		h.publishedMachines = machines.Version()
		h.notifyHeldCallsLocked()
	}
}

// updateProgress recomputes the active revision of the subtree.
func (h *Handler) updateProgress(now time.Time) {
	h.mutex.Lock()
	h.installLocal()
	active := h.grantor.InEffect(now)
	risen := active > h.activeRevision
	h.activeRevision = active
	h.metrics.children.Set(float64(h.grantor.CountLive(now)))
	h.metrics.activeRevision.Set(float64(active))
	h.mutex.Unlock()
	if risen && h.config.OnProgress != nil {
		h.config.OnProgress()
	}
}

// expireChildren removes children whose lease has certainly lapsed, and records
// the loss.
func (h *Handler) expireChildren(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.deps.Tables.Expire(now)
	lapsed := h.grantor.Expire(now)
	if len(lapsed) == 0 {
		return
	}
	reconnected := lo.SliceToMap(h.grantor.Children(), func(child lease.ChildStatus) (string, bool) {
		return child.ID.Name, true
	})
	lapsedByKind := make(map[journal.Kind][]string)
	for _, child := range lapsed {
		if reconnected[child.Name] {
			continue // an earlier incarnation of a restarted child
		}
		kind := journal.KindLeaseLost
		if h.roles[child.Name] == membership.RoleRelay {
			kind = journal.KindRelayLost
		}
		lapsedByKind[kind] = append(lapsedByKind[kind], child.Name)
		h.deps.Tables.LapseChild(now, child.Name)
		delete(h.roles, child.Name)
	}
	for _, kind := range []journal.Kind{journal.KindRelayLost, journal.KindLeaseLost} {
		h.recordLapsed(now, kind, lapsedByKind[kind])
	}
}

// Bounds of the events for children whose leases lapse at about the same time,
// for example because one network switch failed.
const (
	lapsedPerEvent = 50
	lapsedEvents   = 100
)

// recordLapsed records one event for up to lapsedPerEvent children, with their
// names as its detail.
func (h *Handler) recordLapsed(now time.Time, kind journal.Kind, names []string) {
	chunks := lo.Chunk(names, lapsedPerEvent)
	for _, chunk := range chunks[:min(len(chunks), lapsedEvents)] {
		detail := strings.Join(chunk, " ")
		h.deps.Events.Record(journal.Event{
			Time: now, Kind: kind, Source: h.config.Name, Detail: detail, Count: uint64(len(chunk)), LastTime: now,
		})
		h.deps.Logger.WithFields(logrus.Fields{"event": string(kind), "nodes": detail}).Warn("leases of children lapsed")
	}
}

// ActiveRevision returns the active revision of the subtree: every node that
// admits work does so under this revision or a higher one.
func (h *Handler) ActiveRevision() uint64 {
	now := steadyclock.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.installLocal()
	return h.grantor.InEffect(now)
}

// installLocal installs a relay's own plan, which came from a confirmed leader.
// A control voter installs only revisions that it confirmed itself: after it
// lost the leadership it still receives revisions, but no longer knows who
// holds leases.
func (h *Handler) installLocal() {
	if h.config.Root {
		return
	}
	revision, latest, _ := h.deps.Plans.Latest()
	h.grantor.Install(revision)
	h.plans.install(revision, latest)
}

// Children returns the status of the direct children.
func (h *Handler) Children() []lease.ChildStatus {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.grantor.Children()
}

// UpdateTables calls the function while no call reads the tables. Held calls
// are notified of machine changes at the next tableDelay tick.
func (h *Handler) UpdateTables(update func(now time.Time)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	update(steadyclock.Now())
}

// Root is the Handler of a control voter with its tables.
type Root struct {
	*Handler
	tables *RootTables
}

// NewRoot returns the Handler of a control voter. The dependencies' Tables are
// set here.
func NewRoot(config HandlerConfig, deps HandlerDeps) *Root {
	tables := NewRootTables()
	deps.Tables = tables
	config.Root = true
	return &Root{Handler: NewHandler(config, deps), tables: tables}
}

// Run runs Handler.Run and Handler.RunRoot until the context ends.
func (r *Root) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.RunRoot(ctx)
	}()
	r.Handler.Run(ctx)
	<-done
}

// Nodes returns the status of all nodes that are, or recently were, registered.
func (r *Root) Nodes() []*v1.NodeStatus {
	now := steadyclock.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	acknowledged := make(map[string]uint64)
	for _, child := range r.grantor.Children() {
		acknowledged[child.ID.Name] = child.Acknowledged // the latest incarnation comes last
	}
	return lo.Map(r.tables.Nodes(), func(view membership.NodeView, _ int) *v1.NodeStatus {
		// A relay acknowledges a revision for all its followers at once and lists
		// only those that lag behind.
		if !view.Lapsed {
			view.Revision = max(view.Revision, acknowledged[view.Name], acknowledged[view.Relay])
		}
		return StatusToWire(now, view)
	})
}

// Machines returns the state of the machines that are not live.
func (r *Root) Machines() []*v1.MachineState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return machinesToWire(r.tables.machines.Table().Values())
}

// SetPlatform replaces the platform's list of machines.
func (r *Root) SetPlatform(list map[string]membership.State) {
	r.UpdateTables(func(now time.Time) { r.tables.SetPlatform(now, list) })
}

// SetOperator records the state that an operator set for a machine; Live
// withdraws it.
func (r *Root) SetOperator(address string, state membership.State) {
	r.UpdateTables(func(now time.Time) { r.tables.SetOperator(now, address, state) })
}
