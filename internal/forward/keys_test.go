package forward

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/remote"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/verdict"
)

// answeringRouter answers every request of another region.
type answeringRouter struct{ requests atomic.Int64 }

func (a *answeringRouter) QueryLocal(context.Context, router.Request) query.Answer {
	panic("a crossed request is not taken for one of the own region")
}

func (a *answeringRouter) QueryCrossed(context.Context, router.Request) query.Answer {
	a.requests.Add(1)
	return query.Answer{Verdict: verdict.Ran}
}

func (a *answeringRouter) Ready() (bool, verdict.Reason) { return true, "" }

// regionKeys issues the keys of a router under its region's authority. The
// authorities in trusted are accepted as well.
func regionKeys(t *testing.T, folder string, trusted ...string) *rpc.Security {
	t.Helper()
	require.NoError(t, keys.Issue(folder, keys.Request{
		Name: "router-1", Role: keys.RoleRouter, Lifetime: time.Hour, Replace: true,
		Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")},
	}, time.Now()))
	var bundle []byte
	for _, authority := range append(trusted, folder) {
		certificate, err := os.ReadFile(filepath.Join(authority, keys.AuthorityCertificateFile))
		require.NoError(t, err)
		bundle = append(bundle, certificate...)
	}
	path := filepath.Join(t.TempDir(), "authorities.crt")
	require.NoError(t, os.WriteFile(path, bundle, 0o600))
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	security, err := rpc.NewSecurity(rpc.SecuritySettings{Files: keys.Files{
		Authority: path, Certificate: filepath.Join(folder, "router-1.crt"), Key: filepath.Join(folder, "router-1.key"),
	}}, logger)
	require.NoError(t, err)
	return security
}

// Regions with separate authorities can call each other if both accept both
// authorities. If the calling region does not, the handshake fails, which proves
// that the request did not run.
func TestRegionsOfTwoAuthorities(t *testing.T) {
	north, south := t.TempDir(), t.TempDir()
	require.NoError(t, keys.Init(north, time.Now()))
	require.NoError(t, keys.Init(south, time.Now()))
	security, local := regionKeys(t, north, south), &answeringRouter{}
	mux := http.NewServeMux()
	mux.Handle(NewHandler(local, security))
	server, err := rpc.NewServer("127.0.0.1:0", mux, security, logrus.New())
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.Close() })
	entry := netip.MustParseAddrPort(server.Address())
	cross := func(security *rpc.Security) router.ForwardResult {
		ctx, cancel := context.WithTimeout(t.Context(), longWait)
		defer cancel()
		return NewClient("near", security).Cross(ctx, entry, router.Request{CallerID: "x", Route: "find"})
	}
	untrusted := cross(regionKeys(t, south))
	require.Equal(t, verdict.NotRun, untrusted.Answer.Verdict)
	require.Contains(t, []remote.Outcome{remote.NotConnected, remote.SlowConnect}, untrusted.Outcome)
	require.Zero(t, local.requests.Load())
	trusted := cross(regionKeys(t, south, north))
	require.Nil(t, trusted.Answer.Err)
	require.EqualValues(t, 1, local.requests.Load())
}
