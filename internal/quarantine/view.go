package quarantine

import "maps"

// View is one router's copy of the published ledger, together with the router's own reports.
// The zero value is empty. It is not safe for concurrent use.
type View struct {
	revision  uint64
	published map[Fingerprint]Status
	// local holds statuses that follow from this router's own reports until a published
	// revision includes them, since callers often retry a request before that.
	local map[Fingerprint]localStatus
}

// localStatus is a status derived from this router's own reports of terminated servers. It
// is superseded by revision publishedBy of the ledger, which is 0 until the last report is
// acknowledged.
type localStatus struct {
	status        Status
	trialFailures int
	answered      bool
	publishedBy   uint64
}

// Empty reports whether all requests are unknown.
func (v *View) Empty() bool { return len(v.published)+len(v.local) == 0 }

// Status returns the status of a request.
func (v *View) Status(fingerprint Fingerprint) Status {
	return max(v.published[fingerprint], v.local[fingerprint].status)
}

// Pending reports whether this router's report of a request is not acknowledged yet. Until
// then, the absence of the request from a published ledger means nothing.
func (v *View) Pending(fingerprint Fingerprint) bool {
	local, known := v.local[fingerprint]
	return known && local.publishedBy == 0
}

// Revision returns the revision of the last published ledger.
func (v *View) Revision() uint64 { return v.revision }

// Counts returns the number of suspected and of quarantined requests.
func (v *View) Counts() (suspected, quarantined int) {
	for _, status := range v.published {
		if status == Quarantined {
			quarantined++
		} else {
			suspected++
		}
	}
	return suspected, quarantined
}

// Update replaces the published entries by those of a newer revision and returns the requests
// that are newly quarantined. A revision that is not newer is ignored.
func (v *View) Update(revision uint64, entries []Entry) (quarantined []Fingerprint) {
	if revision <= v.revision {
		return nil
	}
	published := make(map[Fingerprint]Status, len(entries))
	for _, entry := range entries {
		published[entry.Fingerprint] = Suspected
		if entry.Quarantined {
			published[entry.Fingerprint] = Quarantined
			if v.Status(entry.Fingerprint) != Quarantined {
				quarantined = append(quarantined, entry.Fingerprint)
			}
		}
	}
	v.revision, v.published = revision, published
	maps.DeleteFunc(v.local, func(_ Fingerprint, local localStatus) bool {
		return local.publishedBy > 0 && local.publishedBy <= revision
	})
	return quarantined
}

// Reported records that this router reports a server that terminated while it ran a request,
// in a trial or not, and whether one had answered it shortly before. The router quarantines a request on its own reports by the same rule as
// the ledger, so that it stops sending the request even if it can't reach the control group.
func (v *View) Reported(fingerprint Fingerprint, trial, answered bool) {
	if v.local == nil {
		v.local = make(map[Fingerprint]localStatus)
	}
	local, known := v.local[fingerprint]
	if !known && len(v.local) >= MaxRecords {
		return
	}
	local.publishedBy = 0
	local.status = max(local.status, Suspected)
	if trial {
		local.trialFailures++
	}
	local.answered = local.answered || answered
	if local.trialFailures >= failuresToQuarantine(local.answered) {
		local.status = Quarantined
	}
	v.local[fingerprint] = local
}

// Acknowledged records the revision of the ledger that includes this router's report of a
// request. Revision 0 means that the report was dropped.
func (v *View) Acknowledged(fingerprint Fingerprint, revision uint64) {
	local, known := v.local[fingerprint]
	if !known {
		return
	}
	if revision <= v.revision {
		delete(v.local, fingerprint)
		return
	}
	local.publishedBy = revision
	v.local[fingerprint] = local
}
