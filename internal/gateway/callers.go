package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
)

const (
	// callerTime is for how long after a call this router counts among the callers of a
	// service: longer than the pauses between the calls of a router that has few clients.
	callerTime = 30 * time.Second
	// maxServicesTold bounds the services that this router tells the directory of.
	maxServicesTold = 64
)

// calledServices are the services that this router called lately for requests that
// don't gather. The zero value is ready for use. It is safe for concurrent use.
type calledServices struct {
	mutex sync.Mutex
	last  map[string]time.Time
}

// add takes in a call.
func (c *calledServices) add(now time.Time, service string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.last == nil {
		c.last = make(map[string]time.Time)
	}
	c.last[service] = now
}

// lately returns the services in order, and forgets those that were not called for long.
func (c *calledServices) lately(now time.Time) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	maps.DeleteFunc(c.last, func(_ string, called time.Time) bool { return now.Sub(called) > callerTime })
	return lo.Slice(slices.Sorted(maps.Keys(c.last)), 0, maxServicesTold)
}
