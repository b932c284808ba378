package loadview_test

import (
	"fmt"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/loadview"
)

// TestSpreadOverNodesChangesNoDecision guards against figures that depend on which router reports
// to which node: the same servers must be in trouble and the rates equal up to their steps.
func TestSpreadOverNodesChangesNoDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spread := make([]map[string]loadview.Report, rapid.IntRange(1, 5).Draw(t, "nodes"))
		for node := range spread {
			spread[node] = make(map[string]loadview.Report)
		}
		together := make(map[string]loadview.Report)
		for router := range rapid.IntRange(0, 8).Draw(t, "routers") {
			name, report := fmt.Sprint("r", router), drawReport(t)
			together[name] = report
			spread[rapid.IntRange(0, len(spread)-1).Draw(t, "node")][name] = report
		}
		one, many := totalsOf(together), totalsOf(spread...)
		require.Equal(t, serversIn(one), serversIn(many))
		for name, route := range one.Routes {
			// A sum of steps differs from the step of a sum by at most one step each.
			require.InDelta(t, route.Offered, many.Routes[name].Offered, 0.2*route.Offered, name)
		}
		require.Len(t, many.Routes, len(one.Routes))
	})
}

// drawReport draws a report of up to three servers in trouble and two routes.
func drawReport(t *rapid.T) loadview.Report {
	report := loadview.Report{Heard: rapid.IntRange(0, 10).Draw(t, "heard"), Troubled: rapid.IntRange(0, 3).Draw(t, "troubled")}
	for index := range rapid.IntRange(0, 3).Draw(t, "servers") {
		report.Services = append(report.Services, loadview.ServiceReport{Service: "s" + fmt.Sprint(index), Servers: []loadview.ServerState{{
			ID: fmt.Sprint("i", index), Condition: loadview.Condition(rapid.IntRange(0, 3).Draw(t, "condition")), Pace: rapid.Float64Range(0, 16).Draw(t, "pace"),
		}}})
	}
	for index := range rapid.IntRange(0, 2).Draw(t, "routes") {
		report.Routes = append(report.Routes, loadview.RouteDemand{Route: fmt.Sprint("a", index), Offered: rapid.Float64Range(0.1, 1000).Draw(t, "offered")})
	}
	return report
}

// serversIn returns the servers in trouble by service.
func serversIn(totals loadview.Totals) map[string][]string {
	return lo.MapValues(totals.Services, func(service loadview.ServiceReport, _ string) []string {
		return lo.Map(service.Servers, func(server loadview.ServerState, _ int) string { return server.ID })
	})
}
