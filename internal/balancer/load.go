package balancer

import (
	"math"
	"time"

	"github.com/martenstage/martenstage/internal/backendapi"
)

const (
	// trustStep is the weight of one comparison in the trust of a server's
	// reports.
	trustStep = 0.1
	// mostDistrust is the distrust from which reports of a queue count nothing.
	mostDistrust = 0.5
	// queueToKeepBusy is the number of waiting attempts that a server needs so
	// that its slots stay busy.
	queueToKeepBusy = 1
)

// reportedLoad is what a server last said about its load, and how far such
// reports may be believed.
type reportedLoad struct {
	others   float64
	queued   int
	reported time.Time
	// distrust is in [0,1]: the moving average of how often a report claimed
	// less work than this router alone had in flight there.
	distrust float64
}

// observe takes in a report made while the router had ownInFlight attempts at
// the server.
func (l *reportedLoad) observe(now time.Time, load backendapi.Load, ownInFlight int) {
	total := load.InFlight + load.Queued
	// A report that claims less than what this router has there is either late
	// or false. A single attempt may just be on the way.
	misled := 0.0
	if total < ownInFlight-1 {
		misled = 1
	}
	l.distrust += trustStep * (misled - l.distrust)
	l.queued = load.Queued
	l.others = float64(max(total-ownInFlight, 0))
	l.reported = now
}

// congested reports whether the last report, if it may be believed, tells of
// more waiting work than keeps the slots busy.
func (l *reportedLoad) congested() bool {
	return l.queued > queueToKeepBusy && l.distrust < mostDistrust
}

// estimate returns the work of others at the server. It can only add to what
// the router sees itself, so that a report can make a server look busier but
// never idler than it is known to be.
func (l *reportedLoad) estimate(now time.Time, halfLife time.Duration) float64 {
	if l.others == 0 {
		return 0
	}
	age := float64(now.Sub(l.reported)) / float64(halfLife)
	return l.others * (1 - l.distrust) * math.Exp2(-age)
}
