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

// Run wakes held calls when there is news, sums acknowledgements up and
// notices lapsed children, until the context ends.
func (h *Handler) Run(ctx context.Context) {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	tables := time.NewTicker(tableDelay)
	defer tables.Stop()
	var woken uint64
	for {
		revision, _, changed := h.deps.Plans.Latest()
		if revision > woken {
			// Compared, and not only waited for: the change may have come while
			// another case was being handled.
			wait.For(ctx, planDelay)
			h.wake()
			woken = revision
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
			h.progress(steadyclock.Now())
		case <-expire.C:
			h.expire(steadyclock.Now())
			h.progress(steadyclock.Now())
		}
	}
}

// RunRoot keeps the term of a control voter known while no child calls, so
// that the wait for leases of an earlier leader begins at the election. It
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
		return // another voter leads, or none does; the next round asks again
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

// wake lets held calls look for news again. Closing a channel wakes all of
// them at a cost that does not depend on what they wait for.
func (h *Handler) wake() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.wakeLocked()
}

func (h *Handler) wakeLocked() {
	close(h.news)
	h.news = make(chan struct{})
}

// publishMachines wakes held calls if machines changed since the last time.
func (h *Handler) publishMachines(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	machines := h.deps.Tables.Machines(now)
	if machines != nil && machines.Version() != h.published {
		h.published = machines.Version()
		h.wakeLocked()
	}
}

// progress sums up what is in force below.
func (h *Handler) progress(now time.Time) {
	h.mutex.Lock()
	h.installLocal()
	inForce := h.grantor.InForce(now)
	risen := inForce > h.inForce
	h.inForce = inForce
	h.metrics.children.Set(float64(h.grantor.Live(now)))
	h.metrics.inForce.Set(float64(inForce))
	h.mutex.Unlock()
	if risen && h.config.OnProgress != nil {
		h.config.OnProgress()
	}
}

// expire notices children whose lease has surely lapsed.
func (h *Handler) expire(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.deps.Tables.Expire(now)
	lapsed := h.grantor.Expire(now)
	if len(lapsed) == 0 {
		return
	}
	back := lo.SliceToMap(h.grantor.Children(), func(child lease.ChildStatus) (string, bool) {
		return child.ID.Name, true
	})
	lost := make(map[journal.Kind][]string)
	for _, child := range lapsed {
		if back[child.Name] {
			continue // an earlier run of a child that was restarted
		}
		kind := journal.KindLeaseLost
		if h.roles[child.Name] == membership.RoleRelay {
			kind = journal.KindRelayLost
		}
		lost[kind] = append(lost[kind], child.Name)
		h.deps.Tables.LapseChild(now, child.Name)
		delete(h.roles, child.Name)
	}
	for _, kind := range []journal.Kind{journal.KindRelayLost, journal.KindLeaseLost} {
		h.recordLapsed(now, kind, lost[kind])
	}
}

// Bounds of what is told of children whose leases lapsed at about the same
// time, as those behind one switch do.
const (
	lapsedPerEvent = 50
	lapsedEvents   = 100
)

// recordLapsed writes an event for up to lapsedPerEvent children at a time,
// with their names as its detail.
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

// RevisionInForce returns the highest revision that whoever admits work below
// admits it under at least.
func (h *Handler) RevisionInForce() uint64 {
	now := steadyclock.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.installLocal()
	return h.grantor.InForce(now)
}

// installLocal lets a relay count its own plan, which came from a confirmed
// leader. A control voter counts only what it confirmed itself: one that lost
// the lead still learns of revisions, but no more of who holds leases.
func (h *Handler) installLocal() {
	if h.config.Root {
		return
	}
	revision, latest, _ := h.deps.Plans.Latest()
	h.grantor.Install(revision)
	h.plans.install(revision, latest)
}

// Children describes the direct children.
func (h *Handler) Children() []lease.ChildStatus {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.grantor.Children()
}

// UpdateTables calls the function while no call reads the tables, and lets
// held calls look for news.
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

// Run does what Handler.Run and Handler.RunRoot do, until the context ends.
func (r *Root) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.RunRoot(ctx)
	}()
	r.Handler.Run(ctx)
	<-done
}

// Nodes describes all nodes that are or were lately known.
func (r *Root) Nodes() []*v1.NodeStatus {
	now := steadyclock.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	acknowledged := make(map[string]uint64)
	for _, child := range r.grantor.Children() {
		acknowledged[child.ID.Name] = child.Acknowledged // the latest run comes last
	}
	return lo.Map(r.tables.Nodes(), func(view membership.NodeView, _ int) *v1.NodeStatus {
		// A relay vouches for all its followers at once and names only those
		// that are behind.
		if !view.Lapsed {
			view.Revision = max(view.Revision, acknowledged[view.Name], acknowledged[view.Relay])
		}
		return StatusToWire(now, view)
	})
}

// Machines describes the machines that are not live.
func (r *Root) Machines() []*v1.MachineState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return machinesToWire(r.tables.machines.Table().Values())
}

// SetPlatform replaces the platform's list of machines.
func (r *Root) SetPlatform(list map[string]membership.State) {
	r.UpdateTables(func(now time.Time) { r.tables.SetPlatform(now, list) })
}

// SetOperator notes an operator's word on a machine; Live withdraws it.
func (r *Root) SetOperator(address string, state membership.State) {
	r.UpdateTables(func(now time.Time) { r.tables.SetOperator(now, address, state) })
}
