package router_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/backend"
	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/router"
)

// The benchmarks measure the processor time of this process only, so the back ends
// run in a child process: this test binary, started with costServers set.
const (
	costServers = "MARTENSTAGE_COST_SERVERS"
	costShards  = 16
	costCallers = 32
	costBody    = `{"q":"desk","near":[13.7563,100.5018],"limit":10}`
)

// costPart is a reply of eight items of about 60 bytes each.
var costPart = func() []byte {
	part := backendapi.Part{}
	for index := range 8 {
		item := fmt.Sprintf(`{"id":"seat-finder/%d","rank":%d,"version":1,"request":"0123456789abcdef"}`, index, index*7919)
		part.Items = append(part.Items, json.RawMessage(item))
	}
	document, _ := json.Marshal(part)
	return document
}()

func TestMain(m *testing.M) {
	if count, err := strconv.Atoi(os.Getenv(costServers)); err == nil {
		serveCost(count)
		return
	}
	os.Exit(m.Run())
}

// serveCost runs back ends that reply at once, prints their addresses and returns
// when its standard input ends.
func serveCost(count int) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	for shard := range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		server := &http.Server{Handler: costHandler(uint32(shard)), Protocols: protocols}
		go func() { _ = server.Serve(listener) }()
		fmt.Println(listener.Addr())
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

func costHandler(shard uint32) http.Handler {
	health, _ := json.Marshal(backendapi.Health{State: backendapi.StateReady, Holdings: "1", Shards: []backendapi.ShardState{
		{Service: "search", Generation: 1, Shard: shard, Versions: []uint64{1}}}})
	digest := backendapi.Digest(costPart)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != backendapi.PathQuery {
			_, _ = writer.Write(health)
			return
		}
		body, _ := io.ReadAll(request.Body)
		header := writer.Header()
		for _, name := range []string{backendapi.HeaderRequest, backendapi.HeaderAttempt, backendapi.HeaderShard,
			backendapi.HeaderGeneration, backendapi.HeaderVersion} {
			header[name] = request.Header[name]
		}
		header.Set(backendapi.HeaderRequestDigest, backendapi.Digest(body))
		header.Set(backendapi.HeaderDigest, digest)
		header.Set(backendapi.HeaderLoad, "1/64/0")
		header.Set(backendapi.HeaderHoldings, "1")
		batch := max(1, len(body)/len(costBody))
		header.Set("Content-Length", strconv.Itoa(batch*len(costPart)))
		for range batch {
			_, _ = writer.Write(costPart)
		}
	})
}

// startCostServers starts the child process with the given number of servers and
// returns their addresses.
func startCostServers(b *testing.B, count int) []netip.AddrPort {
	b.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), costServers+"="+strconv.Itoa(count))
	input, err := command.StdinPipe()
	require.NoError(b, err)
	output, err := command.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, command.Start())
	b.Cleanup(func() {
		_ = input.Close()
		_ = command.Wait()
	})
	addresses := make([]netip.AddrPort, 0, count)
	for lines := bufio.NewScanner(output); len(addresses) < count && lines.Scan(); {
		addresses = append(addresses, netip.MustParseAddrPort(strings.TrimSpace(lines.Text())))
	}
	require.Len(b, addresses, count)
	return addresses
}

// measure runs rounds of the given number of attempts from concurrent callers and
// reports processor time, allocations and bytes per attempt.
func measure(b *testing.B, attempts int, round func(number int64)) {
	b.Helper()
	for number := range int64(costCallers * 4) {
		round(-1 - number) // opens the connections
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	processorBefore := processorTime(b)
	b.ResetTimer()
	var next atomic.Int64
	var callers sync.WaitGroup
	for range costCallers {
		callers.Go(func() {
			for number := next.Add(1); number <= int64(b.N); number = next.Add(1) {
				round(number)
			}
		})
	}
	callers.Wait()
	b.StopTimer()
	spent := processorTime(b) - processorBefore
	runtime.ReadMemStats(&after)
	total := float64(b.N) * float64(attempts)
	b.ReportMetric(float64(spent.Nanoseconds())/total, "cpu-ns/attempt")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/total, "allocs/attempt")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/total, "B/attempt")
	b.ReportMetric(0, "ns/op")
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkAttempt compares the cost of an attempt in a plain loop of the HTTP
// client, in the back-end client, and in the complete router with its engine.
func BenchmarkAttempt(b *testing.B) {
	addresses := startCostServers(b, costShards)
	b.Run("bare-http1", func(b *testing.B) { benchmarkBare(b, addresses, bareVariant{batch: 1}) })
	b.Run("bare-http2", func(b *testing.B) { benchmarkBare(b, addresses, bareVariant{batch: 1, http2: true}) })
	b.Run("bare-http1-batch8", func(b *testing.B) { benchmarkBare(b, addresses, bareVariant{batch: 8}) })
	b.Run("sender", func(b *testing.B) { benchmarkSender(b, addresses) })
	b.Run("router-concat", func(b *testing.B) { benchmarkRouter(b, addresses, plan.Merge{Kind: plan.MergeConcat}) })
	b.Run("router-top", func(b *testing.B) {
		benchmarkRouter(b, addresses, plan.Merge{Kind: plan.MergeTop, Limit: 10, Field: "rank"})
	})
}

// bareVariant is a method of sending queries with net/http alone.
type bareVariant struct {
	http2 bool
	// batch is the number of queries that share one exchange.
	batch int
}

// benchmarkBare sends the queries with net/http alone and reads the replies.
func benchmarkBare(b *testing.B, addresses []netip.AddrPort, variant bareVariant) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!variant.http2)
	protocols.SetUnencryptedHTTP2(variant.http2)
	body := bytes.Repeat([]byte(costBody), variant.batch)
	transport := &http.Transport{MaxIdleConnsPerHost: costCallers, DisableCompression: true, Protocols: protocols}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	measure(b, variant.batch, func(number int64) {
		address := addresses[uint64(number)%uint64(len(addresses))].String()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+backendapi.PathQuery,
			bytes.NewReader(body))
		for name, value := range map[string]string{
			backendapi.HeaderRequest: "request", backendapi.HeaderAttempt: strconv.FormatInt(number, 10),
			backendapi.HeaderService: "search", backendapi.HeaderShard: "1", backendapi.HeaderGeneration: "1",
			backendapi.HeaderVersion: "1", backendapi.HeaderTimeout: "100000", backendapi.HeaderZone: "a",
			"Content-Type": "application/json",
		} {
			request.Header.Set(name, value)
		}
		response, err := client.Do(request)
		if err != nil {
			panic(err)
		}
		if _, err := io.ReadAll(response.Body); err != nil {
			panic(err)
		}
		_ = response.Body.Close()
	})
}

func newCostClient(b *testing.B) (*backend.Client, prometheus.Registerer, *logrus.Logger) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	registry := prometheus.NewRegistry()
	client := backend.New(backend.Config{Zone: "a", DefaultConnections: costCallers + 1},
		backend.Dependencies{Logger: logger, Registerer: registry})
	b.Cleanup(client.Close)
	return client, registry, logger
}

func benchmarkSender(b *testing.B, addresses []netip.AddrPort) {
	client, _, _ := newCostClient(b)
	sender := client.Sender("router-0")
	measure(b, 1, func(number int64) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		outcome := sender.Send(ctx, query.Send{
			Attempt: query.AttemptID(number), CallerID: "request", Service: "search", Shard: 1, Generation: 1, Version: 1,
			Address: addresses[uint64(number)%uint64(len(addresses))], Timeout: 5 * time.Second, Body: []byte(costBody),
		})
		if _, ok := outcome.(query.PartArrived); !ok {
			panic(fmt.Sprintf("%+v", outcome))
		}
	})
}

// costPlan returns a plan with one shard of one replica per address.
func costPlan(addresses []netip.AddrPort, merge plan.Merge) *plan.Plan {
	generation := plan.Generation{Number: 1}
	for index, address := range addresses {
		generation.Shards = append(generation.Shards, plan.Shard{
			ID: uint32(index), Name: "g" + strconv.Itoa(index),
			Replicas: []plan.Replica{{Address: address, Zone: "a", Slots: costCallers, Connections: 2 * costCallers}},
		})
	}
	return &plan.Plan{
		Services: []plan.Service{{Name: "search", Generations: []plan.Generation{generation},
			HedgeBudget: plan.Budget{Ratio: 0.1, Burst: 20}}},
		Routes: []plan.Route{{Name: "find", Service: "search", Target: plan.TargetAll, Policy: plan.Policy{
			Name: "all", Priority: plan.PriorityInteractive, Deadline: 5 * time.Second, SnapshotCoverage: 1,
			Hedge: plan.Hedge{Quantile: 0.95, MinDelay: time.Second, MaxDelay: 2 * time.Second, MaxPerShard: 1},
			Statements: []plan.Statement{
				{Condition: plan.Condition{Kind: plan.ConditionCoverage, Ratio: 1}, Action: plan.ActionAnswer},
				{Condition: plan.Condition{Kind: plan.ConditionElapsed, Duration: 4 * time.Second}, Action: plan.ActionAnswer},
			},
			Merge: merge,
		}}},
	}
}

func benchmarkRouter(b *testing.B, addresses []netip.AddrPort, merge plan.Merge) {
	client, registry, logger := newCostClient(b)
	served := router.New(router.Config{Name: "router", Zone: "a", Boot: 1, Standalone: true}, router.Dependencies{
		Logger: logger, Registerer: registry, Backends: client, Claims: router.NewLocalClaims(),
		Events: router.EventLog{Logger: logger}, Source: &router.StaticSource{Plan: costPlan(addresses, merge)},
		NewEngine: func(int) router.Engine { return query.New(query.Config{Zone: "a"}) },
	})
	running, end := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- served.Run(running) }()
	b.Cleanup(func() {
		end()
		<-ended
	})
	sendQuery := func(number int64) query.Answer {
		return served.Query(context.Background(), router.Request{
			CallerID: strconv.FormatInt(number, 10), Route: "find", Body: []byte(costBody)})
	}
	require.Eventually(b, func() bool { return sendQuery(0).Complete }, 10*time.Second, 10*time.Millisecond)
	measure(b, costShards, func(number int64) {
		if answer := sendQuery(number); !answer.Complete {
			panic(fmt.Sprintf("%+v", answer))
		}
	})
}
