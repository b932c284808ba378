package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limit is what a tenant may send through all routers together.
type Limit struct {
	// Rate is in requests a second; 0 means no limit.
	Rate float64
	// Burst is how many requests beyond the rate may arrive at once.
	Burst float64
}

// Tolerance is by how much the requests of a tenant may exceed its limit: in any window, up to
// (rate x window + burst) x (1 + fraction) + slack requests are allowed.
type Tolerance struct {
	Fraction float64
	Slack    float64
	Window   time.Duration
}

// How the tolerance is used.
const (
	// baseToleranceShare of it is added to every bucket, and steadySlackShare of the slack to
	// the refill of one window. A tenant that stays just below its limit is then refused next
	// to nothing although its bucket and its own count differ. The rest covers requests
	// admitted before all routers know that a tenant is metered.
	baseToleranceShare = 0.25
	steadySlackShare   = 0.3
	// initialSlackShare of the slack is in the buckets of a new ledger until it is a window
	// old: the ledger before it may have granted a whole limit in the same window.
	initialSlackShare = 0.2
)

// maxExtraTime is for how long of its rate a tenant may send at once beyond its burst, if the
// window was quiet before. A new ledger refills the buckets of tenants that its predecessor
// metered only after this time, unless it knows what they were granted.
const maxExtraTime = 3 * time.Second

// Thresholds to stop metering.
const (
	// unmeterShare is the fraction of a bucket that must be refilled before a tenant is no
	// longer metered, and minMeterDuration the least time until then: all routers are notified
	// of each change.
	unmeterShare     = 0.6
	minMeterDuration = time.Second
)

// maxReporters bounds the number of routers whose last sequence number is kept.
const maxReporters = 20_000

// Ledger counts what tenants spend. Its owner must guard it.
type Ledger struct {
	tolerance Tolerance
	buckets   map[string]*bucket
	// initialized is set by the first limits; limitRemovedAt is when tenants lost their
	// limits, kept for a window.
	initialized    bool
	limitRemovedAt map[string]time.Time
	// lastSequences are the sequence numbers of each router's last report, so that a report
	// that is sent again after its reply was lost counts once.
	lastSequences map[string]uint64
	// revision increases whenever the set of metered tenants or exceeding changes.
	revision uint64
	// recollection is nil before the first limits.
	recollection *recollection
	// resumed are the tenants that earlier ledgers may have granted tokens beyond their buckets,
	// and exceeding the last result of Exceeding.
	resumed   map[string]bool
	exceeding []string
}

// NewLedger returns a ledger without limits.
func NewLedger(tolerance Tolerance) *Ledger {
	return &Ledger{
		tolerance: tolerance, buckets: make(map[string]*bucket),
		limitRemovedAt: make(map[string]time.Time), lastSequences: make(map[string]uint64),
	}
}

// Resume names the tenants to which the ledgers before this one may have granted tokens beyond
// their buckets within a window (Exceeding). It is called before SetLimits.
func (l *Ledger) Resume(exceeding []string) {
	l.resumed = make(map[string]bool, len(exceeding))
	for _, name := range exceeding {
		l.resumed[name] = true
	}
}

// Exceeding returns the tenants to which this ledger or one before it may have granted tokens
// beyond their buckets within a window, sorted by name. Only a ledger whose recall is complete
// grants such tokens. A tenant that a new ledger meters for its small initial bucket is not among
// them: otherwise each of several changes of the leader would have it start with nothing again.
func (l *Ledger) Exceeding(now time.Time) []string {
	var names []string
	for name, b := range l.buckets {
		switch r := l.recollection; {
		case r.complete() && b.metered:
			names = append(names, name)
		case r != nil && now.Before(r.until) && l.resumed[name]:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if !slices.Equal(names, l.exceeding) {
		l.exceeding = names
		l.revision++
	}
	return names
}

// SetLimits replaces the limits of all tenants from now on. Tenants without a limit are left
// out.
func (l *Ledger) SetLimits(now time.Time, limits map[string]Limit) {
	maps.DeleteFunc(l.limitRemovedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= l.tolerance.Window })
	for name, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		known, exists := l.buckets[name]
		if !exists {
			l.buckets[name] = l.newBucket(now, name, limit)
			continue
		}
		l.refill(known, now)
		known.limit = limit
		known.level, known.extra = min(known.level, l.capacity(limit)), min(known.extra, l.extraCapacity(limit))
	}
	l.removeUnlimited(now, limits)
	if !l.initialized {
		l.initialized = true
		l.recollection = &recollection{until: now.Add(l.tolerance.Window), reporters: make(map[string]bool)}
	}
}

// newBucket returns a bucket for a tenant that had none. It is full if the tenant had no limit
// before, as nothing was granted in this window. If tokens may have been granted, by an
// earlier ledger or under a limit that was removed, most of the bucket is withheld until the
// window ends.
func (l *Ledger) newBucket(now time.Time, name string, limit Limit) *bucket {
	full := l.capacity(limit)
	b := &bucket{limit: limit, updatedAt: now, level: full, extra: l.extraCapacity(limit)}
	if _, recentlyRemoved := l.limitRemovedAt[name]; recentlyRemoved || !l.initialized {
		b.level = min(full, l.tolerance.Slack*initialSlackShare+1)
		b.extra, b.withheld, b.releaseAt = 0, full-b.level, now.Add(l.tolerance.Window)
	}
	if l.resumed[name] && !l.initialized {
		// The ledger before this one may have granted what is beyond its bucket too.
		b.level, b.withheld = 0, full
		b.refillFrom = now.Add(l.extraTime())
	}
	return b
}

// removeUnlimited drops the buckets of tenants that no longer have a limit.
func (l *Ledger) removeUnlimited(now time.Time, limits map[string]Limit) {
	maps.DeleteFunc(l.buckets, func(name string, held *bucket) bool {
		removed := limits[name].Rate <= 0
		if removed {
			l.limitRemovedAt[name] = now
		}
		if removed && held.metered {
			l.revision++
		}
		return removed
	})
}

// Message is a router's report and token request.
type Message struct {
	// Router is the router's name. Sequence increases with each new message of one process.
	Router   string `json:"router"`
	Sequence uint64 `json:"sequence"`
	// Spent counts the requests admitted without a token, Wanted those waiting for one.
	Spent  map[string]int `json:"spent,omitempty"`
	Wanted map[string]int `json:"wanted,omitempty"`
	// Waiting describes the requests counted in Wanted. A router that leaves it out gets no
	// promises.
	Waiting map[string][]Waiting `json:"waiting,omitempty"`
	// Recalls says that the router sends the message again with Recall if the reply asks for it.
	Recalls bool    `json:"recalls,omitempty"`
	Recall  *Recall `json:"recall,omitempty"`
}

// Grant is the reply to a token request for one tenant.
type Grant struct {
	// Granted is how many of the requests may pass.
	Granted int `json:"granted"`
	// Next is the time until another token is available; 0 if all were granted.
	Next time.Duration `json:"next,omitempty"`
	// Outcomes are those of the requests in Message.Waiting, in order; Granted counts the
	// granted ones.
	Outcomes []Outcome `json:"outcomes,omitempty"`
}

// Reply is the reply to a message.
type Reply struct {
	Grants map[string]Grant `json:"grants,omitempty"`
	// Metered says, for each tenant with a limit that the message names, whether it is
	// metered.
	Metered map[string]bool `json:"metered,omitempty"`
	// Recall says that the message was not processed: a new ledger asks the router to send it
	// again with what it admitted within this time.
	Recall time.Duration `json:"recall,omitempty"`
}

// Process processes a message. A tenant without a limit gets all the tokens that it requests.
func (l *Ledger) Process(now time.Time, message Message) Reply {
	if l.mustRecall(now, message) {
		return Reply{Recall: l.tolerance.Window}
	}
	l.record(now, message)
	reply := Reply{Grants: make(map[string]Grant, len(message.Wanted))}
	for name, wanted := range message.Wanted {
		reply.Grants[name] = l.grant(now, name, wanted, message.Waiting[name])
	}
	reply.Metered = l.meteredFor(message)
	return reply
}

// record takes what a message reports into the buckets, unless an earlier copy of it was.
func (l *Ledger) record(now time.Time, message Message) {
	last, known := l.lastSequences[message.Router]
	if known && message.Sequence <= last {
		return
	}
	if !known && len(l.lastSequences) >= maxReporters {
		clear(l.lastSequences)
	}
	l.lastSequences[message.Router] = message.Sequence
	for name, count := range message.Spent {
		if held, limited := l.buckets[name]; limited && count > 0 {
			// What is recalled includes what is reported with it.
			l.spend(held, now, count, message.Recall == nil)
		}
	}
	if message.Recall != nil {
		l.recollect(now, message.Router, *message.Recall)
	}
}

func (l *Ledger) meteredFor(message Message) map[string]bool {
	metered := make(map[string]bool, len(message.Spent)+len(message.Wanted))
	for _, named := range []map[string]int{message.Spent, message.Wanted} {
		for name := range named {
			if held, limited := l.buckets[name]; limited {
				metered[name] = held.metered
			}
		}
	}
	return metered
}

// spend takes requests that were admitted without a token out of a bucket, and counts them in
// the window unless they are counted already. A bucket is not taken below zero: what passed
// beyond it counts in the window, and requests from before the window refuse no later ones.
func (l *Ledger) spend(b *bucket, now time.Time, count int, uncounted bool) {
	l.refill(b, now)
	b.remove(float64(count))
	b.spent += uint64(count)
	if uncounted {
		b.passed.add(now, count)
	}
	l.updateMetering(b, now)
}

// grant decides about the requests of one tenant that wait for a token.
func (l *Ledger) grant(now time.Time, name string, wanted int, waiting []Waiting) Grant {
	b, limited := l.buckets[name]
	if !limited || wanted <= 0 {
		return Grant{Granted: max(0, wanted), Outcomes: grantedAll(len(waiting))}
	}
	l.refill(b, now)
	var result Grant
	if len(waiting) == wanted {
		result = l.grantEach(b, now, waiting)
	} else {
		free := l.available(b) - float64(b.promises.count())
		result.Granted = min(wanted, max(0, int(free)))
		if result.Granted > 0 {
			b.take(now, result.Granted)
		}
	}
	b.refused += uint64(wanted - result.Granted)
	if result.Granted < wanted {
		result.Next = l.availableIn(b, now, float64(b.promises.count()+1))
	}
	l.updateMetering(b, now)
	return result
}

// updateMetering decides whether a tenant is metered.
func (l *Ledger) updateMetering(b *bucket, now time.Time) {
	capacity := l.capacity(b.limit)
	threshold := meterThreshold(capacity, l.rate(b.limit))
	level := min(b.level, l.windowLeft(b)-float64(b.promises.count()))
	switch {
	case !b.metered && level < threshold:
		b.metered, b.meteringChangedAt = true, now
		l.revision++
	case b.metered && level > max(threshold, unmeterShare*capacity) && now.Sub(b.meteringChangedAt) >= minMeterDuration:
		b.metered, b.meteringChangedAt = false, now
		l.revision++
	}
}

// Metered returns the metered tenants, sorted by name, and the revision of that list.
func (l *Ledger) Metered(now time.Time) ([]string, uint64) {
	var names []string
	for name, b := range l.buckets {
		l.refill(b, now)
		if l.updateMetering(b, now); b.metered {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, l.revision
}

// Revision increases whenever the set of metered tenants, or the result of Exceeding, changes.
func (l *Ledger) Revision() uint64 { return l.revision }

// HasLimits reports whether any tenant has a limit.
func (l *Ledger) HasLimits() bool { return len(l.buckets) > 0 }

// Usage is the state of one tenant in the ledger.
type Usage struct {
	Tenant string  `json:"tenant"`
	Rate   float64 `json:"rate"`
	Burst  float64 `json:"burst"`
	// Tokens left in the bucket; negative while more was spent than allowed.
	Tokens  float64 `json:"tokens"`
	Metered bool    `json:"metered"`
	// Spent and Refused count requests since the ledger was created.
	Spent   uint64 `json:"spent"`
	Refused uint64 `json:"refused"`
}

// Usage returns the usage of every tenant with a limit, those with the most refused requests
// first.
func (l *Ledger) Usage(now time.Time) []Usage {
	usages := make([]Usage, 0, len(l.buckets))
	for name, b := range l.buckets {
		l.refill(b, now)
		usages = append(usages, Usage{
			Tenant: name, Rate: b.limit.Rate, Burst: b.limit.Burst, Tokens: l.available(b),
			Metered: b.metered, Spent: b.spent, Refused: b.refused,
		})
	}
	slices.SortFunc(usages, compareUsage)
	return usages
}

func compareUsage(a, b Usage) int {
	return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(b.Spent, a.Spent), cmp.Compare(a.Tenant, b.Tenant))
}
