package router

import (
	"context"
	"hash/fnv"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/martenstage/martenstage/internal/backend"
)

// probeTarget is one back end with the engines that use it.
type probeTarget struct {
	address netip.AddrPort
	loops   []*engineLoop
}

// prober asks every back end for its health at an interval and keeps its
// connection pool filled. Each back end has a goroutine of its own, so that a
// hung one delays no other.
type prober struct {
	interval time.Duration
	timeout  time.Duration
	backends *backend.Client

	mutex   sync.Mutex
	running map[netip.AddrPort]*probeLoop
	closed  bool
	done    sync.WaitGroup
}

type probeLoop struct {
	cancel context.CancelFunc
	target atomic.Pointer[probeTarget]
	// known is set once the engines have taken in a first outcome.
	known atomic.Bool
}

func newProber(config Config, backends *backend.Client) *prober {
	return &prober{
		interval: config.ProbeInterval,
		timeout:  config.ProbeTimeout,
		backends: backends,
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
			running.target.Store(&target)
			continue
		}
		p.start(ctx, target)
	}
}

func (p *prober) start(ctx context.Context, target probeTarget) {
	loopContext, cancel := context.WithCancel(ctx)
	started := &probeLoop{cancel: cancel}
	started.target.Store(&target)
	p.running[target.address] = started
	p.done.Go(func() { p.run(loopContext, started) })
}

// run probes one back end until the context ends.
func (p *prober) run(ctx context.Context, loop *probeLoop) {
	delay := time.Duration(0)
	for round := uint64(0); ; round++ {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
		target := *loop.target.Load()
		p.probe(ctx, loop, target)
		delay = p.pause(target.address, round)
	}
}

func (p *prober) probe(ctx context.Context, loop *probeLoop, target probeTarget) {
	bounded, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	observed, asked := p.backends.Probe(bounded, target.address)
	if ctx.Err() != nil || !asked {
		return
	}
	for _, engine := range target.loops {
		if loop.known.Load() {
			engine.pushHealth(observed)
		} else {
			engine.deliver(observed)
		}
	}
	loop.known.Store(true)
	if observed.Reachable {
		p.backends.Maintain(bounded, target.address)
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

// pause is the interval with up to a quarter more or less, so that the routers
// do not probe a back end in step.
func (p *prober) pause(address netip.AddrPort, round uint64) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(address.String()))
	const spread, steps = 2, 1024
	step := (uint64(hash.Sum32()) + round*0x9e3779b1) % steps
	jitter := p.interval / spread * time.Duration(step) / steps
	return p.interval - p.interval/(2*spread) + jitter
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
