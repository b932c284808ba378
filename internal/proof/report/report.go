// Package report sums up a run per route: rate, latency quantiles, coverage,
// load on back ends and verdicts. Latency counts from the intended time of a
// request to its last answer, so the waiting of an overdue request shows.
package report

import (
	"net/http"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/records"
	"github.com/martenstage/martenstage/internal/verdict"
)

const (
	lowestLatencyUs   = 1
	highestLatencyUs  = 120_000_000
	significantDigits = 3
)

// Collector sums records up. It is for one goroutine.
type Collector struct {
	routes map[string]*routeSum
	first  time.Time
	last   time.Time
}

// routeSum is the sums of one route.
type routeSum struct {
	latency   *hdrhistogram.Histogram
	requests  int
	answered  int
	complete  int
	good      int
	refused   int
	failed    int
	covered   int
	targets   int
	attempts  int
	attempted int
	hedges    int
	retries   int
	verdicts  map[string]int

	loadAttempts int
	loadTargets  int
}

// New returns a collector without records.
func New() *Collector { return &Collector{routes: map[string]*routeSum{}} }

func (c *Collector) route(name string) *routeSum {
	if c.routes[name] == nil {
		c.routes[name] = &routeSum{
			latency:  hdrhistogram.New(lowestLatencyUs, highestLatencyUs, significantDigits),
			verdicts: map[string]int{},
		}
	}
	return c.routes[name]
}

// AddAnswer adds the answer to a request. Only the last answer of a request
// that was sent again is to be added.
func (c *Collector) AddAnswer(answer *records.CallerAnswer) {
	c.span(answer)
	sum := c.route(answer.Route)
	sum.requests++
	sum.verdicts[answer.Verdict]++
	switch {
	case answer.Status == http.StatusOK:
		sum.addAnswered(answer)
	case answer.Verdict == verdict.NotRun.String():
		sum.refused++
	default:
		sum.failed++
		sum.addTail(answer)
	}
}

// AddLoad adds what a request put on back ends, as they saw it. Once it was
// called for a route, the routers' own counts of that route are left out.
func (c *Collector) AddLoad(route string, attempts, targets int) {
	sum := c.route(route)
	sum.loadAttempts += attempts
	sum.loadTargets += targets
}

func (c *Collector) span(answer *records.CallerAnswer) {
	if c.first.IsZero() || answer.Intended.Before(c.first) {
		c.first = answer.Intended
	}
	if answer.Intended.After(c.last) {
		c.last = answer.Intended
	}
}

// addTail adds what failed requests count for, too: their latency, and their
// target shards as not covered. Leaving them out would flatter the tail.
func (s *routeSum) addTail(answer *records.CallerAnswer) {
	latency := answer.Received.Sub(answer.Intended).Microseconds()
	_ = s.latency.RecordValue(min(max(latency, lowestLatencyUs), highestLatencyUs))
	s.targets += len(answer.Covered) + len(answer.Missing)
}

func (s *routeSum) addAnswered(answer *records.CallerAnswer) {
	s.answered++
	s.addTail(answer)
	s.covered += len(answer.Covered)
	s.attempts += answer.Attempts
	s.attempted += len(answer.Covered) + len(answer.Missing)
	s.hedges += answer.Hedges
	s.retries += answer.Retries
	if answer.Complete {
		s.complete++
	}
	if !answer.Late {
		s.good++
	}
}

// Row is the summary of a route.
type Row struct {
	Route string `json:"route"`
	// Requests counts all, Answered those that got parts, Refused those that
	// were not run, and Failed the rest.
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// Rate and Goodput are requests and answers in time, per second.
	Rate    float64 `json:"rate"`
	Goodput float64 `json:"goodput"`
	P50Ms   float64 `json:"p50_ms"`
	P95Ms   float64 `json:"p95_ms"`
	P99Ms   float64 `json:"p99_ms"`
	P999Ms  float64 `json:"p999_ms"`
	// Coverage is the share of target shards that answers cover; a failed
	// request covers none, a refused one is left out, as it is from latency.
	// Complete is the share of answers without a missing shard.
	Coverage float64 `json:"coverage"`
	Complete float64 `json:"complete"`
	// AttemptsPerShard is the attempts per target shard.
	AttemptsPerShard float64        `json:"attempts_per_shard"`
	Hedges           int            `json:"hedges"`
	Retries          int            `json:"retries"`
	Verdicts         map[string]int `json:"verdicts"`
}

// Rows returns the summaries, sorted by route.
func (c *Collector) Rows() []Row {
	names := lo.Keys(c.routes)
	slices.Sort(names)
	seconds := max(c.last.Sub(c.first).Seconds(), time.Millisecond.Seconds())
	return lo.Map(names, func(name string, _ int) Row { return c.routes[name].row(name, seconds) })
}

func (s *routeSum) row(name string, seconds float64) Row {
	quantile := func(percent float64) float64 {
		const microsecondsPerMs = 1000
		return float64(s.latency.ValueAtPercentile(percent)) / microsecondsPerMs
	}
	attempts, targets := s.attempts, s.attempted
	if s.loadTargets > 0 {
		attempts, targets = s.loadAttempts, s.loadTargets
	}
	return Row{
		Route: name, Requests: s.requests, Answered: s.answered, Refused: s.refused, Failed: s.failed,
		Rate: float64(s.requests) / seconds, Goodput: float64(s.good) / seconds,
		P50Ms: quantile(50), P95Ms: quantile(95), P99Ms: quantile(99), P999Ms: quantile(99.9),
		Coverage: share(s.covered, s.targets), Complete: share(s.complete, s.answered),
		AttemptsPerShard: share(attempts, targets), Hedges: s.hedges, Retries: s.retries,
		Verdicts: s.verdicts,
	}
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
