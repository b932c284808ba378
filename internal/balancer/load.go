package balancer

import (
	"math"
	"time"

	"github.com/martenstage/martenstage/internal/backendapi"
)

const (
	// distrustWeight is the weight of one report in the moving average of distrust.
	distrustWeight = 0.1
	// distrustLimit is the distrust at which reported queues are ignored.
	distrustLimit = 0.5
	// busyQueue is the number of queued attempts that a server needs to keep its
	// slots busy.
	busyQueue = 1
)

// reportedLoad is the last load that a server reported, and how far its reports
// can be trusted.
type reportedLoad struct {
	otherWork  float64
	queued     int
	reportedAt time.Time
	// distrust, in [0,1], is the moving average of the fraction of reports that
	// claimed less work than this router alone had in flight at the server.
	distrust float64
}

// observe records a load report that arrived while the router had ownInFlight
// attempts at the server.
func (l *reportedLoad) observe(now time.Time, load backendapi.Load, ownInFlight int) {
	total := load.InFlight + load.Queued
	// A report of less work than this router has there is late or false. One
	// attempt of difference is tolerated, since it may still be in transit.
	misled := 0.0
	if total < ownInFlight-1 {
		misled = 1
	}
	l.distrust += distrustWeight * (misled - l.distrust)
	l.queued = load.Queued
	l.otherWork = float64(max(total-ownInFlight, 0))
	l.reportedAt = now
}

// congested reports whether the last report is trusted and shows more queued work
// than keeps the slots busy.
func (l *reportedLoad) congested() bool {
	return l.queued > busyQueue && l.distrust < distrustLimit
}

// estimate returns the work of other routers at the server, decayed by the age of
// the report. It is added to the router's own attempts, so that a report can make a
// server look busier, but never less busy than the router knows it to be.
func (l *reportedLoad) estimate(now time.Time, halfLife time.Duration) float64 {
	if l.otherWork == 0 {
		return 0
	}
	age := float64(now.Sub(l.reportedAt)) / float64(halfLife)
	return l.otherWork * (1 - l.distrust) * math.Exp2(-age)
}
