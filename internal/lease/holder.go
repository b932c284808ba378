package lease

import "time"

// Grant is a lease as its holder received it.
type Grant struct {
	// Term of the leader that the lease comes from.
	Term uint64
	// Revision that must be installed before the lease is taken.
	Revision uint64
	// SentAt is when the call that brought the grant was sent, by the holder's
	// clock.
	SentAt time.Time
	// Duration is what the grantor granted; 0 grants nothing.
	Duration time.Duration
}

// Verdict says what a holder made of a grant.
type Verdict uint8

// Verdicts on a grant.
const (
	// Taken means that the lease now lasts at least as long as the grant.
	Taken Verdict = iota + 1
	// StaleTerm means that a leader of a later term was heard before.
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

// Holder is a node's view of its own lease. The zero value holds none. It is
// not safe for concurrent use.
type Holder struct {
	term     uint64
	revision uint64
	until    time.Time
}

// Install notes that a revision was installed. Revisions never go down; it
// reports whether this one was higher than the one before.
func (h *Holder) Install(revision uint64) bool {
	if revision <= h.revision {
		return false
	}
	h.revision = revision
	return true
}

// Offer takes a grant if its term and revision allow it. The lease never gets
// shorter by a grant.
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

// Current reports whether a response of the term and revision may be used: it
// is not older than what the holder knows.
func (h *Holder) Current(term, revision uint64) bool {
	return term >= h.term && revision >= h.revision
}

// End gives the lease up.
func (h *Holder) End() { h.until = time.Time{} }

// Valid reports whether work may be admitted at a time.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.until) }

// Until returns the moment at which the lease ends; zero when there is none.
func (h *Holder) Until() time.Time { return h.until }

// Term returns the highest term that was heard.
func (h *Holder) Term() uint64 { return h.term }

// Revision returns the installed revision; 0 for none.
func (h *Holder) Revision() uint64 { return h.revision }
