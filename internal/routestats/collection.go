package routestats

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

const (
	// ReportInterval is the interval at which a node reports upstream.
	ReportInterval = 5 * time.Second
	// reportLifetime is how long a report counts if no newer one replaces it.
	reportLifetime = 3 * ReportInterval
	// maxRoutes is the maximum number of routes in a report. The rest are ignored.
	maxRoutes = 10_000
)

// Collection holds the last reports of several nodes. It is not safe for concurrent
// use; its owner must lock it.
type Collection struct {
	nodes map[string]nodeReports
}

type nodeReports struct {
	at     time.Time
	routes []*v1.RouteReport
}

// NewCollection returns an empty collection.
func NewCollection() *Collection { return &Collection{nodes: make(map[string]nodeReports)} }

// Set replaces the reports of a node.
func (c *Collection) Set(now time.Time, node string, routes []*v1.RouteReport) {
	c.nodes[node] = nodeReports{at: now, routes: routes[:min(len(routes), maxRoutes)]}
}

// Remove drops the reports of a node.
func (c *Collection) Remove(node string) { delete(c.nodes, node) }

// Sum adds up the current reports of all nodes by route, sorted by route name. It
// drops nodes whose reports have expired.
func (c *Collection) Sum(now time.Time) []*v1.RouteReport {
	totals := make(map[string]*total)
	for node, reported := range c.nodes {
		if now.Sub(reported.at) > reportLifetime {
			delete(c.nodes, node)
			continue
		}
		for _, report := range reported.routes {
			sum, found := totals[report.GetRoute()]
			if !found {
				sum = &total{}
				totals[report.GetRoute()] = sum
			}
			sum.add(report)
		}
	}
	reports := make([]*v1.RouteReport, 0, len(totals))
	for route, sum := range totals {
		report := sum.counts.report(route)
		report.Window = durationpb.New(sum.window)
		reports = append(reports, report)
	}
	sortByRoute(reports)
	return reports
}

// total is the sum of the reports of one route.
type total struct {
	counts slot
	// window is the longest window of the added reports.
	window time.Duration
}

func (t *total) add(report *v1.RouteReport) {
	t.window = max(t.window, report.GetWindow().AsDuration())
	counts := &t.counts
	counts.answered += report.GetAnswered()
	counts.refused += report.GetRefused()
	counts.failed += report.GetFailed()
	counts.complete += report.GetComplete()
	counts.late += report.GetLate()
	counts.covered += report.GetShardsCovered()
	counts.wanted += report.GetShardsWanted()
	for index, count := range report.GetLatency() {
		bucket := min(uint64(report.GetFirstBucket())+uint64(index), bucketCount-1)
		counts.latency[bucket] += count
	}
}
