package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/callers"
	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/exitcode"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/policy"
	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/records"
)

// sitePolicy has a search over two shards, and a send that runs at most once.
const sitePolicy = `service search {
	slots 8
	connections 40
	retry budget 100%% burst 100
	generation 1 {
		group g0 { replica %[1]s zone a replica %[2]s zone a }
		group g1 { replica %[3]s zone a replica %[4]s zone a }
	}
}
service remind {
	slots 8
	connections 40
	retry budget 100%% burst 100
	generation 1 { group all { replica %[5]s zone a replica %[6]s zone a } }
}
policy find { deadline 5s repeatable retry at most 2 answer when coverage >= 100%% at 4900ms fail }
policy send { deadline 5s once for 1h retry at most 2 answer when coverage >= 100%% fail when settled at 4900ms fail }
route find { service search policy find target all }
route send { service remind policy send target key }
`

// routerSite is a site of real processes: three voters and some routers. The
// back ends run in the test's own process, so that it can read their record.
type routerSite struct {
	t       *testing.T
	voters  []*voterProcess
	routers []*routerProcess
	client  *control.Client
	// text is the configuration of revision 1.
	text  string
	fleet *emulator.Fleet
	// closeFleet may be called twice.
	closeFleet func()
	record     *emulator.MemoryRecorder
}

type routerProcess struct {
	voterProcess
	// address is that of the callers' API.
	address string
}

func newRouterSite(t *testing.T, routers int, serviceTime time.Duration, extra ...string) *routerSite {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	site := &routerSite{t: t, record: &emulator.MemoryRecorder{}}
	text := fmt.Sprintf(sitePolicy, lo.ToAnySlice(testaddress.List(6))...)
	compiled, err := policy.Compile("site.policy", []byte(text))
	require.NoError(t, err)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	site.fleet, err = emulator.New(emulator.Config{Plans: []*plan.Plan{compiled}, QueuePerSlot: 64, FirstVersion: 1,
		MaxBody: 1 << 20, Model: servicetime.Model{Default: servicetime.Distribution{Median: serviceTime}}},
		emulator.Dependencies{Recorder: site.record, Logger: logger})
	require.NoError(t, err)
	require.NoError(t, site.fleet.Start())
	site.closeFleet = sync.OnceFunc(site.fleet.Close)
	t.Cleanup(site.closeFleet)

	voters, client := startVoters(t)
	site.voters, site.client, site.text = voters, client, text
	applied, err := client.Apply(ctx, &v1.ApplyRequest{ChangeId: "first", Text: text, Author: "test"})
	require.NoError(t, err)
	require.Equal(t, v1.ApplyResult_APPLY_RESULT_ACCEPTED, applied.GetResult(), applied.GetDetail())
	for index := range routers {
		site.addRouter(fmt.Sprintf("router-%d", index), extra)
	}
	for _, started := range site.routers {
		site.awaitServing(started)
	}
	return site
}

func (s *routerSite) addRouter(name string, extra []string) {
	addresses := testaddress.List(2)
	arguments := []string{"router", "--insecure-plaintext", "--name", name, "--zone", "a", "--probe-interval", "50ms",
		"--callers-listen", addresses[0], "--peers-listen", addresses[1], "--data-folder", s.t.TempDir()}
	for _, voter := range s.voters {
		arguments = append(arguments, "--upstream", argumentOf(voter, "--listen"))
	}
	added := &routerProcess{voterProcess: voterProcess{arguments: append(arguments, extra...)}, address: addresses[0]}
	added.start(s.t)
	s.t.Cleanup(func() {
		if added.command.ProcessState == nil {
			added.end(s.t, syscall.SIGKILL)
		}
	})
	s.routers = append(s.routers, added)
}

func argumentOf(process *voterProcess, option string) string {
	_, index, _ := lo.FindIndexOf(process.arguments, func(argument string) bool { return argument == option })
	return process.arguments[index+1]
}

// awaitServing waits until a router answers a query whole.
func (s *routerSite) awaitServing(started *routerProcess) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		answer := post(started.address, "/v1/routes/find/query", "")
		return answer.status == http.StatusOK
	}, testTimeout, 20*time.Millisecond, "router %s: %s", started.address, &started.output)
}

// reply is what a caller got; status 0 means that the connection failed.
type reply struct {
	status          int
	verdict, reason string
	closes          bool
	err             error
}

// post sends a query, and never again by itself: a body that can't be read
// twice keeps net/http from it.
func post(address, path, id string) reply {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, io.MultiReader(strings.NewReader(`{"q":1}`)))
	if err != nil {
		return reply{err: err}
	}
	if id != "" {
		request.Header.Set(callers.HeaderRequest, id)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	var document struct{ Verdict, Reason string }
	if err := json.NewDecoder(response.Body).Decode(&document); err != nil {
		return reply{err: err}
	}
	return reply{status: response.StatusCode, verdict: document.Verdict, reason: document.Reason, closes: response.Close}
}

func (s *routerSite) send(router int, id string) reply {
	return post(s.routers[router].address, "/v1/routes/send/query?key=k", id)
}

// checkExecutions ends the back ends, which completes their record, and holds
// it against the number of executions expected of each request.
func (s *routerSite) checkExecutions(expected map[string]int) {
	s.t.Helper()
	s.closeFleet()
	counts := map[string]int{}
	for _, execution := range s.record.Executions() {
		if execution.Executed {
			counts[execution.Request]++
		}
	}
	for id, count := range expected {
		require.Equal(s.t, count, counts[id], id)
	}
}

func (s *routerSite) inFlight() int {
	return lo.SumBy(s.fleet.Servers(), func(server *emulator.Server) int {
		counts := server.Counts()
		return counts.InFlight + counts.Queued
	})
}

// slowDown makes every query take long until the returned function is called.
func (s *routerSite) slowDown() (restore func()) {
	s.t.Helper()
	id, err := s.fleet.Inject(emulator.Fault{Kind: emulator.FaultSlow, Factor: 1000})
	require.NoError(s.t, err)
	return func() { require.NoError(s.t, s.fleet.Clear(id)) }
}

func TestAtMostOnceWhateverBecomesOfTheRouter(t *testing.T) {
	t.Parallel()
	site := newRouterSite(t, 2, 2*time.Millisecond)
	executions := map[string]int{}
	t.Run("duplicates at both routers", func(t *testing.T) {
		for round := range 20 {
			id := fmt.Sprint("duplicate-", round)
			replies := make([]reply, 6)
			var sending sync.WaitGroup
			for index := range replies {
				sending.Go(func() { replies[index] = site.send(index%2, id) })
			}
			sending.Wait()
			answered := lo.CountBy(replies, func(one reply) bool { return one.status == http.StatusOK })
			held := lo.CountBy(replies, func(one reply) bool { return one.reason == "claim_held" })
			require.Equal(t, 1, answered, "%+v", replies)
			require.Equal(t, len(replies)-1, held, "%+v", replies)
			executions[id] = 1
		}
	})
	t.Run("router killed after dispatch", func(t *testing.T) {
		restore := site.slowDown()
		cut := make(chan reply, 1)
		go func() { cut <- site.send(0, "after") }()
		require.Eventually(t, func() bool { return site.inFlight() == 1 }, testTimeout, time.Millisecond)
		site.routers[0].end(t, syscall.SIGKILL)
		require.Error(t, (<-cut).err)
		restore()
		again := site.send(1, "after")
		require.Equal(t, "claim_held", again.reason)
		require.Equal(t, "may_have_run", again.verdict)
		site.routers[0].start(t)
		site.awaitServing(site.routers[0])
		require.Equal(t, "claim_held", site.send(0, "after").reason)
		executions["after"] = 1
	})
	t.Run("router killed before dispatch", func(t *testing.T) {
		site.signalVoters(syscall.SIGSTOP)
		cut := make(chan reply, 1)
		go func() { cut <- site.send(0, "before") }()
		time.Sleep(100 * time.Millisecond) // the claim is on its way
		site.routers[0].end(t, syscall.SIGKILL)
		require.Error(t, (<-cut).err)
		site.signalVoters(syscall.SIGCONT)
		var again reply
		require.Eventually(t, func() bool {
			again = site.send(1, "before")
			return again.reason != "claims_unavailable" && again.reason != "no_lease"
		}, testTimeout, 50*time.Millisecond)
		// Nothing was sent before the kill. Whether the dead router's claim was
		// committed is open; if it was, nothing is sent now either.
		if again.status == http.StatusOK {
			executions["before"] = 1
		} else {
			executions["before"] = 0
			require.Equal(t, "claim_held", again.reason)
		}
	})
	t.Run("reply after the deadline", func(t *testing.T) {
		defer site.slowDown()()
		late := post(site.routers[1].address, "/v1/routes/send/query?key=k&deadline_ms=300", "late")
		require.Equal(t, "may_have_run", late.verdict, "%+v", late)
		require.Equal(t, "claim_held", site.send(1, "late").reason)
		executions["late"] = 1
	})
	site.checkExecutions(executions)
}

func (s *routerSite) signalVoters(signal syscall.Signal) {
	for _, voter := range s.voters {
		require.NoError(s.t, voter.command.Process.Signal(signal))
	}
}

// rollingCallers send queries to the routers that report ready.
type rollingCallers struct {
	site  *routerSite
	ready []atomic.Bool
	// sent and refused count requests; a fault is a request that was cut off
	// or wrongly answered.
	sent, refused atomic.Int64
	faults        chan string
}

// watch follows a router's readiness as a load balancer does.
func (c *rollingCallers) watch(ctx context.Context, index int) {
	for ctx.Err() == nil {
		response, err := http.Get("http://" + c.site.routers[index].address + "/readyz")
		c.ready[index].Store(err == nil && response.StatusCode == http.StatusOK)
		if err == nil {
			_ = response.Body.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *rollingCallers) run(ctx context.Context, caller int) {
	for number := 0; ctx.Err() == nil; number++ {
		index := (caller + number) % len(c.ready)
		if !c.ready[index].Load() {
			time.Sleep(time.Millisecond)
			continue
		}
		answer := post(c.site.routers[index].address, "/v1/routes/find/query", "")
		c.sent.Add(1)
		switch {
		case answer.status == http.StatusOK:
		case answer.reason == "stopping" && answer.verdict == "not_run" && answer.closes:
			c.refused.Add(1)
		default:
			select {
			case c.faults <- fmt.Sprintf("router %d: %+v", index, answer):
			default:
			}
		}
	}
}

// Routers are restarted one after the other while callers send without a
// pause. Callers who go by readiness see no request cut off, and every stop
// ends with exit code 0.
func TestRollingRestartCutsNothing(t *testing.T) {
	t.Parallel()
	site := newRouterSite(t, 3, 20*time.Millisecond, "--stop-notice", "2s")
	rolling := &rollingCallers{site: site, ready: make([]atomic.Bool, len(site.routers)), faults: make(chan string, 100)}
	ctx, end := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for index := range site.routers {
		running.Go(func() { rolling.watch(ctx, index) })
	}
	for caller := range 8 {
		running.Go(func() { rolling.run(ctx, caller) })
	}
	for index, restarted := range site.routers {
		before := rolling.sent.Load()
		require.Equal(t, exitcode.OK, restarted.end(t, syscall.SIGTERM), restarted.output.String())
		require.Greater(t, rolling.sent.Load(), before, "router %d", index)
		restarted.start(t)
		site.awaitServing(restarted)
		require.Eventually(t, func() bool { return rolling.ready[index].Load() }, testTimeout, 10*time.Millisecond)
	}
	end()
	running.Wait()
	close(rolling.faults)
	for fault := range rolling.faults {
		require.Fail(t, fault)
	}
	t.Logf("%d requests, %d of them refused as stopping", rolling.sent.Load(), rolling.refused.Load())
	site.closeFleet()
	canceled := lo.CountBy(site.record.Executions(), func(execution records.Execution) bool { return execution.Canceled })
	require.Zero(t, canceled, "executions were cut short")
}

// Wrong settings end the router with the exit code for them and a message that
// names the thing.
func TestRouterNamesWhatIsWrong(t *testing.T) {
	t.Parallel()
	_, err := buildOnce()
	require.NoError(t, err)
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	good := write("good.policy", fmt.Sprintf(sitePolicy, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5", "127.0.0.1:6"))
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, taken.Close()) }()
	busy := taken.Addr().String()
	cases := map[string]struct {
		arguments []string
		want      string
	}{
		"host name":          {[]string{"--policy-file", good, "--callers-listen", "localhost:8080"}, `callers-listen: "localhost:8080" is not an IP address`},
		"IPv6 address":       {[]string{"--policy-file", good, "--callers-listen", "[::1]:8080"}, `callers-listen: "[::1]:8080" is not an IPv4 address`},
		"upstream by name":   {[]string{"--upstream", "control.example:7000"}, `"control.example:7000" is not an IP address`},
		"port in use":        {[]string{"--policy-file", good, "--callers-listen", busy}, "callers-listen: can't listen on " + busy},
		"peers port in use":  {[]string{"--insecure-plaintext", "--upstream", "127.0.0.1:1", "--callers-listen", "127.0.0.1:0", "--peers-listen", busy}, "peers-listen: can't listen on " + busy},
		"no source":          {nil, "one of upstream and policy-file must be set"},
		"policy not there":   {[]string{"--policy-file", folder + "/none", "--callers-listen", "127.0.0.1:0"}, folder + "/none"},
		"policy malformed":   {[]string{"--policy-file", write("bad.policy", "service x {\n\tslots many\n}\n"), "--callers-listen", "127.0.0.1:0"}, "bad.policy:2:8: unexpected \"many\""},
		"unknown key":        {[]string{"--settings", write("unknown.yaml", "calers-listen: 127.0.0.1:1\n")}, `unknown key "calers-listen"; did you mean callers-listen?`},
		"malformed settings": {[]string{"--settings", write("bad.yaml", "zone: [a\n")}, "bad.yaml"},
		"no keys":            {[]string{"--upstream", "127.0.0.1:1", "--callers-listen", "127.0.0.1:0", "--peers-listen", "127.0.0.1:0"}, "tls-"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			process := &voterProcess{arguments: append([]string{"router"}, test.arguments...)}
			process.start(t)
			_ = process.command.Wait() // the exit code tells
			require.Equal(t, exitcode.Settings, process.command.ProcessState.ExitCode(), process.output.String())
			require.Contains(t, process.output.String(), test.want)
		})
	}
}
