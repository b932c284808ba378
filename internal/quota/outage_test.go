package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/quota"
	"pgregory.net/rapid"
)

// outage plays the loss of the whole directory from 0.7 s to 5.7 s, after which two of 75
// tenants send many times their usual rate until 13 s.
func outage(seed uint64) *simulatedSite {
	s := newSite(seed, 66, 75, 4)
	s.down, s.up = 700*time.Millisecond, 5700*time.Millisecond
	s.rate = func(tenant int, at time.Duration) float64 {
		rate := s.tenants[tenant].usual
		if at >= s.up && at < 13*time.Second && tenant < 2 {
			rate *= 4 + 3*float64(tenant)
		}
		return rate
	}
	s.maxWait, s.retry = 2*time.Second, true
	s.run(16 * time.Second)
	return s
}

// TestRequestsWithinTheLimitPassAfterALossOfTheDirectory counts the refusals by routers that
// have a leader again which a sliding window over all requests that passed would have allowed. A
// new leader's buckets once began with a fifth of the slack, which refused tenants at their
// usual rate, and held no more than the burst, although next to nothing had passed in the window
// before: 578 of 954 refusals were within the limit, 35 of them of tenants at their usual rates.
func TestRequestsWithinTheLimitPassAfterALossOfTheDirectory(t *testing.T) {
	refused, within, usual := 0, 0, 0
	for seed := range uint64(10) {
		s := outage(seed)
		for number, each := range s.tenants {
			require.LessOrEqual(t, float64(each.maxInWindow()), each.allowed(), "seed %d, %s", seed, each.name)
			for _, refusal := range each.refused {
				if refusal.isolated {
					continue
				}
				refused++
				if refusal.within {
					within++
				}
				if number >= 2 {
					usual++
				}
			}
		}
	}
	t.Logf("%d refused, %d of them within the limit, %d of tenants at their usual rates", refused, within, usual)
	require.Greater(t, refused, 500, "the tenants that exceed their limits are refused")
	require.LessOrEqual(t, float64(within), 0.05*float64(refused))
	require.LessOrEqual(t, usual, 20)
}

// TestNoWindowExceedsTheLimitAcrossLossesOfTheDirectory counts the requests that pass all
// routers while the directory is lost, some routers stay cut off after it, others start again
// just then, and tenants send many times their usual rate. A new leader that fills its buckets by
// what routers recall must cover what none of them has recalled.
func TestNoWindowExceedsTheLimitAcrossLossesOfTheDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 80).Draw(t, "routers")
		s := newSite(rapid.Uint64().Draw(t, "seed"), routers, 3, 12)
		from := time.Duration(rapid.IntRange(0, 7000).Draw(t, "surge ms")/5*5) * time.Millisecond
		times := rapid.Float64Range(1, 8).Draw(t, "times")
		s.rate = func(tenant int, at time.Duration) float64 {
			if at >= from && at < from+6*time.Second {
				return s.tenants[tenant].usual * times
			}
			return s.tenants[tenant].usual
		}
		s.retry, s.maxWait = rapid.Bool().Draw(t, "retry"), 2*time.Second
		s.down = time.Duration(rapid.IntRange(0, 8000).Draw(t, "down ms")/5*5) * time.Millisecond
		s.up = s.down + time.Duration(rapid.IntRange(0, 6000).Draw(t, "off ms")/5*5)*time.Millisecond
		// As many routers may be cut off as the tolerance of a limit has room for.
		cut := rapid.IntRange(0, min(routers/4, 13)).Draw(t, "cut")
		restarted := rapid.IntRange(0, routers-cut).Draw(t, "restarted")
		s.run(s.down)
		for number, router := range s.routers[:cut+restarted] {
			if router.cut = number < cut; !router.cut {
				s.startRouter(router)
			}
		}
		s.run(s.down + 12*time.Second)
		for _, each := range s.tenants {
			require.LessOrEqual(t, float64(each.maxInWindow()), each.allowed(), "%+v", each.limit)
		}
	})
}

// surge has the tenants of a site send 7.5 times their usual rates for six seconds, with clients
// that come back once. It returns how many requests came back as told, how many of these were
// refused, and how many of those had been promised a token.
func surge(t *testing.T, seed uint64, previousRelease bool) (returned, refused, promised int) {
	s := newSite(seed, 66, 1, 6)
	s.previousRelease, s.retry, s.maxWait = previousRelease, true, 2*time.Second
	if previousRelease {
		s.spread = previousSpread
	}
	s.rate = func(_ int, at time.Duration) float64 {
		if at >= 6*time.Second && at < 12*time.Second {
			return 7.5 * s.tenants[0].usual
		}
		return s.tenants[0].usual
	}
	s.run(18 * time.Second)
	require.LessOrEqual(t, float64(s.tenants[0].maxInWindow()), s.tenants[0].allowed())
	for _, refusal := range s.tenants[0].refused {
		if refusal.returned {
			refused++
		}
		if refusal.promised {
			promised++
		}
	}
	return s.returns, refused, promised
}

// TestRequestsThatComeBackAsToldFindAToken replays a tenant at 7.5 times its usual rate, whose
// clients come back once as told. All refused requests were once told the time of the same
// token, with a random spread.
func TestRequestsThatComeBackAsToldFindAToken(t *testing.T) {
	var before, after [3]int
	for seed := range uint64(20) {
		for previousRelease, counts := range map[bool]*[3]int{true: &before, false: &after} {
			returned, refused, promised := surge(t, seed, previousRelease)
			counts[0], counts[1], counts[2] = counts[0]+returned, counts[1]+refused, counts[2]+promised
		}
	}
	t.Logf("before: %d returned, %d refused; after: %d returned, %d refused, %d of them with a promise", before[0], before[1], after[0], after[1], after[2])
	require.Greater(t, after[0], 500)
	require.LessOrEqual(t, float64(after[1]), 0.05*float64(after[0]))
	require.Less(t, 5*after[1], before[1])
}

// TestSeveralChangesOfTheLeaderWithholdTokensOnce guards against a tenant within its limit that is
// refused for three seconds at each of several leaders in a row, because each meters it for its
// small initial bucket and the next one takes it for a tenant that exceeded its bucket.
func TestSeveralChangesOfTheLeaderWithholdTokensOnce(t *testing.T) {
	limits := map[string]quota.Limit{tenant: {Rate: 20, Burst: 20}}
	first := quota.NewLedger(tolerance)
	first.SetLimits(start, limits)
	metered, _ := first.Metered(start)
	require.Equal(t, []string{tenant}, metered, "the initial bucket is small")
	second := quota.NewLedger(tolerance)
	second.Resume(first.Exceeding(start))
	second.SetLimits(start.Add(time.Second), limits)
	reply := second.Process(start.Add(1100*time.Millisecond), quota.Message{Router: "a", Sequence: 1, Wanted: map[string]int{tenant: 3}})
	require.Equal(t, 3, reply.Grants[tenant].Granted)
}

// TestExceedingTenantsPassThroughSeveralLeaders guards against a second change of the leader within
// a window after which a tenant gets again what the first leader granted beyond its bucket.
func TestExceedingTenantsPassThroughSeveralLeaders(t *testing.T) {
	limits := map[string]quota.Limit{tenant: {Rate: 20, Burst: 20}}
	second := quota.NewLedger(tolerance)
	second.Resume([]string{tenant})
	second.SetLimits(start, limits)
	require.Equal(t, []string{tenant}, second.Exceeding(start.Add(time.Second)))
	third := quota.NewLedger(tolerance)
	third.Resume(second.Exceeding(start.Add(time.Second)))
	third.SetLimits(start.Add(time.Second), limits)
	reply := third.Process(start.Add(time.Second), quota.Message{Router: "a", Sequence: 1, Wanted: map[string]int{tenant: 3}})
	require.Zero(t, reply.Grants[tenant].Granted)
	require.Empty(t, second.Exceeding(start.Add(tolerance.Window)), "the window is over")
}
