package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// stopState is what requests need to know of a planned stop.
type stopState struct {
	// answersBy is the latest time for answers; nil while the router is not stopping.
	answersBy atomic.Pointer[time.Time]
	// begun is closed once it is set.
	begun chan struct{}
}

// limitAnswers has all requests answered by a time.
func (g *Gateway) limitAnswers(answersBy time.Time) {
	g.stop.answersBy.Store(&answersBy)
	g.loop.events <- scatter.Stopping{AnswersBy: answersBy}
	close(g.stop.begun)
}

// refuseStopping refuses a request that the stop leaves too little time for, before anything is
// sent for it. It reports whether it did.
func (s *exchangeState) refuseStopping() bool {
	answersBy := s.gateway.stop.answersBy.Load()
	now := steadyclock.Now()
	if answersBy == nil || s.trialRan || !stopsTooSoon(now, *answersBy, s.ownDeadline(), s.gateway.config.Grace/2) {
		return false
	}
	// Without a delay: another router can serve the request at once.
	s.refuse(http.StatusServiceUnavailable, verdict.ReasonStopping, 0)
	return true
}

// stopsTooSoon reports whether the answer to a request can't be awaited: the latest time for
// answers comes before the request's deadline, and within patience.
func stopsTooSoon(now, answersBy, deadline time.Time, patience time.Duration) bool {
	return answersBy.Before(deadline) && answersBy.Sub(now) < patience
}
