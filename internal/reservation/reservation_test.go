package reservation

import (
	"crypto/sha256"
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/quarantine"
)

// numbered returns the fingerprint of the request with a number.
func numbered(number uint64) quarantine.Fingerprint {
	return sha256.Sum256(binary.BigEndian.AppendUint64(nil, number))
}

func fingerprints() *rapid.Generator[quarantine.Fingerprint] {
	return rapid.Custom(func(t *rapid.T) quarantine.Fingerprint { return numbered(rapid.Uint64().Draw(t, "request")) })
}

func clocks() *rapid.Generator[Clock] {
	return rapid.Custom(func(t *rapid.T) Clock {
		return Clock{
			Epoch:   rapid.Uint64Range(0, 1<<62).Draw(t, "epoch"),
			Elapsed: time.Duration(rapid.Int64Range(0, int64(EpochLength)-1).Draw(t, "elapsed")),
		}
	})
}

func states() *rapid.Generator[loadview.RouteState] {
	return rapid.Custom(func(t *rapid.T) loadview.RouteState {
		fraction := rapid.Float64Range(0, 1).Draw(t, "fraction")
		return loadview.RouteState{
			Fraction: fraction, Promised: rapid.Float64Range(fraction, 1).Draw(t, "promised"),
			Reservable: rapid.Float64Range(0, 1).Draw(t, "reservable"),
		}
	})
}

// TestClockCountsOnFromTheView guards against routers that number epochs differently.
func TestClockCountsOnFromTheView(t *testing.T) {
	at := time.Now()
	for _, sample := range []struct {
		elapsed, age time.Duration
		want         Clock
	}{
		{0, 0, Clock{Epoch: 7}},
		{0, EpochLength - 1, Clock{Epoch: 7, Elapsed: EpochLength - 1}},
		{0, EpochLength, Clock{Epoch: 8}},
		{200 * time.Millisecond, 100 * time.Millisecond, Clock{Epoch: 8, Elapsed: 50 * time.Millisecond}},
		{100 * time.Millisecond, time.Hour, Clock{Epoch: 7 + 4*3600, Elapsed: 100 * time.Millisecond}},
		{0, -time.Second, Clock{Epoch: 7}}, // Valid from a time that has not come.
	} {
		held := loadview.Held{View: loadview.View{Epoch: 7, EpochElapsed: sample.elapsed}, At: at}
		require.Equal(t, sample.want, ClockAt(held, at.Add(sample.age)), "%v %v", sample.elapsed, sample.age)
	}
}

// TestRoutersAgreeOnTheEpoch has two routers hold views that were published at different times:
// their positions at one moment are the same.
func TestRoutersAgreeOnTheEpoch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := loadview.Held{At: time.Now()}
		start := clocks().Draw(t, "start")
		first.View.Epoch, first.View.EpochElapsed = start.Epoch, start.Elapsed
		later := first.At.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "published")))
		second := loadview.Held{At: later}
		published := ClockAt(first, later)
		second.View.Epoch, second.View.EpochElapsed = published.Epoch, published.Elapsed
		now := later.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "age")))
		require.Equal(t, ClockAt(first, now), ClockAt(second, now))
	})
}

// TestFoundDelayLeadsToAnEpochThatAdmits guards against promises that no router keeps: a found
// delay is within the limit and ends in the middle half of a later epoch, in which every router
// that holds the same state admits the request, also a little earlier or later. A request
// without a reservation is told the limit.
func TestFoundDelayLeadsToAnEpochThatAdmits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at, fingerprint, state := clocks().Draw(t, "at"), fingerprints().Draw(t, "request"), states().Draw(t, "state")
		limit := time.Duration(rapid.Int64Range(-int64(time.Second), int64(10*time.Second)).Draw(t, "limit"))
		delay, reserved := Find(at, fingerprint, state, limit)
		if !reserved {
			require.Equal(t, max(0, limit), delay)
			return
		}
		require.LessOrEqual(t, delay, limit)
		arrival := ClockAt(loadview.Held{View: loadview.View{Epoch: at.Epoch, EpochElapsed: at.Elapsed}}, time.Time{}.Add(delay))
		require.Greater(t, arrival.Epoch, at.Epoch)
		require.GreaterOrEqual(t, arrival.Elapsed, EpochLength/4)
		require.LessOrEqual(t, arrival.Elapsed, 3*EpochLength/4)
		require.True(t, Admits(arrival, fingerprint, state))
		require.True(t, reservable(fingerprint, state.Reservable))
	})
}

// TestFallingFractionKeepsPromises has the fraction fall between the refusal and the retry, with
// Promised still at the fraction of the refusal.
func TestFallingFractionKeepsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at, fingerprint, before := clocks().Draw(t, "at"), fingerprints().Draw(t, "request"), states().Draw(t, "state")
		delay, reserved := Find(at, fingerprint, before, 5*time.Second)
		if !reserved {
			return
		}
		after := before
		after.Fraction = rapid.Float64Range(0, before.Fraction).Draw(t, "fraction after")
		after.Promised = before.Fraction
		since := at.Elapsed + delay
		require.True(t, Admits(Clock{Epoch: at.Epoch + uint64(since/EpochLength), Elapsed: since % EpochLength}, fingerprint, after))
	})
}

// TestCopiesHaveOneRank guards against clients that gain by sending more copies of a request,
// and against retries that are judged as another request: only the id differs.
func TestCopiesHaveOneRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := message.Request{
			Method: "POST", Host: "site", Target: rapid.StringMatching(`/[a-z]{0,8}`).Draw(t, "target"),
			Body: rapid.SliceOf(rapid.Byte()).Draw(t, "body"), Tenant: rapid.StringMatching(`[a-z]{0,4}`).Draw(t, "tenant"),
		}
		copied := request
		request.ID, copied.ID = "first", rapid.String().Draw(t, "id")
		epoch := rapid.Uint64().Draw(t, "epoch")
		require.Equal(t, Rank(quarantine.FingerprintOf(&request), epoch), Rank(quarantine.FingerprintOf(&copied), epoch))
		copied.Tenant += "other"
		require.NotEqual(t, Rank(quarantine.FingerprintOf(&request), epoch), Rank(quarantine.FingerprintOf(&copied), epoch))
	})
}

// samples is how many ranks the tests of distributions draw. A share of them deviates from its
// probability by less than tolerance, which is more than eight standard deviations.
const (
	samples   = 100_000
	tolerance = 0.014
)

// TestRanksAreUniform guards against epochs in which a request is never admitted, or in which
// most requests are: ranks are uniform over the epochs of one request, over the requests of one
// epoch, and independent in consecutive epochs.
func TestRanksAreUniform(t *testing.T) {
	byEpoch := func(i uint64) float64 { return Rank(numbered(1), i) }
	byRequest := func(i uint64) float64 { return Rank(numbered(i), 1) }
	for name, rank := range map[string]func(uint64) float64{"epochs": byEpoch, "requests": byRequest} {
		var tenths [10]int
		for i := range uint64(samples) {
			tenths[int(rank(i)*10)]++
		}
		for tenth, count := range tenths {
			require.InDelta(t, 0.1, float64(count)/samples, tolerance, "%s, tenth %d", name, tenth)
		}
	}
	both := 0
	for i := range uint64(samples) {
		if byEpoch(i) < 0.5 && byEpoch(i+1) < 0.5 {
			both++
		}
	}
	require.InDelta(t, 0.25, float64(both)/samples, tolerance)
}

// TestPromisedAdmitsOnlyWhatMayHaveBeenReserved guards against a Promised that admits more than
// the room kept for retries: in addition to Fraction it admits Reservable × (Promised − Fraction).
func TestPromisedAdmitsOnlyWhatMayHaveBeenReserved(t *testing.T) {
	for _, state := range []loadview.RouteState{
		{Fraction: 0.3, Promised: 0.8, Reservable: 0.2}, {Fraction: 0, Promised: 1, Reservable: 0.5},
		{Fraction: 0.6, Promised: 0.6, Reservable: 1}, {Fraction: 0.2, Promised: 0.9},
		{Fraction: 1, Promised: 1, Reservable: 1}, {Fraction: 0.5, Promised: 0.4, Reservable: 1},
	} {
		admitted := 0
		for i := range uint64(samples) {
			if Admits(Clock{Epoch: 3}, numbered(i), state) {
				admitted++
			}
		}
		want := state.Fraction + state.Reservable*max(0, state.Promised-state.Fraction)
		require.InDelta(t, want, float64(admitted)/samples, tolerance, "%+v", state)
	}
}

// TestReservableIsTheShareThatIsReserved guards against reservations for requests beyond the
// room kept for them: with enough time, the share Reservable of the requests gets one, and
// reservations don't favor epochs.
func TestReservableIsTheShareThatIsReserved(t *testing.T) {
	for _, share := range []float64{0, 0.15, 1} {
		reservations := 0
		for i := range uint64(samples) {
			if _, reserved := Find(Clock{}, numbered(i), loadview.RouteState{Fraction: 0.7, Reservable: share}, 10*time.Second); reserved {
				reservations++
			}
		}
		require.InDelta(t, share, float64(reservations)/samples, tolerance)
	}
	_, reserved := Find(Clock{}, numbered(1), loadview.RouteState{Reservable: 1}, time.Minute)
	require.False(t, reserved, "a route that admits nothing promises nothing")
}
