package router

import (
	"context"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/martenstage/martenstage/internal/steadyclock"
)

// run probes failing entry routers until the context ends, so that no caller's
// request is used to find out whether a region is reachable again.
func (s *regions) run(ctx context.Context) {
	if s.caller == nil {
		return
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer s.probes.Wait()
	for {
		s.startProbes(ctx)
		timer.Reset(s.untilNextProbe())
		select {
		case <-timer.C:
		case <-s.probesChanged:
		case <-ctx.Done():
			return
		}
	}
}

// notifyProber makes the prober recompute when probes are due. It does not block.
func (s *regions) notifyProber() {
	select {
	case s.probesChanged <- struct{}{}:
	default:
	}
}

func (s *regions) startProbes(ctx context.Context) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for name, region := range s.known {
		for _, entry := range region.DueProbes(steadyclock.Now()) {
			s.probes.Go(func() { s.probe(ctx, name, entry) })
		}
	}
}

func (s *regions) probe(ctx context.Context, name string, entry netip.AddrPort) {
	bounded, cancel := context.WithTimeout(ctx, s.router.config.RegionProbeTimeout)
	defer cancel()
	err := s.caller.Reach(bounded, entry)
	result := "reached"
	if err != nil {
		result = "failed"
	}
	s.metrics.probes.WithLabelValues(name, result).Inc()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if region, found := s.known[name]; found {
		s.report(name, region.RecordProbe(steadyclock.Now(), entry, err == nil))
	}
	s.notifyProber()
}

// untilNextProbe is how long the prober may wait unless it is notified.
func (s *regions) untilNextProbe() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	wait := time.Hour
	for _, region := range s.known {
		if next, found := region.NextProbe(); found {
			wait = min(wait, steadyclock.Until(next))
		}
	}
	return max(wait, 0)
}

// regionMetrics counts the outcomes of requests to other regions.
type regionMetrics struct {
	requests  *prometheus.CounterVec
	inFlight  *prometheus.GaugeVec
	reachable *prometheus.GaugeVec
	probes    *prometheus.CounterVec
}

func newRegionMetrics(registerer prometheus.Registerer) *regionMetrics {
	created := &regionMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_remote_requests_total", Help: "Answered requests for routes of other regions, by verdict and reason."},
			[]string{"region", "verdict", "reason"}),
		inFlight: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "martenstage_remote_requests_in_flight", Help: "Requests on their way to another region."}, []string{"region"}),
		reachable: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "martenstage_remote_region_reachable", Help: "1 while some entry router of the region gets requests."}, []string{"region"}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "martenstage_remote_probes_total", Help: "Probes of failing entry routers, by result."}, []string{"region", "result"}),
	}
	registerer.MustRegister(created.requests, created.inFlight, created.reachable, created.probes)
	return created
}

// forget drops the gauges of a region that was removed from the configuration.
func (m *regionMetrics) forget(region string) {
	m.inFlight.DeleteLabelValues(region)
	m.reachable.DeleteLabelValues(region)
}
