package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limit is what a tenant may send, over all routers together.
type Limit struct {
	// Rate is in requests a second; 0 is no limit.
	Rate float64
	// Burst is how many requests beyond that may come at once.
	Burst float64
}

// Tolerance is by how much the requests of a tenant in any window may exceed its limit:
// (Rate x Window + Burst) x (1 + Over) + Slack requests are allowed in each.
type Tolerance struct {
	Over   float64
	Slack  float64
	Window time.Duration
}

// Shares of the tolerance.
const (
	// granted of it is added to every bucket, and steady of the slack to what comes into one
	// in each window: a tenant that stays just below its limit is refused next to nothing
	// though its bucket and its own count differ. The rest covers what passes before all
	// routers know that a tenant is metered.
	granted = 0.25
	steady  = 0.3
	// startShare of the slack is in the buckets of a ledger that has just begun, until it is a
	// window old: the one before it may have granted all of a limit in the same window.
	startShare = 0.2
)

// Thresholds of ending to meter.
const (
	// unmeterShare of a bucket has to be filled again until a tenant is not metered any
	// more, and meterHold is the least time until then: each change is told to all routers.
	unmeterShare = 0.6
	meterHold    = time.Second
)

// maxReporters bounds the reporters whose last report is remembered.
const maxReporters = 20_000

// bucket holds the tokens of one tenant. The level may be below zero.
type bucket struct {
	limit   Limit
	level   float64
	at      time.Time
	metered bool
	since   time.Time
	spent   uint64
	refused uint64
	// withheld are tokens that come into the bucket at release.
	withheld float64
	release  time.Time
}

// Ledger counts what tenants spend. Its owner guards it.
type Ledger struct {
	tolerance Tolerance
	buckets   map[string]*bucket
	// begun is set once it knows limits; left is when tenants lost theirs, for a window.
	begun bool
	left  map[string]time.Time
	// reports are the sequence numbers of the last report of each router, so that one that
	// is sent again, since its answer was lost, counts once.
	reports map[string]uint64
	// revision rises whenever the metered tenants change.
	revision uint64
}

// NewLedger returns one that knows no limits.
func NewLedger(tolerance Tolerance) *Ledger {
	return &Ledger{
		tolerance: tolerance, buckets: make(map[string]*bucket),
		left: make(map[string]time.Time), reports: make(map[string]uint64),
	}
}

// SetLimits replaces the limits of all tenants, from now on. Tenants without a limit are
// left out.
func (l *Ledger) SetLimits(now time.Time, limits map[string]Limit) {
	maps.DeleteFunc(l.left, func(_ string, at time.Time) bool { return now.Sub(at) >= l.tolerance.Window })
	for name, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		known, exists := l.buckets[name]
		if !exists {
			l.buckets[name] = l.begin(now, name, limit)
			continue
		}
		l.fill(known, now)
		known.limit = limit
		known.level = min(known.level, l.capacity(limit))
	}
	l.forget(now, limits)
	l.begun = true
}

// begin returns the bucket of a tenant that had none. It is full if the tenant had no limit
// before: nothing of it was granted in this window. Where it may have been, by an earlier ledger
// or under a limit that was taken away, most of it is withheld until the window is over.
func (l *Ledger) begin(now time.Time, name string, limit Limit) *bucket {
	full := l.capacity(limit)
	held := &bucket{limit: limit, at: now, level: full}
	if _, lately := l.left[name]; lately || !l.begun {
		held.level = min(full, l.tolerance.Slack*startShare+1)
		held.withheld, held.release = full-held.level, now.Add(l.tolerance.Window)
	}
	return held
}

// forget drops the buckets of tenants that have no limit any more.
func (l *Ledger) forget(now time.Time, limits map[string]Limit) {
	maps.DeleteFunc(l.buckets, func(name string, held *bucket) bool {
		gone := limits[name].Rate <= 0
		if gone {
			l.left[name] = now
		}
		if gone && held.metered {
			l.revision++
		}
		return gone
	})
}

// capacity is how many tokens a bucket holds.
func (l *Ledger) capacity(limit Limit) float64 {
	return max(1, limit.Burst*(1+granted*l.tolerance.Over)+granted*l.tolerance.Slack)
}

// rate is how many tokens a second a bucket gets.
func (l *Ledger) rate(limit Limit) float64 {
	rate := limit.Rate * (1 + granted*l.tolerance.Over)
	if l.tolerance.Window > 0 {
		rate += steady * l.tolerance.Slack / l.tolerance.Window.Seconds()
	}
	return rate
}

func (l *Ledger) fill(held *bucket, now time.Time) {
	full := l.capacity(held.limit)
	if passed := now.Sub(held.at); passed > 0 {
		held.level = min(full, held.level+passed.Seconds()*l.rate(held.limit))
		held.at = now
	}
	// Both together never hold more than a bucket does.
	held.withheld = min(held.withheld, full-held.level)
	if held.withheld > 0 && !now.Before(held.release) {
		held.level, held.withheld = held.level+held.withheld, 0
	}
}

// Message is what a router reports and asks for.
type Message struct {
	// Router is its name, Sequence rises with each new message of one start.
	Router   string `json:"router"`
	Sequence uint64 `json:"sequence"`
	// Spent are the requests that passed unasked, Wanted those that wait for a token.
	Spent  map[string]int `json:"spent,omitempty"`
	Wanted map[string]int `json:"wanted,omitempty"`
}

// Grant is the answer to what was wanted for one tenant.
type Grant struct {
	// Granted is how many of the requests may pass.
	Granted int `json:"granted"`
	// Next is after how long there is another token; 0 if all were granted.
	Next time.Duration `json:"next,omitempty"`
}

// Reply answers a message.
type Reply struct {
	Grants map[string]Grant `json:"grants,omitempty"`
	// Metered says of each tenant with a limit that the message names whether it is metered.
	Metered map[string]bool `json:"metered,omitempty"`
}

// Take takes a message in. A tenant without a limit gets all that it wants.
func (l *Ledger) Take(now time.Time, message Message) Reply {
	if last, known := l.reports[message.Router]; !known || message.Sequence > last {
		if !known && len(l.reports) >= maxReporters {
			clear(l.reports)
		}
		l.reports[message.Router] = message.Sequence
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
	reply.Metered = l.meteredOf(message)
	return reply
}

func (l *Ledger) meteredOf(message Message) map[string]bool {
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

// spend takes requests that passed unasked out of a bucket. The debt of one that goes below
// zero is paid within a window: what was sent before counts in no later one, so that a longer
// debt would keep the tenant from what it may send and make up for nothing.
func (l *Ledger) spend(held *bucket, now time.Time, count int) {
	l.fill(held, now)
	held.level = max(held.level-float64(count), min(held.level, -l.rate(held.limit)*l.tolerance.Window.Seconds()))
	held.spent += uint64(count)
	l.meter(held, now)
}

func (l *Ledger) grant(now time.Time, name string, wanted int) Grant {
	held, limited := l.buckets[name]
	if !limited || wanted <= 0 {
		return Grant{Granted: max(0, wanted)}
	}
	l.fill(held, now)
	given := Grant{Granted: min(wanted, max(0, int(held.level)))}
	held.level -= float64(given.Granted)
	held.spent += uint64(given.Granted)
	held.refused += uint64(wanted - given.Granted)
	if given.Granted < wanted {
		given.Next = time.Duration((1 - held.level) / l.rate(held.limit) * float64(time.Second))
	}
	l.meter(held, now)
	return given
}

// meter decides whether a tenant is metered.
func (l *Ledger) meter(held *bucket, now time.Time) {
	capacity := l.capacity(held.limit)
	least := meteredBelow(capacity, l.rate(held.limit))
	switch {
	case !held.metered && held.level < least:
		held.metered, held.since = true, now
		l.revision++
	case held.metered && held.level > max(least, unmeterShare*capacity) && now.Sub(held.since) >= meterHold:
		held.metered, held.since = false, now
		l.revision++
	}
}

// Metered returns the tenants that are metered, ordered by name, and the revision of that
// list.
func (l *Ledger) Metered(now time.Time) ([]string, uint64) {
	var names []string
	for name, held := range l.buckets {
		l.fill(held, now)
		if l.meter(held, now); held.metered {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, l.revision
}

// Revision rises whenever the metered tenants change.
func (l *Ledger) Revision() uint64 { return l.revision }

// Limited reports whether any tenant has a limit.
func (l *Ledger) Limited() bool { return len(l.buckets) > 0 }

// Usage is what a ledger knows of one tenant.
type Usage struct {
	Tenant string  `json:"tenant"`
	Rate   float64 `json:"rate"`
	Burst  float64 `json:"burst"`
	// Tokens that are left; below zero while more was spent than allowed.
	Tokens  float64 `json:"tokens"`
	Metered bool    `json:"metered"`
	// Spent and Refused are requests since the ledger began.
	Spent   uint64 `json:"spent"`
	Refused uint64 `json:"refused"`
}

// Usage returns what is known of every tenant with a limit, those that were refused most
// first.
func (l *Ledger) Usage(now time.Time) []Usage {
	used := make([]Usage, 0, len(l.buckets))
	for name, held := range l.buckets {
		l.fill(held, now)
		used = append(used, Usage{
			Tenant: name, Rate: held.limit.Rate, Burst: held.limit.Burst, Tokens: held.level,
			Metered: held.metered, Spent: held.spent, Refused: held.refused,
		})
	}
	slices.SortFunc(used, compareUsage)
	return used
}

func compareUsage(a, b Usage) int {
	return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(b.Spent, a.Spent), cmp.Compare(a.Tenant, b.Tenant))
}
