// Package faultydisk stands between a voter and its log on disk, and stalls, slows or fills the
// disk.
package faultydisk

import (
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/voter"
)

// Disk is the disk of one voter, over all its starts. The zero value is a sound one. It is safe
// for concurrent use.
type Disk struct {
	mutex sync.Mutex
	// stalled holds writes up until it is closed; nil for not at all.
	stalled chan struct{}
	// delay is what each write takes longer.
	delay time.Duration
	full  bool
}

// Wrap puts the disk around a voter's log.
func (d *Disk) Wrap(log voter.Store) voter.Store { return store{Store: log, disk: d} }

// Stall holds all writes up until release is called.
func (d *Disk) Stall() (release func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	stalled := make(chan struct{})
	d.stalled = stalled
	return sync.OnceFunc(func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		if d.stalled == stalled {
			d.stalled = nil
		}
		close(stalled)
	})
}

// Slow makes each write take longer by a time; 0 for no more.
func (d *Disk) Slow(delay time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.delay = delay
}

// Fill makes writes fail for want of room, or no more.
func (d *Disk) Fill(full bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.full = full
}

// state returns what the disk does to the next write.
func (d *Disk) state() (stalled <-chan struct{}, delay time.Duration, full bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.stalled, d.delay, d.full
}

// store is a voter's log on a Disk.
type store struct {
	voter.Store
	disk *Disk
}

// Write implements voter.Store.
func (s store) Write(units []*consensus.Persist) error {
	stalled, delay, full := s.disk.state()
	if stalled != nil {
		<-stalled
	}
	time.Sleep(delay)
	if full {
		return errors.Wrap(syscall.ENOSPC, "write")
	}
	return s.Store.Write(units)
}
