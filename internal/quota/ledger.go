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

// bucket holds the tokens of one tenant. The level may be negative.
type bucket struct {
	limit             Limit
	level             float64
	updatedAt         time.Time
	metered           bool
	meteringChangedAt time.Time
	spent             uint64
	refused           uint64
	// withheld tokens are added to the bucket at releaseAt.
	withheld  float64
	releaseAt time.Time
}

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
	// revision increases whenever the set of metered tenants changes.
	revision uint64
}

// NewLedger returns a ledger without limits.
func NewLedger(tolerance Tolerance) *Ledger {
	return &Ledger{
		tolerance: tolerance, buckets: make(map[string]*bucket),
		limitRemovedAt: make(map[string]time.Time), lastSequences: make(map[string]uint64),
	}
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
		known.level = min(known.level, l.capacity(limit))
	}
	l.removeUnlimited(now, limits)
	l.initialized = true
}

// newBucket returns a bucket for a tenant that had none. It is full if the tenant had no limit
// before, as nothing was granted in this window. If tokens may have been granted, by an
// earlier ledger or under a limit that was removed, most of the bucket is withheld until the
// window ends.
func (l *Ledger) newBucket(now time.Time, name string, limit Limit) *bucket {
	full := l.capacity(limit)
	b := &bucket{limit: limit, updatedAt: now, level: full}
	if _, recentlyRemoved := l.limitRemovedAt[name]; recentlyRemoved || !l.initialized {
		b.level = min(full, l.tolerance.Slack*initialSlackShare+1)
		b.withheld, b.releaseAt = full-b.level, now.Add(l.tolerance.Window)
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

// capacity returns how many tokens a bucket holds.
func (l *Ledger) capacity(limit Limit) float64 {
	return max(1, limit.Burst*(1+baseToleranceShare*l.tolerance.Fraction)+baseToleranceShare*l.tolerance.Slack)
}

// rate returns the refill rate of a bucket in tokens a second.
func (l *Ledger) rate(limit Limit) float64 {
	rate := limit.Rate * (1 + baseToleranceShare*l.tolerance.Fraction)
	if l.tolerance.Window > 0 {
		rate += steadySlackShare * l.tolerance.Slack / l.tolerance.Window.Seconds()
	}
	return rate
}

func (l *Ledger) refill(b *bucket, now time.Time) {
	full := l.capacity(b.limit)
	if passed := now.Sub(b.updatedAt); passed > 0 {
		b.level = min(full, b.level+passed.Seconds()*l.rate(b.limit))
		b.updatedAt = now
	}
	// The level and the withheld tokens together never exceed the capacity.
	b.withheld = min(b.withheld, full-b.level)
	if b.withheld > 0 && !now.Before(b.releaseAt) {
		b.level, b.withheld = b.level+b.withheld, 0
	}
}

// Message is a router's report and token request.
type Message struct {
	// Router is the router's name. Sequence increases with each new message of one process.
	Router   string `json:"router"`
	Sequence uint64 `json:"sequence"`
	// Spent counts the requests admitted without a token, Wanted those waiting for one.
	Spent  map[string]int `json:"spent,omitempty"`
	Wanted map[string]int `json:"wanted,omitempty"`
}

// Grant is the reply to a token request for one tenant.
type Grant struct {
	// Granted is how many of the requests may pass.
	Granted int `json:"granted"`
	// Next is the time until another token is available; 0 if all were granted.
	Next time.Duration `json:"next,omitempty"`
}

// Reply is the reply to a message.
type Reply struct {
	Grants map[string]Grant `json:"grants,omitempty"`
	// Metered says, for each tenant with a limit that the message names, whether it is
	// metered.
	Metered map[string]bool `json:"metered,omitempty"`
}

// Process processes a message. A tenant without a limit gets all the tokens that it requests.
func (l *Ledger) Process(now time.Time, message Message) Reply {
	if last, known := l.lastSequences[message.Router]; !known || message.Sequence > last {
		if !known && len(l.lastSequences) >= maxReporters {
			clear(l.lastSequences)
		}
		l.lastSequences[message.Router] = message.Sequence
		for name, count := range message.Spent {
			if held, limited := l.buckets[name]; limited && count > 0 {
				l.spend(held, now, count)
			}
		}
	}
	reply := Reply{Grants: make(map[string]Grant, len(message.Wanted))}
	for name, wanted := range message.Wanted {
		reply.Grants[name] = l.grant(now, name, wanted)
	}
	reply.Metered = l.meteredFor(message)
	return reply
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

// spend takes requests that were admitted without a token out of a bucket. The debt is limited
// to what one window refills: requests from before that count in no later window, so a larger
// debt would only refuse requests that are within the limit.
func (l *Ledger) spend(b *bucket, now time.Time, count int) {
	l.refill(b, now)
	b.level = max(b.level-float64(count), min(b.level, -l.rate(b.limit)*l.tolerance.Window.Seconds()))
	b.spent += uint64(count)
	l.updateMetering(b, now)
}

func (l *Ledger) grant(now time.Time, name string, wanted int) Grant {
	b, limited := l.buckets[name]
	if !limited || wanted <= 0 {
		return Grant{Granted: max(0, wanted)}
	}
	l.refill(b, now)
	result := Grant{Granted: min(wanted, max(0, int(b.level)))}
	b.level -= float64(result.Granted)
	b.spent += uint64(result.Granted)
	b.refused += uint64(wanted - result.Granted)
	if result.Granted < wanted {
		result.Next = time.Duration((1 - b.level) / l.rate(b.limit) * float64(time.Second))
	}
	l.updateMetering(b, now)
	return result
}

// updateMetering decides whether a tenant is metered.
func (l *Ledger) updateMetering(b *bucket, now time.Time) {
	capacity := l.capacity(b.limit)
	threshold := meterThreshold(capacity, l.rate(b.limit))
	switch {
	case !b.metered && b.level < threshold:
		b.metered, b.meteringChangedAt = true, now
		l.revision++
	case b.metered && b.level > max(threshold, unmeterShare*capacity) && now.Sub(b.meteringChangedAt) >= minMeterDuration:
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

// Revision increases whenever the set of metered tenants changes.
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
			Tenant: name, Rate: b.limit.Rate, Burst: b.limit.Burst, Tokens: b.level,
			Metered: b.metered, Spent: b.spent, Refused: b.refused,
		})
	}
	slices.SortFunc(usages, compareUsage)
	return usages
}

func compareUsage(a, b Usage) int {
	return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(b.Spent, a.Spent), cmp.Compare(a.Tenant, b.Tenant))
}
