package router

import (
	"context"

	"github.com/martenstage/martenstage/internal/backend"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/ring"
)

const (
	// cancelCapacity bounds the queued cancellations; the oldest is dropped, since a
	// back end also notices the closed connection and the deadline.
	cancelCapacity = 4096
	// cancelWorkers is the number of concurrent cancellations.
	cancelWorkers = 8
	// warmCapacity bounds the queued requests to open connections; the oldest is
	// dropped, since the prober maintains the pools anyway.
	warmCapacity = 1024
	// warmWorkers is the number of servers to which connections are opened
	// concurrently.
	warmWorkers = 8
)

// canceler sends cancellations to back ends, best effort.
type canceler struct {
	waiting *ring.Ring[cancellation]
	router  *Router
}

func newCanceler(router *Router) *canceler {
	return &canceler{waiting: ring.New[cancellation](cancelCapacity), router: router}
}

func (c *canceler) enqueue(canceled cancellation) {
	c.router.metrics.cancelsDropped.Add(float64(c.waiting.PushDropOldest(canceled)))
}

func (c *canceler) run(ctx context.Context) {
	for {
		select {
		case canceled := <-c.waiting.Items():
			c.send(ctx, canceled)
		case <-ctx.Done():
			return
		}
	}
}

func (c *canceler) send(ctx context.Context, canceled cancellation) {
	bounded, cancel := context.WithTimeout(ctx, c.router.config.CancelTimeout)
	defer cancel()
	if err := canceled.sender.Cancel(bounded, canceled.address, canceled.request, canceled.attempt); err != nil {
		c.router.logger.WithError(err).WithField("address", canceled.address).Debug("cancellation not delivered")
	}
}

// warmer opens connections before they are needed.
type warmer struct {
	waiting  *ring.Ring[query.Warm]
	backends *backend.Client
}

func newWarmer(backends *backend.Client) *warmer {
	return &warmer{waiting: ring.New[query.Warm](warmCapacity), backends: backends}
}

func (w *warmer) enqueue(command query.Warm) { w.waiting.PushDropOldest(command) }

func (w *warmer) run(ctx context.Context) {
	for {
		select {
		case command := <-w.waiting.Items():
			w.backends.Warm(ctx, command.Address, command.Connections)
		case <-ctx.Done():
			return
		}
	}
}
