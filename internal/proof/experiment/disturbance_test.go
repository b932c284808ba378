package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/records"
)

// Requests of disturbed seconds are judged, but not summed up, and goodput is
// that of the seconds that are left.
func TestDisturbedSecondsAreLeftOut(t *testing.T) {
	compiled := patientPlan(t)
	made, err := newSetting("steady", compiled, 1, 4*time.Second)
	require.NoError(t, err)
	begin := time.Unix(1000, 0)
	summed := newRecorder(made, begin)
	summed.disturbed = []bool{false, true, false, false}
	for index, id := range []string{"send-1-1", "send-1-2", "send-1-3", "send-1-4"} {
		intended := begin.Add(time.Duration(index) * time.Second)
		summed.Execution(records.Execution{Request: id, Service: "desk", Generation: 1, Version: 1, Executed: true, ItemDigests: []string{id}, Arrived: intended})
		summed.Answer(records.CallerAnswer{
			Request: id, Route: "send", Service: "desk", Intended: intended, Sent: intended, Received: intended.Add(time.Millisecond),
			Status: 200, Verdict: "ran", Generation: 1, Version: 1, Covered: []uint32{0}, Complete: true, ItemDigests: []string{id},
		})
		summed.Closed(id)
	}
	result := summed.result(4 * time.Second)
	require.Zero(t, result.Violations, result.First)
	require.Equal(t, 3, result.Routes["send"].Requests)
	require.InDelta(t, 1, result.Routes["send"].FirstHalf.Goodput, 1e-9)
	require.InDelta(t, 1, result.Routes["send"].SecondHalf.Goodput, 1e-9)
	require.Equal(t, 4, summed.judge.Result().Counts.Answers)
	require.Empty(t, summed.attempts)
}
