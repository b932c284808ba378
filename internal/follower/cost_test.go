package follower

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/lease"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/rpc"
)

// fixedControl is a leader whose configuration never changes.
type fixedControl struct{ neverChanges chan struct{} }

func (fixedControl) ConfirmLeadership(context.Context) (uint64, error) { return 7, nil }

func (c fixedControl) Latest() (uint64, *plan.Plan, <-chan struct{}) {
	return 1_000_000, &plan.Plan{}, c.neverChanges
}

// countingConn counts the bytes that the client sends and receives.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.sent.Add(int64(count))
	return count, err
}

func (c countingConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.received.Add(int64(count))
	return count, err
}

// BenchmarkSteadySync measures a call that only renews the lease: CPU time of
// both ends together, allocations, and bytes in each direction.
func BenchmarkSteadySync(b *testing.B) {
	b.Run("plaintext", func(b *testing.B) { benchmarkSync(b, rpc.Plaintext(), rpc.Plaintext()) })
	b.Run("tls", func(b *testing.B) {
		folder := b.TempDir()
		require.NoError(b, keys.Init(folder, time.Now()))
		benchmarkSync(b, issueSecurity(b, folder, "control-1", keys.RoleControl), issueSecurity(b, folder, "router-1", keys.RoleRouter))
	})
}

func issueSecurity(t testing.TB, folder, name string, role keys.Role) *rpc.Security {
	t.Helper()
	require.NoError(t, keys.Issue(folder, keys.Request{
		Name: name, Role: role, Lifetime: time.Hour, Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")},
	}, time.Now()))
	security, err := rpc.NewSecurity(rpc.SecuritySettings{Files: keys.Files{
		Authority:   filepath.Join(folder, keys.AuthorityCertificateFile),
		Certificate: filepath.Join(folder, name+".crt"),
		Key:         filepath.Join(folder, name+".key"),
	}}, discardLogger())
	require.NoError(t, err)
	return security
}

func discardLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

func benchmarkSync(b *testing.B, serverSecurity, clientSecurity *rpc.Security) {
	control := fixedControl{neverChanges: make(chan struct{})}
	root := NewRoot(HandlerConfig{Name: "control-1", Lease: lease.DefaultDuration}, HandlerDeps{
		Plans: control, Authority: NewLeaderAuthority(control, lease.DefaultDuration),
		Logger: discardLogger(), Registerer: prometheus.NewRegistry(),
	})
	mux := http.NewServeMux()
	path, handler := martenstagev1connect.NewFollowServiceHandler(root, rpc.HandlerOptions())
	mux.Handle(path, rpc.RequireRole(serverSecurity, handler, keys.RoleRouter))
	server, err := rpc.NewServer("127.0.0.1:0", mux, serverSecurity, discardLogger())
	require.NoError(b, err)
	go func() { _ = server.Serve() }()
	defer func() { _ = server.Close() }()

	var sent, received atomic.Int64
	client := rpc.NewClient(clientSecurity, rpc.ClientConfig{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{Conn: raw, sent: &sent, received: &received}, err
		},
	})
	defer client.CloseIdle()
	service := NewDial(client)(server.Address())
	request := func() *connect.Request[v1.SyncRequest] {
		return connect.NewRequest(&v1.SyncRequest{
			Node: &v1.NodeIdentity{
				Name: "router-1", Role: "router", Zone: "zone-a", Address: "127.0.0.1:8080", Boot: uint64(time.Now().UnixNano()) >> 32,
			},
			Revision: 1_000_000, RoutersVersion: 7 << 40, MachinesVersion: 7 << 40,
			Hold: durationpb.New(0),
		})
	}
	call := func() {
		ctx, cancel := context.WithTimeout(b.Context(), time.Second)
		defer cancel()
		_, err := service.Sync(ctx, request())
		require.NoError(b, err)
	}
	call() // the first call carries the handshake and fills the header tables
	call()
	sentBefore, receivedBefore := sent.Load(), received.Load()
	b.ReportAllocs()
	for b.Loop() {
		call()
	}
	b.ReportMetric(float64(sent.Load()-sentBefore)/float64(b.N), "sent-B/op")
	b.ReportMetric(float64(received.Load()-receivedBefore)/float64(b.N), "received-B/op")
}
