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
	// routers is how many routers use it, this one included.
	routers int
}

// prober asks back ends for their health when their schedules say so, and keeps
// their connection pools filled. Each back end has a goroutine of its own, so
// that a hung one delays no other.
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

// probeLoop is the probing of one back end.
type probeLoop struct {
	cancel context.CancelFunc
	target atomic.Pointer[probeTarget]
	// known is set once the engines have taken in a first outcome.
	known atomic.Bool
	// hurry wakes the goroutine after the next turn moved forward.
	hurry chan struct{}

	mutex    sync.Mutex
	schedule *probing.Schedule
	// refillAt is when lost connections are to be opened anew; zero for never.
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

// retarget replaces the set of probed back ends. Connections to those that
// left the configuration are closed.
func (p *prober) retarget(ctx context.Context, targets map[netip.AddrPort]probeTarget) {
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
			running.aim(target)
			continue
		}
		p.start(ctx, target)
	}
	p.publish()
}

// publish lets senders see the present set. The caller holds the mutex.
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
		cancel: cancel, hurry: make(chan struct{}, 1),
		schedule: probing.New(p.pauses, steadyclock.Now(), seed),
	}
	started.aim(target)
	p.running[target.address] = started
	p.done.Go(func() { p.run(loopContext, started) })
}

// run probes one back end until the context ends.
func (p *prober) run(ctx context.Context, loop *probeLoop) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := steadyclock.Now()
		due, refill := loop.turn()
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
			timer.Reset(p.inStep(next).Sub(now))
			select {
			case <-timer.C:
			case <-loop.hurry:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// step is the time within which probes of different back ends are made together,
// because waking up the process for each costs more than the probe.
const step = 20 * time.Millisecond

// inStep returns the end of the step that a moment falls into. Short intervals
// are kept as they are.
func (p *prober) inStep(moment time.Time) time.Time {
	const stepsInInterval = 10
	if p.pauses.Interval < stepsInInterval*step {
		return moment
	}
	elapsed := moment.Sub(p.started)
	return p.started.Add((elapsed + step - 1) / step * step)
}

func (p *prober) probe(ctx context.Context, loop *probeLoop) {
	target := *loop.target.Load()
	bounded, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	observed, asked := p.backends.Probe(bounded, target.address)
	if ctx.Err() != nil {
		return
	}
	if !asked {
		loop.skipped()
		return
	}
	p.metrics.countProbe(observed.Reachable)
	loop.probed(observed)
	for _, engine := range target.loops {
		if !loop.known.Load() {
			engine.deliver(observed)
		} else if !engine.pushHealth(observed) {
			loop.skipped()
		}
	}
	loop.known.Store(true)
	if observed.Reachable {
		p.backends.Maintain(bounded, target.address)
	}
}

// refill opens connections in place of those that attempts have cost.
func (p *prober) refill(ctx context.Context, loop *probeLoop) {
	bounded, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	p.backends.Maintain(bounded, loop.target.Load().address)
	loop.refilled()
}

// loopOf returns the probing of a back end, or nil.
func (p *prober) loopOf(address netip.AddrPort) *probeLoop {
	published := p.lookup.Load()
	if published == nil {
		return nil
	}
	return (*published)[address]
}

// heard takes in the end of an attempt that was sent at a time.
func (p *prober) heard(address netip.AddrPort, outcome query.Event, sent time.Time) {
	if loop := p.loopOf(address); loop != nil {
		loop.heard(outcome, sent, steadyclock.Now(), p.pauses.Interval)
	}
}

// watch takes in that the word of others about a back end changed.
func (p *prober) watch(address netip.AddrPort) {
	if loop := p.loopOf(address); loop != nil {
		loop.change(func() { loop.schedule.Watch(steadyclock.Now()) })
	}
}

// allKnown reports whether every back end that matters has answered a probe,
// or failed to.
func (p *prober) allKnown(matters func(netip.AddrPort) bool) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, running := range p.running {
		if !running.known.Load() && matters(address) {
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

func (l *probeLoop) aim(target probeTarget) {
	l.target.Store(&target)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.schedule.SetRouters(target.routers)
}

// turn returns when the next probe is due and when connections are to be
// opened.
func (l *probeLoop) turn() (due, refill time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.schedule.Due(), l.refillAt
}

func (l *probeLoop) probed(observed query.HealthObserved) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.schedule.Probed(probing.ProbeOf(observed, steadyclock.Now()))
	l.refillAt = time.Time{}
}

// skipped takes in that a probe could not be made, or that an engine did not
// learn its outcome.
func (l *probeLoop) skipped() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.schedule.Skipped(steadyclock.Now())
}

func (l *probeLoop) refilled() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refillAt = time.Time{}
}

// heard takes in the end of an attempt. One without a reply has cost its
// connection, which is opened anew a pause later, for all that ended meanwhile.
func (l *probeLoop) heard(outcome query.Event, sent, now time.Time, pause time.Duration) {
	l.change(func() {
		l.schedule.Heard(probing.ReplyOf(outcome, sent, now))
		failed, isFailure := outcome.(query.AttemptFailed)
		if isFailure && failed.Verdict != verdict.NotRun && l.refillAt.IsZero() {
			l.refillAt = now.Add(pause)
		}
	})
}

// change applies a change and wakes the goroutine if its next turn came closer.
func (l *probeLoop) change(apply func()) {
	l.mutex.Lock()
	due, refill := l.schedule.Due(), l.refillAt
	apply()
	sooner := l.schedule.Due().Before(due) || (refill.IsZero() && !l.refillAt.IsZero())
	l.mutex.Unlock()
	if sooner {
		select {
		case l.hurry <- struct{}{}:
		default:
		}
	}
}
