package control

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/voter"
)

// TestForeignKeysAreReportedAtOnce calls voters with keys of another site. Either
// side may reject them, and the call must fail before its context ends.
func TestForeignKeysAreReportedAtOnce(t *testing.T) {
	t.Parallel()
	site, foreign := t.TempDir(), t.TempDir()
	for _, folder := range []string{site, foreign} {
		require.NoError(t, keys.Init(folder, time.Now()))
	}
	cluster := newTestCluster(t, 3, func(options *Options) {
		files := issueKeys(t, site, fmt.Sprintf("control-%d", options.ID), keys.RoleControl)
		options.Authority, options.Certificate, options.Key = files.Authority, files.Certificate, files.Key
		options.InsecurePlaintext = false
	})
	cluster.leader()
	var addresses []string
	for _, node := range cluster.nodes {
		addresses = append(addresses, node.options.Listen)
	}
	foreignKeys := issueKeys(t, foreign, "stranger", keys.RoleOperator)
	bothAuthorities := foreignKeys
	bothAuthorities.Authority = filepath.Join(foreign, "both.crt")
	var authorities []byte
	for _, folder := range []string{site, foreign} {
		authority, err := os.ReadFile(filepath.Join(folder, keys.AuthorityCertificateFile))
		require.NoError(t, err)
		authorities = append(authorities, authority...)
	}
	require.NoError(t, os.WriteFile(bothAuthorities.Authority, authorities, 0o600))
	for name, test := range map[string]struct {
		files keys.Files
		roles []keys.Role
		want  string
		// sent is true if a request may be sent before it is rejected: in TLS 1.3 the
		// client completes the handshake before the server has seen its certificate. A
		// connection reset may then arrive before the alert that gives the reason.
		sent bool
	}{
		"the program refuses": {foreignKeys, []keys.Role{keys.RoleControl}, "its certificate is not of this site", false},
		"the voter refuses":   {bothAuthorities, []keys.Role{keys.RoleControl}, "it refuses this program's certificate", true},
		"another role":        {issueKeys(t, site, "malee", keys.RoleOperator), []keys.Role{keys.RoleRelay}, "its certificate is of another role", false},
	} {
		t.Run(name, func(t *testing.T) {
			security, err := rpc.NewSecurity(rpc.SecuritySettings{Files: test.files}, logrus.New())
			require.NoError(t, err)
			connection := rpc.NewClient(security, rpc.ClientConfig{ServerRoles: test.roles})
			t.Cleanup(connection.CloseIdle)
			client := NewClient(addresses, connection)
			_, err = client.Apply(testContext(t), &v1.ApplyRequest{ChangeId: "foreign", Text: "text"})
			require.True(t, errors.Is(err, ErrCertificate), "%v", err)
			if !test.sent {
				require.False(t, errors.Is(err, voter.ErrOutcomeUnknown), "nothing was sent")
			}
			for _, node := range cluster.nodes {
				revision, _, _ := node.process.server.store.Latest()
				require.Zero(t, revision, "a refused change took effect")
			}
			for _, address := range addresses {
				require.ErrorContains(t, err, address+": "+test.want)
			}
		})
	}
}

// TestEachAddressIsNamedWithItsError calls a voter without a quorum and an address
// without a listener until the context ends. The error must list both.
func TestEachAddressIsNamedWithItsError(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, nil)
	leader := cluster.leader()
	remaining, stopped := cluster.others(leader)[0], cluster.others(leader)[1]
	stopped.crash()
	leader.crash()
	const unusedAddress = "127.0.0.1:1"
	addresses := []string{remaining.options.Listen, unusedAddress}
	connection := rpc.NewClient(rpc.Plaintext(), rpc.ClientConfig{})
	t.Cleanup(connection.CloseIdle)
	client := NewClient(addresses, connection)
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	rounds := 0
	client.OnRetry(func(why string) {
		rounds++
		if rounds == 3 {
			require.Contains(t, why, unusedAddress+": ")
			cancel()
		}
	})
	_, err := client.Get(ctx, 0)
	require.True(t, errors.Is(err, ErrUnavailable), "%v", err)
	require.Equal(t, 3, rounds)
	for _, address := range addresses {
		require.ErrorContains(t, err, address+": ")
	}
	require.ErrorContains(t, err, "connection refused")
}

func TestCanceledAttemptKeepsEarlierError(t *testing.T) {
	refused, expired := errors.New("connection refused"), errors.New("context deadline exceeded")
	lastErrors := make(voterErrors, 2)
	lastErrors.record(0, refused, false)
	lastErrors.record(0, expired, true)
	lastErrors.record(1, expired, true)
	require.Equal(t, voterErrors{refused, expired}, lastErrors)
	lastErrors.record(0, expired, false)
	require.Equal(t, voterErrors{expired, expired}, lastErrors)
}
