package lag

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLagBetweenCountsOverlaps(t *testing.T) {
	start := time.Unix(100, 0)
	after := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	var meter Meter
	meter.observe(after(0), after(4)) // as usual
	meter.observe(after(10), after(40))
	meter.observe(after(100), after(400))
	require.Equal(t, 30*time.Millisecond, meter.Between(after(0), after(50)))
	require.Equal(t, 20*time.Millisecond, meter.Between(after(0), after(30)))
	require.Equal(t, 120*time.Millisecond, meter.Between(after(20), after(200)))
	require.Zero(t, meter.Between(after(41), after(99)))
	require.Equal(t, 300*time.Millisecond, meter.Worst(after(0), after(120)))
	require.Equal(t, 30*time.Millisecond, meter.Worst(after(0), after(99)))
	require.Zero(t, meter.Worst(after(41), after(99)))
	meter.observe(after(1_000_000), after(1_000_000))
	require.Zero(t, meter.Between(after(0), after(1000)), "forgotten")
}

func TestMeterEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	var meter Meter
	go func() { meter.Run(ctx); close(done) }()
	cancel()
	<-done
}
