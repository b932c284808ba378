package backend

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// errNoConnection is returned while the router holds no share of a server's
// connections.
var errNoConnection = errors.New("no connection of the server is assigned to this router")

// dialFunc opens a connection.
type dialFunc func(ctx context.Context) (*clientConnection, error)

// pool holds the connections to one server. The number of open connections,
// including those being dialed and those in use, never exceeds the limit;
// further callers wait. The most recently used connection is reused first, so
// that a small set stays warm in caches.
type pool struct {
	dial dialFunc

	mutex   sync.Mutex
	limit   int
	open    int
	idle    []*clientConnection
	waiters []chan *clientConnection
	closed  bool
}

func newPool(limit int, dial dialFunc) *pool {
	return &pool{limit: limit, dial: dial}
}

// acquire returns a connection for exclusive use until release. If it returns
// an error, no connection was used.
func (p *pool) acquire(ctx context.Context) (*clientConnection, error) {
	for {
		connection, waiter, err := p.reserve()
		if connection != nil || err != nil {
			return connection, err
		}
		if waiter == nil {
			return p.dialReserved(ctx)
		}
		select {
		case connection = <-waiter:
			if connection != nil {
				return connection, nil
			}
		case <-ctx.Done():
			p.cancelWait(waiter)
			return nil, ctx.Err()
		}
	}
}

// reserve returns an idle connection, or reserves a slot to dial a new one (all
// results nil), or joins the queue of waiters and returns the waiter's channel.
func (p *pool) reserve() (*clientConnection, chan *clientConnection, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.limit == 0 {
		return nil, nil, errNoConnection
	}
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		connection := p.idle[last]
		p.idle = p.idle[:last]
		if connection.usable() {
			return connection, nil, nil
		}
		connection.close()
		p.open--
	}
	if p.open < p.limit {
		p.open++
		return nil, nil, nil
	}
	waiter := make(chan *clientConnection, 1)
	p.waiters = append(p.waiters, waiter)
	return nil, waiter, nil
}

// dialReserved dials a connection for a reserved slot and frees the slot on
// failure.
func (p *pool) dialReserved(ctx context.Context) (*clientConnection, error) {
	connection, err := p.dial(ctx)
	if err == nil {
		return connection, nil
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open--
	p.notifyWaiter(nil)
	return nil, err
}

// release returns a connection to the pool, or closes it if it is not reusable.
func (p *pool) release(connection *clientConnection, reusable bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if reusable && !p.closed && p.open <= p.limit {
		if !p.notifyWaiter(connection) {
			p.idle = append(p.idle, connection)
		}
		return
	}
	connection.close()
	p.open--
	if p.open < p.limit {
		p.notifyWaiter(nil)
	}
}

// notifyWaiter passes a connection to the waiter that has waited longest, or
// nil to make it try again. It reports whether there was a waiter.
func (p *pool) notifyWaiter(connection *clientConnection) bool {
	if len(p.waiters) == 0 {
		return false
	}
	waiter := p.waiters[0]
	p.waiters = p.waiters[1:]
	waiter <- connection
	return true
}

// cancelWait removes a waiter from the queue. If the waiter was notified in the
// meantime, the connection or notification goes to the next one.
func (p *pool) cancelWait(waiter chan *clientConnection) {
	p.mutex.Lock()
	for index, queued := range p.waiters {
		if queued == waiter {
			p.waiters = append(p.waiters[:index], p.waiters[index+1:]...)
			p.mutex.Unlock()
			return
		}
	}
	p.mutex.Unlock()
	// The waiter is no longer queued, so its channel already has a value.
	if connection := <-waiter; connection != nil {
		p.release(connection, true)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.notifyWaiter(nil)
}

// resize changes the limit. Excess idle connections are closed immediately,
// excess connections in use when they are released.
func (p *pool) resize(limit int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	grown := limit - p.limit
	p.limit = limit
	for p.open > p.limit && len(p.idle) > 0 {
		p.idle[0].close()
		p.idle = p.idle[1:]
		p.open--
	}
	for ; grown > 0 && p.notifyWaiter(nil); grown-- {
		continue
	}
	if limit == 0 {
		// No connection will become available; notified waiters see the limit
		// and fail.
		for p.notifyWaiter(nil) {
			continue
		}
	}
}

// warm discards dead idle connections and opens new ones until the wanted
// number is open, within the limit. It returns the number opened.
func (p *pool) warm(ctx context.Context, wanted int) int {
	opened := 0
	for p.reserveUpTo(wanted) {
		connection, err := p.dialReserved(ctx)
		if err != nil {
			return opened
		}
		p.release(connection, true)
		opened++
	}
	return opened
}

// reserveUpTo reserves a slot to dial a connection if fewer than the wanted
// number are open.
func (p *pool) reserveUpTo(wanted int) bool {
	p.pruneIdle()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.open >= min(wanted, p.limit) {
		return false
	}
	p.open++
	return true
}

// pruneIdle discards idle connections that the server has closed.
func (p *pool) pruneIdle() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.idle[:0]
	for _, connection := range p.idle {
		if connection.usable() {
			kept = append(kept, connection)
			continue
		}
		connection.close()
		p.open--
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// close closes idle connections immediately, and those in use when they are
// released.
func (p *pool) close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.resize(0)
}

// size returns how many connections are open and how many of them are idle.
func (p *pool) size() (open, idle int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open, len(p.idle)
}
