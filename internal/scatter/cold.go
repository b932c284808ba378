package scatter

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ColdLimits bound the requests to a cold server in any second, over all routers:
// the service's rate × Over + Slack.
type ColdLimits struct {
	Over  float64
	Slack float64
}

// usedColdRate is the part of a cold server's rate that routers make use of. The rest is
// for requests that are on their way when routers change, and for a second that begins
// while those before are still to come in.
const usedColdRate = 0.8

// coldShare is this router's part of what a cold server bears. The zero value is for
// servers that bear any number.
type coldShare struct {
	bounded bool
	// rate is how many requests a second it may send; 0 for none.
	rate float64
}

// coldShare returns this router's part of what each cold server of a service bears. So
// that the parts are whole requests, only some routers have one: as many as may each send
// one at the same moment beside what they send in a second by their rate.
func (e *Engine) coldShare(of *group) coldShare {
	if of.coldRate <= 0 {
		return coldShare{}
	}
	count, rank := e.routers, e.rank
	if gathering := of.gatherers; gathering.Count > 0 {
		if !gathering.Self {
			return coldShare{bounded: true}
		}
		count, rank = gathering.Count, gathering.Rank
	}
	spare := of.coldRate*(e.config.Cold.Over-usedColdRate) + e.config.Cold.Slack
	sharing := max(1, min(count, int(math.Floor(spare))))
	// Each service begins at another router, so that none has a part of all.
	turn := (rank + int(xxhash.Sum64String(of.service)%uint64(count))) % count
	if turn >= sharing {
		return coldShare{bounded: true}
	}
	return coldShare{bounded: true, rate: usedColdRate * of.coldRate / float64(sharing)}
}

// withheldCold reports whether the server is cold and gets nothing from this router now.
func (s *server) withheldCold(now time.Time, part coldShare) bool {
	return part.bounded && now.Before(s.WarmAt) && s.coldAt(now, part) < 1
}

// coldAt is what this router may send to the cold server at a time. It starts with
// nothing, since others may have sent what it had.
func (s *server) coldAt(now time.Time, part coldShare) float64 {
	if s.coldFilled.IsZero() {
		return 0
	}
	return min(1, s.coldTokens+part.rate*now.Sub(s.coldFilled).Seconds())
}

// turnCold begins to fill what this router may send to a server that is cold.
func (s *server) turnCold(now time.Time) {
	if s.coldFilled.IsZero() && now.Before(s.WarmAt) {
		s.coldFilled = now
	}
}

// spendCold counts a request to a server, which may be cold.
func (s *server) spendCold(now time.Time, part coldShare) {
	if part.bounded {
		s.coldTokens, s.coldFilled = max(0, s.coldAt(now, part)-1), now
	}
}
