package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/proof/testlink"
	"github.com/martenstage/martenstage/internal/router"
)

// regionPolicy adds the own routes that the other region asks, and the way to
// the other region's.
const regionPolicy = `
route find-%[1]s { service search policy find target all }
route send-%[1]s { service remind policy send target key }
region %[2]s { router %[3]s }
route find-%[2]s { region %[2]s deadline 2s repeatable }
route send-%[2]s { region %[2]s deadline 2s }
`

// regionSite is a region: voters, a router, back ends, and the link that leads
// into it.
type regionSite struct {
	*routerSite
	name     string
	link     *testlink.Link
	text     string
	revision uint64
	// served and faults count what its own callers got of its own routes.
	served atomic.Int64
	faults chan string
}

func newRegionSite(t *testing.T, name string) *regionSite {
	site := &regionSite{routerSite: newRouterSite(t, 1, 2*time.Millisecond), name: name, revision: 1, faults: make(chan string, 100)}
	site.link = testlink.New(t, argumentOf(&site.routers[0].voterProcess, "--peers-listen"))
	return site
}

// apply submits a change and waits until the router has it in force.
func (s *regionSite) apply(text string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	response, err := s.client.Apply(ctx, &v1.ApplyRequest{
		ChangeId: fmt.Sprint("change-", s.revision), ExpectedRevision: s.revision, Text: text, Author: "test"})
	require.NoError(s.t, err)
	require.Equal(s.t, v1.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetResult(), response.GetDetail())
	s.text, s.revision = text, response.GetRevision()
	require.Eventually(s.t, func() bool { return s.status().Revision == s.revision }, testTimeout, 10*time.Millisecond)
}

func (s *regionSite) status() (status router.Status) {
	response, err := http.Get("http://" + s.routers[0].address + "/status")
	require.NoError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	require.NoError(s.t, json.NewDecoder(response.Body).Decode(&status))
	return status
}

func (s *regionSite) ask(route, id string) reply {
	return post(s.routers[0].address, "/v1/routes/"+route+"/query?key=k", id)
}

// callOwnRoutes asks the region's own routes, and expects an answer each time.
func (s *regionSite) callOwnRoutes(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		for route, id := range map[string]string{"find": "", "send": fmt.Sprint(s.name, "-own-", number)} {
			answer := s.ask(route, id)
			if answer.status == http.StatusOK {
				s.served.Add(1)
				continue
			}
			select {
			case s.faults <- fmt.Sprintf("%s of %s: %+v", route, s.name, answer):
			default:
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// awaitServed waits until the region's own callers got so many answers more.
func (s *regionSite) awaitServed(more int64) {
	s.t.Helper()
	want := s.served.Load() + more
	require.Eventually(s.t, func() bool { return s.served.Load() >= want }, testTimeout, 5*time.Millisecond)
}

// persistentCaller sends requests that run at most once to another region, one
// after the other, each with its id until it is settled.
type persistentCaller struct {
	from  *regionSite
	route string
	// answered and held are the ids by how they were settled; doubts and
	// refusals count replies on the way there.
	answered, held   []string
	doubts, refusals atomic.Int64
}

func (c *persistentCaller) run(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprint("once-", number)
		for settled := false; !settled; {
			switch answer := c.from.ask(c.route, id); {
			case answer.status == http.StatusOK:
				c.answered, settled = append(c.answered, id), true
			case answer.reason == "claim_held":
				c.held, settled = append(c.held, id), true
			case answer.verdict == "not_run":
				c.refusals.Add(1)
				time.Sleep(10 * time.Millisecond)
			default:
				c.doubts.Add(1)
			}
		}
	}
}

// Two regions lose each other without a word and find each other again. Each
// serves its own routes without a failure and takes a change meanwhile; the
// other's routes are refused as not run; nothing runs twice.
func TestRegionsLoseEachOther(t *testing.T) {
	t.Parallel()
	sites := []*regionSite{newRegionSite(t, "north"), newRegionSite(t, "south")}
	for index, site := range sites {
		other := sites[1-index]
		site.apply(site.routerSite.text + fmt.Sprintf(regionPolicy, site.name, other.name, other.link.Address()))
	}
	awaitCrossing := func() {
		for index, site := range sites {
			require.Eventually(t, func() bool { return site.ask("find-"+sites[1-index].name, "").status == http.StatusOK },
				testTimeout, 10*time.Millisecond)
		}
	}
	awaitCrossing()
	ctx, end := context.WithCancel(context.Background())
	var calling sync.WaitGroup
	for _, site := range sites {
		calling.Go(func() { site.callOwnRoutes(ctx) })
	}
	once := &persistentCaller{from: sites[1], route: "send-north"}
	calling.Go(func() { once.run(ctx) })
	sites[0].awaitServed(50)

	for _, site := range sites {
		site.link.Silence(true)
	}
	refused := refusedDuringCut(t, sites)
	for _, site := range sites {
		site.awaitServed(200)
		site.apply(site.text + "route late { service search policy find target all }\n")
		require.Equal(t, http.StatusOK, site.ask("late", "").status)
	}
	for _, site := range sites {
		site.link.Silence(false)
		site.link.Reset()
	}
	awaitCrossing()
	for _, site := range sites {
		site.awaitServed(50)
	}
	end()
	calling.Wait()
	for _, site := range sites {
		close(site.faults)
		for fault := range site.faults {
			require.Fail(t, fault)
		}
		site.awaitEvents(journal.KindRegionUnreachable, journal.KindRegionReachable)
	}
	t.Logf("own routes: %d and %d answers; once: %d answered, %d held, %d doubts and %d refusals on the way",
		sites[0].served.Load(), sites[1].served.Load(), len(once.answered), len(once.held), once.doubts.Load(), once.refusals.Load())
	require.NotEmpty(t, once.answered)
	require.Positive(t, once.refusals.Load(), "the caller met the cut")
	sites[0].checkOnce(once)
	for index, site := range sites {
		site.checkNotRun(refused[1-index])
	}
}

// refusedDuringCut waits until each region's router knows that the other is
// gone, and then sends it requests, which are all refused as not run. It returns
// their ids by the index of the region that was asked from.
func refusedDuringCut(t *testing.T, sites []*regionSite) [][]string {
	refused := make([][]string, len(sites))
	for index, site := range sites {
		other := sites[1-index].name
		require.Eventually(t, func() bool { return site.ask("find-"+other, "").reason == "region_unreachable" },
			testTimeout, 10*time.Millisecond)
		for number := range 100 {
			id := fmt.Sprint("refused-", number)
			answer := site.ask("send-"+other, id)
			require.Equal(t, "region_unreachable", answer.reason, "%+v", answer)
			require.Equal(t, "not_run", answer.verdict)
			refused[index] = append(refused[index], id)
		}
		require.False(t, site.status().Regions[0].Reachable)
	}
	return refused
}

// awaitEvents waits until the journal of the region holds events of the kinds
// about the other region.
func (s *regionSite) awaitEvents(kinds ...journal.Kind) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.Eventually(s.t, func() bool {
		response, err := s.client.Events(ctx, &v1.ListEventsRequest{Limit: 10_000})
		require.NoError(s.t, err)
		seen := lo.FilterMap(response.GetEvents(), func(event *v1.Event, _ int) (journal.Kind, bool) {
			return journal.Kind(event.GetKind()), strings.HasPrefix(event.GetDetail(), "region ")
		})
		return lo.Every(seen, kinds)
	}, testTimeout, 50*time.Millisecond)
}

// executed counts the executions of each request in the region. It ends the back
// ends.
func (s *regionSite) executed() map[string]int {
	s.closeFleet()
	counts := map[string]int{}
	for _, execution := range s.record.Executions() {
		if execution.Executed {
			counts[execution.Request]++
		}
	}
	return counts
}

// checkOnce holds the caller's replies against the back ends' record.
func (s *regionSite) checkOnce(caller *persistentCaller) {
	s.t.Helper()
	counts := s.executed()
	for _, id := range caller.answered {
		require.Equal(s.t, 1, counts[id], id)
	}
	for _, id := range caller.held {
		require.LessOrEqual(s.t, counts[id], 1, id)
	}
}

// checkNotRun holds refusals against the back ends' record.
func (s *regionSite) checkNotRun(ids []string) {
	s.t.Helper()
	require.NotEmpty(s.t, ids)
	counts := s.executed()
	for _, id := range ids {
		require.Zero(s.t, counts[id], id)
	}
}
