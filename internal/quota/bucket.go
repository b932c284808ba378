package quota

import "time"

// bucket holds the tokens of one tenant.
type bucket struct {
	limit Limit
	level float64
	// extra are further tokens, which refill once the bucket is full.
	extra             float64
	updatedAt         time.Time
	metered           bool
	meteringChangedAt time.Time
	spent             uint64
	refused           uint64
	// withheld tokens are added to the bucket at releaseAt, and none are added for the time
	// before refillFrom.
	withheld   float64
	releaseAt  time.Time
	refillFrom time.Time
	// passed counts the requests of the last window, which with those to come must not exceed
	// the limit.
	passed slidingCount
	// promises are the tokens promised to refused requests.
	promises promises
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

// extraTime returns for how long of its rate a tenant may send at once beyond its burst.
func (l *Ledger) extraTime() time.Duration { return min(maxExtraTime, l.tolerance.Window) }

// extraCapacity returns how many tokens beyond its bucket a tenant may have.
// There are none until all routers have recalled what they admitted: a ledger after this one
// could not know that they were granted.
func (l *Ledger) extraCapacity(limit Limit) float64 {
	if !l.recollection.complete() {
		return 0
	}
	return l.extraTime().Seconds() * l.rate(limit)
}

// windowLimit returns how many requests may pass in a window. The steady part of the slack is not
// in it, as it only balances the bucket against the tenant's own count.
func (l *Ledger) windowLimit(limit Limit) float64 {
	return l.capacity(limit) + l.rate(limit)*l.tolerance.Window.Seconds()
}

// windowLeft returns how many more requests the window holds.
func (l *Ledger) windowLeft(b *bucket) float64 {
	if l.tolerance.Window <= 0 {
		return b.level
	}
	return l.windowLimit(b.limit) - float64(b.passed.total)
}

// available returns how many tokens a tenant may have now: those of its bucket and beyond, or
// fewer if the window holds almost its limit.
func (l *Ledger) available(b *bucket) float64 { return min(b.level+b.extra, l.windowLeft(b)) }

// availableIn returns the time until a number of tokens is available.
func (l *Ledger) availableIn(b *bucket, now time.Time, number float64) time.Duration {
	missing := max(0, number-b.level-b.extra)
	wait := time.Duration(missing / l.rate(b.limit) * float64(time.Second))
	if missing > 0 {
		wait += max(0, b.refillFrom.Sub(now))
	}
	if released := b.releaseAt.Sub(now); b.withheld > 0 && missing <= b.withheld {
		wait = min(wait, released)
	}
	if l.tolerance.Window <= 0 {
		return wait
	}
	return max(wait, b.passed.reaches(now, l.tolerance.Window, l.windowLimit(b.limit)-number))
}

// add adds the tokens of the time until now to a bucket.
func (l *Ledger) add(b *bucket, now time.Time) {
	// A token whose promise is due is kept beyond a full bucket until its request comes.
	full, from := l.capacity(b.limit)+float64(b.promises.due(now)), b.updatedAt
	if b.refillFrom.After(from) {
		from = b.refillFrom
	}
	if passed := now.Sub(from); passed > 0 {
		level := b.level + passed.Seconds()*l.rate(b.limit)
		b.level = min(full, level)
		b.extra = min(l.extraCapacity(b.limit), b.extra+max(0, level-full))
	}
	if now.After(b.updatedAt) {
		b.updatedAt = now
	}
}

// remove takes tokens out of a bucket, and then those beyond it.
func (b *bucket) remove(count float64) {
	fromLevel := min(count, max(0, b.level))
	b.level -= fromLevel
	b.extra = max(0, b.extra-(count-fromLevel))
}

func (l *Ledger) refill(b *bucket, now time.Time) {
	l.add(b, now)
	full := l.capacity(b.limit)
	b.passed.expire(now, l.tolerance.Window)
	b.promises.expire(now)
	// The level and the withheld tokens together never exceed the capacity.
	b.withheld = min(b.withheld, full-b.level)
	if b.withheld > 0 && !now.Before(b.releaseAt) {
		b.level, b.withheld = b.level+b.withheld, 0
	}
}

// take takes granted tokens out of a bucket.
func (b *bucket) take(now time.Time, count int) {
	b.remove(float64(count))
	b.spent += uint64(count)
	b.passed.add(now, count)
}
