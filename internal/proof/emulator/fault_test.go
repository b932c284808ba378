package emulator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/backendapi"
)

// wire returns the bytes of a request as a client sends them.
func wire(t testing.TB, request *http.Request) []byte {
	t.Helper()
	var sent bytes.Buffer
	require.NoError(t, request.Write(&sent))
	return sent.Bytes()
}

// exchange sends bytes on a new connection and returns all that comes back,
// and the error that ended it.
func (b *bench) exchange(sent []byte) ([]byte, error) {
	b.Helper()
	conn, err := net.Dial("tcp4", b.fleet.Servers()[0].Address().String())
	require.NoError(b, err)
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(sent); err != nil {
		return nil, err
	}
	return io.ReadAll(conn)
}

func TestReplyIsResetAtEachByte(t *testing.T) {
	bench := newBench(t, testConfig())
	whole := bench.replyLength()
	for _, count := range []int{0, 1, 17, whole / 2, whole - 1} {
		id := bench.inject(Fault{Kind: FaultResetReply, Byte: count})
		attempt := "a-" + id
		received, err := bench.exchange(wire(t, bench.ask(attempt)))
		require.Error(t, err, "a reset, not an end")
		require.Len(t, received, count)
		execution := bench.recorded(attempt)
		require.True(t, execution.Executed)
		require.False(t, execution.Replied)
		require.NoError(t, bench.fleet.Clear(id))
	}
	reply, _ := bench.do(bench.ask("after"))
	require.Equal(t, http.StatusOK, reply.StatusCode)
}

// replyLength is the length of a whole reply on the wire.
func (b *bench) replyLength() int {
	b.Helper()
	request := b.ask("a-fault-9")
	request.Close = true
	received, err := b.exchange(wire(b.TB, request))
	require.NoError(b, err)
	const closeHeader = len("Connection: close\r\n")
	return len(received) - closeHeader
}

func TestRequestIsResetAtEachByte(t *testing.T) {
	bench := newBench(t, testConfig())
	sent := wire(t, bench.ask("a1"))
	for _, count := range []int{0, 1, 30, len(sent) / 2, len(sent) - 1} {
		id := bench.inject(Fault{Kind: FaultResetRequest, Byte: count})
		received, err := bench.exchange(sent)
		require.Error(t, err)
		require.Empty(t, received)
		require.NoError(t, bench.fleet.Clear(id))
	}
	for _, execution := range bench.record.Executions() {
		require.False(t, execution.Executed)
	}
}

func TestWrongEcho(t *testing.T) {
	bench := newBench(t, testConfig())
	for field, header := range map[EchoField]string{
		EchoRequest: backendapi.HeaderRequest, EchoAttempt: backendapi.HeaderAttempt,
		EchoShard: backendapi.HeaderShard, EchoGeneration: backendapi.HeaderGeneration,
		EchoVersion: backendapi.HeaderVersion, EchoRequestDigest: backendapi.HeaderRequestDigest,
		EchoDigest: backendapi.HeaderDigest,
	} {
		honest, _ := bench.do(bench.ask("a1"))
		id := bench.inject(Fault{Kind: FaultWrongEcho, Field: field})
		reply, _ := bench.do(bench.ask("a1"))
		require.NoError(t, bench.fleet.Clear(id))
		require.Equal(t, http.StatusOK, reply.StatusCode)
		for name := range honest.Header {
			if name != "Date" && name != backendapi.HeaderLoad {
				require.Equal(t, name != header, honest.Header.Get(name) == reply.Header.Get(name), "%s: %s", field, name)
			}
		}
	}
}

func TestErrorAfterTheRun(t *testing.T) {
	bench := newBench(t, testConfig())
	bench.inject(Fault{Kind: FaultError})
	reply, _ := bench.do(bench.ask("a1"))
	require.Equal(t, http.StatusInternalServerError, reply.StatusCode)
	require.Empty(t, reply.Header.Get(backendapi.HeaderVerdict))
	require.True(t, bench.recorded("a1").Executed)
	require.True(t, bench.recorded("a1").Failed)
}

func TestConnectionOverTheLimitIsClosed(t *testing.T) {
	bench := newBench(t, testConfig())
	bench.inject(Fault{Kind: FaultConnectionLimit, Connections: 1})
	bench.do(bench.ask("a1"))
	received, _ := bench.exchange(wire(t, bench.ask("a2")))
	require.Empty(t, received)
	counts := bench.fleet.Servers()[0].Counts()
	require.EqualValues(t, 1, counts.OpenConnections)
	require.EqualValues(t, 1, counts.ConnectionsRefused)
	bench.client.CloseIdleConnections()
	bench.eventually(func() bool { return bench.fleet.Servers()[0].Counts().OpenConnections == 0 })
	reply, _ := bench.do(bench.ask("a3"))
	require.Equal(t, http.StatusOK, reply.StatusCode)
}

func TestPauseAcceptsAndDoesNotAnswer(t *testing.T) {
	bench := newBench(t, testConfig())
	id := bench.inject(Fault{Kind: FaultPause})
	conn, err := net.Dial("tcp4", bench.fleet.Servers()[0].Address().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(wire(t, bench.ask("a1")))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err)
	require.Empty(t, bench.record.Executions())
	require.NoError(t, bench.fleet.Clear(id))
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	reply, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, reply.StatusCode)
	require.NoError(t, reply.Body.Close())
}

func TestCrashResetsAndReturnsCold(t *testing.T) {
	config := hang(testConfig())
	config.ColdStart = time.Hour
	bench := newBench(t, config)
	bench.fill("a1")
	id := bench.inject(Fault{Kind: FaultCrash})
	execution := bench.recorded("a1")
	require.True(t, execution.Executed)
	require.False(t, execution.Replied)
	_, err := net.Dial("tcp4", bench.fleet.Servers()[0].Address().String())
	require.Error(t, err)
	require.NoError(t, bench.fleet.Clear(id))
	require.Equal(t, backendapi.StateWarming, bench.health().State)
	reply, _ := bench.do(bench.ask("a2"))
	require.Equal(t, "warming", reply.Header.Get(backendapi.HeaderReason))
}

// health reads the health of the first server.
func (b *bench) health() backendapi.Health {
	b.Helper()
	url := "http://" + b.fleet.Servers()[0].Address().String() + backendapi.PathHealth
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	require.NoError(b, err)
	_, body := b.do(request)
	var health backendapi.Health
	require.NoError(b, json.Unmarshal(body, &health))
	return health
}

func TestHealthLagsFreezesAndLies(t *testing.T) {
	bench := newBench(t, hang(testConfig()))
	for _, fault := range []Fault{
		{Kind: FaultHealthLag, Delay: time.Hour},
		{Kind: FaultHealthFrozen},
		{Kind: FaultHealthLie, State: backendapi.StateReady},
	} {
		bench.inject(fault)
		drain := bench.inject(Fault{Kind: FaultDrain})
		health := bench.health()
		require.Equal(t, backendapi.StateReady, health.State, fault.Kind)
		require.Equal(t, backendapi.Load{Slots: testSlots}, health.Load, fault.Kind)
		require.NotEmpty(t, health.Shards)
		reply, _ := bench.do(bench.ask("a-" + drain))
		require.Equal(t, "draining", reply.Header.Get(backendapi.HeaderReason), "the refusal is still true")
		require.Empty(t, reply.Header.Get(backendapi.HeaderDraining), "the header follows the false report")
		require.NoError(t, bench.fleet.ClearAll())
	}
	bench.fill("a1")
	require.Equal(t, 1, bench.health().Load.InFlight)
}

func TestHealthListsBothGenerations(t *testing.T) {
	bench := newBench(t, testConfig())
	require.Equal(t, []backendapi.ShardState{
		{Service: testService, Generation: 1, Shard: 0, Versions: []uint64{1}},
		{Service: testService, Generation: 2, Shard: 0, Versions: []uint64{1}},
	}, bench.health().Shards)
}

func TestVersionRollsAndTheOldOneIsDropped(t *testing.T) {
	bench := newBench(t, testConfig())
	require.NoError(t, bench.fleet.Roll(Roll{Service: testService, Keep: time.Hour}))
	require.Equal(t, []uint64{1, 2}, bench.health().Shards[0].Versions)
	require.NoError(t, bench.fleet.Roll(Roll{Service: testService}))
	require.Equal(t, []uint64{3}, bench.health().Shards[0].Versions)
	reply, _ := bench.do(bench.ask("a1"))
	require.Equal(t, "unknown_version", reply.Header.Get(backendapi.HeaderReason))
	require.Error(t, bench.fleet.Roll(Roll{Service: "other"}))
}

func TestFaultsOfTheScriptAndTheirEnd(t *testing.T) {
	config := testConfig()
	config.Script = []Fault{{ID: "cut", Kind: FaultDrain, Servers: Selector{Zone: "b"}}}
	bench := newBench(t, config)
	hit := func() (zones []string) {
		for _, server := range bench.fleet.State().Servers {
			if server.Health.State == backendapi.StateDraining {
				zones = append(zones, server.Zone)
			}
		}
		return zones
	}
	bench.eventually(func() bool { return len(hit()) == 2 })
	require.Equal(t, []string{"b", "b"}, hit())
	require.NoError(t, bench.fleet.Clear("cut"))
	require.Empty(t, hit())
	bench.inject(Fault{Kind: FaultDrain, For: time.Millisecond})
	bench.eventually(func() bool { return len(bench.fleet.State().Faults) == 0 })
	require.Empty(t, hit())
	config.Script[0].Servers.Zone = "nowhere"
	_, err := New(config, Dependencies{})
	require.ErrorContains(t, err, "no server matches")
}

func TestSelectorChoosesAnExactShare(t *testing.T) {
	bench := newBench(t, testConfig())
	for _, test := range []struct {
		selector Selector
		count    int
	}{
		{Selector{}, 4}, {Selector{Group: "g1"}, 3}, {Selector{Zone: "a"}, 2}, {Selector{Zone: "a", Fraction: 0.5}, 1},
		{Selector{Fraction: 0.5}, 2}, {Selector{Fraction: 0.01}, 1}, {Selector{Service: "other"}, 0},
	} {
		require.Len(t, bench.fleet.choose(&Fault{Servers: test.selector}), test.count, test.selector)
	}
}
