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

func discardLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// issueKeys creates or replaces the keys of a process.
func issueKeys(t *testing.T, folder, name string, role keys.Role) keys.Files {
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

func newSecurity(t *testing.T, files keys.Files) *Security {
	t.Helper()
	security, err := NewSecurity(SecuritySettings{Files: files}, discardLogger())
	require.NoError(t, err)
	return security
}

// replyWithSerial replies with the serial number of the client's certificate.
func replyWithSerial(response http.ResponseWriter, request *http.Request) {
	_, _ = io.WriteString(response, request.TLS.PeerCertificates[0].SerialNumber.String())
}

// countingCaller calls a server and counts the connections that it dials.
type countingCaller struct {
	client *Client
	dials  atomic.Int64
}

func newCountingCaller(t *testing.T, security *Security) *countingCaller {
	created := &countingCaller{}
	created.client = NewClient(security, ClientConfig{
		ServerRoles: []keys.Role{keys.RoleControl},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			created.dials.Add(1)
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	})
	t.Cleanup(created.client.CloseIdle)
	return created
}

func (c *countingCaller) call(t *testing.T, address string) (answer string, err error) {
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

// TestReloadingKeysKeepsConnections replaces the keys of both ends: an open
// connection continues with the old keys, and the next one uses the new keys.
// Invalid key files have no effect.
func TestReloadingKeysKeepsConnections(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, keys.Init(folder, time.Now()))
	serving := newSecurity(t, issueKeys(t, folder, "control-1", keys.RoleControl))
	files := issueKeys(t, folder, "router-1", keys.RoleRouter)
	calling := newSecurity(t, files)
	server, err := NewServer("127.0.0.1:0", RequireRole(serving, http.HandlerFunc(replyWithSerial), keys.RoleRouter), serving, discardLogger())
	require.NoError(t, err)
	go func() { _ = server.Serve() }()
	defer func() { _ = server.Close() }()
	caller := newCountingCaller(t, calling)
	first, err := caller.call(t, server.Address())
	require.NoError(t, err)

	issueKeys(t, folder, "control-1", keys.RoleControl)
	issueKeys(t, folder, "router-1", keys.RoleRouter)
	require.NoError(t, serving.Reloader().Reload())
	require.NoError(t, calling.Reloader().Reload())
	again, err := caller.call(t, server.Address())
	require.NoError(t, err)
	require.Equal(t, first, again)
	require.EqualValues(t, 1, caller.dials.Load(), "the connection stays open")
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

// TestPeersOfOtherRolesAreRefused checks that a client refuses a server of
// another role, and a server refuses clients of another role or authority.
func TestPeersOfOtherRolesAreRefused(t *testing.T) {
	folder, otherFolder := t.TempDir(), t.TempDir()
	require.NoError(t, keys.Init(folder, time.Now()))
	require.NoError(t, keys.Init(otherFolder, time.Now()))
	serve := func(files keys.Files) string {
		security := newSecurity(t, files)
		server, err := NewServer("127.0.0.1:0", RequireRole(security, http.HandlerFunc(replyWithSerial), keys.RoleRouter), security, discardLogger())
		require.NoError(t, err)
		go func() { _ = server.Serve() }()
		t.Cleanup(func() { _ = server.Close() })
		return server.Address()
	}
	control := serve(issueKeys(t, folder, "control-1", keys.RoleControl))
	relay := serve(issueKeys(t, folder, "relay-1", keys.RoleRelay))
	router := newCountingCaller(t, newSecurity(t, issueKeys(t, folder, "router-1", keys.RoleRouter)))
	operator := newCountingCaller(t, newSecurity(t, issueKeys(t, folder, "malee", keys.RoleOperator)))
	unknown := newCountingCaller(t, newSecurity(t, issueKeys(t, otherFolder, "router-1", keys.RoleRouter)))

	_, err := router.call(t, control)
	require.NoError(t, err)
	_, err = router.call(t, relay)
	require.ErrorIs(t, err, ErrWrongRole, "the client requires a control server")
	_, err = unknown.call(t, control)
	require.Error(t, err)
	refused, err := operator.call(t, control)
	require.NoError(t, err)
	require.Contains(t, refused, "has role operator")
}
