package remote

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func entryAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)}), 8081)
}

func entryAddresses(count int) []netip.AddrPort {
	var addresses []netip.AddrPort
	for number := range count {
		addresses = append(addresses, entryAddress(number))
	}
	return addresses
}

// regionModel drives a region by random events and checks it after each of them.
type regionModel struct {
	t              *rapid.T
	region         *Region
	config         Config
	now            time.Time
	inFlight       []Attempt
	probesInFlight []netip.AddrPort
	reachable      bool
}

func (w *regionModel) applyChange(change Change) {
	switch change {
	case BecameReachable:
		require.False(w.t, w.reachable, "reachable again, and was never reported unreachable")
		w.reachable = true
	case BecameUnreachable:
		require.True(w.t, w.reachable, "reported unreachable twice")
		w.reachable = false
	}
	require.Equal(w.t, w.reachable, w.region.Reachable(), "a change was not reported")
}

func (w *regionModel) sendRequest() {
	inFlightBefore, reachable := w.region.InFlight(), w.region.Reachable()
	refusal := w.region.Begin()
	require.Equal(w.t, !reachable, refusal == Unreachable, "requests to an unreachable region must be refused at once")
	switch refusal {
	case Unreachable:
		require.Equal(w.t, inFlightBefore, w.region.InFlight())
		return
	case LimitReached:
		require.Equal(w.t, w.config.Limit, inFlightBefore)
		return
	}
	var tried []netip.AddrPort
	for range rapid.IntRange(1, 3).Draw(w.t, "offers") {
		chosen, found := w.region.Choose(rapid.Uint64().Draw(w.t, "seed"), tried)
		usable := slices.ContainsFunc(w.region.Entries(), func(state EntryState) bool {
			return !state.Failing && !slices.Contains(tried, state.Address)
		})
		require.Equal(w.t, usable, found, "a usable entry was not chosen, or an unusable one was")
		if !found {
			w.region.End()
			return
		}
		state := w.state(chosen)
		require.False(w.t, state.Failing, "a failing entry got a request")
		require.NotContains(w.t, tried, chosen, "an entry was called twice")
		tried = append(tried, chosen)
		attempt := Attempt{Entry: chosen, Begun: w.now}
		if rapid.Bool().Draw(w.t, "refused at once") {
			attempt.Outcome = NotConnected
			w.applyChange(w.region.RecordOutcome(w.now, attempt))
			continue
		}
		w.inFlight = append(w.inFlight, attempt)
		return
	}
	w.region.End()
}

func (w *regionModel) state(address netip.AddrPort) EntryState {
	for _, state := range w.region.Entries() {
		if state.Address == address {
			return state
		}
	}
	w.t.Fatalf("no entry %s", address)
	return EntryState{}
}

func (w *regionModel) endRequest() {
	if len(w.inFlight) == 0 {
		return
	}
	index := rapid.IntRange(0, len(w.inFlight)-1).Draw(w.t, "request")
	attempt := w.inFlight[index]
	w.inFlight = slices.Delete(w.inFlight, index, index+1)
	attempt.Outcome = rapid.SampledFrom([]Outcome{Answered, Rejected, NotConnected, SlowConnect, Broken, TimedOut, Abandoned}).Draw(w.t, "outcome")
	w.applyChange(w.region.RecordOutcome(w.now, attempt))
	w.region.End()
}

func (w *regionModel) startProbes() {
	for _, address := range w.region.DueProbes(w.now) {
		require.NotContains(w.t, w.probesInFlight, address, "two probes of one entry at once")
		w.probesInFlight = append(w.probesInFlight, address)
	}
}

func (w *regionModel) endProbe() {
	if len(w.probesInFlight) == 0 {
		return
	}
	address := w.probesInFlight[0]
	w.probesInFlight = w.probesInFlight[1:]
	reached := rapid.Bool().Draw(w.t, "reached")
	w.applyChange(w.region.RecordProbe(w.now, address, reached))
	require.Equal(w.t, reached, !w.state(address).Failing, "the outcome of a probe was ignored")
}

// checkInvariants checks what must hold after every event.
func (w *regionModel) checkInvariants() {
	require.LessOrEqual(w.t, w.region.InFlight(), w.config.Limit)
	require.Equal(w.t, len(w.inFlight), w.region.InFlight())
	inFlight := 0
	for _, state := range w.region.Entries() {
		inFlight += state.Out
		if !state.Failing || slices.Contains(w.probesInFlight, state.Address) {
			continue
		}
		next, found := w.region.NextProbe()
		require.True(w.t, found, "a failing entry is never probed")
		require.False(w.t, next.After(w.now.Add(w.config.LongestPause*5/4)), "the next probe is too late")
	}
	require.Equal(w.t, len(w.inFlight), inFlight)
	if !w.region.Reachable() {
		wait := w.region.RetryAfter(w.now, time.Millisecond)
		require.Positive(w.t, wait)
		require.LessOrEqual(w.t, wait, w.config.LongestPause*5/4+w.config.FirstPause)
	}
}

func TestRegionUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{
			Limit: rapid.IntRange(1, 4).Draw(t, "limit"), FirstPause: 100 * time.Millisecond, LongestPause: 2 * time.Second,
			SilenceAfter: 250 * time.Millisecond, Seed: rapid.Uint64().Draw(t, "seed"),
		}
		count := rapid.IntRange(1, 3).Draw(t, "entries")
		w := &regionModel{t: t, config: config, region: New(config, entryAddresses(count)), now: time.Unix(1000, 0), reachable: true}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "wait")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				w.sendRequest()
			case 1:
				w.endRequest()
			case 2:
				w.startProbes()
			case 3:
				w.endProbe()
			}
			w.checkInvariants()
		}
	})
}

// TestProbeBackoffDoublesUpToTheBound also checks that the backoff of an entry
// starts over with the first pause after a recovery.
func TestProbeBackoffDoublesUpToTheBound(t *testing.T) {
	now := time.Unix(1000, 0)
	region := New(Config{}, entryAddresses(1))
	require.Equal(t, BecameUnreachable, region.RecordOutcome(now, Attempt{Entry: entryAddress(0), Outcome: NotConnected, Begun: now}))
	for failures := range 12 {
		next, found := region.NextProbe()
		require.True(t, found)
		want := min(DefaultFirstPause<<failures, DefaultLongestPause)
		require.InDelta(t, float64(want), float64(next.Sub(now)), float64(want)/4)
		require.Empty(t, region.DueProbes(next.Add(-1)), "probed before its time")
		now = next
		require.Len(t, region.DueProbes(now), 1)
		require.Empty(t, region.DueProbes(now), "a second probe at once")
		region.RecordProbe(now, entryAddress(0), false)
	}
	now, _ = region.NextProbe()
	region.DueProbes(now)
	require.Equal(t, BecameReachable, region.RecordProbe(now, entryAddress(0), true))
	region.RecordOutcome(now, Attempt{Entry: entryAddress(0), Outcome: Broken, Begun: now})
	next, _ := region.NextProbe()
	require.LessOrEqual(t, next.Sub(now), DefaultFirstPause*5/4)
}

// TestTimeoutAloneDoesNotFailAnEntry checks that an entry that left a request
// unanswered is probed at once, used only if there is no other, and failed when
// the probe fails. Requests with a very short deadline are not evidence.
func TestTimeoutAloneDoesNotFailAnEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	region := New(Config{}, entryAddresses(2))
	silent := func(waited time.Duration) Change {
		return region.RecordOutcome(now, Attempt{Entry: entryAddress(0), Outcome: TimedOut, Begun: now.Add(-waited)})
	}
	require.Equal(t, Unchanged, silent(time.Millisecond))
	require.Empty(t, region.DueProbes(now))
	require.Equal(t, Unchanged, silent(time.Second))
	for seed := range uint64(4) {
		chosen, found := region.Choose(seed, nil)
		require.True(t, found)
		require.Equal(t, entryAddress(1), chosen, "a suspected entry was preferred")
	}
	chosen, found := region.Choose(0, []netip.AddrPort{entryAddress(1)})
	require.True(t, found)
	require.Equal(t, entryAddress(0), chosen)
	require.Equal(t, []netip.AddrPort{entryAddress(0)}, region.DueProbes(now))
	region.RecordProbe(now, entryAddress(0), false)
	_, found = region.Choose(0, []netip.AddrPort{entryAddress(1)})
	require.False(t, found)
}

// TestOutdatedOutcomesAreIgnored checks that hundreds of requests that break with
// one connection count as one failure, and that an answer to a request from
// before a failure does not undo it.
func TestOutdatedOutcomesAreIgnored(t *testing.T) {
	begun := time.Unix(1000, 0)
	now := begun.Add(time.Second)
	region := New(Config{}, entryAddresses(1))
	for range 300 {
		region.RecordOutcome(now, Attempt{Entry: entryAddress(0), Outcome: Broken, Begun: begun})
	}
	require.Equal(t, 1, region.Entries()[0].Failures)
	require.Equal(t, Unchanged, region.RecordOutcome(now, Attempt{Entry: entryAddress(0), Outcome: Answered, Begun: begun}))
	require.False(t, region.Reachable())
}

// TestUpdateKeepsEntryState replaces the entries: a retained entry must keep its
// state, and a region whose entries all failed must be reachable by a new one.
func TestUpdateKeepsEntryState(t *testing.T) {
	now := time.Unix(1000, 0)
	region := New(Config{}, entryAddresses(1))
	region.RecordOutcome(now, Attempt{Entry: entryAddress(0), Outcome: NotConnected, Begun: now})
	require.Equal(t, BecameReachable, region.Update(entryAddresses(2)))
	require.True(t, region.Entries()[0].Failing)
	require.Equal(t, BecameUnreachable, region.Update(entryAddresses(1)))
}

// TestProbesOfManyRoutersSpread checks that routers that lose an entry at the
// same time do not all probe it at the same time.
func TestProbesOfManyRoutersSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	times := map[time.Time]bool{}
	const routers = 200
	for seed := range uint64(routers) {
		region := New(Config{Seed: seed}, entryAddresses(1))
		region.RecordOutcome(now, Attempt{Entry: entryAddress(0), Outcome: NotConnected, Begun: now})
		next, _ := region.NextProbe()
		times[next] = true
	}
	require.Greater(t, len(times), routers/2, fmt.Sprint(len(times)))
}

// TestEverySeedFindsTheOnlyUsableEntry includes the highest seeds, at which the
// sum of seed and index would wrap around.
func TestEverySeedFindsTheOnlyUsableEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	region := New(Config{}, entryAddresses(3))
	for _, number := range []int{1, 2} {
		region.RecordOutcome(now, Attempt{Entry: entryAddress(number), Outcome: NotConnected, Begun: now})
	}
	for offset := range uint64(6) {
		for _, seed := range []uint64{offset, math.MaxUint64 - offset} {
			chosen, found := region.Choose(seed, nil)
			require.True(t, found, seed)
			require.Equal(t, entryAddress(0), chosen)
		}
	}
}

// TestSlowConnectOnlySuspectsTheEntry: the caller chooses the connect timeout, so
// only a failed probe shows that the entry has failed.
func TestSlowConnectOnlySuspectsTheEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	region := New(Config{}, entryAddresses(1))
	require.Equal(t, Unchanged, region.RecordOutcome(now, Attempt{Entry: entryAddress(0), Outcome: SlowConnect, Begun: now}))
	require.Equal(t, entryAddresses(1), region.DueProbes(now))
	require.Equal(t, BecameUnreachable, region.RecordProbe(now, entryAddress(0), false))
}
