package router

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/martenstage/martenstage/internal/backend"
	"github.com/martenstage/martenstage/internal/probing"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// probeTarget is one back end with the engines that use it.
type probeTarget struct {
	address netip.AddrPort
	loops   []*engineLoop
	// routers is the number of routers that use it, including this one.
	routers int
}

// prober probes the health of back ends according to their schedules and keeps their
// connection pools filled. Each back end has its own goroutine, so that a hung one
// delays no other.
type prober struct {
	name     string
	pauses   probing.Config
	timeout  time.Duration
	backends *backend.Client
	metrics  *routerMetrics
	started  time.Time

	mutex   sync.Mutex
	running map[netip.AddrPort]*probeLoop
	closed  bool
	done    sync.WaitGroup
	// lookup is a copy of running that senders read without a lock.
	lookup atomic.Pointer[map[netip.AddrPort]*probeLoop]
}

// probeLoop probes one back end.
type probeLoop struct {
	cancel context.CancelFunc
	target atomic.Pointer[probeTarget]
	// known is set once the engines have received a first outcome.
	known atomic.Bool
	// rescheduled notifies the goroutine that its next due time has moved forward.
	rescheduled chan struct{}

	mutex    sync.Mutex
	schedule *probing.Schedule
	// refillAt is when lost connections are to be reopened; zero for never.
	refillAt time.Time
}

func newProber(config Config, backends *backend.Client, metrics *routerMetrics) *prober {
	return &prober{
		name:     config.Name,
		pauses:   config.probing(),
		timeout:  config.ProbeTimeout,
		backends: backends,
		metrics:  metrics,
		started:  steadyclock.Now(),
		running:  make(map[netip.AddrPort]*probeLoop),
	}
}

// setTargets replaces the set of probed back ends. Connections to those that were
// removed from the configuration are closed.
func (p *prober) setTargets(ctx context.Context, targets map[netip.AddrPort]probeTarget) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return
	}
	for address, running := range p.running {
		if _, kept := targets[address]; !kept {
			running.cancel()
			delete(p.running, address)
			p.backends.Forget(address)
		}
	}
	for address, target := range targets {
		if running, ok := p.running[address]; ok {
			running.setTarget(target)
			continue
		}
		p.start(ctx, target)
	}
	p.publish()
}

// publish makes the current set visible to senders. The caller holds the mutex.
func (p *prober) publish() {
	copied := make(map[netip.AddrPort]*probeLoop, len(p.running))
	for address, running := range p.running {
		copied[address] = running
	}
	p.lookup.Store(&copied)
}

func (p *prober) start(ctx context.Context, target probeTarget) {
	loopContext, cancel := context.WithCancel(ctx)
	seed := xxhash.Sum64String(p.name + " " + target.address.String())
	started := &probeLoop{
		cancel: cancel, rescheduled: make(chan struct{}, 1),
		schedule: probing.New(p.pauses, steadyclock.Now(), seed),
	}
	started.setTarget(target)
	p.running[target.address] = started
	p.done.Go(func() { p.run(loopContext, started) })
}

// run probes one back end until the context ends.
func (p *prober) run(ctx context.Context, loop *probeLoop) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := steadyclock.Now()
		due, refill := loop.nextDue()
		switch {
		case !now.Before(due):
			p.probe(ctx, loop)
		case !refill.IsZero() && !now.Before(refill):
			p.refill(ctx, loop)
		default:
			next := due
			if !refill.IsZero() && refill.Before(due) {
				next = refill
			}
			timer.Reset(p.align(next).Sub(now))
			select {
			case <-timer.C:
			case <-loop.rescheduled:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// probeAlignment is the period to which the probes of different back ends are
// aligned, because a separate wakeup of the process for each costs more than the
// probe.
const probeAlignment = 20 * time.Millisecond

// align returns the end of the alignment period that contains a time. Times are not
// aligned if the probe interval is short.
func (p *prober) align(due time.Time) time.Time {
	const minPeriodsPerInterval = 10
	if p.pauses.Interval < minPeriodsPerInterval*probeAlignment {
		return due
	}
	elapsed := due.Sub(p.started)
	return p.started.Add((elapsed + probeAlignment - 1) / probeAlignment * probeAlignment)
}

func (p *prober) probe(ctx context.Context, loop *probeLoop) {
	target := *loop.target.Load()
	bounded, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	observed, probed := p.backends.Probe(bounded, target.address)
	if ctx.Err() != nil {
		return
	}
	if !probed {
		loop.skipped()
		return
	}
	p.metrics.countProbe(observed.Reachable)
	loop.probed(observed)
	for _, engine := range target.loops {
		if !loop.known.Load() {
			engine.pushNoticeAndWait(observed)
		} else if !engine.pushHealth(observed) {
			loop.skipped()
		}
	}
	loop.known.Store(true)
	if observed.Reachable {
		p.backends.Maintain(bounded, target.address)
	}
}

// refill reopens connections that failed attempts have closed.
func (p *prober) refill(ctx context.Context, loop *probeLoop) {
	bounded, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	p.backends.Maintain(bounded, loop.target.Load().address)
	loop.refilled()
}

// loopFor returns the probe loop of a back end, or nil.
func (p *prober) loopFor(address netip.AddrPort) *probeLoop {
	published := p.lookup.Load()
	if published == nil {
		return nil
	}
	return (*published)[address]
}

// attemptFinished updates the schedule of a back end after an attempt sent at the
// given time.
func (p *prober) attemptFinished(address netip.AddrPort, outcome query.Event, sent time.Time) {
	if loop := p.loopFor(address); loop != nil {
		loop.attemptFinished(outcome, sent, steadyclock.Now(), p.pauses.Interval)
	}
}

// machineReported updates the schedule of a back end whose state as reported by
// others changed.
func (p *prober) machineReported(address netip.AddrPort) {
	if loop := p.loopFor(address); loop != nil {
		loop.updateSchedule(func() { loop.schedule.ProbeClosely(steadyclock.Now()) })
	}
}

// allKnown reports whether every relevant back end has answered a probe or failed to.
func (p *prober) allKnown(relevant func(netip.AddrPort) bool) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, running := range p.running {
		if !running.known.Load() && relevant(address) {
			return false
		}
	}
	return true
}

// close stops probing and waits for the goroutines.
func (p *prober) close() {
	p.mutex.Lock()
	p.closed = true
	for _, running := range p.running {
		running.cancel()
	}
	p.mutex.Unlock()
	p.done.Wait()
}

func (l *probeLoop) setTarget(target probeTarget) {
	l.target.Store(&target)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.schedule.SetRouters(target.routers)
}

// nextDue returns when the next probe is due and when connections are to be reopened.
func (l *probeLoop) nextDue() (due, refill time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.schedule.Due(), l.refillAt
}

func (l *probeLoop) probed(observed query.HealthObserved) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.schedule.ObserveProbe(probing.ProbeOf(observed, steadyclock.Now()))
	l.refillAt = time.Time{}
}

// skipped reschedules a probe that could not be made or whose outcome did not reach
// an engine.
func (l *probeLoop) skipped() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.schedule.ProbeSkipped(steadyclock.Now())
}

func (l *probeLoop) refilled() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refillAt = time.Time{}
}

// attemptFinished updates the schedule after an attempt. An attempt without a reply
// has lost its connection; all connections lost within a pause are reopened together
// after it.
func (l *probeLoop) attemptFinished(outcome query.Event, sent, now time.Time, pause time.Duration) {
	l.updateSchedule(func() {
		l.schedule.ObserveReply(probing.ReplyOf(outcome, sent, now))
		failed, isFailure := outcome.(query.AttemptFailed)
		if isFailure && failed.Verdict != verdict.NotRun && l.refillAt.IsZero() {
			l.refillAt = now.Add(pause)
		}
	})
}

// updateSchedule applies a change and notifies the goroutine if it is due earlier
// than before.
func (l *probeLoop) updateSchedule(apply func()) {
	l.mutex.Lock()
	due, refill := l.schedule.Due(), l.refillAt
	apply()
	sooner := l.schedule.Due().Before(due) || (refill.IsZero() && !l.refillAt.IsZero())
	l.mutex.Unlock()
	if sooner {
		select {
		case l.rescheduled <- struct{}{}:
		default:
		}
	}
}
