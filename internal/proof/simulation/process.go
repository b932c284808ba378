package simulation

import (
	"time"

	"github.com/martenstage/martenstage/internal/proof/simulation/network"
	"github.com/martenstage/martenstage/internal/proof/virtualtime"
)

// process is what all processes of the fleet have in common: a place, a clock
// of their own, and that they crash, restart and freeze.
type process struct {
	world *World
	place network.Place
	local virtualtime.Local
	// running is false between a crash or stop and the next start. boot counts
	// starts; what was under way before is forgotten.
	running bool
	boot    uint64
	// frozen is set while the process does not run, but is not dead either;
	// delayed is what it will do then.
	frozen  bool
	delayed []func()
}

func newProcess(world *World, at seat) process {
	return process{world: world, place: world.layout.place(at)}
}

// newClock draws a clock that keeps the bound on drift.
func newClock(world *World) virtualtime.Local {
	// The bound is 0.5 %; no clock comes nearer to it than a thousandth of that.
	const bound, offset = 4990, int64(2 * time.Second)
	local := virtualtime.Local{
		Drift:  world.setup.Int64N(2*bound) - bound,
		Offset: time.Duration(world.setup.Int64N(2*offset) - offset),
	}
	switch {
	case !world.driftAtBound:
	case local.Drift < 0:
		local.Drift = -bound
	default:
		local.Drift = bound
	}
	return local
}

func (p *process) name() string { return p.place.Name }

// now returns what the process's own clock shows.
func (p *process) now() time.Time { return p.local.At(p.world.queue.Now()) }

// after calls act after a duration of the process's own clock, unless it was
// restarted meanwhile.
func (p *process) after(duration time.Duration, act func()) {
	boot := p.boot
	p.world.queue.After(p.local.True(duration), func() { p.deliver(boot, act) })
}

// deliver lets a process of a boot do something now, or when it thaws.
func (p *process) deliver(boot uint64, act func()) {
	if !p.running || p.boot != boot {
		return
	}
	if p.frozen {
		p.delayed = append(p.delayed, func() { p.deliver(boot, act) })
		return
	}
	act()
}

func (p *process) freeze() {
	if p.running {
		p.frozen = true
	}
}

func (p *process) thaw() {
	p.frozen = false
	waiting := p.delayed
	p.delayed = nil
	for _, act := range waiting {
		act()
	}
}

func (p *process) begin() {
	p.running, p.frozen, p.delayed = true, false, nil
	p.boot++
}

func (p *process) end() {
	p.running, p.frozen, p.delayed = false, false, nil
}

// alarm calls one function at the time that was last set.
type alarm struct {
	process *process
	act     func()
	at      time.Time
	// pending is the local time for which an event is in the queue.
	pending time.Time
	boot    uint64
}

// set moves the alarm; the zero time switches it off.
func (a *alarm) set(at time.Time) {
	a.at = at
	if a.boot != a.process.boot {
		a.boot, a.pending = a.process.boot, time.Time{}
	}
	if at.IsZero() || (!a.pending.IsZero() && !at.Before(a.pending)) {
		return
	}
	a.arm()
}

func (a *alarm) arm() {
	armed := a.at
	a.pending = armed
	a.process.after(armed.Sub(a.process.now()), func() {
		if !a.pending.Equal(armed) {
			return // an earlier time was set since
		}
		a.pending = time.Time{}
		switch {
		case a.at.IsZero():
		case a.process.now().Before(a.at):
			a.arm()
		default:
			a.at = time.Time{}
			a.act()
		}
	})
}

// reply carries the answer of a call back; it may be called at any time later.
type reply func(answer any)

// callResult says how a call ended.
type callResult struct {
	answer any
	// failed is true without an answer; refused in addition when it is proved
	// that the call did not arrive.
	failed, refused bool
}

// call is a request from one process to another with one answer.
type call struct {
	from    *process
	to      *process
	timeout time.Duration
	// repeatable calls may arrive twice, as when a client sends again.
	repeatable bool
	handle     func(reply)
	done       func(callResult)
}

// pendingCall is a call under way.
type pendingCall struct {
	call
	world *World
	// boot is the caller's run; another one gets no answer.
	boot  uint64
	ended bool
}

// call sends a request. Done is called once, unless the caller restarts.
func (w *World) call(c call) {
	pending := &pendingCall{call: c, world: w, boot: c.from.boot}
	if !w.network.Connected(&c.from.place, &c.to.place) {
		// Nobody answers the connection attempt.
		c.from.after(c.timeout, func() { pending.finish(callResult{failed: true, refused: true}) })
		return
	}
	w.network.Send(network.Message{From: &c.from.place, To: &c.to.place, Repeatable: c.repeatable, Arrive: pending.arrive})
	c.from.after(c.timeout, pending.timeOut)
}

func (c *pendingCall) timeOut() { c.finish(callResult{failed: true}) }

// finish hands the caller a result, the first one alone, now or when it thaws.
func (c *pendingCall) finish(result callResult) {
	if c.from.frozen {
		c.from.deliver(c.boot, func() { c.finish(result) })
		return
	}
	if c.ended || !c.from.running || c.from.boot != c.boot {
		return
	}
	c.ended = true
	c.done(result)
}

func (c *pendingCall) arrive() {
	if !c.to.running {
		c.back(callResult{failed: true, refused: true})
		return
	}
	if c.to.frozen {
		c.to.deliver(c.to.boot, func() { c.handle(c.answer) })
		return
	}
	c.handle(c.answer)
}

func (c *pendingCall) answer(answer any) { c.back(callResult{answer: answer}) }

// back sends a result to the caller.
func (c *pendingCall) back(result callResult) {
	c.world.network.Send(network.Message{From: &c.to.place, To: &c.from.place, Arrive: func() { c.finish(result) }})
}
