package scale

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/policy"
)

func TestChangeReplacesOneReplica(t *testing.T) {
	const servers, zones, cellRouters = 3000, 26, 64
	configuration := NewConfiguration(ConfigurationShape{Servers: servers, Zones: ZonesOf(0, 1, zones), CellRouters: cellRouters})
	before, err := policy.Compile("before", []byte(configuration.Text()))
	require.NoError(t, err)
	require.Equal(t, servers, countReplicas(before))
	for range 3 {
		configuration.Change()
		after, err := policy.Compile("after", []byte(configuration.Text()))
		require.NoError(t, err)
		delta := plan.Delta(before, after)
		require.Len(t, delta.GetChangedShards(), 1)
		require.Len(t, delta.GetChangedShards()[0].GetShards(), 1)
		require.Empty(t, delta.GetChangedServices())
		before = after
	}
}

func countReplicas(compiled *plan.Plan) int {
	count := 0
	for range compiled.Placements() {
		count++
	}
	return count
}

func TestLifeTellsWhoWasLate(t *testing.T) {
	start := time.Now()
	accepted := Accepted{Revision: 7, At: start}
	early, late := start.Add(-time.Second), start.Add(time.Second)
	for name, expected := range map[string]struct {
		one     *life
		counted bool
		at      time.Time
	}{
		"installed":                  {&life{installs: []install{{6, early}, {7, late}}}, true, late},
		"installed a higher one":     {&life{installs: []install{{6, early}, {9, late}}}, true, late},
		"still behind":               {&life{installs: []install{{6, early}}}, true, time.Time{}},
		"ended before it had it":     {&life{installs: []install{{6, early}}, ended: late}, false, time.Time{}},
		"joined after the change":    {&life{installs: []install{{7, late}}}, false, time.Time{}},
		"has not joined":             {&life{}, false, time.Time{}},
		"joined and then was behind": {&life{installs: []install{{5, early}, {6, early}, {8, late}}}, true, late},
	} {
		t.Run(name, func(t *testing.T) {
			at, counted := expected.one.reached(accepted)
			require.Equal(t, expected.counted, counted)
			require.Equal(t, expected.at, at)
		})
	}
}

func TestLeaseGapIsCounted(t *testing.T) {
	start := time.Now()
	one := &life{}
	one.ExtendLease(1, start.Add(-2*time.Second))
	require.Empty(t, one.gapsSince(start.Add(-time.Minute)))
	one.ExtendLease(1, start.Add(time.Minute))
	gaps := one.gapsSince(start.Add(-time.Minute))
	require.Len(t, gaps, 1)
	require.GreaterOrEqual(t, gaps[0].length, 2*time.Second)
	one.ExtendLease(1, start.Add(2*time.Minute))
	require.Len(t, one.gapsSince(start.Add(-time.Minute)), 1, "a renewal in time is no gap")
}

func TestSlopesFitALine(t *testing.T) {
	var results []Result
	for _, routers := range []int{250, 500, 1000} {
		phase := Phase{Speed: 1, ControlMB: 40 + 0.01*float64(routers)}
		results = append(results, Result{Routers: routers, Phases: []Phase{phase}})
	}
	for _, slope := range Slopes(results) {
		if slope.Figure == "control_mb" {
			require.InDelta(t, 0.01, slope.PerRouter, 1e-9)
			require.InDelta(t, 40, slope.Base, 1e-9)
			require.InDelta(t, 1, slope.R2, 1e-9)
			require.Equal(t, len(results), slope.Runs)
			return
		}
	}
	t.Fatal("no slope of control_mb")
}

func TestResultsAreReadByLine(t *testing.T) {
	results, err := ReadResults(strings.NewReader("{\"routers\":250}\n{\"routers\":500}\n"))
	require.NoError(t, err)
	require.Len(t, results, 2)
	_, err = ReadResults(strings.NewReader("{\"routers\":250}\nno json\n"))
	require.ErrorContains(t, err, "line 2")
}

func TestDeadProcessIsLeftOut(t *testing.T) {
	processes := []Process{{Role: RoleControl, Name: "control-1"}, {Role: RoleControl, Name: "control-2"}}
	run := &Run{processes: processes, dead: newDeaths()}
	run.dead.add(processes[:1])
	const seconds = 10
	phase := Phase{Seconds: seconds}
	phase.setUsages(run.usagesOf(0, seconds, measured{before: make([]sample, 2), after: []sample{{cpu: 9}, {cpu: 1}}}))
	require.InDelta(t, 10, phase.ControlCorePercent, 1e-9)
	require.Len(t, phase.Usages, 1)
}
