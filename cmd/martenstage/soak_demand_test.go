package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The lane of demand above the capacity.
const (
	soakDemandLane = 5
	// soakDemandService is the service that it is sent to; no other fault hits its servers.
	soakDemandService = "d"
	// soakDemandWork is how long its servers work on a request: two servers of four slots serve
	// 200 requests/s.
	soakDemandWork = 40 * time.Millisecond
	// soakDemandPace is the time between two requests of a surge, of at most 500 requests/s.
	soakDemandPace = 2 * time.Millisecond
	// soakDemandPause and soakDemandLasts bound the pause before a surge and its length, ms.
	soakDemandPause = 2000
	soakDemandLasts = 3000
	soakDemandLeast = time.Second
	// soakDemandOpen bounds the requests under way.
	soakDemandOpen = 256
	soakTenants    = 5
	// soakTenantRate is each tenant's limit in requests/s, and its burst. The first one sends
	// soakHotShare of all requests.
	soakTenantRate = 60
	soakHotShare   = 0.6
)

// Bounds that demand above the capacity is held to.
const (
	// soakLongestRetry bounds the retry time: the window of a limit, and a second.
	soakLongestRetry = 6 * time.Second
	// soakClassTolerance is by how much less of a more urgent route may be served, beyond
	// soakDeviations standard deviations of the difference.
	soakClassTolerance = 0.05
	soakDeviations     = 3
	soakLeastOfMean    = 0.25
	// soakLeastDemand is the least number of requests that is judged.
	soakLeastDemand = 200
)

// Routes of the demand, the more urgent one first.
const (
	soakUrgent soakRoute = "urgent"
	soakLess   soakRoute = "less"
)

// soakDemanded is a request of a surge with its answer.
type soakDemanded struct {
	soakRequest
	tenant int
	// returned says that the request came back after a refusal.
	returned bool
}

func (d soakDemanded) refused() bool {
	return !d.broken && (d.status == http.StatusTooManyRequests || d.status == http.StatusServiceUnavailable)
}

func soakKey(tenant int) string { return fmt.Sprint("soak-key-", tenant) }

// withDemand adds the routes, tenants and service of the demand to a document. Without the lane
// the document is that of older seeds.
func withDemand(document string) string {
	if *soakLanes <= soakDemandLane {
		return document
	}
	var tenants []string
	for number := range soakTenants {
		tenants = append(tenants, fmt.Sprintf(`{"name":"t%d","api_keys":[%q],"rate_per_s":%d,"burst":%d}`, number, soakKey(number), soakTenantRate, soakTenantRate))
	}
	var routes strings.Builder
	for priority, route := range []soakRoute{soakUrgent, soakLess} {
		fmt.Fprintf(&routes, `{"name":%q,"host":"h","path_prefix":"/%s/","type":"idempotent","timeout_ms":1200,"target_ms":150,"priority":%d,"backend":%q,"max_attempts":2},`,
			route, route, priority, soakDemandService)
	}
	return strings.NewReplacer(
		`"host":"h",`, `"host":"h","public":true,`,
		`"services":[`, fmt.Sprintf(`"services":[{"name":%q,"health_path":"/health","max_conns":40},`, soakDemandService),
		`"routes":[`, `"routes":[`+routes.String(),
		`"limits":{`, `"tenants":[`+strings.Join(tenants, ",")+`],"limits":{`,
	).Replace(document)
}

// soakSurge is demand above the capacity for a time.
type soakSurge struct{ pause, lasts time.Duration }

func drawSurge(random *rand.Rand) soakSurge {
	return soakSurge{
		pause: time.Duration(random.IntN(soakDemandPause)) * time.Millisecond,
		lasts: soakDemandLeast + time.Duration(random.IntN(soakDemandLasts))*time.Millisecond,
	}
}

// disturbDemand plays surges until the context ends.
func (s *soakSite) disturbDemand(ctx context.Context, lane int) {
	random := rand.New(rand.NewPCG(*soakSeed, uint64(lane)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: soakDemandOpen}}
	defer client.CloseIdleConnections()
	open := make(chan struct{}, soakDemandOpen)
	var sent sync.WaitGroup
	defer sent.Wait()
	for count := 0; ctx.Err() == nil; {
		surge := drawSurge(random)
		time.Sleep(surge.pause)
		for ended := time.Now().Add(surge.lasts); time.Now().Before(ended); time.Sleep(soakDemandPace) {
			asked := drawDemanded(random, count)
			count++
			select {
			case open <- struct{}{}:
				sent.Go(func() {
					defer func() { <-open }()
					s.demand(client, asked)
				})
			default:
			}
		}
	}
}

// drawDemanded draws a request of a surge.
func drawDemanded(random *rand.Rand, count int) soakDemanded {
	drawn := soakDemanded{tenant: 1 + random.IntN(soakTenants-1)}
	if random.Float64() < soakHotShare {
		drawn.tenant = 0
	}
	drawn.route = []soakRoute{soakUrgent, soakLess}[random.IntN(2)]
	drawn.router = random.IntN(*soakRouters)
	drawn.id = fmt.Sprintf("%s-%d", drawn.route, count)
	drawn.path, drawn.key = fmt.Sprintf("/%s/%d", drawn.route, count), soakKey(drawn.tenant)
	return drawn
}

// demand sends a request, and once more as told if it is refused and there is time: with another
// id, to the next router.
func (s *soakSite) demand(client *http.Client, asked soakDemanded) {
	asked.soakRequest = s.ask(client, asked.soakRequest)
	s.records.note(func(records *soakRecords) { records.demanded = append(records.demanded, asked) })
	after, known := asked.retryAfterTime()
	if asked.returned || !asked.refused() || !known || after > (soakDeadline-asked.ended.Sub(asked.sent))/3 {
		return
	}
	time.Sleep(after)
	s.demand(client, soakDemanded{tenant: asked.tenant, returned: true, soakRequest: soakRequest{
		id: asked.id + "-again", route: asked.route, router: (asked.router + 1) % *soakRouters, path: asked.path, key: asked.key,
	}})
}

// retryAfterTime returns the retry time of an answer, and whether it tells a valid one.
func (r soakRequest) retryAfterTime() (after time.Duration, known bool) {
	seconds, err := strconv.ParseFloat(r.retryAfter, 64)
	if err != nil || math.IsNaN(seconds) || seconds > math.MaxInt32 {
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// badDemand finds surge requests whose answers no promise allows.
func (r *soakRecords) badDemand() (broken []string) {
	ran := map[string]bool{}
	for _, arrival := range r.arrivals {
		if arrival.ran && arrival.service == soakDemandService {
			ran[arrival.id] = true
		}
	}
	for _, each := range r.demanded {
		if each.refused() && ran[each.id] {
			broken = append(broken, fmt.Sprintf("%s was refused with %d and ran", each.id, each.status))
		}
		if !each.broken && !slices.Contains([]int{200, 429, 502, 503, 504}, each.status) {
			broken = append(broken, fmt.Sprintf("%s of a surge got %d", each.id, each.status))
		}
		after, known := each.retryAfterTime()
		owed := each.status == http.StatusTooManyRequests || each.retryAfter != ""
		if each.refused() && owed && (!known || after <= 0 || after > soakLongestRetry) {
			broken = append(broken, fmt.Sprintf("%s was refused with %d and Retry-After %q", each.id, each.status, each.retryAfter))
		}
	}
	return broken
}

// urgentServedWorse finds that less of the more urgent route was served than of the other one.
func (r *soakRecords) urgentServedWorse() []string {
	sent, served := map[soakRoute]float64{}, map[soakRoute]float64{}
	for _, each := range r.demanded {
		sent[each.route]++
		if each.status == http.StatusOK {
			served[each.route]++
		}
	}
	if min(sent[soakUrgent], sent[soakLess]) < soakLeastDemand {
		return nil
	}
	urgent, less := served[soakUrgent]/sent[soakUrgent], served[soakLess]/sent[soakLess]
	deviation := math.Sqrt(urgent*(1-urgent)/sent[soakUrgent] + less*(1-less)/sent[soakLess])
	if urgent >= less-soakClassTolerance-soakDeviations*deviation {
		return nil
	}
	return []string{fmt.Sprintf("%.3f of the more urgent route were served, %.3f of the less urgent one", urgent, less)}
}

// starvedTenants finds tenants of which far fewer requests were served than on average.
func (r *soakRecords) starvedTenants() (broken []string) {
	served := make([]int, soakTenants)
	total := 0
	for _, each := range r.demanded {
		if each.status == http.StatusOK {
			served[each.tenant]++
			total++
		}
	}
	mean := float64(total) / soakTenants
	for tenant, count := range served {
		if total >= soakLeastDemand && float64(count) < soakLeastOfMean*mean {
			broken = append(broken, fmt.Sprintf("%d requests of tenant %d were served, %.0f on average", count, tenant, mean))
		}
	}
	return broken
}

// demandSummary tells what surges sent and got.
func (r *soakRecords) demandSummary() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	statuses, again := map[string]map[int]int{}, map[int]int{}
	for _, each := range r.demanded {
		name := fmt.Sprintf("%s of t%d", each.route, min(1, each.tenant))
		if statuses[name] == nil {
			statuses[name] = map[int]int{}
		}
		statuses[name][each.status]++
		if each.returned {
			again[each.status]++
		}
	}
	return fmt.Sprintf("demand: %v, of those that came back %v", statuses, again)
}

// demandedAlike returns requests of a route and tenant with one status.
func demandedAlike(count int, route soakRoute, tenant, status int) []soakDemanded {
	alike := make([]soakDemanded, count)
	for number := range alike {
		alike[number] = soakDemanded{tenant: tenant, soakRequest: soakRequest{route: route, status: status}}
	}
	return alike
}

// allTenants returns served requests of a route, a number of each tenant.
func allTenants(route soakRoute, count int) (all []soakDemanded) {
	for tenant := range soakTenants {
		all = append(all, demandedAlike(count, route, tenant, http.StatusOK)...)
	}
	return all
}

// refusedDemand returns a request over the limit with a retry time.
func refusedDemand(retryAfter string) soakDemanded {
	return soakDemanded{soakRequest: soakRequest{id: "urgent-1", route: soakUrgent, status: http.StatusTooManyRequests, retryAfter: retryAfter}}
}

// TestSoakDemandDependsOnItsSeedOnly guards against seeds that can't be played again.
func TestSoakDemandDependsOnItsSeedOnly(t *testing.T) {
	draw := func(seed uint64) (drawn []any) {
		random := rand.New(rand.NewPCG(seed, soakDemandLane))
		for count := range 50 {
			drawn = append(drawn, drawSurge(random), drawDemanded(random, count))
		}
		return drawn
	}
	require.Equal(t, draw(7), draw(7))
	require.NotEqual(t, draw(7), draw(8))
}
