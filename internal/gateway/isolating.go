package gateway

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/samber/lo/mutable"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/addressee"
	"github.com/martenstage/martenstage/internal/isolation"
	"github.com/martenstage/martenstage/internal/slicing"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Probes of other routers, once this one may be cut off from all other zones.
const (
	// probeTimeout is many times the way between zones of a region, so that also a
	// router with little processor time is heard.
	probeTimeout = 100 * time.Millisecond
	// probeInterval lies between rounds while the router is isolated.
	probeInterval = 200 * time.Millisecond
	// probedOthers and probedOwn are how many routers of other zones and of the own one
	// are probed in a round. Where 60 % of all routers lost power, four others were silent
	// in one round of eight, and eight are in one of sixty.
	probedOthers = 8
	probedOwn    = 2
	// warnedPeers is how many routers of its zone a router tells that it began to probe:
	// with a few requests a second each would find it out by one that fails.
	warnedPeers = 64
)

// pathProbe is the call by which a router has others of its zone probe as well.
const pathProbe = "/router/probe"

// reach finds out whether this router is cut off from all other zones.
type reach struct {
	gateway *Gateway
	// heard is when something last came from another zone, Unix ns of the steady clock.
	heard atomic.Int64
	// suspicions begin rounds of probes; told says that others of the zone know.
	suspicions chan bool
	isolated   atomic.Bool
	dial       func(ctx context.Context, address string) error
}

func newReach(gateway *Gateway) *reach {
	dialer := &net.Dialer{KeepAlive: -1}
	return &reach{
		gateway: gateway, suspicions: make(chan bool, 1),
		dial: func(ctx context.Context, address string) error {
			conn, err := dialer.DialContext(ctx, "tcp4", address)
			if err == nil {
				_ = conn.Close()
			}
			return err
		},
	}
}

// hear takes in that a router of a zone answered.
func (r *reach) hear(zone string) {
	if zone != r.gateway.config.Zone {
		r.heard.Store(int64(steadyclock.Since(r.gateway.started)))
	}
}

// fail takes in that a router of a zone failed.
func (r *reach) fail(zone string) {
	if zone != r.gateway.config.Zone {
		r.suspect(false)
	}
}

// suspect begins rounds of probes, unless there are some already; told says that the
// other routers of the zone were told by another one.
func (r *reach) suspect(told bool) {
	select {
	case r.suspicions <- told:
	default:
	}
}

// run probes whenever there is a suspicion, until the context ends.
func (r *reach) run(ctx context.Context) {
	var detector isolation.Detector
	for {
		select {
		case <-ctx.Done():
			return
		case told := <-r.suspicions:
			detector.Heard(r.gateway.started.Add(time.Duration(r.heard.Load())))
			if told || detector.Suspects(steadyclock.Now()) {
				r.probe(ctx, &detector, told)
			}
		}
	}
}

// probe sends rounds of probes until it is certain that another zone is reached.
func (r *reach) probe(ctx context.Context, detector *isolation.Detector, told bool) {
	for first := true; ctx.Err() == nil; first = false {
		round := r.round(ctx)
		finding := detector.Take(round)
		r.set(finding == isolation.Isolated, round)
		if finding == isolation.Connected {
			return
		}
		if first && !told && finding == isolation.Uncertain {
			r.warn(ctx)
		}
		if finding == isolation.Isolated {
			select {
			case <-ctx.Done():
			case <-time.After(probeInterval):
			}
		}
	}
}

// set takes in whether the router is isolated.
func (r *reach) set(isolated bool, round isolation.Round) {
	if r.isolated.Swap(isolated) == isolated {
		return
	}
	r.gateway.peers.setIsolated(isolated)
	if isolated {
		r.gateway.metrics.isolated.Set(1)
	} else {
		r.gateway.metrics.isolated.Set(0)
	}
	r.gateway.logger.WithFields(logrus.Fields{"isolated": isolated, "own": round.Own, "others": round.Others}).Warn("isolation_changed")
}

// round probes some routers at once. One that refuses the connection is reached, too.
func (r *reach) round(ctx context.Context) isolation.Round {
	own, others := r.gateway.peers.sample(probedOwn, probedOthers)
	var round isolation.Round
	var mutex sync.Mutex
	var probes sync.WaitGroup
	probing, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	each := func(routers []slicing.Router, count *int) {
		for _, router := range routers {
			probes.Go(func() {
				err := r.dial(probing, router.Address)
				var failure net.Error
				if err != nil && (errors.As(err, &failure) && failure.Timeout() || probing.Err() != nil) {
					return
				}
				mutex.Lock()
				defer mutex.Unlock()
				*count++
			})
		}
	}
	each(own, &round.Own)
	each(others, &round.Others)
	probes.Wait()
	return round
}

// warn has the other routers of the zone probe, too.
func (r *reach) warn(ctx context.Context) {
	own, _ := r.gateway.peers.sample(warnedPeers, 0)
	for _, router := range own {
		go func() {
			calling, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			request, err := http.NewRequestWithContext(calling, http.MethodPost, "http://"+router.Address+pathProbe, nil)
			if err != nil {
				return
			}
			addressee.Mark(request.Header, addressee.Identity{Group: r.gateway.group(), Name: router.Name})
			response, err := r.gateway.slices.http.Do(request)
			if err != nil {
				r.gateway.logger.WithField("router", router.Name).WithField("reason", err).Debug("probe_not_told")
				return
			}
			_ = response.Body.Close()
		}()
	}
}

// serveProbe has this router find out whether it is isolated.
func (g *Gateway) serveProbe(writer http.ResponseWriter, _ *http.Request) {
	g.reach.suspect(true)
	writer.WriteHeader(http.StatusNoContent)
}

// withinZone reports whether the servers of the own zone suffice for a route.
func (g *Gateway) withinZone(shards []string, least float64) bool {
	return slicing.Suffices(g.peers.heldInZone(shards), len(shards), least)
}

// refuseIsolated refuses at once a request that needs servers of other zones, which this
// router does not reach. It reports whether it did.
func (s *exchangeState) refuseIsolated() bool {
	if !s.gateway.reach.isolated.Load() || !s.route.Gathers() || s.gateway.withinZone(s.route.Shards, s.route.LeastShare) {
		return false
	}
	s.refuse(http.StatusServiceUnavailable, verdict.ReasonCoverage, s.comeBack())
	return true
}

// sample returns some routers of the own zone and, from each about as many, of others;
// other ones each time.
func (p *peers) sample(own, others int) (inZone, elsewhere []slicing.Router) {
	p.mutex.Lock()
	routers := slices.Clone(p.routers)
	p.mutex.Unlock()
	mutable.Shuffle(routers)
	byZone := lo.GroupBy(routers, func(router slicing.Router) string { return router.Zone })
	inZone = lo.Reject(byZone[p.self.Zone], func(router slicing.Router, _ int) bool { return router.Name == p.self.Name })
	delete(byZone, p.self.Zone)
	return lo.Slice(inZone, 0, own), lo.Slice(lo.Interleave(lo.Values(byZone)...), 0, others)
}

// setIsolated takes in whether the routers of other zones are out of reach.
func (p *peers) setIsolated(isolated bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isolated = isolated
	clear(p.layouts)
}

// heldInZone counts the shards that have servers in the own zone.
func (p *peers) heldInZone(shards []string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.updateZones()
	return lo.CountBy(shards, func(shard string) bool { return lo.Contains(p.zones[shard], p.self.Zone) })
}
