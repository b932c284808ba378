package report

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/records"
)

func TestRowsCountFromIntendedTime(t *testing.T) {
	collector := New()
	start := time.Unix(100, 0)
	for index := range 100 {
		intended := start.Add(time.Duration(index) * 10 * time.Millisecond)
		latency := 5 * time.Millisecond
		answer := records.CallerAnswer{Route: "sweep", Status: 200, Verdict: "ran", Covered: []uint32{0, 1}, Complete: true, Attempts: 2}
		if index == 50 { // one request left late, and lost a part
			latency = 400 * time.Millisecond
			answer.Covered, answer.Missing, answer.Complete, answer.Attempts, answer.Late = []uint32{0}, []uint32{1}, false, 4, true
		}
		answer.Intended, answer.Sent = intended, intended.Add(latency-time.Millisecond)
		answer.Received = intended.Add(latency)
		collector.AddAnswer(&answer)
	}
	collector.AddAnswer(&records.CallerAnswer{Route: "sweep", Status: 503, Verdict: "not_run", Intended: start})
	collector.AddAnswer(&records.CallerAnswer{Route: "sweep", Status: 504, Verdict: "may_have_run", Intended: start})
	rows := collector.Rows()
	require.Len(t, rows, 1)
	row := rows[0]
	require.Equal(t, []int{102, 100, 1, 1}, []int{row.Requests, row.Answered, row.Refused, row.Failed})
	require.InDelta(t, 5, row.P50Ms, 0.1)
	require.InDelta(t, 400, row.P999Ms, 1)
	require.InDelta(t, 0.995, row.Coverage, 1e-9)
	require.InDelta(t, 0.99, row.Complete, 1e-9)
	require.InDelta(t, 1.01, row.AttemptsPerShard, 1e-9)
	require.InDelta(t, 100, row.Goodput, 1)
	var text strings.Builder
	require.NoError(t, Print(&text, rows))
	require.Contains(t, text.String(), "may_have_run=1 not_run=1 ran=100")
}
