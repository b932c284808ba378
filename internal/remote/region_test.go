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

func entryNumber(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)}), 8081)
}

func entriesOf(count int) []netip.AddrPort {
	var addresses []netip.AddrPort
	for number := range count {
		addresses = append(addresses, entryNumber(number))
	}
	return addresses
}

// world drives a region by random events and checks it after each of them.
type world struct {
	t         *rapid.T
	region    *Region
	config    Config
	now       time.Time
	out       []Asked
	probing   []netip.AddrPort
	reachable bool
}

func (w *world) observe(change Change) {
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

func (w *world) ask() {
	before := w.region.InFlight()
	switch w.region.Begin() {
	case Unreachable:
		require.False(w.t, w.region.Reachable())
		require.Equal(w.t, before, w.region.InFlight())
		return
	case Full:
		require.Equal(w.t, w.config.Limit, before)
		return
	}
	var tried []netip.AddrPort
	for range rapid.IntRange(1, 3).Draw(w.t, "offers") {
		chosen, found := w.region.Choose(rapid.Uint64().Draw(w.t, "seed"), tried)
		usable := slices.ContainsFunc(w.region.Entries(), func(state EntryState) bool {
			return !state.Failing && !slices.Contains(tried, state.Address)
		})
		require.Equal(w.t, usable, found, "an entry was left unused, or none was to be had")
		if !found {
			w.region.End()
			return
		}
		state := w.state(chosen)
		require.False(w.t, state.Failing, "a failing entry got a request")
		require.NotContains(w.t, tried, chosen, "an entry was asked twice")
		tried = append(tried, chosen)
		asked := Asked{Entry: chosen, Begun: w.now}
		if rapid.Bool().Draw(w.t, "refused at once") {
			asked.Outcome = NotConnected
			w.observe(w.region.Step(w.now, asked))
			continue
		}
		w.out = append(w.out, asked)
		return
	}
	w.region.End()
}

func (w *world) state(address netip.AddrPort) EntryState {
	for _, state := range w.region.Entries() {
		if state.Address == address {
			return state
		}
	}
	w.t.Fatalf("no entry %s", address)
	return EntryState{}
}

func (w *world) endOne() {
	if len(w.out) == 0 {
		return
	}
	index := rapid.IntRange(0, len(w.out)-1).Draw(w.t, "request")
	asked := w.out[index]
	w.out = slices.Delete(w.out, index, index+1)
	asked.Outcome = rapid.SampledFrom([]Outcome{Answered, TurnedAway, NotConnected, SlowConnect, Broken, Silent, Abandoned}).Draw(w.t, "outcome")
	w.observe(w.region.Step(w.now, asked))
	w.region.End()
}

func (w *world) startProbes() {
	for _, address := range w.region.DueProbes(w.now) {
		require.NotContains(w.t, w.probing, address, "two probes of one entry at once")
		w.probing = append(w.probing, address)
	}
}

func (w *world) endProbe() {
	if len(w.probing) == 0 {
		return
	}
	address := w.probing[0]
	w.probing = w.probing[1:]
	reached := rapid.Bool().Draw(w.t, "reached")
	w.observe(w.region.Probed(w.now, address, reached))
	require.Equal(w.t, reached, !w.state(address).Failing, "a probe's word was not taken")
}

// check holds after every event.
func (w *world) check() {
	require.LessOrEqual(w.t, w.region.InFlight(), w.config.Limit)
	require.Equal(w.t, len(w.out), w.region.InFlight())
	out := 0
	for _, state := range w.region.Entries() {
		out += state.Out
		if !state.Failing || slices.Contains(w.probing, state.Address) {
			continue
		}
		next, found := w.region.NextProbe()
		require.True(w.t, found, "a failing entry is never probed")
		require.False(w.t, next.After(w.now.Add(w.config.LongestPause*5/4)), "the next probe is too far away")
	}
	require.Equal(w.t, len(w.out), out)
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
		w := &world{t: t, config: config, region: New(config, entriesOf(count)), now: time.Unix(1000, 0), reachable: true}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "wait")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				w.ask()
			case 1:
				w.endOne()
			case 2:
				w.startProbes()
			case 3:
				w.endProbe()
			}
			w.check()
		}
	})
}

// TestPausesDoubleUpToTheBound also covers that an entry which recovered starts
// over with the first pause.
func TestPausesDoubleUpToTheBound(t *testing.T) {
	now := time.Unix(1000, 0)
	region := New(Config{}, entriesOf(1))
	require.Equal(t, BecameUnreachable, region.Step(now, Asked{Entry: entryNumber(0), Outcome: NotConnected, Begun: now}))
	for failures := range 12 {
		next, found := region.NextProbe()
		require.True(t, found)
		want := min(DefaultFirstPause<<failures, DefaultLongestPause)
		require.InDelta(t, float64(want), float64(next.Sub(now)), float64(want)/4)
		require.Empty(t, region.DueProbes(next.Add(-1)), "probed before its time")
		now = next
		require.Len(t, region.DueProbes(now), 1)
		require.Empty(t, region.DueProbes(now), "a second probe at once")
		region.Probed(now, entryNumber(0), false)
	}
	now, _ = region.NextProbe()
	region.DueProbes(now)
	require.Equal(t, BecameReachable, region.Probed(now, entryNumber(0), true))
	region.Step(now, Asked{Entry: entryNumber(0), Outcome: Broken, Begun: now})
	next, _ := region.NextProbe()
	require.LessOrEqual(t, next.Sub(now), DefaultFirstPause*5/4)
}

// TestSilenceAloneTurnsNobodyAway: an entry that left a request unanswered is
// probed at once, used only if there is no other, and given up when the probe
// fails. A caller with hardly any time is no witness.
func TestSilenceAloneTurnsNobodyAway(t *testing.T) {
	now := time.Unix(1000, 0)
	region := New(Config{}, entriesOf(2))
	silent := func(waited time.Duration) Change {
		return region.Step(now, Asked{Entry: entryNumber(0), Outcome: Silent, Begun: now.Add(-waited)})
	}
	require.Equal(t, Unchanged, silent(time.Millisecond))
	require.Empty(t, region.DueProbes(now))
	require.Equal(t, Unchanged, silent(time.Second))
	for seed := range uint64(4) {
		chosen, found := region.Choose(seed, nil)
		require.True(t, found)
		require.Equal(t, entryNumber(1), chosen, "a doubted entry was preferred")
	}
	chosen, found := region.Choose(0, []netip.AddrPort{entryNumber(1)})
	require.True(t, found)
	require.Equal(t, entryNumber(0), chosen)
	require.Equal(t, []netip.AddrPort{entryNumber(0)}, region.DueProbes(now))
	region.Probed(now, entryNumber(0), false)
	_, found = region.Choose(0, []netip.AddrPort{entryNumber(1)})
	require.False(t, found)
}

// TestOldOutcomesSayNothingNew: hundreds of requests that break with one
// connection are one failure, and an answer to a request from before a failure
// does not undo it.
func TestOldOutcomesSayNothingNew(t *testing.T) {
	begun := time.Unix(1000, 0)
	now := begun.Add(time.Second)
	region := New(Config{}, entriesOf(1))
	for range 300 {
		region.Step(now, Asked{Entry: entryNumber(0), Outcome: Broken, Begun: begun})
	}
	require.Equal(t, 1, region.Entries()[0].Failures)
	require.Equal(t, Unchanged, region.Step(now, Asked{Entry: entryNumber(0), Outcome: Answered, Begun: begun}))
	require.False(t, region.Reachable())
}

// TestUpdateKeepsWhatIsKnown replaces the entries: one that stays goes on as it
// was, and a region whose entries were all gone is reachable by a new one.
func TestUpdateKeepsWhatIsKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	region := New(Config{}, entriesOf(1))
	region.Step(now, Asked{Entry: entryNumber(0), Outcome: NotConnected, Begun: now})
	require.Equal(t, BecameReachable, region.Update(entriesOf(2)))
	require.True(t, region.Entries()[0].Failing)
	require.Equal(t, BecameUnreachable, region.Update(entriesOf(1)))
}

// TestProbesOfManyRoutersSpread: routers that lose an entry at one moment do not
// all probe it at another.
func TestProbesOfManyRoutersSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	times := map[time.Time]bool{}
	const routers = 200
	for seed := range uint64(routers) {
		region := New(Config{Seed: seed}, entriesOf(1))
		region.Step(now, Asked{Entry: entryNumber(0), Outcome: NotConnected, Begun: now})
		next, _ := region.NextProbe()
		times[next] = true
	}
	require.Greater(t, len(times), routers/2, fmt.Sprint(len(times)))
}

// TestEverySeedFindsTheEntryThatIsLeft includes the highest seeds, at which a sum
// of seed and place wraps around.
func TestEverySeedFindsTheEntryThatIsLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	region := New(Config{}, entriesOf(3))
	for _, number := range []int{1, 2} {
		region.Step(now, Asked{Entry: entryNumber(number), Outcome: NotConnected, Begun: now})
	}
	for offset := range uint64(6) {
		for _, seed := range []uint64{offset, math.MaxUint64 - offset} {
			chosen, found := region.Choose(seed, nil)
			require.True(t, found, seed)
			require.Equal(t, entryNumber(0), chosen)
		}
	}
}

// TestAConnectionThatTookTooLongIsADoubt: how long it may take is the caller's
// choice, so that only a probe says that the entry is gone.
func TestAConnectionThatTookTooLongIsADoubt(t *testing.T) {
	now := time.Unix(1000, 0)
	region := New(Config{}, entriesOf(1))
	require.Equal(t, Unchanged, region.Step(now, Asked{Entry: entryNumber(0), Outcome: SlowConnect, Begun: now}))
	require.Equal(t, entriesOf(1), region.DueProbes(now))
	require.Equal(t, BecameUnreachable, region.Probed(now, entryNumber(0), false))
}
