package machinelist

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

var (
	machineOne = netip.MustParseAddrPort("127.0.0.1:7001")
	machineTwo = netip.MustParseAddrPort("127.0.0.2:7001")
)

// clientOf returns a client of a test server.
func clientOf(t *testing.T, handler http.Handler) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	client, err := NewClient(ClientConfig{Address: address}, logrus.New(), nil)
	require.NoError(t, err)
	return client
}

func TestListIsServedALagBehind(t *testing.T) {
	started := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	now := started
	platform := NewFakePlatform(FakePlatformConfig{
		Machines: []netip.AddrPort{machineOne, machineTwo}, Lag: 5 * time.Second, Now: func() time.Time { return now },
		Changes: []Change{{At: 10 * time.Second, Address: machineTwo, State: StateGone}},
	})
	client := clientOf(t, platform.Handler())
	read := func() map[netip.AddrPort]State {
		list, err := client.Read(context.Background())
		require.NoError(t, err)
		states := map[netip.AddrPort]State{}
		for _, machine := range list.Machines {
			states[machine.Address] = machine.State
		}
		return states
	}
	both := map[netip.AddrPort]State{machineOne: StateLive, machineTwo: StateLive}
	now = started.Add(2 * time.Second)
	platform.Change(machineOne, StateLeaving)
	now = started.Add(6 * time.Second)
	require.Equal(t, both, read(), "the change is not visible before the lag has passed")
	now = started.Add(7 * time.Second)
	require.Equal(t, map[netip.AddrPort]State{machineOne: StateLeaving, machineTwo: StateLive}, read())
	now = started.Add(15 * time.Second)
	require.Equal(t, map[netip.AddrPort]State{machineOne: StateLeaving}, read())
}

func TestClientRejectsInvalidLists(t *testing.T) {
	entry := func(address, state string) string {
		return `{"address":"` + address + `","state":"` + state + `"}`
	}
	for name, text := range map[string]string{
		"not JSON":       `<html>`,
		"IPv6":           `{"machines":[` + entry("[::1]:80", "live") + `]}`,
		"host name":      `{"machines":[` + entry("host:80", "live") + `]}`,
		"unknown state":  `{"machines":[` + entry("127.0.0.1:80", "asleep") + `]}`,
		"listed twice":   `{"machines":[` + entry("127.0.0.1:80", "live") + "," + entry("127.0.0.1:80", "leaving") + `]}`,
		"over the bound": `{"machines":[]` + strings.Repeat(" ", MaxListBytes) + `}`,
	} {
		t.Run(name, func(t *testing.T) {
			client := clientOf(t, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				_, _ = writer.Write([]byte(text))
			}))
			_, err := client.Read(context.Background())
			require.ErrorContains(t, err, "platform list")
		})
	}
}

func TestScriptIsChecked(t *testing.T) {
	config, err := parseScript([]byte("lag: 5s\nchanges:\n  - {at: 10s, address: \"127.0.0.1:7001\", state: leaving}\n"))
	require.NoError(t, err)
	require.Equal(t, FakePlatformConfig{Lag: 5 * time.Second,
		Changes: []Change{{At: 10 * time.Second, Address: machineOne, State: StateLeaving}}}, config)
	for _, text := range []string{"lags: 5s", "changes: [{address: \"[::1]:1\", state: live}]",
		"changes: [{address: \"127.0.0.1:1\", state: away}]"} {
		_, err := parseScript([]byte(text))
		require.Error(t, err, text)
	}
}

func TestRunKeepsReadingAfterAFailure(t *testing.T) {
	var reads atomic.Int64
	platform := NewFakePlatform(FakePlatformConfig{Machines: []netip.AddrPort{machineOne}})
	client := clientOf(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if reads.Add(1) <= 2 {
			http.Error(writer, "down", http.StatusServiceUnavailable)
			return
		}
		platform.Handler().ServeHTTP(writer, request)
	}))
	client.config.Interval = time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var lists []List
	client.Run(ctx, func(list List) {
		lists = append(lists, list)
		cancel()
	})
	require.Len(t, lists, 1)
	require.EqualValues(t, 3, reads.Load())
	require.Equal(t, machineOne, lists[0].Machines[0].Address)
}

func TestUnchangedMachinesAreCheckedOnce(t *testing.T) {
	client := &Client{}
	read := func(text string) List {
		list, err := client.parse([]byte(text))
		require.NoError(t, err)
		return list
	}
	first := read(`{"as_of":"2026-01-02T03:04:05Z","machines":[{"address":"127.1.1.1:7000","state":"live"}]}`)
	same := read(`{"as_of":"2026-01-02T03:04:07Z","machines":[{"address":"127.1.1.1:7000","state":"live"}]}`)
	require.Equal(t, 2*time.Second, same.AsOf.Sub(first.AsOf))
	require.Same(t, &first.Machines[0], &same.Machines[0])

	_, err := client.parse([]byte(`{"as_of":"2026-01-02T03:04:08Z","machines":[{"address":"127.1.1.1:7000","state":"odd"}]}`))
	require.Error(t, err)
	require.Equal(t, StateLeaving, read(`{"as_of":"2026-01-02T03:04:09Z","machines":[{"address":"127.1.1.1:7000","state":"leaving"}]}`).Machines[0].State)
	require.Empty(t, read(`{"as_of":"2026-01-02T03:04:09Z","machines":[]}`).Machines)
	require.Empty(t, read(`{"as_of":"2026-01-02T03:04:09Z"}`).Machines)
	_, err = client.parse([]byte(`{"as_of":"2026-01-02T03:04:11Z","machines":[]`))
	require.Error(t, err, "a truncated list")
}

func BenchmarkReadOfAnUnchangedList(b *testing.B) {
	const machines = 6333
	var addresses []netip.AddrPort
	for index := range machines {
		addresses = append(addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 64, byte(index >> 8), byte(index)}), 9))
	}
	text, err := json.Marshal(NewFakePlatform(FakePlatformConfig{Machines: addresses}).List())
	require.NoError(b, err)
	b.Run("whole", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, err := ParseList(text)
			require.NoError(b, err)
		}
	})
	b.Run("unchanged", func(b *testing.B) {
		b.ReportAllocs()
		client := &Client{}
		for b.Loop() {
			_, err := client.parse(text)
			require.NoError(b, err)
		}
	})
}
