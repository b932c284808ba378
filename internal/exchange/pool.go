package exchange

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/martenstage/martenstage/internal/liveness"
	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Pool keeps idle connections to instances. It is safe for concurrent use.
type Pool struct {
	codec  Codec
	dial   func(ctx context.Context, address string) (net.Conn, error)
	opened prometheus.Counter
	failed prometheus.Counter
	// replaced counts kept connections that were closed because they had carried the request.
	replaced prometheus.Counter
	ended    *prometheus.CounterVec

	replies replyMemory

	mutex sync.Mutex
	idle  map[string][]*connection
}

// dialTimeout bounds the time to open a connection: servers are in the same region, and if one
// takes longer, another server is the better choice.
const dialTimeout = 250 * time.Millisecond

// maxUnacknowledged is how long bytes sent to a server may stay unacknowledged by its host
// before the connection ends: the host has failed or is unreachable. The host of a server that
// is paused or busy still acknowledges.
const maxUnacknowledged = 2 * time.Second

// NewPool returns an empty pool.
func NewPool(codec Codec, registerer prometheus.Registerer) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: liveness.LimitUnacknowledged(maxUnacknowledged)}
	factory := promauto.With(registerer)
	return &Pool{
		codec: codec, idle: make(map[string][]*connection),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address)
		},
		opened: factory.NewCounter(prometheus.CounterOpts{
			Name: "martenstage_exchange_connections_opened_total", Help: "Connections opened to servers.",
		}),
		failed: factory.NewCounter(prometheus.CounterOpts{
			Name: "martenstage_exchange_connections_failed_total", Help: "Connections to servers that did not come up.",
		}),
		replaced: factory.NewCounter(prometheus.CounterOpts{
			Name: "martenstage_exchange_connections_replaced_total", Help: "Kept connections that were closed for another one, because each had carried the request to be sent.",
		}),
		ended: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_exchange_attempts_total", Help: "Ended attempts by how they ended.",
		}, []string{"outcome"}),
	}
}

// LimitReplies bounds the memory of replies that are being received, in bytes. It must be called before
// the first attempt; without it there is no bound but that of each reply.
func (p *Pool) LimitReplies(limit int64) { p.replies.limit = limit }

// Encode prepares a request for its attempts.
func (p *Pool) Encode(request *message.Request) *Encoded { return Encode(p.codec, request) }

// take returns a kept connection to an instance that has not carried a request, given by the
// hash of its id: the most recently used one, or nil. If there are only others, it closes one of
// them, whose place the connection that the caller opens takes.
func (p *Pool) take(instance string, idHash uint64) *connection {
	now := steadyclock.Now()
	for {
		kept, carried := p.pop(instance, idHash)
		if kept == nil || !carried && kept.usable(now) {
			return kept
		}
		_ = kept.Close()
		if carried {
			p.replaced.Inc()
			return nil
		}
	}
}

// pop removes and returns the most recently used connection that has not carried a request, or
// else the least recently used one of the others; nil if there is none.
func (p *Pool) pop(instance string, idHash uint64) (kept *connection, carried bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[instance]
	if len(idle) == 0 {
		return nil, false
	}
	index := len(idle) - 1
	for index >= 0 && idle[index].carried.contains(idHash) {
		index--
	}
	if carried = index < 0; carried {
		index = 0
	}
	kept = idle[index]
	p.idle[instance] = slices.Delete(idle, index, index+1)
	return kept, carried
}

// put keeps a connection for the next attempt.
func (p *Pool) put(instance string, kept *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle[instance] = append(p.idle[instance], kept)
}

// Forget closes the kept connections to an instance.
func (p *Pool) Forget(instance string) {
	p.mutex.Lock()
	kept := p.idle[instance]
	delete(p.idle, instance)
	p.mutex.Unlock()
	for _, connection := range kept {
		_ = connection.Close()
	}
}

// Prune closes kept connections whose idle time is over.
func (p *Pool) Prune() {
	now := steadyclock.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for instance, kept := range p.idle {
		usable := kept[:0]
		for _, connection := range kept {
			if connection.withinIdleTime(now) {
				usable = append(usable, connection)
				continue
			}
			_ = connection.Close()
		}
		p.idle[instance] = usable
	}
}

// Close closes all kept connections.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for instance, kept := range p.idle {
		for _, connection := range kept {
			_ = connection.Close()
		}
		delete(p.idle, instance)
	}
}

// HasStopped reports whether nothing listens at the address of a server any more: the process
// that an attempt was sent to has stopped, and no other has replaced it yet. A server that is
// unreachable or does not respond does not count as stopped. A successful connection proves
// that something listens and is kept for the next attempt, unless the server has just refused
// one.
func (p *Pool) HasStopped(server scatter.Server, refused bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	dialed, err := p.dial(ctx, server.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.opened.Inc()
	if refused {
		_ = dialed.Close()
		return false
	}
	opened := newConnection(dialed)
	opened.updateIdleTime(steadyclock.Now(), nil)
	p.put(server.ID, opened)
	return false
}
