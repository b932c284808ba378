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

var start = time.Unix(1_000_000, 0)

// testConfig spells out the defaults for use in the properties.
var testConfig = probing.Config{
	Interval: 250 * time.Millisecond, IdlePause: 1500 * time.Millisecond,
	ObservedPause: 4 * time.Second, DownPause: 4 * time.Second, Rate: 16,
}

// minWithJitter returns a pause with the largest negative jitter.
func minWithJitter(pause time.Duration) time.Duration { return pause * 3 / 4 }

// model drives a schedule and tracks its inputs.
type model struct {
	*rapid.T
	now      time.Time
	schedule *probing.Schedule
	routers  int
	holdings string

	probed     probing.Probe
	servedAt   time.Time // sent
	suspected  bool
	refused    bool
	lostProbes int

	refusedAt, closeProbingUntil, downSince time.Time
}

func newModel(t *rapid.T) *model {
	m := &model{T: t, now: start, holdings: "a", routers: rapid.IntRange(1, 200).Draw(t, "routers")}
	m.schedule = probing.New(testConfig, start, rapid.Uint64().Draw(t, "seed"))
	m.schedule.SetRouters(m.routers)
	return m
}

// probe waits until the next probe is due and makes it.
func (m *model) probe(reachable bool, state backendapi.ReadyState) {
	if due := m.schedule.Due(); due.After(m.now) {
		m.now = due
	}
	before := m.probed
	m.probed = probing.Probe{At: m.now, Reachable: reachable, Silent: !reachable, State: state, Holdings: m.holdings}
	if !reachable {
		m.probed.State, m.probed.Holdings = "", ""
	}
	if before.At.IsZero() || before.Reachable != reachable || before.State != m.probed.State {
		m.downSince = m.now
	}
	m.schedule.ObserveProbe(m.probed)
	m.suspected = false
	if reachable {
		m.lostProbes = 0
	} else {
		m.lostProbes++
	}
	agrees := (reachable && state != backendapi.StateReady) || m.lostProbes >= 2
	m.refused = m.refused && !agrees && m.now.Sub(m.refusedAt) < 5*time.Minute
}

func (m *model) ready() bool { return m.probed.Reachable && m.probed.State == backendapi.StateReady }

func (m *model) reply(meaning probing.Meaning, age time.Duration, holdings string) {
	sent := m.now.Add(-age)
	m.schedule.ObserveReply(probing.Reply{Sent: sent, At: m.now, Meaning: meaning, Holdings: holdings})
	switch meaning {
	case probing.MeaningServing:
		m.refused = m.refused && !sent.After(m.refusedAt)
		switch {
		case holdings == "":
		case holdings != m.probed.Holdings:
			m.suspected = m.suspected || m.probed.Holdings != ""
		case sent.After(m.servedAt):
			m.servedAt = sent
		}
	case probing.MeaningDraining:
		m.refused, m.refusedAt = true, m.now
	case probing.MeaningFailed:
		m.suspected = m.suspected || !m.servedAt.After(sent)
	case probing.MeaningHoldingsChanged:
		m.suspected = true
	}
}

func (m *model) probeClosely() {
	m.schedule.ProbeClosely(m.now)
	m.closeProbingUntil = m.now.Add(6 * time.Second)
}

// check compares the due time with the bounds for the state.
func (m *model) check() {
	if m.probed.At.IsZero() {
		require.False(m, m.schedule.Due().After(start.Add(testConfig.Interval/2)), "first probe")
		return
	}
	pause := m.schedule.Due().Sub(m.probed.At)
	require.GreaterOrEqual(m, pause, minWithJitter(testConfig.Interval), "probes come too fast")
	switch {
	case m.suspected || m.refused || m.probed.At.Before(m.closeProbingUntil):
		require.LessOrEqual(m, pause, probing.MaxWithJitter(testConfig.Interval), "state uncertain")
	case !m.ready():
		bound := min(max(m.probed.At.Sub(m.downSince)/4, testConfig.Interval), testConfig.DownPause)
		require.LessOrEqual(m, pause, probing.MaxWithJitter(bound), "down")
	default:
		m.checkReady(pause)
	}
}

func (m *model) checkReady(pause time.Duration) {
	require.LessOrEqual(m, pause, probing.MaxWithJitter(testConfig.ObservedPause), "longest pause")
	observed := m.probed.At
	if m.servedAt.After(observed) {
		observed = m.servedAt
	}
	silence := m.schedule.Due().Sub(observed)
	require.LessOrEqual(m, silence, probing.MaxWithJitter(testConfig.IdlePause), "nothing newer is known")
	share := time.Duration(float64(m.routers) / testConfig.Rate * float64(time.Second))
	require.GreaterOrEqual(m, pause, minWithJitter(min(max(share, testConfig.Interval), testConfig.IdlePause)), "the server's rate")
}

// TestScheduleKeepsItsBounds applies random probes, replies and external reports and
// checks after each when the next probe is due.
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
				m.holdings = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "holdings")
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(min(ages.Draw(t, "wait"), max(m.schedule.Due().Sub(m.now), 0)))
			},
			"serving": func(t *rapid.T) { m.reply(probing.MeaningServing, ages.Draw(t, "age"), m.holdings) },
			"failure": func(t *rapid.T) {
				meaning := rapid.SampledFrom([]probing.Meaning{
					probing.MeaningNone, probing.MeaningDraining, probing.MeaningFailed, probing.MeaningHoldingsChanged,
				}).Draw(t, "meaning")
				m.reply(meaning, ages.Draw(t, "age"), "")
			},
			"watch": func(*rapid.T) { m.probeClosely() },
			"":      func(t *rapid.T) { m.check() },
		})
	})
}

// probesIn counts the probes of an always ready server in a minute, with replies to
// queries at an interval; no queries for interval 0.
func probesIn(t *testing.T, routers int, queries time.Duration, holdings string) int {
	schedule := probing.New(testConfig, start, 7)
	schedule.SetRouters(routers)
	count, next := 0, start
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Millisecond) {
		if queries > 0 && !now.Before(next) {
			next = now.Add(queries)
			schedule.ObserveReply(probing.Reply{Sent: now.Add(-5 * time.Millisecond), At: now, Meaning: probing.MeaningServing, Holdings: holdings})
		}
		if !now.Before(schedule.Due()) {
			count++
			schedule.ObserveProbe(probing.Probe{At: now, Reachable: true, State: backendapi.StateReady, Holdings: "a"})
		}
	}
	require.Positive(t, count)
	return count
}

func TestRepliesReplaceProbes(t *testing.T) {
	idle := probesIn(t, 64, 0, "")
	require.InDelta(t, 40, idle, 5, "one in the idle pause")
	require.InDelta(t, 240, probesIn(t, 1, 0, ""), 25, "one in the interval")
	require.InDelta(t, 15, probesIn(t, 64, 10*time.Millisecond, "a"), 3, "one in the pause for observed back ends")
	require.InDelta(t, idle, probesIn(t, 64, 10*time.Millisecond, ""), 5, "a reply without holdings is no observation")
	require.InDelta(t, 240, probesIn(t, 64, 10*time.Millisecond, "b"), 25, "changed holdings require a probe")
}

func TestRoutersWithOtherSeedsSpreadTheirProbes(t *testing.T) {
	const routers, slots = 64, 10
	counts := make([]int, slots)
	for seed := range uint64(routers) {
		schedule := probing.New(testConfig, start, seed)
		schedule.SetRouters(routers)
		for schedule.Due().Before(start.Add(time.Minute)) {
			due := schedule.Due()
			if passed := due.Sub(start); passed > 59*time.Second {
				counts[int(passed-59*time.Second)*slots/int(time.Second)]++
			}
			schedule.ObserveProbe(probing.Probe{At: due, Reachable: true, State: backendapi.StateReady})
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

// TestReturnIsNoticedInAPartOfTheOutage checks that the return of a back end is noticed
// within a third of its outage, and within 5 s after any outage.
func TestReturnIsNoticedInAPartOfTheOutage(t *testing.T) {
	for _, outage := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second, time.Minute, time.Hour} {
		for seed := range uint64(20) {
			schedule := probing.New(testConfig, start, seed)
			schedule.ObserveProbe(probing.Probe{At: start, Reachable: true, State: backendapi.StateReady})
			gone := schedule.Due()
			back := gone.Add(outage)
			for schedule.Due().Before(back) {
				schedule.ObserveProbe(probing.Probe{At: schedule.Due()})
			}
			bound := max(outage/3, probing.MaxWithJitter(testConfig.Interval))
			require.LessOrEqual(t, schedule.Due().Sub(back), min(bound, 5*time.Second), "%v, seed %d", outage, seed)
		}
	}
}

// TestDistrustEnds checks that an endpoint that keeps reporting ready after a refusal is
// probed closely while it is distrusted, and normally afterwards.
func TestDistrustEnds(t *testing.T) {
	schedule := probing.New(testConfig, start, 1)
	schedule.SetRouters(64)
	ready := func(at time.Time) time.Duration {
		schedule.ObserveProbe(probing.Probe{At: at, Reachable: true, State: backendapi.StateReady})
		return schedule.Due().Sub(at)
	}
	ready(start)
	schedule.ObserveReply(probing.Reply{Sent: start, At: start, Meaning: probing.MeaningDraining})
	require.LessOrEqual(t, ready(start.Add(5*time.Minute-time.Second)), probing.MaxWithJitter(testConfig.Interval))
	require.GreaterOrEqual(t, ready(start.Add(5*time.Minute)), minWithJitter(testConfig.IdlePause))

	// A served query ends the distrust at once if it was sent after the refusal.
	now := start.Add(6 * time.Minute)
	schedule.ObserveReply(probing.Reply{Sent: now, At: now, Meaning: probing.MeaningDraining})
	schedule.ObserveReply(probing.Reply{Sent: now.Add(-time.Second), At: now, Meaning: probing.MeaningServing})
	require.LessOrEqual(t, ready(now), probing.MaxWithJitter(testConfig.Interval))
	schedule.ObserveReply(probing.Reply{Sent: now.Add(time.Second), At: now, Meaning: probing.MeaningServing})
	require.GreaterOrEqual(t, ready(now), minWithJitter(testConfig.IdlePause))
}

// TestSkippedProbesAreMadeUpFor checks that a skipped probe is due again an interval later.
func TestSkippedProbesAreMadeUpFor(t *testing.T) {
	schedule := probing.New(testConfig, start, 1)
	schedule.SetRouters(64)
	schedule.ProbeSkipped(start)
	require.Equal(t, start.Add(testConfig.Interval), schedule.Due())
	schedule.ObserveProbe(probing.Probe{At: start, Reachable: true, State: backendapi.StateReady})
	schedule.ProbeSkipped(start.Add(time.Second))
	require.LessOrEqual(t, schedule.Due().Sub(start.Add(time.Second)), probing.MaxWithJitter(testConfig.Interval))
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
		"part, draining":           {query.PartArrived{Report: draining}, probing.MeaningDraining},
		"part without a report":    {query.PartArrived{}, probing.MeaningNone},
		"refused as draining":      {failed(verdict.NotRun, verdict.ReasonDraining, query.Report{Known: true}), probing.MeaningDraining},
		"refused for load":         {failed(verdict.NotRun, verdict.ReasonOverloaded, serving), probing.MeaningFailed},
		"refused, unknown":         {failed(verdict.NotRun, verdict.ReasonSnapshotGone, serving), probing.MeaningHoldingsChanged},
		"refused, unknown shard":   {failed(verdict.NotRun, verdict.ReasonNoReplica, serving), probing.MeaningHoldingsChanged},
		"no connection to spare":   {failed(verdict.NotRun, verdict.ReasonNoReplica, query.Report{}), probing.MeaningNone},
		"canceled by the router":   {failed(verdict.MayHaveRun, verdict.ReasonCanceled, query.Report{}), probing.MeaningNone},
		"connection refused":       {failed(verdict.NotRun, verdict.ReasonConnection, query.Report{}), probing.MeaningFailed},
		"timeout":                  {failed(verdict.MayHaveRun, verdict.ReasonTimeout, query.Report{}), probing.MeaningFailed},
		"error of the back end":    {failed(verdict.MayHaveRun, verdict.ReasonBackendError, serving), probing.MeaningFailed},
		"an event of another kind": {query.TimerFired{}, probing.MeaningNone},
	} {
		require.Equal(t, test.want, probing.ReplyOf(test.outcome, start, start).Meaning, name)
	}
}

// TestAReplyCountsFromWhenItsQueryWasSent checks that a reply which is read late counts
// no longer than one read at once.
func TestAReplyCountsFromWhenItsQueryWasSent(t *testing.T) {
	dueAfter := func(read time.Duration) time.Time {
		schedule := probing.New(testConfig, start, 1)
		schedule.SetRouters(64)
		schedule.ObserveProbe(probing.Probe{At: start, Reachable: true, State: backendapi.StateReady, Holdings: "a"})
		sent := start.Add(time.Second)
		schedule.ObserveReply(probing.Reply{Sent: sent, At: sent.Add(read), Meaning: probing.MeaningServing, Holdings: "a"})
		return schedule.Due()
	}
	require.True(t, dueAfter(0).After(start.Add(time.Second)), "the reply counts")
	require.Equal(t, dueAfter(0), dueAfter(time.Second))
}

// TestOneLostProbeDoesNotEndCloseProbing checks that one timed-out probe does not end the
// close probing of a back end that refused while its endpoint reports ready; two do, and so
// does a reset connection.
func TestOneLostProbeDoesNotEndCloseProbing(t *testing.T) {
	for _, test := range []struct {
		lost   int
		silent bool
		close  bool
	}{{1, true, true}, {2, true, false}, {1, false, false}} {
		schedule := probing.New(testConfig, start, 1)
		schedule.SetRouters(64)
		now := start
		probe := func(reachable bool) {
			now = now.Add(time.Second)
			schedule.ObserveProbe(probing.Probe{At: now, Reachable: reachable, Silent: !reachable && test.silent, State: backendapi.StateReady})
		}
		probe(true)
		schedule.ObserveReply(probing.Reply{Sent: now, At: now, Meaning: probing.MeaningDraining})
		for range test.lost {
			probe(false)
		}
		probe(true)
		require.Equal(t, test.close, schedule.Due().Sub(now) <= probing.MaxWithJitter(testConfig.Interval), "%+v", test)
	}
}
