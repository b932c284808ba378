package directory_test

import (
	"sync"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/voter"
)

// stallingDisk is the log of one node, whose writes a test can hold up.
type stallingDisk struct {
	mutex sync.Mutex
	// stalled holds writes up until it is closed; nil for not at all.
	stalled chan struct{}
}

// stalledStore is a log on a stallingDisk.
type stalledStore struct {
	voter.Store
	disk *stallingDisk
}

func (d *stallingDisk) wrap(store voter.Store) voter.Store {
	return stalledStore{Store: store, disk: d}
}

// stall holds all writes up until the returned function is called.
func (d *stallingDisk) stall() (release func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	stalled := make(chan struct{})
	d.stalled = stalled
	return sync.OnceFunc(func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.stalled = nil
		close(stalled)
	})
}

// Write implements voter.Store.
func (s stalledStore) Write(units []*consensus.Persist) error {
	s.disk.mutex.Lock()
	stalled := s.disk.stalled
	s.disk.mutex.Unlock()
	if stalled != nil {
		<-stalled
	}
	return s.Store.Write(units)
}
