package follower

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxRedirects bounds consecutive redirects. During an election, voters
// redirect to leaders that have already lost the leadership.
const maxRedirects = 2

// upstreams selects the server to follow: the first in the node's order that
// grants leases, or the server that this one redirects to.
type upstreams struct {
	ordered []string
	index   int
	// redirectTarget overrides the selection until it fails.
	redirectTarget string
	redirects      int
	failures       int
	random         func() float64
	// nonPreferredSince is when an upstream other than the first granted a lease,
	// plus a random delay.
	nonPreferredSince time.Time
}

func newUpstreams(node string, addresses []string, random func() float64) *upstreams {
	return &upstreams{ordered: rendezvousOrder(node, addresses), random: random}
}

// rendezvousOrder sorts addresses by a hash of node and address, highest first
// (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
// 1998): each node has its own order, and the loss of an address moves only the
// nodes that preferred it.
func rendezvousOrder(node string, addresses []string) []string {
	ordered := slices.Clone(addresses)
	slices.SortFunc(ordered, func(left, right string) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(node+"\x00"+right), xxhash.Sum64String(node+"\x00"+left)),
			cmp.Compare(left, right),
		)
	})
	return slices.Compact(ordered)
}

func (u *upstreams) current() string {
	if u.redirectTarget != "" {
		return u.redirectTarget
	}
	return u.ordered[u.index]
}

// redirect selects the server named in a redirect. A server that redirects to
// itself, or more than maxRedirects redirects in a row, count as a failure. It
// returns how long to wait before the next call.
func (u *upstreams) redirect(address string) time.Duration {
	u.redirects++
	if u.redirects > maxRedirects || address == u.current() {
		return u.markFailed()
	}
	u.redirectTarget = address
	return 0
}

// markSucceeded records a granted lease. After preferredRetryInterval with
// another upstream it returns to the preferred one, so that followers are
// evenly spread again after a relay has recovered.
func (u *upstreams) markSucceeded(now time.Time) {
	u.failures = 0
	u.redirects = 0
	if u.index == 0 {
		u.nonPreferredSince = time.Time{}
		return
	}
	if u.nonPreferredSince.IsZero() {
		u.nonPreferredSince = now.Add(time.Duration(u.random() * float64(preferredRetryInterval)))
		return
	}
	if now.Sub(u.nonPreferredSince) >= preferredRetryInterval {
		u.nonPreferredSince = time.Time{}
		u.index = 0
		u.redirectTarget = ""
	}
}

// markFailed selects the next upstream and returns how long to wait before
// calling it. The first round over all upstreams has no pauses, since the lease
// may be about to expire.
func (u *upstreams) markFailed() time.Duration {
	u.redirectTarget = ""
	u.redirects = 0
	u.index = (u.index + 1) % len(u.ordered)
	u.failures++
	rounds := u.failures / len(u.ordered)
	if rounds == 0 {
		return 0
	}
	const largestShift = 10
	ceiling := min(minBackoff<<min(rounds-1, largestShift), maxBackoff)
	// Equal jitter: between half of the ceiling and the ceiling (Brooker,
	// "Exponential Backoff And Jitter", 2015).
	return ceiling/2 + time.Duration(u.random()*float64(ceiling/2))
}
