package follower

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxRedirects is how many servers in a row may name another one. During an
// election, voters name leaders that are no more.
const maxRedirects = 2

// upstreams picks whom to follow: the first of the node's own order that
// grants leases, or whom that one redirects to.
type upstreams struct {
	ordered []string
	index   int
	// redirected overrides the choice until it fails.
	redirected string
	redirects  int
	failures   int
	random     func() float64
	// awaySince is when a less preferred upstream first granted a lease.
	awaySince time.Time
}

func newUpstreams(node string, addresses []string, random func() float64) *upstreams {
	return &upstreams{ordered: rendezvousOrder(node, addresses), random: random}
}

// rendezvousOrder sorts addresses by a hash of node and address, highest first
// (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
// 1998): each node has its own order, and losing an address moves only the
// nodes that had it first.
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
	if u.redirected != "" {
		return u.redirected
	}
	return u.ordered[u.index]
}

// redirect follows a server's word on whom to ask. Servers that redirect to
// themselves, or on and on, count as failed. It returns how long to wait.
func (u *upstreams) redirect(address string) time.Duration {
	u.redirects++
	if u.redirects > maxRedirects || address == u.current() {
		return u.failed()
	}
	u.redirected = address
	return 0
}

// succeeded notes a lease and goes back to the preferred upstream after a
// while, so that followers spread again after a relay returned.
func (u *upstreams) succeeded(now time.Time) {
	u.failures = 0
	u.redirects = 0
	if u.index == 0 {
		u.awaySince = time.Time{}
		return
	}
	if u.awaySince.IsZero() {
		u.awaySince = now.Add(time.Duration(u.random() * float64(preferredAfter)))
		return
	}
	if now.Sub(u.awaySince) >= preferredAfter {
		u.awaySince = time.Time{}
		u.index = 0
		u.redirected = ""
	}
}

// failed moves to the next upstream and returns how long to wait before it is
// called. The first round over all is without pauses, since the lease may be
// short of time already.
func (u *upstreams) failed() time.Duration {
	u.redirected = ""
	u.redirects = 0
	u.index = (u.index + 1) % len(u.ordered)
	u.failures++
	rounds := u.failures / len(u.ordered)
	if rounds == 0 {
		return 0
	}
	const largestShift = 10
	longest := min(shortestBackoff<<min(rounds-1, largestShift), longestBackoff)
	// Full jitter, but never less than half: Brooker, "Exponential Backoff And
	// Jitter" (2015).
	return longest/2 + time.Duration(u.random()*float64(longest/2))
}
