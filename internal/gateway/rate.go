package gateway

import (
	"math"
	"sync/atomic"
	"time"
)

// rateHalfLife is the age at which half of what a rate goes by is of events since.
const rateHalfLife = 2 * time.Second

// rate is how often something happens. Events may be counted by any goroutine; one
// asks for the rate.
type rate struct {
	count  atomic.Int64
	read   int64
	at     time.Time
	second float64
}

// add counts events.
func (r *rate) add(events int) { r.count.Add(int64(events)) }

// perSecond returns how many events came a second, lately.
func (r *rate) perSecond(now time.Time) float64 {
	count := r.count.Load()
	passed := now.Sub(r.at)
	if r.at.IsZero() || passed <= 0 {
		r.read, r.at = count, now
		return r.second
	}
	weight := 1 - math.Exp2(-float64(passed)/float64(rateHalfLife))
	r.second += weight * (float64(count-r.read)/passed.Seconds() - r.second)
	r.read, r.at = count, now
	return r.second
}
