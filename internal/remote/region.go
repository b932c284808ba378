package remote

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Config sets the bounds of a Region.
type Config struct {
	// Limit bounds the requests in flight to the region. Without it, a silently
	// cut off region would hold every request of this router until its deadline.
	Limit int
	// FirstPause is the pause before the first probe of an entry that failed.
	// Each failed probe doubles it, up to LongestPause.
	FirstPause   time.Duration
	LongestPause time.Duration
	// SilenceAfter is how long a request must have waited without an answer before
	// its entry is suspected. Shorter waits say more about the caller's deadline.
	SilenceAfter time.Duration
	// Seed spreads the probes of many routers over time.
	Seed uint64
	// NeverFail disables failure detection: entries always get requests. It is
	// used as the baseline of measurements.
	NeverFail bool
}

// Defaults of Config.
const (
	DefaultLimit        = 256
	DefaultFirstPause   = 100 * time.Millisecond
	DefaultLongestPause = 5 * time.Second
	DefaultSilenceAfter = 250 * time.Millisecond
)

func (c Config) withDefaults() Config {
	c.Limit = cmp.Or(c.Limit, DefaultLimit)
	c.FirstPause = cmp.Or(c.FirstPause, DefaultFirstPause)
	c.LongestPause = cmp.Or(c.LongestPause, DefaultLongestPause)
	c.SilenceAfter = cmp.Or(c.SilenceAfter, DefaultSilenceAfter)
	return c
}

// Outcome is the result of a request to an entry.
type Outcome uint8

// Outcomes.
const (
	// Answered: the entry answered, whatever the content of the answer.
	Answered Outcome = iota + 1
	// Rejected: the entry answered that it accepts no requests, because it is
	// stopping or has no lease.
	Rejected
	// NotConnected: the connection was refused, so nothing was sent.
	NotConnected
	// SlowConnect: no connection was made within the request's connect timeout, so
	// nothing was sent. The caller chooses that timeout, so the entry is only
	// suspected.
	SlowConnect
	// Broken: the connection ended without an answer.
	Broken
	// TimedOut: no answer came before the deadline.
	TimedOut
	// Abandoned: the caller canceled the request, which says nothing about the
	// entry.
	Abandoned
)

// Change says that a region became unreachable or reachable again.
type Change uint8

// Changes. The zero value is none.
const (
	Unchanged Change = iota
	BecameUnreachable
	BecameReachable
)

// Region is the state that one router keeps of another region.
type Region struct {
	config   Config
	entries  []entry
	inFlight int
	// reachable is the reachability that was last reported.
	reachable bool
}

// New returns a region whose entries are assumed reachable until they fail.
func New(config Config, entries []netip.AddrPort) *Region {
	created := &Region{config: config.withDefaults(), reachable: true}
	created.Update(entries)
	return created
}

// Update replaces the entries. The state of retained entries is kept.
func (r *Region) Update(entries []netip.AddrPort) Change {
	next := make([]entry, 0, len(entries))
	for _, address := range entries {
		if existing := r.entry(address); existing != nil {
			next = append(next, *existing)
			continue
		}
		next = append(next, entry{address: address})
	}
	r.entries = next
	return r.reachabilityChange()
}

func (r *Region) entry(address netip.AddrPort) *entry {
	index := slices.IndexFunc(r.entries, func(one entry) bool { return one.address == address })
	if index < 0 {
		return nil
	}
	return &r.entries[index]
}

// Reachable reports whether at least one entry gets requests.
func (r *Region) Reachable() bool {
	return slices.ContainsFunc(r.entries, func(one entry) bool { return !one.failing })
}

// reachabilityChange returns how reachability changed since it was last reported.
func (r *Region) reachabilityChange() Change {
	reachable := r.Reachable()
	switch {
	case reachable == r.reachable:
		return Unchanged
	case reachable:
		r.reachable = true
		return BecameReachable
	default:
		r.reachable = false
		return BecameUnreachable
	}
}

// InFlight returns the number of requests in flight.
func (r *Region) InFlight() int { return r.inFlight }

// Refusal is the reason why a request is not sent.
type Refusal uint8

// Refusals. The zero value is none.
const (
	Accepted Refusal = iota
	// Unreachable: every entry fails.
	Unreachable
	// LimitReached: too many requests are in flight.
	LimitReached
)

// Begin accepts or refuses a request. An accepted request must be ended by End.
func (r *Region) Begin() Refusal {
	switch {
	case !r.Reachable():
		return Unreachable
	case r.inFlight >= r.config.Limit:
		return LimitReached
	default:
		r.inFlight++
		return Accepted
	}
}

// End ends a request that Begin accepted.
func (r *Region) End() { r.inFlight-- }

// Choose returns the entry to call next. It skips failing and already tried
// entries, and returns a suspected entry only if there is no other. Of two
// candidates selected by the seed, it returns the one with fewer requests in
// flight. It returns false when no entry is usable.
func (r *Region) Choose(seed uint64, tried []netip.AddrPort) (netip.AddrPort, bool) {
	first := r.candidate(seed, tried, nil)
	if first == nil {
		return netip.AddrPort{}, false
	}
	second := r.candidate(seed, tried, first)
	if second != nil && second.suspected == first.suspected && second.inFlight < first.inFlight {
		first = second
	}
	first.inFlight++
	return first.address, true
}

// candidate returns the first usable entry, starting at the index given by the
// seed.
func (r *Region) candidate(seed uint64, tried []netip.AddrPort, exclude *entry) *entry {
	var suspected *entry
	count := len(r.entries)
	for step := range count {
		current := &r.entries[(int(seed%uint64(count))+step)%count]
		switch {
		case current.failing || current == exclude || slices.Contains(tried, current.address):
		case !current.suspected:
			return current
		case suspected == nil:
			suspected = current
		}
	}
	return suspected
}

// Attempt is a request to an entry and its outcome.
type Attempt struct {
	Entry   netip.AddrPort
	Outcome Outcome
	// Begun is the time at which the entry was chosen.
	Begun time.Time
}

// RecordOutcome records the outcome of a request. The outcome is ignored if the request
// began before the entry last failed or recovered.
func (r *Region) RecordOutcome(now time.Time, attempt Attempt) Change {
	called := r.entry(attempt.Entry)
	if called == nil {
		return Unchanged
	}
	called.inFlight = max(0, called.inFlight-1)
	if attempt.Begun.Before(called.changedAt) {
		return Unchanged
	}
	switch attempt.Outcome {
	case Answered:
		called.markRecovered(now)
	case Rejected, NotConnected, Broken:
		r.markFailed(called, now)
	case TimedOut:
		if now.Sub(attempt.Begun) >= r.config.SilenceAfter && !r.config.NeverFail {
			called.suspect(now)
		}
	case SlowConnect:
		if !r.config.NeverFail {
			called.suspect(now)
		}
	}
	return r.reachabilityChange()
}
