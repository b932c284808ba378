package steadyclock_test

import (
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/proof/suspension"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

func TestTimeCountsWhileTheMachineIsSuspended(t *testing.T) {
	tested := suspension.NewMachine(t)
	before, deadline := steadyclock.Now(), steadyclock.Now().Add(time.Minute)
	require.Less(t, steadyclock.Since(before), 30*time.Second, "suspensions before the start of the process count")
	tested.Suspend(45 * time.Second)
	require.GreaterOrEqual(t, steadyclock.Since(before), 45*time.Second)
	require.LessOrEqual(t, steadyclock.Until(deadline), 15*time.Second)
	require.LessOrEqual(t, time.Until(steadyclock.RuntimeDeadline(deadline)), 15*time.Second)
	bounded, cancel := steadyclock.WithDeadline(context.Background(), deadline)
	defer cancel()
	ends, _ := bounded.Deadline()
	require.LessOrEqual(t, time.Until(ends), 15*time.Second)
}

func TestTimeNeverGoesBack(t *testing.T) {
	tested := suspension.NewMachine(t)
	tested.Suspend(10 * time.Second)
	known := steadyclock.Now()
	tested.Suspend(-5 * time.Second)
	require.True(t, steadyclock.Now().After(known))
}

func TestDelayBetweenReadingsIsNoSuspension(t *testing.T) {
	tested := suspension.NewMachine(t)
	clock := steadyclock.New(tested)
	tested.Suspend(20 * time.Microsecond)
	require.Zero(t, clock.Suspended())
}

func TestWatchReportsSuspensionsOnce(t *testing.T) {
	tested := suspension.NewMachine(t)
	ctx, cancel := context.WithCancel(context.Background())
	reported := make(chan time.Duration, 8)
	ended := make(chan error, 1)
	go func() { ended <- steadyclock.Watch(ctx, func(length time.Duration) { reported <- length }) }()
	time.Sleep(3 * time.Millisecond) // Watch must read the initial suspension before the next one.
	tested.Suspend(7 * time.Second)
	require.Equal(t, 7*time.Second, (<-reported).Round(time.Second))
	cancel()
	require.NoError(t, <-ended)
	require.Empty(t, reported)
}

// pausingMachine was never suspended; its time advances at each reading, as when the process is
// descheduled between readings.
type pausingMachine struct{ now, pause time.Duration }

func (m *pausingMachine) Monotonic() (time.Duration, error) {
	m.now += m.pause
	return m.now, nil
}

func (m *pausingMachine) BootTime() (time.Duration, error) { return m.Monotonic() }

// TestWaitingForAProcessorIsNoSuspension guards against a clock that runs ahead on a busy machine, because
// it permanently counts the delay between two readings as a suspension.
func TestWaitingForAProcessorIsNoSuspension(t *testing.T) {
	for name, pauses := range map[string]struct{ first, later time.Duration }{
		"while the clock is read": {0, 24 * time.Millisecond},
		"while it is created":     {24 * time.Millisecond, 0},
		"always":                  {24 * time.Millisecond, 24 * time.Millisecond},
	} {
		machine := &pausingMachine{pause: pauses.first}
		clock := steadyclock.New(machine)
		machine.pause = pauses.later
		require.Zero(t, clock.Suspended(), name)
	}
}

// failingMachine has clocks that can't be read.
type failingMachine struct{ reason error }

func (m failingMachine) Monotonic() (time.Duration, error) { return 0, m.reason }
func (m failingMachine) BootTime() (time.Duration, error)  { return 0, m.reason }

func TestUnreadableClocksAreReported(t *testing.T) {
	failing := errors.New("no such clock")
	t.Cleanup(steadyclock.Replace(steadyclock.New(failingMachine{failing})))
	require.ErrorIs(t, steadyclock.Watch(context.Background(), nil), failing)
	before := steadyclock.Now()
	time.Sleep(3 * time.Millisecond)
	require.True(t, steadyclock.Now().After(before))
}

// measuringPackages are the packages that measure leases, ages and deadlines by this clock.
var measuringPackages = []string{"controlclient", "directory", "exchange", "follower", "forward", "gateway", "isolation", "relay", "router", "voter", "wait"}

var runtimeClockCall = regexp.MustCompile(`\btime\.(Now|Since|Until)\(`)

// TestPackagesThatMeasureUseThisClock scans the sources of measuringPackages: a line that uses
// the clock of package time must contain the words "wall clock".
func TestPackagesThatMeasureUseThisClock(t *testing.T) {
	for _, name := range measuringPackages {
		files, err := filepath.Glob(filepath.Join("..", name, "*.go"))
		require.NoError(t, err)
		require.NotEmpty(t, files, name)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			for number, line := range strings.Split(string(text), "\n") {
				if runtimeClockCall.MatchString(line) {
					require.Contains(t, line, "wall clock", "%s:%d", file, number+1)
				}
			}
		}
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		steadyclock.Now()
	}
}
