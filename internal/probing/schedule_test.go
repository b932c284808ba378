package probing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/probing"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/verdict"
)

var begin = time.Unix(1_000_000, 0)

// testConfig has the defaults written out, so that the properties name them.
var testConfig = probing.Config{
	Interval: 250 * time.Millisecond, IdlePause: 1500 * time.Millisecond,
	HeardPause: 4 * time.Second, DownPause: 4 * time.Second, Rate: 16,
}

// shortest is the least that spreading leaves of a pause.
func shortest(pause time.Duration) time.Duration { return pause * 3 / 4 }

// model drives a schedule and remembers what it was told.
type model struct {
	*rapid.T
	now      time.Time
	schedule *probing.Schedule
	routers  int
	mark     string

	probed  probing.Probe
	served  time.Time // sent
	doubted bool
	refused bool
	lost    int

	refusedAt, watched, downFrom time.Time
}

func newModel(t *rapid.T) *model {
	m := &model{T: t, now: begin, mark: "a", routers: rapid.IntRange(1, 200).Draw(t, "routers")}
	m.schedule = probing.New(testConfig, begin, rapid.Uint64().Draw(t, "seed"))
	m.schedule.SetRouters(m.routers)
	return m
}

// probe waits until the schedule asks for one and makes it.
func (m *model) probe(reachable bool, state backendapi.ReadyState) {
	if due := m.schedule.Due(); due.After(m.now) {
		m.now = due
	}
	before := m.probed
	m.probed = probing.Probe{At: m.now, Reachable: reachable, Silent: !reachable, State: state, Holdings: m.mark}
	if !reachable {
		m.probed.State, m.probed.Holdings = "", ""
	}
	if before.At.IsZero() || before.Reachable != reachable || before.State != m.probed.State {
		m.downFrom = m.now
	}
	m.schedule.Probed(m.probed)
	m.doubted = false
	if reachable {
		m.lost = 0
	} else {
		m.lost++
	}
	agrees := (reachable && state != backendapi.StateReady) || m.lost >= 2
	m.refused = m.refused && !agrees && m.now.Sub(m.refusedAt) < 5*time.Minute
}

func (m *model) ready() bool { return m.probed.Reachable && m.probed.State == backendapi.StateReady }

func (m *model) hear(meaning probing.Meaning, age time.Duration, mark string) {
	sent := m.now.Add(-age)
	m.schedule.Heard(probing.Reply{Sent: sent, At: m.now, Meaning: meaning, Holdings: mark})
	switch meaning {
	case probing.MeaningServing:
		m.refused = m.refused && !sent.After(m.refusedAt)
		switch {
		case mark == "":
		case mark != m.probed.Holdings:
			m.doubted = m.doubted || m.probed.Holdings != ""
		case sent.After(m.served):
			m.served = sent
		}
	case probing.MeaningDraining:
		m.refused, m.refusedAt = true, m.now
	case probing.MeaningLost:
		m.doubted = m.doubted || !m.served.After(sent)
	case probing.MeaningMoved:
		m.doubted = true
	}
}

func (m *model) watch() {
	m.schedule.Watch(m.now)
	m.watched = m.now.Add(6 * time.Second)
}

// check holds the due time against what is promised for the state.
func (m *model) check() {
	if m.probed.At.IsZero() {
		require.False(m, m.schedule.Due().After(begin.Add(testConfig.Interval/2)), "first probe")
		return
	}
	pause := m.schedule.Due().Sub(m.probed.At)
	require.GreaterOrEqual(m, pause, shortest(testConfig.Interval), "probes come too fast")
	switch {
	case m.doubted || m.refused || m.probed.At.Before(m.watched):
		require.LessOrEqual(m, pause, probing.Longest(testConfig.Interval), "in doubt")
	case !m.ready():
		bound := min(max(m.probed.At.Sub(m.downFrom)/4, testConfig.Interval), testConfig.DownPause)
		require.LessOrEqual(m, pause, probing.Longest(bound), "down")
	default:
		m.checkReady(pause)
	}
}

func (m *model) checkReady(pause time.Duration) {
	require.LessOrEqual(m, pause, probing.Longest(testConfig.HeardPause), "longest pause")
	observed := m.probed.At
	if m.served.After(observed) {
		observed = m.served
	}
	silence := m.schedule.Due().Sub(observed)
	require.LessOrEqual(m, silence, probing.Longest(testConfig.IdlePause), "nothing newer is known")
	share := time.Duration(float64(m.routers) / testConfig.Rate * float64(time.Second))
	require.GreaterOrEqual(m, pause, shortest(min(max(share, testConfig.Interval), testConfig.IdlePause)), "the server's rate")
}

// TestScheduleKeepsItsBounds plays random probes, replies and words and checks
// after each when the next probe is due.
func TestScheduleKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		ages := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
		})
		m.Repeat(map[string]func(*rapid.T){
			"ready":    func(*rapid.T) { m.probe(true, backendapi.StateReady) },
			"draining": func(*rapid.T) { m.probe(true, backendapi.StateDraining) },
			"warming":  func(*rapid.T) { m.probe(true, backendapi.StateWarming) },
			"lost":     func(*rapid.T) { m.probe(false, "") },
			"moved": func(t *rapid.T) {
				m.mark = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "mark")
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(min(ages.Draw(t, "wait"), max(m.schedule.Due().Sub(m.now), 0)))
			},
			"serving": func(t *rapid.T) { m.hear(probing.MeaningServing, ages.Draw(t, "age"), m.mark) },
			"failure": func(t *rapid.T) {
				meaning := rapid.SampledFrom([]probing.Meaning{
					probing.MeaningNone, probing.MeaningDraining, probing.MeaningLost, probing.MeaningMoved,
				}).Draw(t, "meaning")
				m.hear(meaning, ages.Draw(t, "age"), "")
			},
			"word": func(*rapid.T) { m.watch() },
			"":     func(t *rapid.T) { m.check() },
		})
	})
}

// probesIn counts the probes of a server that is always ready in a minute, with
// a reply for each query at an interval; none for interval 0.
func probesIn(t *testing.T, routers int, queries time.Duration, mark string) int {
	schedule := probing.New(testConfig, begin, 7)
	schedule.SetRouters(routers)
	count, next := 0, begin
	for now := begin; now.Before(begin.Add(time.Minute)); now = now.Add(time.Millisecond) {
		if queries > 0 && !now.Before(next) {
			next = now.Add(queries)
			schedule.Heard(probing.Reply{Sent: now.Add(-5 * time.Millisecond), At: now, Meaning: probing.MeaningServing, Holdings: mark})
		}
		if !now.Before(schedule.Due()) {
			count++
			schedule.Probed(probing.Probe{At: now, Reachable: true, State: backendapi.StateReady, Holdings: "a"})
		}
	}
	require.Positive(t, count)
	return count
}

func TestRepliesStandInForProbes(t *testing.T) {
	idle := probesIn(t, 64, 0, "")
	require.InDelta(t, 40, idle, 5, "one in the idle pause")
	require.InDelta(t, 240, probesIn(t, 1, 0, ""), 25, "one in the interval")
	require.InDelta(t, 15, probesIn(t, 64, 10*time.Millisecond, "a"), 3, "one in the heard pause")
	require.InDelta(t, idle, probesIn(t, 64, 10*time.Millisecond, ""), 5, "without a mark a reply is no observation")
	require.InDelta(t, 240, probesIn(t, 64, 10*time.Millisecond, "b"), 25, "another mark calls for a probe")
}

func TestRoutersWithOtherSeedsSpreadTheirProbes(t *testing.T) {
	const routers, slots = 64, 10
	counts := make([]int, slots)
	for seed := range uint64(routers) {
		schedule := probing.New(testConfig, begin, seed)
		schedule.SetRouters(routers)
		for schedule.Due().Before(begin.Add(time.Minute)) {
			due := schedule.Due()
			if passed := due.Sub(begin); passed > 59*time.Second {
				counts[int(passed-59*time.Second)*slots/int(time.Second)]++
			}
			schedule.Probed(probing.Probe{At: due, Reachable: true, State: backendapi.StateReady})
		}
	}
	total := 0
	for _, count := range counts {
		total += count
	}
	for _, count := range counts {
		require.Less(t, count, total/3, "a burst: %v", counts)
	}
}

// A back end is away for some time: its return is noticed within a third of the
// time that it was away, and within 5 s however long that was.
func TestReturnIsNoticedInAPartOfTheOutage(t *testing.T) {
	for _, outage := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second, time.Minute, time.Hour} {
		for seed := range uint64(20) {
			schedule := probing.New(testConfig, begin, seed)
			schedule.Probed(probing.Probe{At: begin, Reachable: true, State: backendapi.StateReady})
			gone := schedule.Due()
			back := gone.Add(outage)
			for schedule.Due().Before(back) {
				schedule.Probed(probing.Probe{At: schedule.Due()})
			}
			bound := max(outage/3, probing.Longest(testConfig.Interval))
			require.LessOrEqual(t, schedule.Due().Sub(back), min(bound, 5*time.Second), "%v, seed %d", outage, seed)
		}
	}
}

// An endpoint that never stops saying ready after a refusal is probed closely for
// as long as it is not believed, and then as any other.
func TestDistrustEnds(t *testing.T) {
	schedule := probing.New(testConfig, begin, 1)
	schedule.SetRouters(64)
	ready := func(at time.Time) time.Duration {
		schedule.Probed(probing.Probe{At: at, Reachable: true, State: backendapi.StateReady})
		return schedule.Due().Sub(at)
	}
	ready(begin)
	schedule.Heard(probing.Reply{Sent: begin, At: begin, Meaning: probing.MeaningDraining})
	require.LessOrEqual(t, ready(begin.Add(5*time.Minute-time.Second)), probing.Longest(testConfig.Interval))
	require.GreaterOrEqual(t, ready(begin.Add(5*time.Minute)), shortest(testConfig.IdlePause))

	// A query that was sent later and served ends it at once, one before does not.
	now := begin.Add(6 * time.Minute)
	schedule.Heard(probing.Reply{Sent: now, At: now, Meaning: probing.MeaningDraining})
	schedule.Heard(probing.Reply{Sent: now.Add(-time.Second), At: now, Meaning: probing.MeaningServing})
	require.LessOrEqual(t, ready(now), probing.Longest(testConfig.Interval))
	schedule.Heard(probing.Reply{Sent: now.Add(time.Second), At: now, Meaning: probing.MeaningServing})
	require.GreaterOrEqual(t, ready(now), shortest(testConfig.IdlePause))
}

// A probe that could not be made is tried again an interval later.
func TestSkippedProbesAreMadeUpFor(t *testing.T) {
	schedule := probing.New(testConfig, begin, 1)
	schedule.SetRouters(64)
	schedule.Skipped(begin)
	require.Equal(t, begin.Add(testConfig.Interval), schedule.Due())
	schedule.Probed(probing.Probe{At: begin, Reachable: true, State: backendapi.StateReady})
	schedule.Skipped(begin.Add(time.Second))
	require.LessOrEqual(t, schedule.Due().Sub(begin.Add(time.Second)), probing.Longest(testConfig.Interval))
}

func TestWhatTheEndOfAnAttemptMeans(t *testing.T) {
	serving := query.Report{Known: true, Holdings: "a"}
	draining := query.Report{Known: true, Holdings: "a", Draining: true}
	failed := func(ran verdict.Verdict, reason verdict.Reason, report query.Report) query.Event {
		return query.AttemptFailed{Verdict: ran, Reason: reason, Report: report}
	}
	for name, test := range map[string]struct {
		outcome query.Event
		want    probing.Meaning
	}{
		"part":                     {query.PartArrived{Report: serving}, probing.MeaningServing},
		"part with a mark":         {query.PartArrived{Report: draining}, probing.MeaningDraining},
		"part without a report":    {query.PartArrived{}, probing.MeaningNone},
		"refused as draining":      {failed(verdict.NotRun, verdict.ReasonDraining, query.Report{Known: true}), probing.MeaningDraining},
		"refused for load":         {failed(verdict.NotRun, verdict.ReasonOverloaded, serving), probing.MeaningLost},
		"refused, unknown":         {failed(verdict.NotRun, verdict.ReasonSnapshotGone, serving), probing.MeaningMoved},
		"refused, unknown shard":   {failed(verdict.NotRun, verdict.ReasonNoReplica, serving), probing.MeaningMoved},
		"no connection to spare":   {failed(verdict.NotRun, verdict.ReasonNoReplica, query.Report{}), probing.MeaningNone},
		"canceled by the router":   {failed(verdict.MayHaveRun, verdict.ReasonCanceled, query.Report{}), probing.MeaningNone},
		"connection refused":       {failed(verdict.NotRun, verdict.ReasonConnection, query.Report{}), probing.MeaningLost},
		"timeout":                  {failed(verdict.MayHaveRun, verdict.ReasonTimeout, query.Report{}), probing.MeaningLost},
		"error of the back end":    {failed(verdict.MayHaveRun, verdict.ReasonBackendError, serving), probing.MeaningLost},
		"an event of another kind": {query.TimerFired{}, probing.MeaningNone},
	} {
		require.Equal(t, test.want, probing.ReplyOf(test.outcome, begin, begin).Meaning, name)
	}
}

// A reply that waited to be read proves no more than one read at once.
func TestAReplyCountsFromWhenItsQueryWasSent(t *testing.T) {
	dueAfter := func(read time.Duration) time.Time {
		schedule := probing.New(testConfig, begin, 1)
		schedule.SetRouters(64)
		schedule.Probed(probing.Probe{At: begin, Reachable: true, State: backendapi.StateReady, Holdings: "a"})
		sent := begin.Add(time.Second)
		schedule.Heard(probing.Reply{Sent: sent, At: sent.Add(read), Meaning: probing.MeaningServing, Holdings: "a"})
		return schedule.Due()
	}
	require.True(t, dueAfter(0).After(begin.Add(time.Second)), "it counts")
	require.Equal(t, dueAfter(0), dueAfter(time.Second))
}

// One probe without a word does not end the close probing of a back end that
// refused while its endpoint says ready; two do, and so does a reset connection.
func TestOneLostProbeSaysNothingOfADeparture(t *testing.T) {
	for _, test := range []struct {
		lost   int
		silent bool
		close  bool
	}{{1, true, true}, {2, true, false}, {1, false, false}} {
		schedule := probing.New(testConfig, begin, 1)
		schedule.SetRouters(64)
		now := begin
		probe := func(reachable bool) {
			now = now.Add(time.Second)
			schedule.Probed(probing.Probe{At: now, Reachable: reachable, Silent: !reachable && test.silent, State: backendapi.StateReady})
		}
		probe(true)
		schedule.Heard(probing.Reply{Sent: now, At: now, Meaning: probing.MeaningDraining})
		for range test.lost {
			probe(false)
		}
		probe(true)
		require.Equal(t, test.close, schedule.Due().Sub(now) <= probing.Longest(testConfig.Interval), "%+v", test)
	}
}
