package simulation

import (
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/proof/judge"
)

// mostFaults bounds a drawn schedule.
const mostFaults = 8

// drawSchedule draws faults number by number, so that rapid can shrink a
// schedule that fails: fewer faults, earlier ones, shorter ones.
func drawSchedule(t *rapid.T) []Fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Fault {
		return usual.draw(func(label string, limit int) int { return rapid.IntRange(0, limit-1).Draw(t, label) })
	}), 1, mostFaults).Draw(t, "schedule")
}

// shrunkEnvironment selects the broken fleet of TestSchedulesShrink in the test
// binary that it starts.
const shrunkEnvironment = "MARTENSTAGE_TEST_BROKEN_SCHEDULES"

// Any schedule of faults holds the invariants. One that does not is printed as
// short as rapid can make it.
func TestAnyScheduleHoldsAllInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		outcome := runSchedule(newWorld(rapid.Uint64Range(0, 100).Draw(t, "seed")), drawSchedule(t))
		for _, violation := range outcome.Violations {
			t.Errorf("%s", violation)
		}
		for _, failure := range outcome.Failures {
			t.Errorf("%s: %s", failure.Property, failure.Detail)
		}
	})
}

// TestBrokenSchedules fails; TestSchedulesShrink runs it.
func TestBrokenSchedules(t *testing.T) {
	if os.Getenv(shrunkEnvironment) == "" {
		t.Skip("it fails on purpose, for TestSchedulesShrink")
	}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(1)
		w.mutations = mutations{wrapEngine: departuresUnheard, wrapHealth: alwaysReady}
		for _, fault := range drawSchedule(t) {
			w.schedule(fault)
		}
		w.start()
		w.queue.RunUntil(usual.faultsEnd)
		for _, violation := range w.judge.Violations() {
			t.Fatalf("%s", violation)
		}
	})
}

// A fleet whose routers hear of no departure fails by one fault, a back end that
// leaves. Rapid finds that among up to eight; one round of shrinking, as here,
// leaves at most one other, and more time leaves none.
func TestSchedulesShrink(t *testing.T) {
	command := exec.Command(os.Args[0], "-test.run=^TestBrokenSchedules$",
		"-rapid.seed=7", "-rapid.checks=300", "-rapid.nofailfile", "-rapid.shrinktime=1ms")
	command.Env = append(os.Environ(), shrunkEnvironment+"=1")
	output, err := command.CombinedOutput()
	require.Error(t, err, "the broken fleet has to fail")
	drawn := regexp.MustCompile(`draw schedule: .*`).FindAllString(string(output), -1)
	require.NotEmpty(t, drawn, string(output))
	last := drawn[len(drawn)-1]
	require.LessOrEqual(t, strings.Count(last, "Kind:"), 2, last)
	require.Contains(t, last, string(FaultDrain))
	require.Contains(t, string(output), string(judge.NoWorkToLeaver))
}
