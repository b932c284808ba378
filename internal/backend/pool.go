package backend

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// errNoConnection is returned while the router holds no share of a server's
// connections.
var errNoConnection = errors.New("no connection of the server is assigned to this router")

// dialFunc opens one connection.
type dialFunc func(ctx context.Context) (*link, error)

// pool holds the connections to one server. It never has more open than its
// limit, counting those being opened and those in use; a caller beyond it
// waits. The connection used last is reused first, so that a small set stays
// warm in caches.
type pool struct {
	dial dialFunc

	mutex   sync.Mutex
	limit   int
	open    int
	idle    []*link
	waiters []chan *link
	closed  bool
}

func newPool(limit int, dial dialFunc) *pool {
	return &pool{limit: limit, dial: dial}
}

// acquire returns a connection for exclusive use until release. An error
// means that no connection was used.
func (p *pool) acquire(ctx context.Context) (*link, error) {
	for {
		connected, waiter, err := p.reserve()
		if connected != nil || err != nil {
			return connected, err
		}
		if waiter == nil {
			return p.openOne(ctx)
		}
		select {
		case connected = <-waiter:
			if connected != nil {
				return connected, nil
			}
		case <-ctx.Done():
			p.abandon(waiter)
			return nil, ctx.Err()
		}
	}
}

// reserve takes an idle connection, or the right to open one (both results
// nil), or a place in the queue.
func (p *pool) reserve() (*link, chan *link, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.limit == 0 {
		return nil, nil, errNoConnection
	}
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		connected := p.idle[last]
		p.idle = p.idle[:last]
		if connected.usable() {
			return connected, nil, nil
		}
		connected.close()
		p.open--
	}
	if p.open < p.limit {
		p.open++
		return nil, nil, nil
	}
	waiter := make(chan *link, 1)
	p.waiters = append(p.waiters, waiter)
	return nil, waiter, nil
}

// openOne dials under a reservation and gives the reservation back on failure.
func (p *pool) openOne(ctx context.Context) (*link, error) {
	connected, err := p.dial(ctx)
	if err == nil {
		return connected, nil
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open--
	p.wakeOne(nil)
	return nil, err
}

// release returns a connection; one that is not reusable is closed.
func (p *pool) release(connected *link, reusable bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if reusable && !p.closed && p.open <= p.limit {
		if !p.wakeOne(connected) {
			p.idle = append(p.idle, connected)
		}
		return
	}
	connected.close()
	p.open--
	if p.open < p.limit {
		p.wakeOne(nil)
	}
}

// wakeOne hands a connection, or the news that one may be opened, to the
// longest waiter.
func (p *pool) wakeOne(connected *link) bool {
	if len(p.waiters) == 0 {
		return false
	}
	waiter := p.waiters[0]
	p.waiters = p.waiters[1:]
	waiter <- connected
	return true
}

// abandon leaves the queue, passing on what was handed over meanwhile.
func (p *pool) abandon(waiter chan *link) {
	p.mutex.Lock()
	for index, queued := range p.waiters {
		if queued == waiter {
			p.waiters = append(p.waiters[:index], p.waiters[index+1:]...)
			p.mutex.Unlock()
			return
		}
	}
	p.mutex.Unlock()
	// Not queued any more, so the hand-over is already in the channel.
	if connected := <-waiter; connected != nil {
		p.release(connected, true)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.wakeOne(nil)
}

// resize changes the limit. Idle connections above it are closed at once,
// those in use when they are released.
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
	for ; grown > 0 && p.wakeOne(nil); grown-- {
		continue
	}
	if limit == 0 {
		// Waiters would wait in vain; waking them lets them see the limit.
		for p.wakeOne(nil) {
			continue
		}
	}
}

// warm drops dead idle connections and opens new ones until the wanted number
// is open, within the limit. It returns the number opened.
func (p *pool) warm(ctx context.Context, wanted int) int {
	opened := 0
	for p.reserveWarm(wanted) {
		connected, err := p.openOne(ctx)
		if err != nil {
			return opened
		}
		p.release(connected, true)
		opened++
	}
	return opened
}

// reserveWarm takes the right to open a connection if fewer than wanted are.
func (p *pool) reserveWarm(wanted int) bool {
	p.sweep()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || p.open >= min(wanted, p.limit) {
		return false
	}
	p.open++
	return true
}

// sweep drops idle connections that the server has closed.
func (p *pool) sweep() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.idle[:0]
	for _, connected := range p.idle {
		if connected.usable() {
			kept = append(kept, connected)
			continue
		}
		connected.close()
		p.open--
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// close ends every idle connection, and those in use when they are released.
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
