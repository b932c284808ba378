package trace_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/trace"
)

const routerLog = `time="2026-01-01T00:00:01Z" level=info msg=server_suspected node=g1 server=i-1 service=s detail=aborted
   3.21 front-1 time="2026-01-01T00:00:02Z" level=info msg=part_missing node=g1 request=r1 server=i-1 service=s steps="0s sent i-1; 40ms hedged i-2"
time="2026-01-01T00:00:02.1Z" level=info msg=request node=g1 request=r1 outcome=answered missing=1
time="2026-01-01T00:00:02.2Z" level=info msg=request node=g1 request=r2 outcome=answered missing=0
time="2026-01-01T00:00:03Z" level=info msg=server_suspected node=g1 server=i-1 service=s
panic: this is no line of the log
`

const directoryLog = `time="2026-01-01T00:00:01.5Z" level=info msg=instance_changed node=d1 instance=i-2 state=leaving
time="2026-01-01T00:00:01.6Z" level=info msg=instance_changed node=d1 instance=i-9 state=leaving
time="2025-12-31T00:00:00Z" level=info msg=instance_changed node=d1 instance=i-2 state=ready
`

func TestTimelineOfARequestAcrossProcesses(t *testing.T) {
	router, passedOver, err := trace.Read("router", strings.NewReader(routerLog))
	require.NoError(t, err)
	require.Equal(t, 1, passedOver)
	control, _, err := trace.Read("directory", strings.NewReader(directoryLog))
	require.NoError(t, err)
	var events []string
	for _, line := range trace.Explain(append(router, control...), "r1", time.Minute) {
		events = append(events, line.Source+" "+line.Fields["msg"])
	}
	require.Equal(t, []string{
		"router server_suspected", "directory instance_changed", "router part_missing", "router request",
	}, events)
	require.Empty(t, trace.Explain(router, "unknown", time.Minute))
}
