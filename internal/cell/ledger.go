package cell

import (
	"maps"
	"net/netip"
	"time"
)

// Ledger turns the shares computed from successive lists of live routers into those that may
// be used now.
//
// The effective share is the least of the shares that were current within the hold time. If
// the hold time is at least as long as it takes until a router has either received a list or
// lost its lease, the effective shares at any moment are bounded by those of one list, whose
// sum is within the limit.
//
// A router that has just joined a back end's cell uses half of its share at once, out of the
// part that Shares leaves free. That is within the limit while one router joins and one leaves
// per hold time. If more do, a back end may see more connections than its limit until the
// lists are delivered; it refuses those, and no call is executed on them.
//
// A Ledger must be confined to one goroutine.
type Ledger struct {
	holdTime  time.Duration
	joined    time.Time
	installed bool
	current   map[netip.AddrPort]Share
	former    []formerShares
}

// formerShares is an earlier set of shares and the time until which it still limits the
// effective shares.
type formerShares struct {
	shares map[netip.AddrPort]Share
	until  time.Time
}

// NewLedger returns an empty ledger. Hold is the longest time until another router has
// received a list or lost its lease.
func NewLedger(hold time.Duration) *Ledger { return &Ledger{holdTime: hold} }

// Install sets the shares of a new list or a new plan.
func (l *Ledger) Install(now time.Time, shares map[netip.AddrPort]Share) {
	if l.installed && maps.Equal(l.current, shares) {
		return
	}
	if l.installed {
		l.former = append(l.former, formerShares{shares: l.current, until: now.Add(l.holdTime)})
	} else {
		l.joined = now
	}
	l.installed = true
	l.current = shares
}

// MarkJoining records that the router was not in the cells of some back ends until now, so that it
// joins them like a new router.
func (l *Ledger) MarkJoining(addresses []netip.AddrPort) {
	if !l.installed {
		return
	}
	for _, address := range addresses {
		if _, held := l.current[address]; !held {
			l.current[address] = Share{}
		}
	}
}

// Reset drops all shares because the lease was lost and other routers may use them.
func (l *Ledger) Reset() {
	l.installed = false
	l.current = nil
	l.former = nil
}

// Effective returns the shares that may be used now, and the time at which some may grow; that
// time is zero if none will.
func (l *Ledger) Effective(now time.Time) (map[netip.AddrPort]Share, time.Time) {
	l.expire(now)
	joining := l.installed && now.Before(l.joined.Add(l.holdTime))
	effective := make(map[netip.AddrPort]Share, len(l.current))
	for address, share := range l.current {
		effective[address] = l.effectiveShare(address, share, joining)
	}
	return effective, l.nextChange(now, joining)
}

// effectiveShare limits the current share of a back end by its former ones.
func (l *Ledger) effectiveShare(address netip.AddrPort, share Share, joining bool) Share {
	full := share
	for _, former := range l.former {
		bound, ok := former.shares[address]
		if ok && bound.Connections == 0 {
			joining = true
			continue
		}
		if ok {
			share = minShare(share, bound)
		}
	}
	if joining {
		return minShare(share, half(full))
	}
	return share
}

func (l *Ledger) expire(now time.Time) {
	for len(l.former) > 0 && !now.Before(l.former[0].until) {
		l.former = l.former[1:]
	}
}

func (l *Ledger) nextChange(now time.Time, joining bool) time.Time {
	var next time.Time
	if joining {
		next = l.joined.Add(l.holdTime)
	}
	if len(l.former) > 0 && (next.IsZero() || l.former[0].until.Before(next)) {
		next = l.former[0].until
	}
	return next
}

func minShare(left, right Share) Share {
	return Share{
		Connections: min(left.Connections, right.Connections),
		Slots:       min(left.Slots, right.Slots),
	}
}

// half rounds down to stay within the free part, but keeps at least one connection, without
// which nothing could be sent.
func half(share Share) Share {
	if share.Connections > 1 {
		share.Connections /= 2
	}
	return share
}
