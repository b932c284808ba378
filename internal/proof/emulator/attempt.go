package emulator

import (
	"sync"
	"time"
)

// cancelMemory is how many cancellations of unknown attempts a server
// remembers, so that one which overtakes its query still stops it.
const cancelMemory = 1024

// attempt is one query while the server has it.
type attempt struct {
	id string
	// gone is closed when the client closed the connection, canceled when it
	// asked for the end by the cancel call.
	gone     <-chan struct{}
	canceled chan struct{}
	deadline *time.Timer
}

// expired returns the channel that receives at the query's deadline; nil when
// it has none.
func (a *attempt) expired() <-chan time.Time {
	if a.deadline == nil {
		return nil
	}
	return a.deadline.C
}

// isCanceled reports whether the client gave the query up.
func (a *attempt) isCanceled() bool {
	select {
	case <-a.gone:
		return true
	case <-a.canceled:
		return true
	default:
		return false
	}
}

// attempts are the queries that a server has, by attempt id, and the
// cancellations that came before their query.
type attempts struct {
	mutex   sync.Mutex
	present map[string]*attempt
	early   map[string]bool
	// order holds the keys of early, oldest first, to bound it.
	order []string
}

// begin registers an attempt. An attempt that was cancelled before it came is
// cancelled at once.
func (a *attempts) begin(begun *attempt) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.present == nil {
		a.present, a.early = map[string]*attempt{}, map[string]bool{}
	}
	if a.early[begun.id] {
		close(begun.canceled)
		return
	}
	a.present[begun.id] = begun
}

// end forgets an attempt.
func (a *attempts) end(ended *attempt) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.present[ended.id] == ended {
		delete(a.present, ended.id)
	}
}

// cancel ends the attempt with the id, also one that is still to come. It
// reports whether the attempt was there.
func (a *attempts) cancel(id string) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if found, present := a.present[id]; present {
		delete(a.present, id)
		close(found.canceled)
		return true
	}
	if a.early == nil {
		a.present, a.early = map[string]*attempt{}, map[string]bool{}
	}
	if !a.early[id] {
		a.early[id] = true
		a.order = append(a.order, id)
	}
	if len(a.order) > cancelMemory {
		delete(a.early, a.order[0])
		a.order = a.order[1:]
	}
	return false
}
