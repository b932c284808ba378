package quarantine

import "maps"

// View is what one router knows of a book, and of what it has told the book itself. The
// zero value knows nothing. It is not safe for concurrent use.
type View struct {
	revision uint64
	told     map[Fingerprint]Standing
	// own are standings that follow from this router's own reports, until a revision that
	// holds them is told: a caller often asks again before that.
	own map[Fingerprint]ownStanding
}

// ownStanding is a standing by own reports of servers that ended. Until is the revision from
// which on the told one counts; 0 while the last report is not acknowledged.
type ownStanding struct {
	standing  Standing
	trialEnds int
	until     uint64
}

// Empty reports whether all requests are unknown.
func (v *View) Empty() bool { return len(v.told)+len(v.own) == 0 }

// Standing returns how a request is to be treated.
func (v *View) Standing(fingerprint Fingerprint) Standing {
	return max(v.told[fingerprint], v.own[fingerprint].standing)
}

// Pending reports whether this router has reported a request and no book is known to hold
// that yet, so that a book in which it is unknown tells nothing.
func (v *View) Pending(fingerprint Fingerprint) bool {
	own, known := v.own[fingerprint]
	return known && own.until == 0
}

// Revision returns that of the book that was told last.
func (v *View) Revision() uint64 { return v.revision }

// Counts returns how many requests are suspected, and how many quarantined.
func (v *View) Counts() (suspected, quarantined int) {
	for _, standing := range v.told {
		if standing == Quarantined {
			quarantined++
		} else {
			suspected++
		}
	}
	return suspected, quarantined
}

// Take takes in the entries of a book of a revision, and returns the requests that are
// quarantined and were not before. An older revision changes nothing.
func (v *View) Take(revision uint64, entries []Entry) (quarantined []Fingerprint) {
	if revision <= v.revision {
		return nil
	}
	told := make(map[Fingerprint]Standing, len(entries))
	for _, entry := range entries {
		told[entry.Fingerprint] = Suspected
		if entry.Quarantined {
			told[entry.Fingerprint] = Quarantined
			if v.Standing(entry.Fingerprint) != Quarantined {
				quarantined = append(quarantined, entry.Fingerprint)
			}
		}
	}
	v.revision, v.told = revision, told
	maps.DeleteFunc(v.own, func(_ Fingerprint, own ownStanding) bool { return own.until > 0 && own.until <= revision })
	return quarantined
}

// Reported takes in that this router reports a server that ended under a request, or that
// ended in its trial. By its own reports alone a router quarantines a request as a book would,
// so that one that reaches no book stops as well.
func (v *View) Reported(fingerprint Fingerprint, tried bool) {
	if v.own == nil {
		v.own = make(map[Fingerprint]ownStanding)
	}
	own, known := v.own[fingerprint]
	if !known && len(v.own) >= MaxRecords {
		return
	}
	own.until = 0
	own.standing = max(own.standing, Suspected)
	if tried {
		own.trialEnds++
	}
	if own.trialEnds >= trialsThatEnd {
		own.standing = Quarantined
	}
	v.own[fingerprint] = own
}

// Acknowledged takes in that a book of a revision holds what this router reported, or that
// it was dropped, with revision 0.
func (v *View) Acknowledged(fingerprint Fingerprint, revision uint64) {
	own, known := v.own[fingerprint]
	if !known {
		return
	}
	if revision <= v.revision {
		delete(v.own, fingerprint)
		return
	}
	own.until = revision
	v.own[fingerprint] = own
}
