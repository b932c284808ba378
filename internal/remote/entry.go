package remote

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entry is what is known of one entry router.
type entry struct {
	address netip.AddrPort
	// failing entries get no requests.
	failing bool
	// doubted entries left a request without an answer. They get requests until
	// a probe fails, too: a slow route is no proof that the entry is gone.
	doubted bool
	// failures counts the failures in a row.
	failures int
	// probeAt is when the entry is probed next, if it is failing or doubted.
	probeAt time.Time
	probing bool
	// probedAt is when the last probe ended.
	probedAt time.Time
	// changedAt is when the entry last failed or recovered.
	changedAt time.Time
	// out counts the requests that the entry was asked and that have not ended.
	out int
}

func (e *entry) recover(now time.Time) {
	if e.failing {
		e.changedAt = now
	}
	e.failing, e.doubted, e.failures = false, false, 0
}

// doubtPause is the least time between two probes of a doubted entry, so that
// slow routes do not cause a stream of probes.
const doubtPause = time.Second

func (e *entry) doubt(now time.Time) {
	if e.failing || e.doubted {
		return
	}
	e.doubted = true
	e.probeAt = now
	if earliest := e.probedAt.Add(doubtPause); !e.probedAt.IsZero() && e.probeAt.Before(earliest) {
		e.probeAt = earliest
	}
}

func (r *Region) fail(e *entry, now time.Time) {
	if r.config.NeverFail {
		return
	}
	if !e.failing {
		e.changedAt = now
	}
	e.failing, e.doubted = true, false
	e.failures++
	e.probeAt = now.Add(r.pause(e))
}

// maxDoublings keeps the shift of a pause within range.
const maxDoublings = 20

// pause is how long a failing entry is left alone: FirstPause, doubled with
// each further failure up to LongestPause, and varied by a quarter either way
// so that the probes of many routers don't come at once.
func (r *Region) pause(e *entry) time.Duration {
	pause := min(r.config.FirstPause<<min(e.failures-1, maxDoublings), r.config.LongestPause)
	var text [8 + 8]byte
	binary.LittleEndian.PutUint64(text[:8], r.config.Seed)
	binary.LittleEndian.PutUint64(text[8:], uint64(e.failures))
	digest := xxhash.New()
	_, _ = digest.Write(text[:]) // it has no errors
	_, _ = digest.WriteString(e.address.String())
	const parts = 1024
	quarter := pause / 4
	return pause - quarter + 2*quarter*time.Duration(digest.Sum64()%parts)/parts
}

// DueProbes returns the entries to probe now. Each is then under probe until
// Probed tells the outcome.
func (r *Region) DueProbes(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	for index := range r.entries {
		one := &r.entries[index]
		if one.waitsForProbe() && !now.Before(one.probeAt) {
			one.probing = true
			due = append(due, one.address)
		}
	}
	return due
}

func (e *entry) waitsForProbe() bool { return (e.failing || e.doubted) && !e.probing }

// Probed takes in the outcome of a probe.
func (r *Region) Probed(now time.Time, address netip.AddrPort, reached bool) Change {
	one := r.entry(address)
	if one == nil || !one.probing {
		return Unchanged
	}
	one.probing, one.probedAt = false, now
	if reached {
		one.recover(now)
	} else {
		r.fail(one, now)
	}
	return r.change()
}

// NextProbe returns when the next probe is due; false when none is.
func (r *Region) NextProbe() (time.Time, bool) {
	var next time.Time
	found := false
	for index := range r.entries {
		one := &r.entries[index]
		if one.waitsForProbe() && (!found || one.probeAt.Before(next)) {
			next, found = one.probeAt, true
		}
	}
	return next, found
}

// RetryAfter is how long a refused caller is told to wait: until the next probe
// has had time to tell, and least at least.
func (r *Region) RetryAfter(now time.Time, least time.Duration) time.Duration {
	next, found := r.NextProbe()
	if !found {
		return least
	}
	return max(least, next.Sub(now)+r.config.FirstPause)
}

// EntryState describes an entry for status pages.
type EntryState struct {
	Address netip.AddrPort
	Failing bool
	// Failures counts those in a row.
	Failures int
	// Out counts the requests that have not ended.
	Out int
}

// Entries describes the entries in the order of their addresses.
func (r *Region) Entries() []EntryState {
	states := make([]EntryState, 0, len(r.entries))
	for _, one := range r.entries {
		states = append(states, EntryState{Address: one.address, Failing: one.failing, Failures: one.failures, Out: one.out})
	}
	return states
}
