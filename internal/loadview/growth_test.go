package loadview_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/loadview"
)

// siteLoad is the load of a site, in counts.
type siteLoad struct{ routers, services, servers, inTrouble, routes int }

const siteNodes = 5

// measured are counts of a round of messages at a site.
type measured struct {
	// entries of all summaries and of the totals; bytes of the longest report and of all
	// summaries.
	summaryEntries, totalEntries, reportBytes, summaryBytes int
}

func bytesOf(t *testing.T, value any) int {
	encoded, err := json.Marshal(value)
	require.NoError(t, err)
	return len(encoded)
}

// report returns what a router of the site reports: all routes, and the servers in trouble, each
// of another service and the first of its own.
func (l siteLoad) report(router int) loadview.Report {
	report := loadview.Report{Heard: l.servers, Troubled: l.inTrouble}
	for route := range l.routes {
		report.Routes = append(report.Routes, loadview.RouteDemand{Route: fmt.Sprint("route-", route), Offered: float64(100+router%7) / 10, Admitted: 8.3, Work: 20 * time.Millisecond})
	}
	for index := range l.inTrouble {
		service := index % l.services
		report.Services = append(report.Services, loadview.ServiceReport{Service: fmt.Sprint("shard-", service), Servers: []loadview.ServerState{
			{ID: fmt.Sprintf("shard-%d-%d", service, index/l.services), Condition: loadview.Slow, Pace: 5 + float64(router%5)/10, Age: time.Duration(router) * time.Millisecond},
		}})
	}
	return report
}

func (l siteLoad) measure(t *testing.T) measured {
	merger := loadview.NewMerger()
	var counts measured
	for node := range siteNodes {
		collector := loadview.NewCollector()
		for router := node; router < l.routers; router += siteNodes {
			report := l.report(router)
			counts.reportBytes = max(counts.reportBytes, bytesOf(t, report))
			// Both after the time in which routers count as arrived.
			for _, at := range []time.Duration{0, 700 * time.Millisecond, 1400 * time.Millisecond} {
				collector.Record(start.Add(at), fmt.Sprint("router-", router), report)
			}
		}
		now := start.Add(1500 * time.Millisecond)
		summary := collector.Summary(now)
		require.Equal(t, l.routers/siteNodes, summary.Routers)
		counts.summaryEntries += len(summary.Routes) + len(summary.Services) + len(summary.Tenants) + len(summary.Arrivals)
		counts.summaryBytes += bytesOf(t, summary)
		merger.Record(now, fmt.Sprint("node-", node), summary)
	}
	totals := merger.Totals(start.Add(1500 * time.Millisecond))
	counts.totalEntries = len(totals.Routes) + len(totals.Services)
	return counts
}

// TestSizeDependsOnTroubleAndRoutes guards against messages that grow with routers x servers. It
// counts entries and bytes at a site of 300 routers with 9,575 servers and at twice that size.
func TestSizeDependsOnTroubleAndRoutes(t *testing.T) {
	site := siteLoad{routers: 300, services: 135, servers: 9575, inTrouble: 40, routes: 6}
	twice := site
	twice.routers, twice.servers = 600, 19150
	small, large := site.measure(t), twice.measure(t)
	t.Logf("%d routers: %+v", site.routers, small)
	t.Logf("%d routers: %+v", twice.routers, large)
	require.Equal(t, siteNodes*(site.routes+site.inTrouble), small.summaryEntries)
	require.Equal(t, site.routes+site.inTrouble, small.totalEntries)
	require.Equal(t, small.summaryEntries, large.summaryEntries)
	require.Equal(t, small.totalEntries, large.totalEntries)
	require.InEpsilon(t, small.summaryBytes, large.summaryBytes, 0.02, "digits of the counts")
	require.InEpsilon(t, small.reportBytes, large.reportBytes, 0.02)

	troubled, sound := site, site
	troubled.inTrouble, sound.inTrouble = 60, 0
	require.Equal(t, siteNodes*20, troubled.measure(t).summaryEntries-small.summaryEntries)
	require.Equal(t, siteNodes*site.routes, sound.measure(t).summaryEntries, "only routes under normal load")
	require.Less(t, sound.measure(t).reportBytes, 100*site.routes)
}
