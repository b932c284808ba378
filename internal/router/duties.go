package router

import (
	"context"

	"github.com/martenstage/martenstage/internal/backend"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/ring"
)

const (
	// cancelRing bounds the cancellations that wait; the oldest is dropped,
	// since a back end notices the closed connection and the deadline, too.
	cancelRing = 4096
	// cancelWorkers is how many cancellations are sent at once.
	cancelWorkers = 8
	// warmRing bounds the requests to open connections; the oldest is
	// dropped, since the prober maintains the pools anyway.
	warmRing = 1024
	// warmWorkers is how many servers are connected to at once.
	warmWorkers = 8
)

// canceler sends cancellations to back ends, best effort.
type canceler struct {
	waiting *ring.Ring[cancellation]
	router  *Router
}

func newCanceler(router *Router) *canceler {
	return &canceler{waiting: ring.New[cancellation](cancelRing), router: router}
}

func (c *canceler) want(canceled cancellation) {
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

// warmer opens connections ahead of use.
type warmer struct {
	waiting  *ring.Ring[query.Warm]
	backends *backend.Client
}

func newWarmer(backends *backend.Client) *warmer {
	return &warmer{waiting: ring.New[query.Warm](warmRing), backends: backends}
}

func (w *warmer) want(command query.Warm) { w.waiting.PushDropOldest(command) }

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
