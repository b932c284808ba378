package router_test

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/probing"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/router"
)

const (
	// probeServers and probeRouters are the size of a cell at the target scale.
	probeServers = 850
	probeRouters = 64
	// probeQueries is the pause between two queries to all servers.
	probeQueries = 500 * time.Millisecond
	// probeSettle is how long a router runs before the measurement, until the pauses
	// of servers that are down have grown to their maximum.
	probeSettle = 17 * time.Second
	probeTime   = 8 * time.Second
)

// cellSource reports once that the router is one of a cell of probeRouters.
type cellSource struct{ plan *plan.Plan }

// Run implements router.ConfigSource.
func (s cellSource) Run(ctx context.Context, sink router.ConfigSink) error {
	sink.InstallPlan(1, s.plan)
	sink.InstallRouters(lo.Times(probeRouters, func(index int) router.Peer {
		return router.Peer{Name: "router-" + strconv.Itoa(index), Zone: "a", Address: netip.MustParseAddrPort("127.0.0.1:1")}
	}))
	sink.ExtendLease(time.Now().Add(time.Hour))
	<-ctx.Done()
	return nil
}

func (cellSource) Observe(netip.AddrPort, query.MachineState) {}
func (cellSource) Leave(context.Context) error                { return nil }
func (cellSource) Describe() string                           { return "test" }

// BenchmarkProbes measures the probes and the processor time of one router of a cell:
// without probes, with all probes at the interval, and with the probes of a schedule.
func BenchmarkProbes(b *testing.B) {
	serving := startCostServers(b, probeServers)
	refusing := lo.Times(probeServers, func(index int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, byte(index / 250), byte(index%250 + 1)}), 1)
	})
	b.Run("none", func(b *testing.B) {
		benchmarkProbes(b, refusing, 0, router.Config{ProbeInterval: time.Hour})
	})
	always := probing.DefaultInterval
	for _, load := range []struct {
		name      string
		addresses []netip.AddrPort
		queries   time.Duration
	}{{"idle", serving, 0}, {"busy", serving, probeQueries}, {"refusing", refusing, 0}} {
		b.Run(load.name+"/interval", func(b *testing.B) {
			benchmarkProbes(b, load.addresses, load.queries, router.Config{
				ProbeIdlePause: always, ProbeHeardPause: always, ProbeDownPause: always})
		})
		b.Run(load.name+"/schedule", func(b *testing.B) {
			benchmarkProbes(b, load.addresses, load.queries, router.Config{})
		})
	}
}

func benchmarkProbes(b *testing.B, addresses []netip.AddrPort, queries time.Duration, config router.Config) {
	client, registry, logger := newCostClient(b)
	installed := costPlan(addresses, plan.Merge{Kind: plan.MergeConcat})
	installed.Services[0].CellRouters = probeRouters
	for index := range addresses {
		installed.Services[0].Generations[0].Shards[index].Replicas[0].Connections = 8 * probeRouters
	}
	config.Name, config.Zone, config.Boot = "router-0", "a", 1
	served := router.New(config, router.Dependencies{
		Logger: logger, Registerer: registry, Backends: client, Claims: router.NewLocalClaims(),
		Events: router.EventLog{Logger: logger}, Source: cellSource{installed}, Forwarder: refusingForwarder{},
		NewEngine: func(int) router.Engine { return query.New(query.Config{Zone: "a"}) },
	})
	running, end := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- served.Run(running) }()
	if queries > 0 {
		go sendAtInterval(running, served, queries)
	}
	b.Cleanup(func() {
		end()
		<-ended
	})
	time.Sleep(probeSettle)
	probesBefore, processorBefore, begin := probesOf(b, registry), processorTime(b), time.Now()
	time.Sleep(probeTime)
	seconds := time.Since(begin).Seconds()
	b.ReportMetric((probesOf(b, registry)-probesBefore)/seconds, "probes/s")
	b.ReportMetric(100*(processorTime(b)-processorBefore).Seconds()/seconds, "%core")
	b.ReportMetric(0, "ns/op")
}

// sendAtInterval sends queries to all servers until the context ends.
func sendAtInterval(ctx context.Context, served *router.Router, interval time.Duration) {
	for number := 0; ctx.Err() == nil; number++ {
		served.Query(ctx, router.Request{CallerID: fmt.Sprint("query-", number), Route: "find", Body: []byte(costBody)})
		time.Sleep(interval)
	}
}

// probesOf sums the router's count of probes.
func probesOf(b *testing.B, registry prometheus.Registerer) float64 {
	b.Helper()
	families, err := registry.(prometheus.Gatherer).Gather()
	require.NoError(b, err)
	sum := 0.0
	for _, family := range families {
		if family.GetName() == "martenstage_router_probes_total" {
			for _, metric := range family.GetMetric() {
				sum += metric.GetCounter().GetValue()
			}
		}
	}
	return sum
}
