package follower

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/lease"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/wait"
)

const (
	// callMargin is how much longer than the hold time a call may take. It has
	// to cover a confirmation of the leadership.
	callMargin = 1500 * time.Millisecond
	// pokeSpacing is the least time that a call is given before new reports
	// interrupt it, so that a busy subtree can't keep calls from ending.
	pokeSpacing = 50 * time.Millisecond
	// Pauses between calls that failed, doubled up to the longest.
	shortestBackoff = 50 * time.Millisecond
	longestBackoff  = time.Second
	// preferredAfter is how long a follower stays with another upstream before
	// it tries the one that it prefers.
	preferredAfter = time.Minute
)

// Dial returns the client for a server at an address.
type Dial func(address string) martenstagev1connect.FollowServiceClient

// Config describes a following process.
type Config struct {
	Node membership.Node
	// Upstreams are the addresses to follow, relays or control voters. Each
	// node orders them by its own name, so that followers spread evenly.
	Upstreams []string
	// Hold is how long a server may hold a call without news; 0 means
	// lease.RenewInterval.
	Hold time.Duration
}

// Deps are the parts that a Follower works with.
type Deps struct {
	Dial Dial
	Sink Sink
	// Reporter and Events may be nil.
	Reporter   Reporter
	Events     Events
	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
	// Random returns a number in [0,1) for jitter.
	Random func() float64
}

// ErrNoUpstream is returned when there is nobody to follow.
var ErrNoUpstream = errors.New("no upstream is configured")

// Follower keeps a node's configuration and lease up to date by calling Sync
// again and again.
type Follower struct {
	config  Config
	deps    Deps
	metrics *followerMetrics
	// The following belong to the goroutine of Run.
	upstreams *upstreams
	installed *plan.Plan
	// resync asks for a whole plan, because the last delta did not fit.
	resync  bool
	holding bool
	// lost is the upstream whose loss was recorded last; empty once any grants
	// a lease again.
	lost string

	mutex  sync.Mutex
	holder lease.Holder
	// upstream was the last to grant a lease.
	upstream string
	left     bool
	rounds   rounds
}

// New returns a Follower that has nothing installed.
func New(config Config, deps Deps) (*Follower, error) {
	if len(config.Upstreams) == 0 {
		return nil, ErrNoUpstream
	}
	if config.Hold == 0 {
		config.Hold = lease.RenewInterval
	}
	if deps.Events == nil {
		deps.Events = noEvents{}
	}
	return &Follower{
		config:    config,
		deps:      deps,
		metrics:   newFollowerMetrics(deps.Registerer),
		upstreams: newUpstreams(config.Node.Name, config.Upstreams, deps.Random),
		rounds:    newRounds(),
	}, nil
}

// Run follows until the context ends or Leave is called.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil && !f.hasLeft() {
		outcome := f.call(ctx)
		f.metrics.calls.WithLabelValues(outcome.label()).Inc()
		f.noticeLapse(steadyclock.Now())
		switch {
		case outcome.poked:
		case outcome.granted():
			f.lost = ""
			f.upstreams.succeeded(steadyclock.Now())
		default:
			f.noticeLoss(ctx, outcome)
			f.moveOn(ctx, outcome)
		}
	}
	return ctx.Err()
}

// moveOn turns to another upstream, after a pause once all were tried.
func (f *Follower) moveOn(ctx context.Context, outcome outcome) {
	from := f.upstreams.current()
	var pause time.Duration
	if outcome.redirect != "" {
		pause = f.upstreams.redirect(outcome.redirect)
	} else {
		pause = f.upstreams.failed()
	}
	f.metrics.moves.Inc()
	f.deps.Logger.WithFields(logrus.Fields{
		"upstream": from, "next": f.upstreams.current(), "reason": outcome.reason(), "pause": pause.String(),
	}).Info("no lease from the upstream")
	if pause > 0 {
		wait.For(ctx, pause)
	}
}

// noticeLoss tells that the upstream that granted the last lease does not
// answer. Those above may not know of the loss: a leader that was elected since
// never heard of a relay that died before.
func (f *Follower) noticeLoss(ctx context.Context, outcome outcome) {
	address := f.upstreams.current()
	if outcome.err == nil || ctx.Err() != nil || address != f.Upstream() || address == f.lost {
		return
	}
	f.lost = address
	now := steadyclock.Now()
	f.deps.Events.Record(journal.Event{
		Time: now, Kind: journal.KindUpstreamLost, Address: address, Detail: outcome.reason(), Count: 1, LastTime: now,
	})
}

// noticeLapse tells when the lease was lost or gained.
func (f *Follower) noticeLapse(now time.Time) {
	f.mutex.Lock()
	valid := f.holder.Valid(now)
	term := f.holder.Term()
	f.mutex.Unlock()
	if valid == f.holding {
		return
	}
	f.holding = valid
	kind := journal.KindLeaseGained
	if !valid {
		kind = journal.KindLeaseLost
	}
	f.deps.Events.Record(journal.Event{Time: now, Kind: kind, Count: 1, LastTime: now})
	f.deps.Logger.WithFields(logrus.Fields{
		"event": string(kind), "term": term, "upstream": f.upstreams.current(),
	}).Info("lease state changed")
}

// Poke sends the reports of the Reporter soon, in place of a call that is held.
func (f *Follower) Poke() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.rounds.poke()
}

// Refresh waits until a call that was sent after Refresh began has brought a
// lease, and with it the latest revision.
func (f *Follower) Refresh(ctx context.Context) error {
	f.mutex.Lock()
	target := f.rounds.request()
	f.mutex.Unlock()
	for {
		f.mutex.Lock()
		reached, changed := f.rounds.reached(target)
		f.mutex.Unlock()
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Lease returns the term, the revision that is installed and the end of the
// lease; the end is zero when there is none.
func (f *Follower) Lease() (term, revision uint64, until time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.holder.Term(), f.holder.Revision(), f.holder.Until()
}

// Upstream returns the address that granted the last lease.
func (f *Follower) Upstream() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.upstream
}

func (f *Follower) hasLeft() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.left
}

// Leave ends the lease and gives it back, so that nobody waits for it to
// lapse. The node must not admit work any more when it calls Leave.
func (f *Follower) Leave(ctx context.Context) error {
	f.mutex.Lock()
	f.left = true
	f.holder.End()
	upstream := f.upstream
	f.rounds.poke()
	f.mutex.Unlock()
	f.deps.Sink.ExtendLease(0, time.Time{})
	if upstream == "" {
		return nil
	}
	return f.sendLeave(ctx, upstream)
}
