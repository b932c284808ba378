package sockets

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/emulator"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/records"
	"github.com/martenstage/martenstage/internal/servicetime"
)

// closings notes when requests are closed.
type closings struct {
	Recorder
	closed []string
}

func (c *closings) Answer(records.CallerAnswer) {}
func (c *closings) Closed(request string)       { c.closed = append(c.closed, request) }

func TestRequestIsClosedOnceAfterItsLastAnswer(t *testing.T) {
	noted := &closings{}
	recorder := newSerialRecorder(noted)
	start := time.Unix(100, 0)
	for index, request := range []string{"first", "again", "again", "last"} {
		recorder.Answer(records.CallerAnswer{Request: request, Received: start.Add(time.Duration(index) * time.Second)})
	}
	recorder.closeBefore(start.Add(1500 * time.Millisecond))
	require.Equal(t, []string{"first"}, noted.closed, "the other answer of the second request is still to come")
	recorder.closeBefore(start.Add(time.Hour))
	require.Equal(t, []string{"first", "again", "last"}, noted.closed)
	require.Empty(t, recorder.answered)
}

// The foresight counts queued queries: with one slot each waits for those
// before it, and what the queue does not hold would be refused.
func TestForesightCountsTheQueue(t *testing.T) {
	address := netip.MustParseAddrPort("127.3.3.1:0")
	replica := plan.Replica{Address: address, Zone: "east", Slots: 1, Connections: 4}
	compiled := &plan.Plan{Services: []plan.Service{{Name: "index",
		Generations: []plan.Generation{{Number: 1, Shards: []plan.Shard{{ID: 0, Replicas: []plan.Replica{replica}}}}}}}}
	config := emulator.DefaultConfig(1, compiled)
	config.Model.Default = servicetime.Distribution{Median: time.Hour} // none ends during the test
	fleet, err := emulator.New(config, emulator.Dependencies{})
	require.NoError(t, err)
	require.NoError(t, fleet.Start())
	defer fleet.Close()
	world := &World{config: Config{Zones: []string{"east", "west"}}, foresight: newForesight(fleet, time.Minute)}
	bound := fleet.Servers()[0].Address()
	send := query.Send{Service: "index", Generation: 1, Version: emulator.DefaultFirstVersion, CallerID: "r1"}
	for waiting := range 1 + emulator.DefaultQueuePerSlot {
		finish, ok := world.Foresee(0, bound, send)
		require.True(t, ok)
		require.Equal(t, time.Duration(waiting+1), finish.Round(time.Hour)/time.Hour)
		far, ok := world.Foresee(1, bound, send)
		require.True(t, ok)
		require.Greater(t, far, finish, "the other zone is farther")
		world.Sent(0, bound, send)
	}
	_, ok := world.Foresee(0, bound, send)
	require.False(t, ok, "slot and queue are full")
	send.Generation = 2
	_, ok = world.Foresee(0, bound, send)
	require.False(t, ok, "no such shard map")
}
