package statuspage

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/samber/lo"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/overview"
)

// maxListed is how many routers and relays are listed one by one. Of more, only
// those without a lease or behind are.
const maxListed = 40

// arrange picks the nodes that are listed. When that is not all of them, it
// counts them by role and zone, by which they are sorted.
func arrange(summed *overview.Overview) (zones []overview.Zone, listed []overview.Node) {
	if len(summed.Nodes) <= maxListed {
		return nil, summed.Nodes
	}
	listed = lo.Filter(summed.Nodes, func(node overview.Node, _ int) bool { return node.Lapsed || node.Revision < summed.Group.InForce })
	return summed.Zones(), listed[:min(len(listed), maxListed)]
}

// Span words when the event happened, with the end of its repetitions.
func (e event) Span() string {
	begin, end := e.Time.Format(time.DateTime), e.LastTime.Format(time.DateTime)
	switch {
	case begin >= end:
		return begin
	case e.Time.Format(time.DateOnly) == e.LastTime.Format(time.DateOnly):
		return begin + " to " + e.LastTime.Format(time.TimeOnly)
	default:
		return begin + " to " + end
	}
}

func newEvent(wire *v1.Event) event {
	return event{
		Time: wire.GetTime().AsTime().Local(), LastTime: wire.GetLastTime().AsTime().Local(),
		Count: wire.GetCount(), Kind: wire.GetKind(), Source: wire.GetSource(),
		Subject: strings.Join(lo.Compact([]string{wire.GetService(), wire.GetShard(), wire.GetAddress()}), " "),
		Detail:  wire.GetDetail(),
	}
}

// percentText words a share. It never rounds up to 100 %, so that the page does
// not call an answer complete that is not.
func percentText(share float64) string {
	const hundred, thousandths = 100, 1000
	return fmt.Sprintf("%.3f%%", math.Floor(share*hundred*thousandths)/thousandths)
}

// strip is a drawing of a route's latencies on a logarithmic axis from 1 ms to
// 10 s. The numbers stand beside it.
type strip struct {
	Width, Height float64
	// Begin and Length of the bar from the median to p99.9, and marks at the
	// median, p95, p99 and p99.9.
	Begin, Length float64
	Marks         []float64
	// Decades are the positions of 1 ms, 10 ms, 100 ms, 1 s and 10 s.
	Decades []float64
}

const (
	stripWidth  = 140
	stripHeight = 16
	stripFrom   = time.Millisecond
	decades     = 4
)

func newStrip(route overview.Route) strip {
	drawn := strip{Width: stripWidth, Height: stripHeight}
	for decade := range decades + 1 {
		drawn.Decades = append(drawn.Decades, float64(decade)*stripWidth/decades)
	}
	for _, latency := range []time.Duration{route.P50, route.P95, route.P99, route.P999} {
		drawn.Marks = append(drawn.Marks, position(latency))
	}
	drawn.Begin = drawn.Marks[0]
	drawn.Length = drawn.Marks[len(drawn.Marks)-1] - drawn.Begin
	return drawn
}

// position is where a latency lies on the axis; those outside lie at its ends.
func position(latency time.Duration) float64 {
	if latency <= stripFrom {
		return 0
	}
	decade := math.Log10(float64(latency) / float64(stripFrom))
	const tenths = 10
	return math.Round(min(decade/decades, 1)*stripWidth*tenths) / tenths
}
