package gateway

import (
	"sync"
	"time"

	"github.com/martenstage/martenstage/internal/latency"
)

// Bounds of the timeout for connecting to a router. Within a zone a connection takes a few ms,
// to a far region one round trip of about 40 ms. A machine without power does not respond, and
// the request loses the whole timeout before another router is tried. Below 40 ms a busy
// router, with 0.19 cores and 20 slices per request, takes responsive routers for failed
// (docs/results/0014).
const (
	minConnectTimeout = 40 * time.Millisecond
	maxConnectTimeout = 90 * time.Millisecond
	// connectTimeoutFactor is the timeout as a multiple of the average connection time.
	connectTimeoutFactor = 4
)

// connectTimeout adapts the timeout for connecting to routers to recent connection times. The
// zero value starts at the longest timeout. It is safe for concurrent use.
type connectTimeout struct {
	mutex   sync.Mutex
	average latency.Average
}

// observe records the time that a connection took or after which it timed out, so that the
// timeout grows where most connections are slow.
func (c *connectTimeout) observe(now time.Time, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.average.Observe(now, min(took, maxConnectTimeout))
}

// current returns the timeout of the next connection.
func (c *connectTimeout) current() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.average.Observed().IsZero() {
		return maxConnectTimeout
	}
	return min(maxConnectTimeout, max(minConnectTimeout, connectTimeoutFactor*c.average.Value()))
}
