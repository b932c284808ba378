// Package disk is a voter's disk in a simulation. What is written lasts only
// once it is synced: a crash loses all that waits, and of the group of writes
// under way the disk holds afterwards nothing, the snapshot alone, or all. The
// log writes a group in one transaction, so that a torn one is not seen; a
// snapshot is a file of its own that is synced before.
package disk

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/proof/virtualtime"
)

// ErrFailed is what a failing disk answers. Nobody knows then what it holds.
var ErrFailed = errors.New("input/output error")

// fastest and slowest bound the time of a sync on a healthy disk.
const (
	fastest = 500 * time.Microsecond
	slowest = 3 * time.Millisecond
)

type write struct {
	unit *consensus.Persist
	done func(error)
}

// Disk holds the log and the snapshot of one voter.
type Disk struct {
	queue   *virtualtime.Queue
	random  *rand.Rand
	durable consensus.Restored
	waiting []write
	under   []write
	// mount changes at every crash, so that a sync of before ends unheard.
	mount uint64
	// dead is set from a failed sync until the next start: the log's writer ends
	// with the first failure, so that nothing of later groups is kept.
	dead bool
	// Slow is added to every sync, Failing makes the next sync fail.
	Slow    time.Duration
	Failing bool
}

// New returns a disk that holds a restored state.
func New(queue *virtualtime.Queue, random *rand.Rand, initial consensus.Restored) *Disk {
	initial.Entries = slices.Clone(initial.Entries)
	return &Disk{queue: queue, random: random, durable: initial}
}

// Write makes a unit durable, together with others that wait, and calls done in
// the order of the writes. A nil unit only waits for those before it.
func (d *Disk) Write(unit *consensus.Persist, done func(error)) {
	if unit == nil && len(d.waiting) == 0 && len(d.under) == 0 {
		done(nil)
		return
	}
	d.waiting = append(d.waiting, write{unit: unit, done: done})
	d.begin()
}

func (d *Disk) begin() {
	if len(d.under) > 0 || len(d.waiting) == 0 {
		return
	}
	d.under, d.waiting = d.waiting, nil
	mount := d.mount
	took := fastest + time.Duration(d.random.Int64N(int64(slowest-fastest))) + d.Slow
	d.queue.After(took, func() {
		if mount == d.mount {
			d.finish()
		}
	})
}

func (d *Disk) finish() {
	group := d.under
	d.under = nil
	var failure error
	switch {
	case d.dead:
		failure = ErrFailed
	case d.Failing:
		failure, d.dead = ErrFailed, true
		d.keep(group, d.random.IntN(2) == 0)
	default:
		d.keep(group, true)
	}
	mount := d.mount
	for _, finished := range group {
		if mount != d.mount {
			return // the process crashed in a call
		}
		finished.done(failure)
	}
	d.begin()
}

func (d *Disk) keep(group []write, all bool) {
	for _, kept := range group {
		if all && kept.unit != nil {
			d.apply(kept.unit)
		}
	}
}

// Crash loses what is not synced.
func (d *Disk) Crash() {
	const outcomes = 3
	outcome := d.random.IntN(outcomes)
	switch {
	case d.dead:
	case outcome == 0:
		d.keep(d.under, true)
	case outcome == 1:
		d.keepSnapshot()
	}
	d.mount++
	d.dead = false
	d.under, d.waiting = nil, nil
}

// keepSnapshot is the tear within a group: the snapshot file is there, the
// transaction is not.
func (d *Disk) keepSnapshot() {
	for _, torn := range d.under {
		if torn.unit != nil && torn.unit.Snapshot != nil {
			d.durable.Snapshot = torn.unit.Snapshot
			return
		}
	}
}

func (d *Disk) apply(unit *consensus.Persist) {
	if unit.Snapshot != nil {
		d.durable.Snapshot = unit.Snapshot
	}
	if unit.ReplaceLog {
		d.durable.Entries = nil
	}
	if unit.HardState != nil {
		d.durable.HardState = *unit.HardState
	}
	entries := d.durable.Entries
	if len(unit.Entries) > 0 {
		first := unit.Entries[0].Index
		keep := len(entries)
		for keep > 0 && entries[keep-1].Index >= first {
			keep--
		}
		entries = append(entries[:keep], unit.Entries...)
	}
	drop := 0
	for drop < len(entries) && entries[drop].Index <= unit.CompactTo {
		drop++
	}
	d.durable.Entries = entries[drop:]
}

// Restored returns what a starting voter finds.
func (d *Disk) Restored() consensus.Restored {
	restored := d.durable
	restored.Entries = slices.Clone(restored.Entries)
	return restored
}
