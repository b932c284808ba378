package gateway

import (
	"sync"
	"time"

	"github.com/martenstage/martenstage/internal/latency"
)

// Bounds of how long a connection to a router may take to come up. Routers of the same
// zone take a few ms, those of a far region a round trip of some 40 ms; one without power
// says nothing, and each ms until another one is asked is lost for the request. Below 40 ms
// a router that is busy itself, at 0.19 cores and twenty slices a request, takes others for
// silent (docs/results/0014).
const (
	leastPatience   = 40 * time.Millisecond
	longestPatience = 90 * time.Millisecond
	// patienceFactor is how many times the usual time a connection may take.
	patienceFactor = 4
)

// patience is how long connections to routers are waited for, by how long they took of
// late. The zero value waits for the longest time. It is safe for concurrent use.
type patience struct {
	mutex sync.Mutex
	usual latency.Average
}

// observe takes in how long a connection took, or was waited for in vain: where most take
// long, the patience grows.
func (p *patience) observe(now time.Time, took time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.usual.Observe(now, min(took, longestPatience))
}

// current is how long to wait for the next one.
func (p *patience) current() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.usual.Observed().IsZero() {
		return longestPatience
	}
	return min(longestPatience, max(leastPatience, patienceFactor*p.usual.Value()))
}
