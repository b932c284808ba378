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

// shedding counts the outcomes of the calls to a service most of whose servers shed load.
type shedding struct{ calls, refused, failed int }

// runShedding sends ten requests a second to a shard of 21 servers, of which 17 refuse
// everything and the others answer in 28 ms: the load of a gatherer in a large fleet while
// 80% of a service's servers shed load. It counts outcomes after a warm-up.
//
// The servers in the router's own zone come first, so that they are among those that shed.
func runShedding(t *testing.T, near int, warmUp, over time.Duration) shedding {
	const servers, sheddingServers, every, work = 21, 17, 100 * time.Millisecond, 28 * time.Millisecond
	h := newHarness(t, ampleBudget)
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
	type pendingEnd struct {
		at    time.Time
		event scatter.Ended
	}
	var due []pendingEnd
	handled := 0
	measured := h.now.Add(warmUp)
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
				if number >= sheddingServers {
					outcome = scatter.Outcome{Verdict: verdict.Ran, Reply: &message.Reply{Status: 200}}
					took = work
				} else if counts {
					result.refused++
				}
				due = append(due, pendingEnd{at: h.now.Add(took), event: scatter.Ended{Attempt: sent.Attempt, Outcome: outcome}})
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

// TestServersThatShedLoadGetFewRequests checks that, once a router has sent to the servers
// that refuse, nearly all calls go to those that don't.
func TestServersThatShedLoadGetFewRequests(t *testing.T) {
	for _, near := range []int{21, 4, 0} {
		result := runShedding(t, near, 4*time.Second, 20*time.Second)
		require.Equal(t, 200, result.calls)
		require.LessOrEqual(t, result.failed, result.calls/50, "%d near", near)
		require.LessOrEqual(t, result.refused, result.calls/3, "%d near", near)
	}
}
