package loadview_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/loadview"
)

var start = time.Unix(1000, 0)

// troubled returns a report of one slow server by a router that heard from heard servers, of
// which inTrouble are in trouble.
func troubled(pace, refusals float64, heard, inTrouble int) loadview.Report {
	return loadview.Report{Heard: heard, Troubled: inTrouble, Services: []loadview.ServiceReport{{
		Service: "s", Servers: []loadview.ServerState{{ID: "i1", Condition: loadview.Slow, Pace: pace, Refusals: refusals, Age: 50 * time.Millisecond}},
	}}}
}

// totalsOf merges the summaries of nodes given by the reports of their routers.
func totalsOf(nodes ...map[string]loadview.Report) loadview.Totals {
	merger := loadview.NewMerger()
	for index, reports := range nodes {
		collector := loadview.NewCollector()
		for router, report := range reports {
			collector.Record(start, router, report)
		}
		merger.Record(start, fmt.Sprint("node-", index), collector.Summary(start))
	}
	return merger.Totals(start)
}

// TestOneSlowRouterConvincesNobody guards against a router that is itself slow taking a server
// from all routers, whether its report reaches one node or, while it moves, two.
func TestOneSlowRouterConvincesNobody(t *testing.T) {
	slow := map[string]loadview.Report{"r1": troubled(3, 0, 10, 9)}
	require.Empty(t, totalsOf(slow).Services)
	require.Empty(t, totalsOf(slow, slow).Services, "one router at two nodes")
	cutOff := loadview.Report{Heard: 3}
	for index := range 20 {
		cutOff.Services = append(cutOff.Services, loadview.ServiceReport{Service: fmt.Sprint("s", index), Servers: []loadview.ServerState{{ID: fmt.Sprint("i", index), Condition: loadview.Silent}}})
	}
	require.Empty(t, totalsOf(map[string]loadview.Report{"r1": cutOff}).Services, "a router that hears from few")
	require.Empty(t, totalsOf(map[string]loadview.Report{"r1": troubled(3, 0, 0, 0)}).Services, "a router that hears from none")
}

// TestTwoReportersOrOneCredibleOne guards against servers in trouble staying unknown.
func TestTwoReportersOrOneCredibleOne(t *testing.T) {
	two := map[string]loadview.Report{"r1": troubled(3, 0, 10, 9), "r2": troubled(3, 0, 10, 9)}
	require.Len(t, totalsOf(two).Services["s"].Servers, 1)
	apart := totalsOf(map[string]loadview.Report{"r1": troubled(3, 0, 10, 9)}, map[string]loadview.Report{"r2": troubled(3, 0, 10, 9)})
	require.Len(t, apart.Services["s"].Servers, 1, "one at each of two nodes")
	require.Len(t, totalsOf(map[string]loadview.Report{"r1": troubled(3, 0, 9, 3)}).Services["s"].Servers, 1, "a third of the servers in trouble")
	require.Empty(t, totalsOf(map[string]loadview.Report{"r1": troubled(3, 0, 9, 4)}).Services, "more than a third")
}

// TestFiguresAreMediansOverRouters guards against one outlier determining the figures of a server
// or of a route, also where the routers are spread unevenly over nodes.
func TestFiguresAreMediansOverRouters(t *testing.T) {
	report := func(pace float64, work time.Duration) loadview.Report {
		report := troubled(pace, pace/16, 10, 1)
		report.Routes = []loadview.RouteDemand{{Route: "a", Offered: 16, Admitted: 8, Reserved: 1, Work: work}}
		return report
	}
	many := map[string]loadview.Report{"r1": report(4, 8*time.Millisecond), "r2": report(4, 8*time.Millisecond), "r3": report(4, 8*time.Millisecond), "r4": report(8, 0)}
	totals := totalsOf(many, map[string]loadview.Report{"r5": report(16, time.Second)})
	server := totals.Services["s"].Servers[0]
	require.Equal(t, loadview.ServerState{ID: "i1", Condition: loadview.Slow, Pace: 4, Refusals: 0.25, Age: 50 * time.Millisecond}, server)
	route := totals.Routes["a"]
	require.InDelta(t, 80, route.Offered, 80*0.1)
	require.InDelta(t, 40, route.Admitted, 40*0.1)
	require.InDelta(t, 5, route.Reserved, 5*0.1)
	require.InDelta(t, float64(8*time.Millisecond), float64(route.Work), float64(time.Millisecond))
}

// TestConditionIsTheOneReportedMost guards against one router making a slow server count as
// silent, which takes its whole capacity.
func TestConditionIsTheOneReportedMost(t *testing.T) {
	silent := troubled(4, 0, 10, 1)
	silent.Services[0].Servers[0].Condition = loadview.Silent
	totals := totalsOf(map[string]loadview.Report{"r1": troubled(4, 0, 10, 1), "r2": troubled(4, 0, 10, 1), "r3": silent})
	require.Equal(t, loadview.Slow, totals.Services["s"].Servers[0].Condition)
	totals = totalsOf(map[string]loadview.Report{"r1": troubled(4, 0, 10, 1), "r3": silent})
	require.Equal(t, loadview.Silent, totals.Services["s"].Servers[0].Condition, "the worse of two that are reported as often")
}

// TestSteps guards against a new view for every small change of a rate, and against figures that
// drift when they are rounded twice.
func TestSteps(t *testing.T) {
	require.InDelta(t, 16, loadview.Step(15.5), 1e-9)
	require.InDelta(t, 16, loadview.Step(17.4), 1e-9)
	require.InDelta(t, 19.03, loadview.Step(17.6), 1e-9)
	for _, value := range []float64{-1, 0} {
		require.Zero(t, loadview.Step(value))
	}
	for value := 1e-3; value < 1e9; value *= 1.07 {
		step := loadview.Step(value)
		require.InEpsilon(t, value, step, 0.1)
		require.InDelta(t, step, loadview.Step(step), 0)
	}
	near := totalsOf(map[string]loadview.Report{"r1": {Routes: []loadview.RouteDemand{{Route: "a", Offered: 101}}}})
	require.Equal(t, near, totalsOf(map[string]loadview.Report{"r1": {Routes: []loadview.RouteDemand{{Route: "a", Offered: 104}}}}))
}

// TestListsAreTruncatedAtTheirBounds guards against entries that grow without limit, and against
// truncation that drops those that matter most.
func TestListsAreTruncatedAtTheirBounds(t *testing.T) {
	reports := make(map[string]loadview.Report)
	for router := range 20 {
		report := loadview.Report{Heard: 10}
		for index := range 100 {
			name := fmt.Sprintf("%02d-%03d", router, index)
			report.Routes = append(report.Routes, loadview.RouteDemand{Route: name, Offered: float64(index)})
			report.Tenants = append(report.Tenants, loadview.TenantDemand{Tenant: name, Offered: float64(index)})
			service := loadview.ServiceReport{Service: name, Waiting: index}
			if index == 0 {
				service.Servers = []loadview.ServerState{{ID: "i", Condition: loadview.Slow, Pace: 2}}
			}
			report.Services = append(report.Services, service)
		}
		reports[fmt.Sprint("r", router)] = report
	}
	collector := loadview.NewCollector()
	for router, report := range reports {
		collector.Record(start, router, report)
	}
	summary := collector.Summary(start)
	require.Len(t, summary.Routes, loadview.MaxRoutes)
	require.Len(t, summary.Tenants, loadview.MaxSummaryTenants)
	require.Len(t, summary.Services, loadview.MaxViewServices)
	require.Len(t, summary.Services[0].Servers, 1, "those with servers in trouble first")
	require.Empty(t, summary.Services[20].Servers)
	require.InEpsilon(t, 99, summary.Services[20].Waiting, 0.1, "then those with the most waiting calls")
	require.InEpsilon(t, 99, summary.Routes[0].Offered, 0.1, "greatest rates first")
	totals := totalsOf(reports, reports)
	require.Len(t, totals.Routes, loadview.MaxRoutes)
	require.Len(t, totals.Tenants, loadview.MaxSummaryTenants)
	require.Len(t, totals.Services, loadview.MaxViewServices)
}

// TestExpiry guards against figures of routers and nodes that no longer report.
func TestExpiry(t *testing.T) {
	collector, merger := loadview.NewCollector(), loadview.NewMerger()
	report := troubled(2, 0, 10, 1)
	report.Routes = []loadview.RouteDemand{{Route: "a", Offered: 8}}
	collector.Record(start, "r1", report)
	valid := start.Add(loadview.ReportLifetime)
	require.Equal(t, 1, collector.Summary(valid).Routers)
	merger.Record(valid, "n1", collector.Summary(valid))
	require.Equal(t, 50*time.Millisecond+loadview.ReportLifetime+loadview.SummaryLifetime, merger.Totals(valid.Add(loadview.SummaryLifetime)).Services["s"].Servers[0].Age, "ages count on")
	require.Len(t, merger.Nodes(valid), 1)
	expired := merger.Totals(valid.Add(loadview.SummaryLifetime + time.Millisecond))
	require.Empty(t, expired.Routes)
	require.Empty(t, expired.Services)
	require.Empty(t, merger.Nodes(valid.Add(loadview.SummaryLifetime+time.Millisecond)))
	require.Zero(t, collector.Summary(valid.Add(time.Millisecond)).Routers)
}

// TestARouterThatMovesCountsOnce guards against demand that doubles, which would look like a
// shortage, when routers leave one node for another that both run.
func TestARouterThatMovesCountsOnce(t *testing.T) {
	left, joined, merger := loadview.NewCollector(), loadview.NewCollector(), loadview.NewMerger()
	report := loadview.Report{Routes: []loadview.RouteDemand{{Route: "a", Offered: 16}}}
	exchange := func(now time.Time) float64 {
		merger.Record(now, "left", left.Summary(now))
		merger.Record(now, "joined", joined.Summary(now))
		left.Forget(now, merger.Arrivals(now, "left"))
		joined.Forget(now, merger.Arrivals(now, "joined"))
		return merger.Totals(now).Routes["a"].Offered
	}
	left.Record(start, "r1", report)
	require.InDelta(t, 16, exchange(start), 0)
	joined.Record(start.Add(300*time.Millisecond), "r1", report)
	exchange(start.Add(350 * time.Millisecond))
	require.InDelta(t, 16, exchange(start.Add(450*time.Millisecond)), 0)
	left.Record(start.Add(600*time.Millisecond), "r1", report)
	exchange(start.Add(650 * time.Millisecond))
	require.InDelta(t, 16, exchange(start.Add(750*time.Millisecond)), 0, "and back again")
	require.Equal(t, 1, left.Summary(start.Add(750*time.Millisecond)).Routers)
	require.Zero(t, joined.Summary(start.Add(750*time.Millisecond)).Routers)
}

// TestALostNodeExpiresBeforeItsRoutersReportElsewhere guards against demand that doubles after
// the loss of a node.
func TestALostNodeExpiresBeforeItsRoutersReportElsewhere(t *testing.T) {
	const leaveTime = 1100 * time.Millisecond
	lost, other, merger := loadview.NewCollector(), loadview.NewCollector(), loadview.NewMerger()
	report := loadview.Report{Routes: []loadview.RouteDemand{{Route: "a", Offered: 16}}}
	lost.Record(start, "r1", report)
	merger.Record(start, "lost", lost.Summary(start))
	for elapsed := time.Duration(0); elapsed <= 2*time.Second; elapsed += 100 * time.Millisecond {
		now := start.Add(elapsed)
		if elapsed >= leaveTime {
			other.Record(now, "r1", report)
		}
		merger.Record(now, "other", other.Summary(now))
		require.LessOrEqual(t, merger.Totals(now).Routes["a"].Offered, 16.0, elapsed)
	}
	require.InDelta(t, 16, merger.Totals(start.Add(2 * time.Second)).Routes["a"].Offered, 0)
}

// TestSameFiguresIgnoresAges guards against a message for every tick, and against changes that
// are not sent.
func TestSameFiguresIgnoresAges(t *testing.T) {
	collector := loadview.NewCollector()
	collector.Record(start, "r1", troubled(2, 0, 10, 1))
	before := collector.Summary(start)
	require.True(t, before.SameFigures(collector.Summary(start.Add(time.Second))))
	collector.Record(start, "r1", troubled(4, 0, 10, 1))
	require.False(t, before.SameFigures(collector.Summary(start)))

	view := loadview.View{Services: []loadview.ServiceState{{Service: "s", Servers: []loadview.ServerState{{ID: "i", Condition: loadview.Slow}}}}, Routes: []loadview.RouteState{{Route: "a", Fraction: 0.5}}}
	later := view
	later.Revision, later.Epoch = 7, 8
	later.Services = []loadview.ServiceState{{Service: "s", Since: time.Second, Servers: []loadview.ServerState{{ID: "i", Condition: loadview.Slow, Age: time.Second}}}}
	later.Routes = []loadview.RouteState{{Route: "a", Fraction: 0.5, Since: time.Second}}
	require.True(t, view.SameAdmission(later))
	later.Routes[0].Fraction = 0.6
	require.False(t, view.SameAdmission(later))
}

// TestChangesOfAView guards against a view for each change of a pace, and against changes of shares
// or servers that are published late.
func TestChangesOfAView(t *testing.T) {
	view := func(edit func(*loadview.View)) loadview.View {
		made := loadview.View{
			Routes:   []loadview.RouteState{{Route: "a", Fraction: 0.5}},
			Services: []loadview.ServiceState{{Service: "s", Demand: 1, Capacity: 2, Servers: []loadview.ServerState{{ID: "i", Condition: loadview.Slow, Pace: 2}}}},
		}
		edit(&made)
		return made
	}
	before := view(func(*loadview.View) {})
	for name, change := range map[string]struct {
		edit                     func(*loadview.View)
		sameAdmission, namesMore bool
	}{
		"figures":   {func(v *loadview.View) { v.Services[0].Servers[0].Pace, v.Services[0].Demand = 4, 1.5 }, true, false},
		"share":     {func(v *loadview.View) { v.Routes[0].Fraction = 0.4 }, false, false},
		"tenant":    {func(v *loadview.View) { v.Tenants = []loadview.TenantState{{Tenant: "t", Share: 0.5}} }, false, false},
		"short":     {func(v *loadview.View) { v.Services[0].Demand = 3 }, false, false},
		"condition": {func(v *loadview.View) { v.Services[0].Servers[0].Condition = loadview.Silent }, true, true},
		"recovered": {func(v *loadview.View) { v.Services[0].Servers = nil }, true, false},
		"server": {func(v *loadview.View) {
			v.Services[0].Servers = append(v.Services[0].Servers, loadview.ServerState{ID: "j", Condition: loadview.Silent})
		}, true, true},
	} {
		after := view(change.edit)
		require.Equal(t, change.sameAdmission, after.SameAdmission(before), name)
		require.Equal(t, change.namesMore, after.NamesMore(before), name)
	}
}

// TestCapacity guards against capacity that servers in trouble don't have.
func TestCapacity(t *testing.T) {
	slots := []loadview.ServerSlots{{ID: "sound", Slots: 2}, {ID: "slow", Slots: 2}, {ID: "refusing", Slots: 2}, {ID: "silent", Slots: 2}}
	states := []loadview.ServerState{
		{ID: "slow", Condition: loadview.Slow, Pace: 4}, {ID: "refusing", Condition: loadview.Refusing, Pace: 0.5, Refusals: 0.5},
		{ID: "silent", Condition: loadview.Silent}, {ID: "unknown", Condition: loadview.Slow, Pace: 2},
	}
	require.InDelta(t, loadview.Usable*(2+0.5+1), loadview.Capacity(slots, states), 1e-9)
	require.Zero(t, loadview.Capacity(nil, states))
}
