package emulator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/plan"
)

const (
	testService = "desk"
	testSlots   = 2
)

// testPlan is a service of two shards with two replicas each, in two zones,
// and of three shards in its second generation. Ports are chosen on start.
func testPlan() *plan.Plan {
	replica := func(number byte, zone string) plan.Replica {
		return plan.Replica{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 66, number}), 0),
			Zone: zone, Slots: testSlots, Connections: 20}
	}
	shard := func(id uint32, replicas ...plan.Replica) plan.Shard {
		return plan.Shard{ID: id, Name: fmt.Sprintf("g%d", id), Replicas: replicas}
	}
	first := plan.Generation{Number: 1, Shards: []plan.Shard{
		shard(0, replica(1, "a"), replica(2, "b")), shard(1, replica(3, "a"), replica(4, "b"))}}
	second := plan.Generation{Number: 2, Shards: []plan.Shard{
		shard(0, replica(1, "a")), shard(1, replica(2, "b")), shard(2, replica(3, "a"))}}
	return &plan.Plan{Services: []plan.Service{{Name: testService, Generations: []plan.Generation{first, second}}}}
}

// testConfig has no delays, so that only what a test asks for takes time.
func testConfig() Config {
	config := DefaultConfig(1, testPlan())
	config.Model.Default.Median = time.Millisecond
	config.Model.Default.Sigma = 0
	config.ConnectionSetup = 0
	config.ZoneDelay = 0
	return config
}

// bench is a fleet under test with a plain HTTP client.
type bench struct {
	testing.TB
	fleet  *Fleet
	record *MemoryRecorder
	client *http.Client
}

func newBench(t testing.TB, config Config) *bench {
	t.Helper()
	record := &MemoryRecorder{}
	bench := newBenchWith(t, config, record)
	bench.record = record
	return bench
}

func newBenchWith(t testing.TB, config Config, record Recorder) *bench {
	t.Helper()
	fleet, err := New(config, Dependencies{Recorder: record})
	require.NoError(t, err)
	require.NoError(t, fleet.Start())
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		fleet.Close()
	})
	return &bench{TB: t, fleet: fleet, client: &http.Client{Transport: transport}}
}

// ask is a query to shard 0 of generation 1 at the first version, held by the
// first server.
func (b *bench) ask(attempt string) *http.Request {
	b.Helper()
	url := "http://" + b.fleet.Servers()[0].Address().String() + backendapi.PathQuery
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader([]byte("body")))
	require.NoError(b, err)
	for name, value := range map[string]string{
		backendapi.HeaderRequest: "r-" + attempt, backendapi.HeaderAttempt: attempt,
		backendapi.HeaderService: testService, backendapi.HeaderShard: "0",
		backendapi.HeaderGeneration: "1", backendapi.HeaderVersion: "1",
		backendapi.HeaderTimeout: strconv.FormatInt(time.Minute.Microseconds(), 10),
		backendapi.HeaderZone:    "a",
	} {
		request.Header.Set(name, value)
	}
	return request
}

// do sends a request and returns the reply with its body read.
func (b *bench) do(request *http.Request) (*http.Response, []byte) {
	b.Helper()
	reply, err := b.client.Do(request)
	require.NoError(b, err)
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(reply.Body)
	require.NoError(b, err)
	return reply, body
}

func TestQueryIsAnsweredWithEchoAndDigest(t *testing.T) {
	bench := newBench(t, testConfig())
	request := bench.ask("a1")
	reply, body := bench.do(request)
	require.Equal(t, http.StatusOK, reply.StatusCode)
	for _, name := range []string{backendapi.HeaderRequest, backendapi.HeaderAttempt, backendapi.HeaderShard,
		backendapi.HeaderGeneration, backendapi.HeaderVersion} {
		require.Equal(t, request.Header.Get(name), reply.Header.Get(name), name)
	}
	require.Equal(t, backendapi.Digest([]byte("body")), reply.Header.Get(backendapi.HeaderRequestDigest))
	require.Equal(t, backendapi.Digest(body), reply.Header.Get(backendapi.HeaderDigest))
	require.Equal(t, "0/2/0", reply.Header.Get(backendapi.HeaderLoad))
}
