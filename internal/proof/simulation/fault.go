package simulation

import (
	"fmt"
	"time"

	"github.com/martenstage/martenstage/internal/proof/simulation/network"
)

// FaultKind says what fails.
type FaultKind string

// Kinds of faults. Those of the network cut or disturb what the nodes named
// Node send to, or hear from, those named Peer.
const (
	FaultCut        FaultKind = "cut"         // Node hears and reaches nobody
	FaultCutOut     FaultKind = "cut_out"     // what Node sends is lost
	FaultCutIn      FaultKind = "cut_in"      // what is sent to Node is lost
	FaultCutPair    FaultKind = "cut_pair"    // Node and Peer lose each other
	FaultZoneSplit  FaultKind = "zone_split"  // zone Node loses all others
	FaultRegion     FaultKind = "region"      // the regions lose each other
	FaultLoss       FaultKind = "loss"        // a share of all messages is lost
	FaultDelay      FaultKind = "delay"       // messages of Node are late and overtake each other
	FaultDuplicate  FaultKind = "duplicate"   // messages arrive twice
	FaultCrash      FaultKind = "crash"       // Node dies and starts again afterwards
	FaultFreeze     FaultKind = "freeze"      // Node does not run, and goes on afterwards
	FaultStop       FaultKind = "stop"        // router Node is stopped as planned
	FaultDiskSlow   FaultKind = "disk_slow"   // syncs of voter Node take long
	FaultDiskFail   FaultKind = "disk_fail"   // the next sync of voter Node fails
	FaultReplace    FaultKind = "replace"     // voter Node is lost with its disk and replaced
	FaultSlow       FaultKind = "slow"        // back end Node is a straggler
	FaultDrain      FaultKind = "drain"       // back end Node leaves and comes back
	FaultDrainLie   FaultKind = "drain_lie"   // likewise, while its health endpoint denies it
	FaultHealthLate FaultKind = "health_late" // the health endpoint of Node repeats itself
	FaultLost       FaultKind = "lost"        // back end Node has lost its shards
	FaultConfused   FaultKind = "confused"    // back end Node echoes another query
	FaultRoll       FaultKind = "roll"        // a new index version rolls over all back ends
	FaultRace       FaultKind = "race"        // both operators submit against one revision
	FaultMark       FaultKind = "change"      // operator Node submits a change
)

// Fault is one entry of a schedule.
type Fault struct {
	Kind FaultKind
	// Node and Peer name processes, or zones; unused ones are empty.
	Node string
	Peer string
	At   time.Duration
	For  time.Duration
	// Amount is the strength: thousandths of messages, tenths of a service
	// time, milliseconds of delay, or the number of a configuration.
	Amount int
}

// String writes the fault for people.
func (f Fault) String() string {
	return fmt.Sprintf("%s node=%q peer=%q at=%v for=%v amount=%d", f.Kind, f.Node, f.Peer, f.At, f.For, f.Amount)
}

// schedule arranges a fault's beginning and end.
func (w *World) schedule(fault Fault) {
	w.disturbed = w.disturbed || w.backendNamed(fault.Node) == nil && fault.Kind != FaultRoll && fault.Kind != FaultMark
	w.queue.At(fault.At, func() {
		w.faults++
		w.faultKinds[fault.Kind]++
		w.trace.note("world", "fault_begins", "fault", fault.String())
		w.noteVoterTrouble(fault)
		end := w.inject(fault)
		w.queue.After(fault.For, func() {
			w.trace.note("world", "fault_ends", "fault", fault.String())
			w.noteVoterTrouble(fault)
			end()
		})
	})
}

func (w *World) noteVoterTrouble(fault Fault) {
	if w.voterNamed(fault.Node) != nil {
		w.voterTrouble = w.queue.Now()
	}
}

// inject begins a fault and returns what ends it.
func (w *World) inject(fault Fault) (end func()) {
	if rules := w.rulesOf(fault); len(rules) > 0 {
		for _, rule := range rules {
			w.network.Add(rule)
		}
		return func() {
			for _, rule := range rules {
				w.network.Remove(rule)
			}
		}
	}
	switch fault.Kind {
	case FaultCrash:
		return w.crash(fault.Node)
	case FaultFreeze:
		return w.freeze(fault.Node)
	case FaultRoll:
		return w.roll()
	case FaultRace:
		w.race(fault.Amount)
		return func() {}
	case FaultMark:
		w.operators[0].submit(w.layout.variant(fault.Amount))
		return func() {}
	}
	if r := w.routerNamed(fault.Node); r != nil && fault.Kind == FaultStop {
		r.stop()
		return w.startAgain(r)
	}
	if v := w.voterNamed(fault.Node); v != nil {
		return w.injectDisk(v, fault)
	}
	if b := w.backendNamed(fault.Node); b != nil {
		return b.inject(fault)
	}
	return func() {}
}

// startAgain starts a router once it has exited.
func (w *World) startAgain(r *router) func() {
	var start func()
	start = func() {
		if r.running {
			w.queue.After(100*time.Millisecond, start)
			return
		}
		r.start()
	}
	return start
}

// rulesOf returns the rules of the network that a fault means.
func (w *World) rulesOf(fault Fault) []*network.Rule {
	node := network.Selector{Name: fault.Node}
	switch fault.Kind {
	case FaultCut:
		return []*network.Rule{{From: node, Cut: true}, {To: node, Cut: true}}
	case FaultCutOut:
		return []*network.Rule{{From: node, Cut: true}}
	case FaultCutIn:
		return []*network.Rule{{To: node, Cut: true}}
	case FaultCutPair:
		peer := network.Selector{Name: fault.Peer}
		return []*network.Rule{{From: node, To: peer, Cut: true}, {From: peer, To: node, Cut: true}}
	case FaultZoneSplit:
		return split(network.Selector{Zone: fault.Node})
	case FaultRegion:
		return split(network.Selector{Region: w.layout.regions[w.layout.zones[0]]})
	case FaultLoss:
		return []*network.Rule{{From: node, Loss: fault.Amount}}
	case FaultDelay:
		return []*network.Rule{{From: node, Delay: time.Duration(max(fault.Amount, 1)) * time.Millisecond}}
	case FaultDuplicate:
		return []*network.Rule{{Duplicate: fault.Amount}}
	}
	return nil
}

// split cuts places off from all others, which keep each other.
func split(inside network.Selector) []*network.Rule {
	return []*network.Rule{
		{From: inside, To: inside, OutsideTo: true, Cut: true},
		{From: inside, OutsideFrom: true, To: inside, Cut: true},
	}
}

func (w *World) crash(name string) (end func()) {
	crash, start := func() {}, func() {}
	if v := w.voterNamed(name); v != nil {
		crash, start = v.crash, v.start
	}
	if r := w.relayNamed(name); r != nil {
		crash, start = r.crash, r.start
	}
	if r := w.routerNamed(name); r != nil {
		crash, start = r.crash, r.start
	}
	if b := w.backendNamed(name); b != nil {
		crash, start = b.crash, b.restart
	}
	crash()
	return start
}

func (w *World) freeze(name string) (end func()) {
	for _, p := range w.processes() {
		if p.name() == name {
			boot := p.boot
			p.freeze()
			return func() {
				if p.boot == boot {
					p.thaw()
				}
			}
		}
	}
	return func() {}
}

func (w *World) injectDisk(v *voter, fault Fault) (end func()) {
	switch fault.Kind {
	case FaultDiskSlow:
		slower := time.Duration(fault.Amount) * time.Millisecond
		v.disk.Slow += slower
		return func() { v.disk.Slow = max(v.disk.Slow-slower, 0) }
	case FaultDiskFail:
		v.disk.Failing = true
		return func() {
			// The disk is repaired and the voter started anew.
			v.disk.Failing = false
			v.crash()
			v.start()
		}
	case FaultReplace:
		w.replace(v)
	}
	return func() {}
}

// replace loses a voter with its disk and lets an operator put another in its
// place. Only one voter is replaced at a time: a second lost disk before the
// first is made up for may lose what was accepted, which no system can help.
func (w *World) replace(v *voter) {
	if w.replacing {
		return
	}
	w.replacing = true
	old := v.id
	v.crash()
	w.lastVoter++
	v.id = w.lastVoter
	v.disk = w.newDisk(nil)
	v.start()
	w.operators[len(w.operators)-1].replaceVoter(old, v.id, v.name(), func() {
		w.replacing = false
		w.replaced()
	})
}

// race lets both operators submit against the revision that both know.
func (w *World) race(number int) {
	expected := w.latestRevision()
	for index, o := range w.operators {
		if o.busy {
			continue
		}
		o.busy = true
		text := w.layout.variant(number + index)
		o.apply(text, expected, w.queue.Now()+operatorPatience)
	}
}

// roll lets every back end take a new index version in at a moment of its own,
// and drop the older ones later.
func (w *World) roll() (end func()) {
	w.version++
	version := w.version
	const spread, kept = int64(2 * time.Second), 3 * time.Second
	for _, b := range w.backends {
		w.queue.After(time.Duration(w.timing.Int64N(spread)), func() { b.roll(version) })
		w.queue.After(time.Duration(spread)+kept+time.Duration(w.timing.Int64N(spread)), func() { b.drop(version) })
	}
	return func() {}
}

// inject begins a fault of a back end.
func (b *backend) inject(fault Fault) (end func()) {
	switch fault.Kind {
	case FaultSlow:
		b.slowdown = max(fault.Amount, normalPace)
		return func() { b.slowdown = normalPace }
	case FaultDrain, FaultDrainLie:
		if b.departing {
			// Health that turns from leaving to ready tells of a return.
			return func() {}
		}
		return b.depart(fault.Kind == FaultDrainLie)
	case FaultHealthLate:
		health := b.health()
		b.frozenHealth = &health
		return func() { b.frozenHealth = nil }
	case FaultLost:
		b.lost = true
		return func() { b.lost = false }
	case FaultConfused:
		b.confused = true
		return func() { b.confused = false }
	}
	return func() {}
}

// depart begins a departure and returns what ends it.
func (b *backend) depart(lying bool) (end func()) {
	b.lying = lying
	b.leave()
	if lying {
		return b.endLie
	}
	return b.come
}

// endLie ends a departure that the health endpoint denied as such departures
// end: the process exits, and a new one starts after a while. One that only
// changed its mind would be distrusted for longer than a run lasts
// (balancer.DefaultDrainDistrust).
func (b *backend) endLie() {
	const away = 2 * time.Second // some probes
	b.crash()
	b.lying = false
	b.world.queue.After(away, b.restart)
}
