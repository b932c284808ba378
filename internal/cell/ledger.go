package cell

import (
	"maps"
	"net/netip"
	"time"
)

// Ledger turns the shares computed from successive lists of live routers into
// those that may be used now.
//
// The share in use is the least of the shares that were current within the
// hold time. When the hold time is at least as long as it takes until a router
// has either received a list or lost its lease, then the shares in use at any
// moment are all bounded by those of one list, whose sum is within the limit.
//
// A router that has just joined a back end's cell takes half of its share at
// once, out of the part that Shares leaves free. That is within the limit
// while one router joins and one leaves per hold time. If more do, a back end may see more
// connections than its limit until the lists are delivered; it refuses those,
// and nothing is run.
//
// One goroutine owns a Ledger.
type Ledger struct {
	hold    time.Duration
	joined  time.Time
	holding bool
	current map[netip.AddrPort]Share
	past    []replaced
}

// replaced is a former set of shares and the time until which it still binds.
type replaced struct {
	shares map[netip.AddrPort]Share
	until  time.Time
}

// NewLedger returns an empty ledger. Hold is the longest time until another
// router has received a list or lost its lease.
func NewLedger(hold time.Duration) *Ledger { return &Ledger{hold: hold} }

// Install takes in the shares of a new list or a new plan.
func (l *Ledger) Install(now time.Time, shares map[netip.AddrPort]Share) {
	if l.holding && maps.Equal(l.current, shares) {
		return
	}
	if l.holding {
		l.past = append(l.past, replaced{shares: l.current, until: now.Add(l.hold)})
	} else {
		l.joined = now
	}
	l.holding = true
	l.current = shares
}

// Outside notes that the router was not of the cells of some back ends until
// now, so that it joins them like a router that has just come.
func (l *Ledger) Outside(addresses []netip.AddrPort) {
	if !l.holding {
		return
	}
	for _, address := range addresses {
		if _, held := l.current[address]; !held {
			l.current[address] = Share{}
		}
	}
}

// Reset drops all shares, because the lease was lost: others may use them.
func (l *Ledger) Reset() {
	l.holding = false
	l.current = nil
	l.past = nil
}

// Effective returns the shares that may be used now, and the time at which
// some may grow; that time is zero when none will.
func (l *Ledger) Effective(now time.Time) (map[netip.AddrPort]Share, time.Time) {
	l.expire(now)
	joining := l.holding && now.Before(l.joined.Add(l.hold))
	effective := make(map[netip.AddrPort]Share, len(l.current))
	for address, share := range l.current {
		effective[address] = l.bounded(address, share, joining)
	}
	return effective, l.nextChange(now, joining)
}

// bounded applies the former shares of a back end to its current one.
func (l *Ledger) bounded(address netip.AddrPort, share Share, joining bool) Share {
	whole := share
	for _, former := range l.past {
		bound, ok := former.shares[address]
		if ok && bound.Connections == 0 {
			joining = true
			continue
		}
		if ok {
			share = least(share, bound)
		}
	}
	if joining {
		return least(share, half(whole))
	}
	return share
}

func (l *Ledger) expire(now time.Time) {
	for len(l.past) > 0 && !now.Before(l.past[0].until) {
		l.past = l.past[1:]
	}
}

func (l *Ledger) nextChange(now time.Time, joining bool) time.Time {
	var next time.Time
	if joining {
		next = l.joined.Add(l.hold)
	}
	if len(l.past) > 0 && (next.IsZero() || l.past[0].until.Before(next)) {
		next = l.past[0].until
	}
	return next
}

func least(left, right Share) Share {
	return Share{
		Connections: min(left.Connections, right.Connections),
		Slots:       min(left.Slots, right.Slots),
	}
}

// half rounds down, to stay within the free part, but keeps one connection,
// without which nothing could be sent.
func half(share Share) Share {
	if share.Connections > 1 {
		share.Connections /= 2
	}
	return share
}
