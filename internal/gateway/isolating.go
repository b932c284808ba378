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

// Bounds of probing other routers, which a router does when it may be isolated from all other
// zones.
const (
	// probeTimeout is many times the latency between zones of a region, so that a router with
	// little CPU time answers as well.
	probeTimeout = 100 * time.Millisecond
	// probeInterval is the pause between rounds of probes while the router is isolated.
	probeInterval = 200 * time.Millisecond
	// probesOtherZones and probesOwnZone are how many routers of other zones and of the own
	// zone are probed in a round. With 60 % of all routers without power, four probed routers
	// of other zones all failed to answer in one of 8 rounds, eight in one of 60.
	probesOtherZones = 8
	probesOwnZone    = 2
	// maxNotifiedPeers is how many routers of its zone a router notifies when it starts to
	// probe. At a few requests a second, each would otherwise detect the isolation only by a
	// failed request of its own.
	maxNotifiedPeers = 64
)

// pathProbe is the path of the call that makes another router of the zone probe as well.
const pathProbe = "/router/probe"

// isolationMonitor detects whether this router is isolated from all other zones.
type isolationMonitor struct {
	gateway *Gateway
	// lastContact is when a router of another zone last answered, in ns of the steady clock
	// since the start.
	lastContact atomic.Int64
	// probeRequests start rounds of probes; true if a peer requested them and the zone has
	// been notified.
	probeRequests chan bool
	isolated      atomic.Bool
	dial          func(ctx context.Context, address string) error
}

func newIsolationMonitor(gateway *Gateway) *isolationMonitor {
	dialer := &net.Dialer{KeepAlive: -1}
	return &isolationMonitor{
		gateway: gateway, probeRequests: make(chan bool, 1),
		dial: func(ctx context.Context, address string) error {
			conn, err := dialer.DialContext(ctx, "tcp4", address)
			if err == nil {
				_ = conn.Close()
			}
			return err
		},
	}
}

// recordContact records that a router of a zone answered.
func (i *isolationMonitor) recordContact(zone string) {
	if zone != i.gateway.config.Zone {
		i.lastContact.Store(int64(steadyclock.Since(i.gateway.started)))
	}
}

// recordFailure records that a router of a zone failed.
func (i *isolationMonitor) recordFailure(zone string) {
	if zone != i.gateway.config.Zone {
		i.requestProbe(false)
	}
}

// requestProbe starts rounds of probes, unless they are already requested. fromPeer tells that
// a peer has notified the routers of the zone.
func (i *isolationMonitor) requestProbe(fromPeer bool) {
	select {
	case i.probeRequests <- fromPeer:
	default:
	}
}

// run probes on request until the context ends.
func (i *isolationMonitor) run(ctx context.Context) {
	var detector isolation.Detector
	for {
		select {
		case <-ctx.Done():
			return
		case fromPeer := <-i.probeRequests:
			detector.ObserveContact(i.gateway.started.Add(time.Duration(i.lastContact.Load())))
			if fromPeer || detector.ShouldProbe(steadyclock.Now()) {
				i.probe(ctx, &detector, fromPeer)
			}
		}
	}
}

// probe runs rounds of probes until another zone is certain to be reachable.
func (i *isolationMonitor) probe(ctx context.Context, detector *isolation.Detector, fromPeer bool) {
	for first := true; ctx.Err() == nil; first = false {
		round := i.probeRound(ctx)
		finding := detector.ObserveRound(round)
		i.setIsolated(finding == isolation.Isolated, round)
		if finding == isolation.Connected {
			return
		}
		if first && !fromPeer && finding == isolation.Uncertain {
			i.notifyPeers(ctx)
		}
		if finding == isolation.Isolated {
			select {
			case <-ctx.Done():
			case <-time.After(probeInterval):
			}
		}
	}
}

// setIsolated records whether the router is isolated.
func (i *isolationMonitor) setIsolated(isolated bool, round isolation.Round) {
	if i.isolated.Swap(isolated) == isolated {
		return
	}
	i.gateway.peers.setIsolated(isolated)
	if isolated {
		i.gateway.metrics.isolated.Set(1)
	} else {
		i.gateway.metrics.isolated.Set(0)
	}
	i.gateway.logger.WithFields(logrus.Fields{"isolated": isolated, "own": round.OwnZone, "others": round.OtherZones}).Warn("isolation_changed")
}

// probeRound probes some routers in parallel. A router that refuses the connection counts as
// reachable.
func (i *isolationMonitor) probeRound(ctx context.Context) isolation.Round {
	own, others := i.gateway.peers.sample(probesOwnZone, probesOtherZones)
	var round isolation.Round
	var mutex sync.Mutex
	var probes sync.WaitGroup
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	each := func(routers []slicing.Router, count *int) {
		for _, router := range routers {
			probes.Go(func() {
				err := i.dial(probeCtx, router.Address)
				var failure net.Error
				if err != nil && (errors.As(err, &failure) && failure.Timeout() || probeCtx.Err() != nil) {
					return
				}
				mutex.Lock()
				defer mutex.Unlock()
				*count++
			})
		}
	}
	each(own, &round.OwnZone)
	each(others, &round.OtherZones)
	probes.Wait()
	return round
}

// notifyPeers makes the other routers of the zone probe as well.
func (i *isolationMonitor) notifyPeers(ctx context.Context) {
	own, _ := i.gateway.peers.sample(maxNotifiedPeers, 0)
	for _, router := range own {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			request, err := http.NewRequestWithContext(callCtx, http.MethodPost, "http://"+router.Address+pathProbe, nil)
			if err != nil {
				return
			}
			addressee.SetHeaders(request.Header, addressee.Identity{Group: i.gateway.group(), Name: router.Name})
			response, err := i.gateway.slices.http.Do(request)
			if err != nil {
				i.gateway.logger.WithField("router", router.Name).WithField("reason", err).Debug("probe_not_told")
				return
			}
			_ = response.Body.Close()
		}()
	}
}

// serveProbe starts probes at the request of a peer.
func (g *Gateway) serveProbe(writer http.ResponseWriter, _ *http.Request) {
	g.isolation.requestProbe(true)
	writer.WriteHeader(http.StatusNoContent)
}

// zoneSuffices reports whether the servers of the own zone suffice for a route.
func (g *Gateway) zoneSuffices(shards []string, least float64) bool {
	return slicing.MeetsCoverage(g.peers.servedInZone(shards), len(shards), least)
}

// refuseIsolated refuses at once a request that needs servers of other zones while this router
// is isolated. It reports whether it did.
func (s *exchangeState) refuseIsolated() bool {
	if !s.gateway.isolation.isolated.Load() || !s.route.Gathers() || s.gateway.zoneSuffices(s.route.Shards, s.route.LeastShare) {
		return false
	}
	s.refuse(http.StatusServiceUnavailable, verdict.ReasonCoverage, s.retryAfter())
	return true
}

// sample returns random routers of the own zone and of other zones, about as many of each
// other zone.
func (p *peers) sample(own, others int) (inZone, otherZones []slicing.Router) {
	p.mutex.Lock()
	routers := slices.Clone(p.routers)
	p.mutex.Unlock()
	mutable.Shuffle(routers)
	byZone := lo.GroupBy(routers, func(router slicing.Router) string { return router.Zone })
	inZone = lo.Reject(byZone[p.self.Zone], func(router slicing.Router, _ int) bool { return router.Name == p.self.Name })
	delete(byZone, p.self.Zone)
	return lo.Slice(inZone, 0, own), lo.Slice(lo.Interleave(lo.Values(byZone)...), 0, others)
}

// setIsolated records whether the routers of other zones are unreachable.
func (p *peers) setIsolated(isolated bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isolated = isolated
	clear(p.layouts)
}

// servedInZone counts the shards that have servers in the own zone.
func (p *peers) servedInZone(shards []string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.updateZones()
	return lo.CountBy(shards, func(shard string) bool { return lo.Contains(p.zones[shard], p.self.Zone) })
}
