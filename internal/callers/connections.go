package callers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/martenstage/martenstage/internal/wait"
)

// newConnectionGrace is how long a new connection that has sent nothing yet counts as busy.
const newConnectionGrace = time.Second

// connectionTracker records which of the callers' connections may carry a
// request. http.Server.Shutdown drops, without a reply, a request whose header
// it reads after Shutdown began, so it must not begin while there are any.
type connectionTracker struct {
	mutex  sync.Mutex
	states map[net.Conn]connectionState
}

type connectionState struct {
	state http.ConnState
	since time.Time
}

func newConnectionTracker() *connectionTracker {
	return &connectionTracker{states: make(map[net.Conn]connectionState)}
}

// observe is the ConnState hook of an http.Server.
func (c *connectionTracker) observe(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, connection)
		return
	}
	c.states[connection] = connectionState{state: state, since: time.Now()}
}

// anyBusy reports whether a connection carries a request, or is so new that its
// first request may still be in transit.
func (c *connectionTracker) anyBusy(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, tracked := range c.states {
		if tracked.state == http.StateActive || (tracked.state == http.StateNew && now.Sub(tracked.since) < newConnectionGrace) {
			return true
		}
	}
	return false
}

// awaitIdle waits until no connection is busy or the context is done.
func (c *connectionTracker) awaitIdle(ctx context.Context) {
	const step = 5 * time.Millisecond
	for c.anyBusy(time.Now()) && ctx.Err() == nil {
		wait.For(ctx, step)
	}
}
