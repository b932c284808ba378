package scatter

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ColdLimits bound the requests to a cold server in any second, over all routers, to the
// service's rate × Over + Slack.
type ColdLimits struct {
	RateFactor float64
	Slack      float64
}

// coldRateShare is the share of a cold server's rate that routers use. The rest covers
// requests in flight while the set of routers changes, and seconds in which requests of the
// second before still arrive.
const coldRateShare = 0.8

// coldShare is this router's share of the load allowed on a cold server. The zero value is for
// servers without a bound.
type coldShare struct {
	bounded bool
	// rate is how many requests a second this router may send; 0 for none.
	rate float64
}

// coldShare returns this router's share of the load allowed on each cold server of a service.
// Shares must allow whole requests, so only some routers have one: as many as may each send
// one request at the same moment in addition to their rate.
func (e *Engine) coldShare(g *group) coldShare {
	if g.coldRate <= 0 {
		return coldShare{}
	}
	count, rank := e.routers, e.rank
	if gathering := g.gatherers; gathering.Count > 0 {
		if !gathering.Self {
			return coldShare{bounded: true}
		}
		count, rank = gathering.Count, gathering.Rank
	}
	spare := g.coldRate*(e.config.Cold.RateFactor-coldRateShare) + e.config.Cold.Slack
	sharing := max(1, min(count, int(math.Floor(spare))))
	// The rotation starts at another router for each service, so that no router has a share of
	// all.
	turn := (rank + int(xxhash.Sum64String(g.service)%uint64(count))) % count
	if turn >= sharing {
		return coldShare{bounded: true}
	}
	return coldShare{bounded: true, rate: coldRateShare * g.coldRate / float64(sharing)}
}

// coldLimited reports whether the server is cold and may get no request from this router now.
func (s *server) coldLimited(now time.Time, part coldShare) bool {
	return part.bounded && now.Before(s.WarmAt) && s.coldTokensAt(now, part) < 1
}

// coldTokensAt returns the tokens available for the cold server. The balance starts at zero,
// since other routers may have used it up already.
func (s *server) coldTokensAt(now time.Time, part coldShare) float64 {
	if s.coldFilledAt.IsZero() {
		return 0
	}
	return min(1, s.coldTokens+part.rate*now.Sub(s.coldFilledAt).Seconds())
}

// startColdBudget starts the token bucket of a server that is cold.
func (s *server) startColdBudget(now time.Time) {
	if s.coldFilledAt.IsZero() && now.Before(s.WarmAt) {
		s.coldFilledAt = now
	}
}

// spendColdToken takes a token for a request to a server that may be cold.
func (s *server) spendColdToken(now time.Time, part coldShare) {
	if part.bounded {
		s.coldTokens, s.coldFilledAt = max(0, s.coldTokensAt(now, part)-1), now
	}
}
