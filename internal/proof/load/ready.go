package load

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/records"
	"github.com/martenstage/martenstage/internal/verdict"
	"github.com/martenstage/martenstage/internal/wait"
)

// readyPoll is the pause between two questions to a router that is not ready.
const readyPoll = 50 * time.Millisecond

// AwaitReady asks every router until it says that it is ready, or fails with
// the first that is not after the longest wait. No wait asks nobody.
func AwaitReady(ctx context.Context, routers []netip.AddrPort, longest time.Duration) error {
	if longest <= 0 {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	for _, router := range routers {
		for !isReady(bounded, http.DefaultClient, router) {
			if !wait.For(bounded, readyPoll) {
				return errors.Newf("router %s is not ready after %v", router, longest)
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, client *http.Client, router netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+router.String()+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// readiness is what callers know of the routers. As docs/CALLERS.md asks of
// callers, they send nothing new to a router that is not ready.
type readiness struct {
	routers  []netip.AddrPort
	notReady []atomic.Bool
}

func newReadiness(routers []netip.AddrPort) *readiness {
	return &readiness{routers: routers, notReady: make([]atomic.Bool, len(routers))}
}

// choose returns the first ready router from an index on, or the one at the
// index if none is.
func (r *readiness) choose(first int) int {
	for offset := range r.routers {
		if index := (first + offset) % len(r.routers); !r.notReady[index].Load() {
			return index
		}
	}
	return first % len(r.routers)
}

// learn takes note of an answer of a router that stops or can't serve.
func (r *readiness) learn(index int, answer *records.CallerAnswer) {
	switch verdict.Reason(answer.Reason) {
	case verdict.ReasonStopping, verdict.ReasonNoLease:
		r.notReady[index].Store(true)
	}
}

// probe asks one router again and again until the context ends.
func (r *readiness) probe(ctx context.Context, client *http.Client, index int, interval time.Duration) {
	for wait.For(ctx, interval) {
		bounded, cancel := context.WithTimeout(ctx, max(interval, time.Second))
		r.notReady[index].Store(!isReady(bounded, client, r.routers[index]))
		cancel()
	}
}
