package lease

import "time"

// Grant is a lease as received by its holder.
type Grant struct {
	// Term is that of the leader that granted the lease.
	Term uint64
	// Revision must be installed before the lease is accepted.
	Revision uint64
	// SentAt is when the call for the grant was sent, by the holder's clock.
	SentAt time.Time
	// Duration is the granted duration; 0 grants nothing.
	Duration time.Duration
}

// Verdict is a holder's decision about a grant.
type Verdict uint8

// Verdicts on a grant.
const (
	// Taken means that the grant was accepted: the lease now lasts at least as long.
	Taken Verdict = iota + 1
	// StaleTerm means that a higher term was received before.
	StaleTerm
	// StaleRevision means that a higher revision is installed already.
	StaleRevision
	// NotInstalled means that the revision must be installed first.
	NotInstalled
	// Empty means that nothing was granted.
	Empty
)

// String returns the verdict's name for logs and metrics.
func (v Verdict) String() string {
	names := [...]string{Taken: "taken", StaleTerm: "stale_term", StaleRevision: "stale_revision",
		NotInstalled: "not_installed", Empty: "empty"}
	if int(v) < len(names) && names[v] != "" {
		return names[v]
	}
	return "unknown"
}

// Holder is a node's own lease. The zero value holds none. It is not safe for concurrent use.
type Holder struct {
	term     uint64
	revision uint64
	until    time.Time
}

// Install records an installed revision and reports whether it was higher than the one before.
// Lower ones are ignored.
func (h *Holder) Install(revision uint64) bool {
	if revision <= h.revision {
		return false
	}
	h.revision = revision
	return true
}

// Offer accepts a grant if its term and revision allow it. A grant never shortens the lease.
func (h *Holder) Offer(grant Grant) Verdict {
	switch {
	case grant.Term < h.term:
		return StaleTerm
	case grant.Revision < h.revision:
		return StaleRevision
	}
	h.term = grant.Term
	switch {
	case grant.Duration <= 0:
		return Empty
	case grant.Revision > h.revision:
		return NotInstalled
	}
	until := grant.SentAt.Add(shortened(grant.Duration))
	if until.After(h.until) {
		h.until = until
	}
	return Taken
}

// Current reports whether a response with the term and revision may be used: neither is lower
// than what the holder knows.
func (h *Holder) Current(term, revision uint64) bool {
	return term >= h.term && revision >= h.revision
}

// Release releases the lease.
func (h *Holder) Release() { h.until = time.Time{} }

// Valid reports whether work may be admitted at a time.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.until) }

// Until returns when the lease ends; zero if there is none.
func (h *Holder) Until() time.Time { return h.until }

// Term returns the highest term received.
func (h *Holder) Term() uint64 { return h.term }

// Revision returns the installed revision; 0 for none.
func (h *Holder) Revision() uint64 { return h.revision }
