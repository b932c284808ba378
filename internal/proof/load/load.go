// Package load sends open-loop load to the callers' API: requests leave at
// their intended times, drawn from a Poisson process, whether or not earlier
// ones were answered, and latency counts from the intended time. A slow tier
// can therefore not slow the load down and hide its own latency (Tene's
// coordinated omission).
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/lag"
	"github.com/martenstage/martenstage/internal/records"
	"github.com/martenstage/martenstage/internal/verdict"
	"github.com/martenstage/martenstage/internal/wait"
)

// Config describes a run of callers.
type Config struct {
	// Routers are the callers' addresses; each request takes one at random of
	// those that are ready.
	Routers []netip.AddrPort
	// Plan names the routes, their services and whether they run at most once.
	Plan     *plan.Plan
	Rates    []RouteRate
	Duration time.Duration
	Seed     uint64
	// Variant marks the request ids and answers of a run with several ones.
	Variant string
	// Resends is how often a caller sends a failed request again, after
	// ResendPause, or after the answer's own pause if HonorRetryAfter is set.
	Resends         int
	ResendPause     time.Duration
	HonorRetryAfter bool
	// ProbeInterval is the pause between two questions whether a router is
	// ready; 0 asks never.
	ProbeInterval time.Duration
	// MaxOutstanding bounds the requests in flight. One more is not sent and
	// is recorded as such.
	MaxOutstanding int
	// Patience is how long a caller waits for an answer at all.
	Patience time.Duration
}

// Defaults of Config.
const (
	DefaultMaxOutstanding = 4096
	DefaultPatience       = 15 * time.Second
	idleConnections       = 1024
)

// Recorder receives one record per answer. It must be safe for concurrent use.
type Recorder interface {
	Answer(answer records.CallerAnswer)
}

// Callers sends the load of one run.
type Callers struct {
	config   Config
	recorder Recorder
	client   *http.Client
	ready    *readiness
	lag      lag.Meter
	slots    chan struct{}
	inFlight sync.WaitGroup
}

// New returns callers that have sent nothing yet.
func New(config Config, recorder Recorder) (*Callers, error) {
	if len(config.Routers) == 0 {
		return nil, errors.New("callers need at least one router")
	}
	for _, rate := range config.Rates {
		if _, ok := config.Plan.RouteNamed(rate.Route); !ok {
			return nil, errors.Newf("no route %q in the policy file", rate.Route)
		}
	}
	if config.MaxOutstanding == 0 {
		config.MaxOutstanding = DefaultMaxOutstanding
	}
	if config.Patience == 0 {
		config.Patience = DefaultPatience
	}
	return &Callers{
		config: config, recorder: recorder, ready: newReadiness(config.Routers), slots: make(chan struct{}, config.MaxOutstanding),
		client: &http.Client{
			Timeout:   config.Patience,
			Transport: &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: idleConnections},
		},
	}, nil
}

// Run sends the load and returns once the last request has its answer.
func (c *Callers) Run(ctx context.Context) {
	probing, endProbes := context.WithCancel(ctx)
	var probes sync.WaitGroup
	probes.Go(func() { c.lag.Run(probing) })
	if c.config.ProbeInterval > 0 {
		for index := range c.config.Routers {
			probes.Go(func() { c.ready.probe(probing, c.client, index, c.config.ProbeInterval) })
		}
	}
	c.sendAll(ctx)
	c.inFlight.Wait()
	endProbes()
	probes.Wait()
	c.client.CloseIdleConnections()
}

// sendAll launches every request at its time.
func (c *Callers) sendAll(ctx context.Context) {
	arrivals := NewArrivals(c.config.Seed, c.config.Rates, c.config.Duration, c.config.Variant)
	choice := rand.New(rand.NewPCG(c.config.Seed, uint64(len(c.config.Routers))))
	start := time.Now()
	for {
		arrival, ok := arrivals.Next()
		if !ok || !wait.Until(ctx, start.Add(arrival.At)) {
			return
		}
		c.launch(ctx, call{arrival: arrival, intended: start.Add(arrival.At), first: choice.IntN(len(c.config.Routers))})
	}
}

// launch sends a request in a goroutine of its own, so that the schedule does
// not wait for it.
func (c *Callers) launch(ctx context.Context, request call) {
	select {
	case c.slots <- struct{}{}:
	default:
		c.recorder.Answer(c.unsent(request))
		return
	}
	c.inFlight.Add(1)
	go func() {
		defer c.inFlight.Done()
		defer func() { <-c.slots }()
		c.follow(ctx, request)
	}()
}

// follow sends a request, and again as the configuration says.
func (c *Callers) follow(ctx context.Context, request call) {
	for try := 0; ; try++ {
		answer, retryAfter := c.send(ctx, request, try)
		answer.CallerLagMs = float64(c.lag.Between(answer.Sent, answer.Received)) / float64(time.Millisecond)
		c.recorder.Answer(answer)
		if answer.Status == http.StatusOK || try >= c.config.Resends {
			return
		}
		pause := c.config.ResendPause
		if c.config.HonorRetryAfter && retryAfter > 0 {
			pause = retryAfter
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// unsent is the record of a request that found no free caller.
func (c *Callers) unsent(request call) records.CallerAnswer {
	now := time.Now()
	record := c.begin(request, "", now)
	record.Received, record.Verdict, record.Error = now, verdict.NotRun.String(), "too many requests in flight at the callers"
	return record
}

func (c *Callers) begin(request call, router string, sent time.Time) records.CallerAnswer {
	route, _ := c.config.Plan.RouteNamed(request.arrival.Route)
	return records.CallerAnswer{
		Request: request.arrival.ID, Route: route.Name, Service: route.Service, Once: route.Policy.Once,
		Router: router, Variant: c.config.Variant, Intended: request.intended, Sent: sent,
		BodyDigest: request.digest(),
	}
}

// RatesOf gives every route of a plan the same rate.
func RatesOf(compiled *plan.Plan, perSecond float64) []RouteRate {
	return lo.Map(compiled.Routes, func(route plan.Route, _ int) RouteRate {
		return RouteRate{Route: route.Name, PerSecond: perSecond}
	})
}
