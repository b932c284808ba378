package reservation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/quarantine"
)

var everyRule = Rules{Tenants: true, Reservations: true}

// heldView returns a view in which route "short" admits nothing and "half" one half, and the
// tenant "greedy" exceeds its share.
func heldView(at time.Time) loadview.Held {
	return loadview.Held{At: at, View: loadview.View{
		Routes:  []loadview.RouteState{{Route: "short"}, {Route: "half", Fraction: 0.5, Promised: 0.5, Reservable: 1}, {Route: "open", Fraction: 1, Promised: 1}},
		Tenants: []loadview.TenantState{{Tenant: "greedy", Share: 0.1}},
	}}
}

func requestOf(route, tenant string, number uint64) Request {
	return Request{Route: route, Tenant: tenant, Fingerprint: func() quarantine.Fingerprint { return numbered(number) }}
}

// admittedShare returns the share of many requests that is admitted at an age of the figures.
func admittedShare(route, tenant string, age time.Duration, rules Rules) float64 {
	admitted, now := 0, time.Now()
	for i := range uint64(samples) {
		if Decide(heldView(now.Add(-age)), now, requestOf(route, tenant, i), rules).Admitted {
			admitted++
		}
	}
	return float64(admitted) / samples
}

// TestSharesFollowTheAgeOfTheFigures guards against refusals by figures that are too old, and
// against shares that jump when the figures age.
func TestSharesFollowTheAgeOfTheFigures(t *testing.T) {
	for _, sample := range []struct {
		age  time.Duration
		want float64
	}{{0, 0.5}, {time.Second, 0.5}, {2 * time.Second, 0.75}, {3 * time.Second, 1}, {time.Hour, 1}} {
		require.InDelta(t, sample.want, admittedShare("half", "", sample.age, everyRule), tolerance, sample.age)
	}
	require.True(t, Decide(loadview.Held{}, time.Now(), requestOf("short", "", 1), everyRule).Admitted, "without a view")
}

// TestTenantAboveItsShareIsRefusedFirst guards against a tenant that is refused for another
// one's excess: the share of a tenant replaces that of the route for this tenant alone.
func TestTenantAboveItsShareIsRefusedFirst(t *testing.T) {
	require.InDelta(t, 0.1, admittedShare("half", "greedy", 0, everyRule), tolerance)
	require.InDelta(t, 0.5, admittedShare("half", "modest", 0, everyRule), tolerance)
	require.InDelta(t, 0.5, admittedShare("half", "", 0, everyRule), tolerance)
	require.InDelta(t, 0.1, admittedShare("open", "greedy", 0, everyRule), tolerance)
	require.InDelta(t, 1, admittedShare("open", "modest", 0, everyRule), 0)
	require.InDelta(t, 1, admittedShare("absent", "greedy", 0, everyRule), 0)
	require.InDelta(t, 0.5, admittedShare("half", "greedy", 0, Rules{Reservations: true}), tolerance)
}

// TestFingerprintIsComputedOnlyForShortRoutes guards against the cost of the digest, 6 ms for a
// body of 8 MiB, for requests of which nothing is refused.
func TestFingerprintIsComputedOnlyForShortRoutes(t *testing.T) {
	now := time.Now()
	for _, route := range []string{"open", "absent"} {
		request := Request{Route: route, Fingerprint: func() quarantine.Fingerprint { panic("computed") }}
		require.True(t, Decide(heldView(now), now, request, everyRule).Admitted)
	}
	old := Request{Route: "short", Fingerprint: func() quarantine.Fingerprint { panic("computed") }}
	require.True(t, Decide(heldView(now.Add(-loadview.MaxAge)), now, old, everyRule).Admitted)
}

// TestKeptReservationsAreThoseBeyondTheFraction guards against a count of kept reservations that
// includes ordinary requests.
func TestKeptReservationsAreThoseBeyondTheFraction(t *testing.T) {
	now := time.Now()
	held := loadview.Held{At: now, View: loadview.View{Routes: []loadview.RouteState{{Route: "r", Fraction: 0.2, Promised: 0.6, Reservable: 0.5}}}}
	kept := 0
	for i := range uint64(samples) {
		if decision := Decide(held, now, requestOf("r", "", i), everyRule); decision.Kept {
			require.True(t, decision.Admitted)
			kept++
		}
		require.False(t, Decide(held, now, requestOf("r", "", i), Rules{}).Kept, "reservations are off")
	}
	require.InDelta(t, 0.5*0.4, float64(kept)/samples, tolerance)
}

// TestRetryLeavesTimeForAnAnswer guards against retries that come too late to be answered within
// the target, and against waiting longer than clients do.
func TestRetryLeavesTimeForAnAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, number := time.Now(), rapid.Uint64().Draw(t, "request")
		held := heldView(now)
		decision := Decide(held, now, requestOf("half", "", number), everyRule)
		if decision.Admitted {
			return
		}
		remaining := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "remaining"))
		target := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "target"))
		delay, reserved := decision.RetryIn(held, now, numbered(number), remaining, target)
		require.LessOrEqual(t, delay, remaining/3)
		if delay > 0 {
			require.LessOrEqual(t, delay+target, remaining)
		}
		if reserved {
			later := heldView(now.Add(delay))
			at := ClockAt(held, now.Add(delay))
			later.View.Epoch, later.View.EpochElapsed = at.Epoch, at.Elapsed
			require.True(t, Decide(later, now.Add(delay), requestOf("half", "", number), everyRule).Admitted, "the retry is refused by a newer view")
		}
	})
}
