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
	require.Less(t, steadyclock.Since(before), 30*time.Second, "what was before the process counts")
	tested.Suspend(45 * time.Second)
	require.GreaterOrEqual(t, steadyclock.Since(before), 45*time.Second)
	require.LessOrEqual(t, steadyclock.Until(deadline), 15*time.Second)
	require.LessOrEqual(t, time.Until(steadyclock.Runtime(deadline)), 15*time.Second)
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

func TestClocksThatAreReadApartMakeNoSuspension(t *testing.T) {
	tested := suspension.NewMachine(t)
	clock := steadyclock.New(tested.Read)
	tested.Suspend(20 * time.Microsecond)
	require.Zero(t, clock.Suspended())
}

func TestWatchTellsSuspensionsOnce(t *testing.T) {
	tested := suspension.NewMachine(t)
	ctx, cancel := context.WithCancel(context.Background())
	told := make(chan time.Duration, 8)
	ended := make(chan error, 1)
	go func() { ended <- steadyclock.Watch(ctx, func(length time.Duration) { told <- length }) }()
	time.Sleep(3 * time.Millisecond) // It begins with what it finds.
	tested.Suspend(7 * time.Second)
	require.Equal(t, 7*time.Second, (<-told).Round(time.Second))
	cancel()
	require.NoError(t, <-ended)
	require.Empty(t, told)
}

func TestClocksThatCannotBeReadAreTold(t *testing.T) {
	failing := errors.New("no such clock")
	t.Cleanup(steadyclock.Replace(steadyclock.New(func() (time.Duration, time.Duration, error) { return 0, 0, failing })))
	require.ErrorIs(t, steadyclock.Watch(context.Background(), nil), failing)
	before := steadyclock.Now()
	time.Sleep(3 * time.Millisecond)
	require.True(t, steadyclock.Now().After(before))
}

// measuring are the packages whose leases, ages and deadlines go by this clock.
var measuring = []string{"controlclient", "directory", "exchange", "follower", "forward", "gateway", "isolation", "relay", "router", "voter", "wait"}

var runtimeClock = regexp.MustCompile(`\btime\.(Now|Since|Until)\(`)

// TestPackagesThatMeasureUseThisClock reads their sources: whoever needs the wall clock says
// so in the line.
func TestPackagesThatMeasureUseThisClock(t *testing.T) {
	for _, name := range measuring {
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
				if runtimeClock.MatchString(line) {
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
