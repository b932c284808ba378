package rpc

import (
	"context"
	"io"
	"net"
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
)

func quiet() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// issue makes, or replaces, the keys of a process.
func issue(t *testing.T, folder, name string, role keys.Role) keys.Files {
	t.Helper()
	require.NoError(t, keys.Issue(folder, keys.Request{
		Name: name, Role: role, Lifetime: time.Hour, Replace: true,
		Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")},
	}, time.Now()))
	return keys.Files{
		Authority:   filepath.Join(folder, keys.AuthorityCertificateFile),
		Certificate: filepath.Join(folder, name+".crt"),
		Key:         filepath.Join(folder, name+".key"),
	}
}

func secure(t *testing.T, files keys.Files) *Security {
	t.Helper()
	security, err := NewSecurity(SecuritySettings{Files: files}, quiet())
	require.NoError(t, err)
	return security
}

// serial is what a server answers with: the serial number of its caller.
func serial(response http.ResponseWriter, request *http.Request) {
	_, _ = io.WriteString(response, request.TLS.PeerCertificates[0].SerialNumber.String())
}

// caller calls a server and counts the connections that it opens for that.
type caller struct {
	client *Client
	opened atomic.Int64
}

func newCaller(t *testing.T, security *Security) *caller {
	created := &caller{}
	created.client = NewClient(security, ClientConfig{
		ServerRoles: []keys.Role{keys.RoleControl},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			created.opened.Add(1)
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	})
	t.Cleanup(created.client.CloseIdle)
	return created
}

func (c *caller) call(t *testing.T, address string) (answer string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, c.client.URL(address), nil)
	require.NoError(t, err)
	response, err := c.client.HTTP().Do(request)
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return string(text), nil
}

// TestReloadedKeysDropNoConnection replaces the keys of both ends: the
// connection that is open goes on with the old ones, and the next one uses the
// new. Files that can't be used change nothing.
func TestReloadedKeysDropNoConnection(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, keys.Init(folder, time.Now()))
	serving := secure(t, issue(t, folder, "control-1", keys.RoleControl))
	files := issue(t, folder, "router-1", keys.RoleRouter)
	calling := secure(t, files)
	server, err := NewServer("127.0.0.1:0", RequireRole(serving, http.HandlerFunc(serial), keys.RoleRouter), serving, quiet())
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	defer func() { _ = server.Close() }()
	caller := newCaller(t, calling)
	first, err := caller.call(t, server.Address())
	require.NoError(t, err)

	issue(t, folder, "control-1", keys.RoleControl)
	issue(t, folder, "router-1", keys.RoleRouter)
	require.NoError(t, serving.Reloader().Reload())
	require.NoError(t, calling.Reloader().Reload())
	again, err := caller.call(t, server.Address())
	require.NoError(t, err)
	require.Equal(t, first, again)
	require.EqualValues(t, 1, caller.opened.Load(), "the connection goes on")
	caller.client.CloseIdle()
	renewed, err := caller.call(t, server.Address())
	require.NoError(t, err)
	require.NotEqual(t, first, renewed, "a new connection uses the new keys")

	require.NoError(t, os.WriteFile(files.Certificate, []byte("half a file"), 0o600))
	require.Error(t, calling.Reloader().Reload())
	caller.client.CloseIdle()
	kept, err := caller.call(t, server.Address())
	require.NoError(t, err)
	require.Equal(t, renewed, kept)
}

// TestOnlyTheRightRolesMeet refuses, on either end, a peer of another role and
// one of another site.
func TestOnlyTheRightRolesMeet(t *testing.T) {
	folder, elsewhere := t.TempDir(), t.TempDir()
	require.NoError(t, keys.Init(folder, time.Now()))
	require.NoError(t, keys.Init(elsewhere, time.Now()))
	serve := func(files keys.Files) string {
		security := secure(t, files)
		server, err := NewServer("127.0.0.1:0", RequireRole(security, http.HandlerFunc(serial), keys.RoleRouter), security, quiet())
		require.NoError(t, err)
		go func() { _ = server.Serve() }()
		t.Cleanup(func() { _ = server.Close() })
		return server.Address()
	}
	control := serve(issue(t, folder, "control-1", keys.RoleControl))
	relay := serve(issue(t, folder, "relay-1", keys.RoleRelay))
	router := newCaller(t, secure(t, issue(t, folder, "router-1", keys.RoleRouter)))
	operator := newCaller(t, secure(t, issue(t, folder, "malee", keys.RoleOperator)))
	stranger := newCaller(t, secure(t, issue(t, elsewhere, "router-1", keys.RoleRouter)))

	_, err := router.call(t, control)
	require.NoError(t, err)
	_, err = router.call(t, relay)
	require.ErrorIs(t, err, ErrWrongRole, "the client wants control")
	_, err = stranger.call(t, control)
	require.Error(t, err)
	refused, err := operator.call(t, control)
	require.NoError(t, err)
	require.Contains(t, refused, "has role operator")
}
