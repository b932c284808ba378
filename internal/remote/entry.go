package remote

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entry is the state of one entry router.
type entry struct {
	address netip.AddrPort
	// failing entries get no requests.
	failing bool
	// suspected entries left a request without an answer. They still get requests
	// until a probe also fails, since a slow route does not prove that the entry
	// has failed.
	suspected bool
	// failures counts consecutive failures.
	failures int
	// nextProbe is when the entry is probed next, if it is failing or suspected.
	nextProbe     time.Time
	probeInFlight bool
	// lastProbeEnd is when the last probe ended.
	lastProbeEnd time.Time
	// changedAt is when the entry last failed or recovered.
	changedAt time.Time
	// inFlight counts the requests to the entry that have not ended.
	inFlight int
}

func (e *entry) markRecovered(now time.Time) {
	if e.failing {
		e.changedAt = now
	}
	e.failing, e.suspected, e.failures = false, false, 0
}

// minSuspectProbeInterval is the minimum time between two probes of a suspected
// entry, so that slow routes do not cause a stream of probes.
const minSuspectProbeInterval = time.Second

func (e *entry) suspect(now time.Time) {
	if e.failing || e.suspected {
		return
	}
	e.suspected = true
	e.nextProbe = now
	if earliest := e.lastProbeEnd.Add(minSuspectProbeInterval); !e.lastProbeEnd.IsZero() && e.nextProbe.Before(earliest) {
		e.nextProbe = earliest
	}
}

func (r *Region) markFailed(e *entry, now time.Time) {
	if r.config.NeverFail {
		return
	}
	if !e.failing {
		e.changedAt = now
	}
	e.failing, e.suspected = true, false
	e.failures++
	e.nextProbe = now.Add(r.probeBackoff(e))
}

// maxDoublings keeps the shift that computes the backoff within range.
const maxDoublings = 20

// probeBackoff returns the time before the next probe of a failing entry:
// FirstPause, doubled with each further failure up to LongestPause, with a jitter
// of a quarter either way so that many routers do not probe at the same time.
func (r *Region) probeBackoff(e *entry) time.Duration {
	backoff := min(r.config.FirstPause<<min(e.failures-1, maxDoublings), r.config.LongestPause)
	var text [8 + 8]byte
	binary.LittleEndian.PutUint64(text[:8], r.config.Seed)
	binary.LittleEndian.PutUint64(text[8:], uint64(e.failures))
	digest := xxhash.New()
	_, _ = digest.Write(text[:]) // it has no errors
	_, _ = digest.WriteString(e.address.String())
	const parts = 1024
	quarter := backoff / 4
	return backoff - quarter + 2*quarter*time.Duration(digest.Sum64()%parts)/parts
}

// DueProbes returns the entries to probe now. The probe of each is in flight
// until RecordProbe reports its outcome.
func (r *Region) DueProbes(now time.Time) []netip.AddrPort {
	var due []netip.AddrPort
	for index := range r.entries {
		candidate := &r.entries[index]
		if candidate.needsProbe() && !now.Before(candidate.nextProbe) {
			candidate.probeInFlight = true
			due = append(due, candidate.address)
		}
	}
	return due
}

func (e *entry) needsProbe() bool { return (e.failing || e.suspected) && !e.probeInFlight }

// RecordProbe records the outcome of a probe.
func (r *Region) RecordProbe(now time.Time, address netip.AddrPort, reached bool) Change {
	probed := r.entry(address)
	if probed == nil || !probed.probeInFlight {
		return Unchanged
	}
	probed.probeInFlight, probed.lastProbeEnd = false, now
	if reached {
		probed.markRecovered(now)
	} else {
		r.markFailed(probed, now)
	}
	return r.reachabilityChange()
}

// NextProbe returns when the next probe is due; false when none is.
func (r *Region) NextProbe() (time.Time, bool) {
	var next time.Time
	found := false
	for index := range r.entries {
		candidate := &r.entries[index]
		if candidate.needsProbe() && (!found || candidate.nextProbe.Before(next)) {
			next, found = candidate.nextProbe, true
		}
	}
	return next, found
}

// RetryAfter returns how long a refused caller should wait: until the next probe
// has had time to complete, but no less than least.
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
	// Failures counts consecutive failures.
	Failures int
	// Out counts the requests in flight.
	Out int
}

// Entries returns the state of the entries in the order passed to Update.
func (r *Region) Entries() []EntryState {
	states := make([]EntryState, 0, len(r.entries))
	for _, current := range r.entries {
		states = append(states, EntryState{Address: current.address, Failing: current.failing, Failures: current.failures, Out: current.inFlight})
	}
	return states
}
