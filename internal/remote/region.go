package remote

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Config sets the bounds of a Region.
type Config struct {
	// Limit bounds the requests on their way to the region. It is what keeps a
	// region that was cut off without a word from holding every request of this
	// router until its deadline.
	Limit int
	// FirstPause is the pause before the first probe of an entry that failed.
	// Each failed probe doubles it, up to LongestPause.
	FirstPause   time.Duration
	LongestPause time.Duration
	// SilenceAfter is how long a request must have waited in vain before its
	// entry is doubted. Shorter waits say more about the caller's deadline.
	SilenceAfter time.Duration
	// Seed spreads the probes of many routers over time.
	Seed uint64
	// NeverFail switches the core's judgement off: entries always get requests.
	// It is the baseline of measurements.
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

// Outcome is what became of a request that an entry was asked.
type Outcome uint8

// Outcomes.
const (
	// Answered: the entry answered, whatever the answer says.
	Answered Outcome = iota + 1
	// TurnedAway: the entry answered that it takes no requests, because it is
	// stopping or has no lease.
	TurnedAway
	// NotConnected: the connection was refused, so nothing was sent.
	NotConnected
	// SlowConnect: no connection was made in the time that the request had for
	// it, so nothing was sent. How long that was is the caller's choice, so that
	// it is a reason for doubt only.
	SlowConnect
	// Broken: the connection ended without an answer.
	Broken
	// Silent: no answer came before the deadline.
	Silent
	// Abandoned: the caller went away. It says nothing about the entry.
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

// Region is what one router knows of another region.
type Region struct {
	config   Config
	entries  []entry
	inFlight int
	// reachable is what was reported last.
	reachable bool
}

// New returns a region whose entries count as reachable until they fail.
func New(config Config, entries []netip.AddrPort) *Region {
	created := &Region{config: config.withDefaults(), reachable: true}
	created.Update(entries)
	return created
}

// Update replaces the entries. What is known of those that stay is kept.
func (r *Region) Update(entries []netip.AddrPort) Change {
	next := make([]entry, 0, len(entries))
	for _, address := range entries {
		if known := r.entry(address); known != nil {
			next = append(next, *known)
			continue
		}
		next = append(next, entry{address: address})
	}
	r.entries = next
	return r.change()
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

// change reports whether reachability differs from what was reported last.
func (r *Region) change() Change {
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

// InFlight is the number of requests on their way.
func (r *Region) InFlight() int { return r.inFlight }

// Refusal says why a request is not sent.
type Refusal uint8

// Refusals. The zero value is none.
const (
	Accepted Refusal = iota
	// Unreachable: every entry fails.
	Unreachable
	// Full: too many requests are on their way.
	Full
)

// Begin takes a request in, or refuses it. An accepted one must be ended by
// End.
func (r *Region) Begin() Refusal {
	switch {
	case !r.Reachable():
		return Unreachable
	case r.inFlight >= r.config.Limit:
		return Full
	default:
		r.inFlight++
		return Accepted
	}
}

// End ends a request that Begin accepted.
func (r *Region) End() { r.inFlight-- }

// Choose returns the entry to ask next. Entries that fail and those already
// tried are left out; a doubted one is taken only if there is no other. Of two
// that the seed selects, the one with fewer requests out is taken. It returns
// false when there is none.
func (r *Region) Choose(seed uint64, tried []netip.AddrPort) (netip.AddrPort, bool) {
	first := r.candidate(seed, tried, nil)
	if first == nil {
		return netip.AddrPort{}, false
	}
	second := r.candidate(seed, tried, first)
	if second != nil && second.doubted == first.doubted && second.out < first.out {
		first = second
	}
	first.out++
	return first.address, true
}

// candidate returns the first usable entry from the seed's place on.
func (r *Region) candidate(seed uint64, tried []netip.AddrPort, not *entry) *entry {
	var doubted *entry
	count := len(r.entries)
	for step := range count {
		one := &r.entries[(int(seed%uint64(count))+step)%count]
		switch {
		case one.failing || one == not || slices.Contains(tried, one.address):
		case !one.doubted:
			return one
		case doubted == nil:
			doubted = one
		}
	}
	return doubted
}

// Asked is a request that an entry was asked, and its outcome.
type Asked struct {
	Entry   netip.AddrPort
	Outcome Outcome
	// Begun is when the entry was chosen.
	Begun time.Time
}

// Step takes in the outcome of a request. An outcome of a request that was
// begun before the entry last failed or recovered says nothing new.
func (r *Region) Step(now time.Time, asked Asked) Change {
	one := r.entry(asked.Entry)
	if one == nil {
		return Unchanged
	}
	one.out = max(0, one.out-1)
	if asked.Begun.Before(one.changedAt) {
		return Unchanged
	}
	switch asked.Outcome {
	case Answered:
		one.recover(now)
	case TurnedAway, NotConnected, Broken:
		r.fail(one, now)
	case Silent:
		if now.Sub(asked.Begun) >= r.config.SilenceAfter && !r.config.NeverFail {
			one.doubt(now)
		}
	case SlowConnect:
		if !r.config.NeverFail {
			one.doubt(now)
		}
	}
	return r.change()
}
