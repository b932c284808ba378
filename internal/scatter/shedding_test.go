package scatter_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/verdict"
)

// shedding is what became of the calls of a service most of whose servers shed.
type shedding struct{ calls, refused, failed int }

// playShedding has a router ask a shard of 21 servers ten times a second, of which 17 refuse
// whatever comes, and the others answer in 28 ms: the load of a gatherer in a large fleet
// while 0.8 of a service sheds. It returns what happened after a time to find out.
//
// The servers of the router's own zone are the first ones, so that they shed.
func playShedding(t *testing.T, near int, findOut, over time.Duration) shedding {
	const servers, shedders, every, work = 21, 17, 100 * time.Millisecond, 28 * time.Millisecond
	h := newHarness(t, plenty)
	for number := range servers {
		zone := "b"
		if number < near {
			zone = "a"
		}
		id := "s/" + strconv.Itoa(number)
		h.step(scatter.ServersChanged{Servers: []scatter.Server{{ID: id, Service: "s", Address: id, Zone: zone, Slots: 3}}})
	}
	route := gatherRoute("s")
	route.LeastShare = 1
	var result shedding
	type ending struct {
		at    time.Time
		event scatter.Ended
	}
	var due []ending
	handled := 0
	measured := h.now.Add(findOut)
	for end := measured.Add(over); h.now.Before(end); {
		id := h.arrive(route)
		counts := !h.now.Before(measured)
		if counts {
			result.calls++
		}
		for until := h.now.Add(every); h.now.Before(until); h.advance(time.Millisecond) {
			for ; handled < len(h.sent); handled++ {
				sent := h.sent[handled]
				number, err := strconv.Atoi(sent.Server.ID[len("s/"):])
				require.NoError(t, err)
				outcome := scatter.Outcome{Failure: scatter.Refused, Verdict: verdict.NotRun}
				took := time.Millisecond
				if number >= shedders {
					outcome = scatter.Outcome{Verdict: verdict.Ran, Reply: &message.Reply{Status: 200}}
					took = work
				} else if counts {
					result.refused++
				}
				due = append(due, ending{at: h.now.Add(took), event: scatter.Ended{Attempt: sent.Attempt, Outcome: outcome}})
			}
			left := due[:0]
			for _, one := range due {
				if one.at.After(h.now) {
					left = append(left, one)
				} else {
					h.step(one.event)
				}
			}
			due = left
		}
		if counts && len(h.parts[id]) == 0 {
			result.failed++
		}
	}
	return result
}

// TestServersThatShedAreAskedSeldom replays that load: once a router has met the servers that
// refuse, nearly all calls go to those that don't.
func TestServersThatShedAreAskedSeldom(t *testing.T) {
	for _, near := range []int{21, 4, 0} {
		result := playShedding(t, near, 4*time.Second, 20*time.Second)
		require.Equal(t, 200, result.calls)
		require.LessOrEqual(t, result.failed, result.calls/50, "%d near", near)
		require.LessOrEqual(t, result.refused, result.calls/3, "%d near", near)
	}
}
