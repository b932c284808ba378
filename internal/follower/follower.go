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
	// callMargin is how much longer than the hold time a call may take. It must
	// cover a leadership confirmation.
	callMargin = 1500 * time.Millisecond
	// minInterruptDelay is the minimum time between the start of a call and its
	// interruption by new reports. Without it a busy subtree could prevent calls
	// from completing.
	minInterruptDelay = 50 * time.Millisecond
	// The pause between failed calls doubles from minBackoff up to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// preferredRetryInterval is how long a follower uses another upstream
	// before it returns to its preferred one.
	preferredRetryInterval = time.Minute
)

// Dial returns the client of the server at an address.
type Dial func(address string) martenstagev1connect.FollowServiceClient

// Config configures a Follower.
type Config struct {
	Node membership.Node
	// Upstreams are the addresses of the relays or control voters to follow.
	// Each node orders them by a hash of its name, which spreads followers evenly.
	Upstreams []string
	// Hold is how long a server may hold a call while nothing has changed;
	// 0 means lease.RenewInterval.
	Hold time.Duration
}

// Deps are the dependencies of a Follower.
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

// ErrNoUpstream is returned by New when Config.Upstreams is empty.
var ErrNoUpstream = errors.New("no upstream is configured")

// Follower keeps a node's configuration and lease up to date by calling Sync
// in a loop.
type Follower struct {
	config  Config
	deps    Deps
	metrics *followerMetrics
	// The following fields are used only by the goroutine of Run.
	upstreams *upstreams
	installed *plan.Plan
	// resync requests a full plan, because the last delta could not be applied.
	resync     bool
	leaseValid bool
	// lastLostUpstream is the upstream whose loss was recorded last; empty once
	// any upstream grants a lease again.
	lastLostUpstream string

	mutex  sync.Mutex
	holder lease.Holder
	// upstream is the address that granted the last lease.
	upstream string
	released bool
	calls    callTracker
}

// New returns a Follower without a plan and without a lease.
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
		calls:     newCallTracker(),
	}, nil
}

// Run calls Sync until the context ends or Release is called.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil && !f.isReleased() {
		outcome := f.call(ctx)
		f.metrics.calls.WithLabelValues(outcome.label()).Inc()
		f.recordLeaseChange(steadyclock.Now())
		switch {
		case outcome.interrupted:
		case outcome.granted():
			f.lastLostUpstream = ""
			f.upstreams.markSucceeded(steadyclock.Now())
		default:
			f.recordUpstreamLoss(ctx, outcome)
			f.switchUpstream(ctx, outcome)
		}
	}
	return ctx.Err()
}

// switchUpstream selects another upstream, and pauses first if all of them have
// failed.
func (f *Follower) switchUpstream(ctx context.Context, outcome outcome) {
	from := f.upstreams.current()
	var pause time.Duration
	if outcome.redirect != "" {
		pause = f.upstreams.redirect(outcome.redirect)
	} else {
		pause = f.upstreams.markFailed()
	}
	f.metrics.upstreamSwitches.Inc()
	f.deps.Logger.WithFields(logrus.Fields{
		"upstream": from, "next": f.upstreams.current(), "reason": outcome.reason(), "pause": pause.String(),
	}).Info("no lease from the upstream")
	if pause > 0 {
		wait.For(ctx, pause)
	}
}

// recordUpstreamLoss records an event when the upstream that granted the last
// lease does not answer. The servers above it may not know of the loss: a
// leader elected later never had contact with a relay that failed before.
func (f *Follower) recordUpstreamLoss(ctx context.Context, outcome outcome) {
	address := f.upstreams.current()
	if outcome.err == nil || ctx.Err() != nil || address != f.Upstream() || address == f.lastLostUpstream {
		return
	}
	f.lastLostUpstream = address
	now := steadyclock.Now()
	f.deps.Events.Record(journal.Event{
		Time: now, Kind: journal.KindUpstreamLost, Address: address, Detail: outcome.reason(), Count: 1, LastTime: now,
	})
}

// recordLeaseChange records an event when the lease was gained or lost.
func (f *Follower) recordLeaseChange(now time.Time) {
	f.mutex.Lock()
	valid := f.holder.Valid(now)
	term := f.holder.Term()
	f.mutex.Unlock()
	if valid == f.leaseValid {
		return
	}
	f.leaseValid = valid
	kind := journal.KindLeaseGained
	if !valid {
		kind = journal.KindLeaseLost
	}
	f.deps.Events.Record(journal.Event{Time: now, Kind: kind, Count: 1, LastTime: now})
	f.deps.Logger.WithFields(logrus.Fields{
		"event": string(kind), "term": term, "upstream": f.upstreams.current(),
	}).Info("lease state changed")
}

// Interrupt interrupts a held call, so that the reports of the Reporter are sent
// soon with the next one.
func (f *Follower) Interrupt() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls.interrupt()
}

// Refresh waits until a call sent after the start of Refresh has obtained a
// lease, and with it the latest revision.
func (f *Follower) Refresh(ctx context.Context) error {
	f.mutex.Lock()
	target := f.calls.request()
	f.mutex.Unlock()
	for {
		f.mutex.Lock()
		reached, changed := f.calls.reached(target)
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

// Lease returns the term, the installed revision and the expiry time of the
// lease; the time is zero when there is no lease.
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

func (f *Follower) isReleased() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.released
}

// Release ends the lease of the node and releases it at the upstream, so that no
// server waits for its expiry. The node must have stopped admitting work before
// it calls Release.
func (f *Follower) Release(ctx context.Context) error {
	f.mutex.Lock()
	f.released = true
	f.holder.Release()
	upstream := f.upstream
	f.calls.interrupt()
	f.mutex.Unlock()
	f.deps.Sink.ExtendLease(0, time.Time{})
	if upstream == "" {
		return nil
	}
	return f.sendRelease(ctx, upstream)
}
