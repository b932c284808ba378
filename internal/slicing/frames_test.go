package slicing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against parts that are held until the cutoff although they arrived long before.
func TestFramesAreSentBeforeTheCutoff(t *testing.T) {
	arrived := time.Unix(100, 0)
	schedule := NewFrameSchedule(arrived, 80*time.Millisecond)
	var offsets []time.Duration
	for !schedule.PastCutoff() {
		offsets = append(offsets, schedule.Next().Sub(arrived))
		schedule.Advance()
	}
	require.Equal(t, []time.Duration{40 * time.Millisecond, 60 * time.Millisecond, 80 * time.Millisecond}, offsets)
}

// Guards against parts that are held by a slice without a cutoff.
func TestSliceWithoutACutoffSendsEachPart(t *testing.T) {
	arrived := time.Unix(100, 0)
	schedule := NewFrameSchedule(arrived, 0)
	for !schedule.PastCutoff() {
		require.Equal(t, arrived, schedule.Next())
		schedule.Advance()
	}
}
