package callers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/martenstage/martenstage/internal/wait"
)

// newGrace is how long a connection on which nothing has come yet is waited for.
const newGrace = time.Second

// connections knows which of the callers' connections may carry a request.
// http.Server.Shutdown drops, without a reply, a request whose head it reads
// after its begin, so it must not begin while there are such connections.
type connections struct {
	mutex  sync.Mutex
	states map[net.Conn]connectionState
}

type connectionState struct {
	state http.ConnState
	since time.Time
}

func newConnections() *connections {
	return &connections{states: make(map[net.Conn]connectionState)}
}

// observe is the ConnState hook of an http.Server.
func (c *connections) observe(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, connection)
		return
	}
	c.states[connection] = connectionState{state: state, since: time.Now()}
}

// busy reports whether a connection carries a request, or was made so lately
// that one may be on its way.
func (c *connections) busy(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, one := range c.states {
		if one.state == http.StateActive || (one.state == http.StateNew && now.Sub(one.since) < newGrace) {
			return true
		}
	}
	return false
}

// awaitIdle returns once no connection is busy, or the context ends.
func (c *connections) awaitIdle(ctx context.Context) {
	const step = 5 * time.Millisecond
	for c.busy(time.Now()) && ctx.Err() == nil {
		wait.For(ctx, step)
	}
}
