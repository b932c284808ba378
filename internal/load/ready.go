package load

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
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
		for !isReady(bounded, router) {
			if !sleepUntil(bounded, time.Now().Add(readyPoll)) {
				return errors.Newf("router %s is not ready after %v", router, longest)
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, router netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+router.String()+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
