package gateway

import (
	"math"
	"sync/atomic"
	"time"
)

// rateHalfLife is the age at which the weight of past events has halved.
const rateHalfLife = 2 * time.Second

// rate is an exponentially weighted event rate. Any goroutine may add events; only one may
// read the rate.
type rate struct {
	count     atomic.Int64
	lastCount int64
	lastTime  time.Time
	value     float64
}

// add counts events.
func (r *rate) add(events int) { r.count.Add(int64(events)) }

// perSecond returns the recent rate of events per second.
func (r *rate) perSecond(now time.Time) float64 {
	count := r.count.Load()
	passed := now.Sub(r.lastTime)
	if r.lastTime.IsZero() || passed <= 0 {
		r.lastCount, r.lastTime = count, now
		return r.value
	}
	weight := 1 - math.Exp2(-float64(passed)/float64(rateHalfLife))
	r.value += weight * (float64(count-r.lastCount)/passed.Seconds() - r.value)
	r.lastCount, r.lastTime = count, now
	return r.value
}
