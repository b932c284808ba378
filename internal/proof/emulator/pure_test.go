package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/proof/servicetime"
	"github.com/martenstage/martenstage/internal/records"
)

func TestServersHoldOneOrTwoVersionsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.IntRange(0, 5).Draw(t, "s")) * time.Second })
		var rolls []Roll
		at := time.Duration(0)
		for range rapid.IntRange(0, 5).Draw(t, "rolls") {
			at += span.Draw(t, "pause")
			rolls = append(rolls, Roll{At: at, Stagger: span.Draw(t, "stagger"), Keep: span.Draw(t, "keep")})
		}
		schedule := newVersionSchedule(1, "server", 1, rolls)
		newest := uint64(0)
		for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += 100 * time.Millisecond {
			held := schedule.at(elapsed)
			require.Contains(t, []int{1, 2}, len(held))
			last := held[len(held)-1]
			require.GreaterOrEqual(t, last, newest)
			require.Less(t, held[0]-1, last, "oldest first")
			require.True(t, schedule.holds(last, elapsed))
			require.False(t, schedule.holds(last+1, elapsed))
			newest = last
		}
		require.EqualValues(t, len(rolls)+1, newest, "every roll arrives")
	})
}

func TestRecordLineIsWhatTheJSONPackageWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		moment := rapid.Custom(func(t *rapid.T) time.Time {
			return time.Unix(rapid.Int64Range(0, 1<<33).Draw(t, "s"), rapid.Int64Range(0, 999_999_999).Draw(t, "ns")).UTC()
		})
		execution := records.Execution{
			Backend: rapid.String().Draw(t, "backend"), Service: rapid.String().Draw(t, "service"),
			Shard: rapid.Uint32().Draw(t, "shard"), Generation: rapid.Uint32().Draw(t, "generation"),
			Version: rapid.Uint64().Draw(t, "version"), Request: rapid.String().Draw(t, "request"),
			Attempt: rapid.String().Draw(t, "attempt"), Once: rapid.Bool().Draw(t, "once"),
			BodyDigest: rapid.String().Draw(t, "digest"), ItemDigests: rapid.SliceOf(rapid.String()).Draw(t, "items"),
			Arrived: moment.Draw(t, "arrived"), Started: moment.Draw(t, "started"), Finished: moment.Draw(t, "finished"),
			Executed: rapid.Bool().Draw(t, "executed"), Refusal: rapid.String().Draw(t, "refusal"),
			Canceled: rapid.Bool().Draw(t, "canceled"), Replied: rapid.Bool().Draw(t, "replied"),
		}
		want, err := json.Marshal(records.BackendLine{Execution: &execution})
		require.NoError(t, err)
		require.Equal(t, string(want)+"\n", string(appendExecution(nil, &execution)))
	})
}

func TestScriptSetsTheConfiguration(t *testing.T) {
	script, err := ParseScript([]byte(`
service_times: {default: {median: 2ms, sigma: 0.1}, desk: {median: 3ms}}
stragglers: {fraction: 0.05, factor: 20, period: 4s}
zone_delays: {b/a: 2ms}
rolls: [{service: desk, at: 5s, stagger: 1s, keep: 2s, every: 10s, until: 26s}]
faults: [{at: 2s, what: pause, servers: {service: desk, group: g1, fraction: 0.5}, for: 5s}]
`))
	require.NoError(t, err)
	config := script.Apply(DefaultConfig(1, testPlan()))
	require.Equal(t, servicetime.Distribution{Median: 2 * time.Millisecond, Sigma: 0.1}, config.Model.Default)
	require.Equal(t, 3*time.Millisecond, config.Model.Services["desk"].Median)
	require.Equal(t, servicetime.Stragglers{Fraction: 0.05, Factor: 20, Period: 4 * time.Second}, config.Model.Stragglers)
	require.Equal(t, 2*time.Millisecond, config.zoneDelay("a", "b"))
	require.Equal(t, DefaultZoneDelay, config.zoneDelay("a", "c"))
	require.Zero(t, config.zoneDelay("a", "a"))
	require.Len(t, config.Rolls, 3)
	require.Equal(t, 25*time.Second, config.Rolls[2].At)
	require.Equal(t, []Fault{{Kind: FaultPause, At: 2 * time.Second, For: 5 * time.Second,
		Servers: Selector{Service: "desk", Group: "g1", Fraction: 0.5}}}, config.Script)
}

func TestWrongScriptsNameTheMistake(t *testing.T) {
	for text, want := range map[string]string{
		"fault: []":                                                "field fault not found",
		"faults: [{what: melt}]":                                   `fault 1: unknown fault "melt"`,
		"faults: [{what: slow}]":                                   "needs a positive factor",
		"faults: [{what: wrong_echo}]":                             "needs a field",
		"faults: [{what: health_lag}]":                             "needs a positive delay",
		"faults: [{what: health_lie}]":                             "needs a state",
		"faults: [{what: cold, at: 3}]":                            `at: "3" is not a duration`,
		"faults: [{what: cold, servers: {address: \"[::1]:80\"}}]": "is not an IPv4 address",
		"faults: [{what: shed, fraction: 2}]":                      "fraction outside",
		"stragglers: {fraction: 0.1}":                              "stragglers",
		"service_times: {desk: {sigma: 1}}":                        "median must be positive",
		"zone_delays: {ab: 1ms}":                                   `zone delay "ab"`,
		"rolls: [{service: desk, every: 1s, at: 1s}]":              "needs until",
	} {
		_, err := ParseScript([]byte(text))
		require.ErrorContains(t, err, want, text)
	}
}

func TestAdministrationCalls(t *testing.T) {
	bench := newBench(t, testConfig())
	handler := bench.fleet.AdminHandler()
	call := func(method, path, body string) *httptest.ResponseRecorder {
		request := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		reply := httptest.NewRecorder()
		handler.ServeHTTP(reply, request)
		return reply
	}
	created := call(http.MethodPost, PathFaults, `{"id":"f","what":"drain","servers":{"zone":"a"}}`)
	require.Equal(t, http.StatusCreated, created.Code, created.Body)
	require.Equal(t, http.StatusUnprocessableEntity, call(http.MethodPost, PathFaults, `{"id":"f","what":"drain"}`).Code)
	require.Equal(t, http.StatusUnprocessableEntity, call(http.MethodPost, PathFaults, `{"what":"melt"}`).Code)
	require.Equal(t, http.StatusUnprocessableEntity, call(http.MethodPost, PathFaults, `{"what":"drain","sever":1}`).Code)
	var state FleetState
	require.NoError(t, json.Unmarshal(call(http.MethodGet, PathState, "").Body.Bytes(), &state))
	require.Len(t, state.Faults, 1)
	require.Equal(t, []string{"f"}, state.Servers[0].Faults)
	require.Equal(t, http.StatusNoContent, call(http.MethodDelete, PathFaults+"/f", "").Code)
	require.Equal(t, http.StatusNotFound, call(http.MethodDelete, PathFaults+"/f", "").Code)
	require.Equal(t, http.StatusNoContent, call(http.MethodPost, PathRolls, `{"service":"desk","keep":"1h"}`).Code)
	require.Equal(t, []uint64{1, 2}, bench.health().Shards[0].Versions)
	require.Equal(t, http.StatusUnprocessableEntity, call(http.MethodPost, PathRolls, `{"service":"other"}`).Code)
	require.Equal(t, http.StatusNoContent, call(http.MethodDelete, PathFaults, "").Code)
	registry := prometheus.NewPedanticRegistry()
	require.NoError(t, registry.Register(bench.fleet))
	families, err := registry.Gather()
	require.NoError(t, err)
	require.Len(t, families, 5)
}
