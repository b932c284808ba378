package scale

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/metrics"
	"github.com/martenstage/martenstage/internal/relay"
	"github.com/martenstage/martenstage/internal/rpc"
)

// testRegions are groups of one voter, one relay and a few followers in this
// process. Only the network between them is real.
type testRegions struct {
	t         *testing.T
	logger    *logrus.Logger
	security  *rpc.Security
	processes []Process
	// stopControl ends a region's voter.
	stopControl []context.CancelFunc
}

const testFollowers = 4

func startRegions(t *testing.T, regions int) *testRegions {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	security, err := rpc.NewSecurity(rpc.SecuritySettings{InsecurePlaintext: true}, logger)
	require.NoError(t, err)
	started := &testRegions{t: t, logger: logger, security: security}
	for region := range regions {
		started.startRegion(region, regions)
	}
	return started
}

// add lists a process, whose metrics page is served until the test ends.
func (r *testRegions) add(process Process, page *httptest.Server) {
	r.t.Cleanup(page.Close)
	process.PID, process.Metrics = os.Getpid(), page.Listener.Addr().String()
	r.processes = append(r.processes, process)
}

// run runs a duty until it is cancelled, or the test ends.
func (r *testRegions) run(duty func(context.Context)) context.CancelFunc {
	running, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() { duty(running) })
	r.t.Cleanup(func() { cancel(); ended.Wait() })
	return cancel
}

func (r *testRegions) startRegion(region, regions int) {
	t, prefix := r.t, ServicePrefix(region, regions)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	voterAddress := listener.Addr().String()
	registry := metrics.NewRegistry("control")
	voter, err := control.Open(&control.Options{
		ID: 1, Listen: voterAddress, Voters: []string{"1=" + voterAddress}, DataFolder: t.TempDir(),
		Lease: 5 * time.Second, Heartbeat: 100 * time.Millisecond, ElectionTimeout: time.Second,
		ClaimBatch: 1, SnapshotEntries: 20000, StopLimit: 2 * time.Second,
		SecurityOptions: rpc.SecurityOptions{InsecurePlaintext: true},
	}, control.Environment{
		Logger: r.logger, Registry: registry,
		Listen: func(string, string) (net.Listener, error) { return listener, nil },
	})
	require.NoError(t, err)
	r.stopControl = append(r.stopControl, r.run(func(ctx context.Context) { _ = voter.Run(ctx) }))
	r.add(Process{Role: RoleControl, Region: region, Name: prefix + "control-1", Address: voterAddress},
		httptest.NewServer(metrics.Handler(registry)))

	registry = metrics.NewRegistry("relay")
	fanOut, err := relay.Open(&relay.Options{
		Name: prefix + "relay-0", Zone: ZonesOf(region, regions, regions)[0], Listen: "127.0.0.1:0",
		Upstream: []string{voterAddress}, StopLimit: time.Second,
		SecurityOptions: rpc.SecurityOptions{InsecurePlaintext: true},
	}, r.logger, registry)
	require.NoError(t, err)
	r.run(func(ctx context.Context) { _ = fanOut.Run(ctx) })
	r.add(Process{Role: RoleRelay, Region: region, Name: prefix + "relay-0"}, httptest.NewServer(metrics.Handler(registry)))

	fleet := NewFleet(FleetConfig{
		Name: prefix + "hollow", Followers: testFollowers, Relays: []string{fanOut.Address()},
		ZoneNames: ZonesOf(region, regions, regions), Services: prefix, Seed: uint64(region),
	}, r.security, r.logger)
	r.run(fleet.Run)
	r.add(Process{Role: RoleHollow, Region: region, Name: prefix + "hollow-0", Followers: testFollowers},
		httptest.NewServer(fleet.Handler(metrics.NewRegistry("hollow"))))
}

// TestRegionsAreIndependent changes both of two regions at once and then stops
// the control of one: its followers lose their leases, those of the other don't,
// and no follower is ever told of the other region's services.
//
// It was red twice on a busy machine by leases that had lapsed in the first part. What disturbs it
// is a stall of the whole process, which is every machine of both regions: ended for two seconds by
// SIGSTOP four seconds after its start, it fails the same way ("Should be zero, but was 4"); the
// voters elect anew when they wake, and leases of five seconds run out meanwhile, as they have to.
// Load alone does not do it: 24 of 24 runs passed under the race detector, up to sixteen at once
// beside hunts.
func TestRegionsAreIndependent(t *testing.T) {
	const regions, servers, speed = 2, 60, 100
	started := startRegions(t, regions)
	client := rpc.NewClient(started.security, rpc.ClientConfig{ServerRoles: []keys.Role{keys.RoleControl}})
	defer client.CloseIdle()
	run := NewRun(RunConfig{
		Regions: regions, Servers: servers, Zones: regions, CellRouters: 1, Speeds: []int64{speed}, Duration: 2 * time.Second,
	}, started.processes, func(voters []string) *control.Client { return control.NewClient(voters, client) }, started.logger)
	result, err := run.Do(t.Context())
	require.NoError(t, err)
	require.Equal(t, regions, result.Regions)
	require.Len(t, result.ByRegion, regions)
	for region, phase := range result.ByRegion {
		name := fmt.Sprintf("region %d", region)
		require.Positive(t, phase.Accepted, name)
		require.Zero(t, phase.ForeignPlans, name)
		require.Zero(t, phase.Behind, name)
		require.Zero(t, phase.Unreported, name)
	}
	require.Equal(t, result.ByRegion[0].Accepted+result.ByRegion[1].Accepted, result.Accepted)
	require.Zero(t, result.Gaps)

	begin, revision := time.Now(), run.groups[0].revision
	started.stopControl[1]()
	require.Eventually(t, func() bool { return run.groups[1].state(t.Context()).Lapsed == testFollowers },
		time.Minute, 100*time.Millisecond, "the followers without control must lose their leases")
	require.Equal(t, State{Running: testFollowers, Holding: testFollowers, LowestRevision: revision}, run.groups[0].state(t.Context()))
	reports, err := run.groups[0].reports(t.Context(), begin)
	require.NoError(t, err)
	require.Zero(t, reports[0].Gaps, "a lease was lost in the region whose control lives")
	run.groups[0].text.Change()
	_, err = run.groups[0].apply(t.Context())
	require.NoError(t, err, "the other region takes changes")
}
