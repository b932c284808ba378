package control

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/rpc"
)

// issueKeys issues a certificate and key and returns their files.
func issueKeys(t *testing.T, folder, name string, role keys.Role) keys.Files {
	require.NoError(t, keys.Issue(folder, keys.Request{
		Name: name, Role: role, Lifetime: time.Hour, Addresses: []netip.Addr{testaddress.Host()},
	}, time.Now()))
	return keys.Files{
		Authority:   filepath.Join(folder, keys.AuthorityCertificateFile),
		Certificate: filepath.Join(folder, name+".crt"),
		Key:         filepath.Join(folder, name+".key"),
	}
}

// TestAuthorIsAuthenticated submits changes with TLS keys in use. Whatever author
// the request states, the history must name the holder of the certificate, also if
// a voter forwarded the change. A router must not submit changes.
func TestAuthorIsAuthenticated(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	require.NoError(t, keys.Init(folder, time.Now()))
	cluster := newTestCluster(t, 3, func(options *Options) {
		files := issueKeys(t, folder, fmt.Sprintf("control-%d", options.ID), keys.RoleControl)
		options.Authority, options.Certificate, options.Key = files.Authority, files.Certificate, files.Key
		options.InsecurePlaintext = false
	})
	clientOf := func(name string, role keys.Role, node *testNode) *Client {
		security, err := rpc.NewSecurity(rpc.SecuritySettings{Files: issueKeys(t, folder, name, role)}, logrus.New())
		require.NoError(t, err)
		client := rpc.NewClient(security, rpc.ClientConfig{ServerRoles: []keys.Role{keys.RoleControl}})
		t.Cleanup(client.CloseIdle)
		return NewClient([]string{node.options.Listen}, client)
	}
	leader := cluster.leader()
	follower := cluster.others(leader)[0]
	for revision, node := range []*testNode{leader, follower} {
		operator := clientOf(fmt.Sprintf("malee-%d", revision), keys.RoleOperator, node)
		require.Equal(t, accepted, apply(t, operator, fmt.Sprint(revision), "text", uint64(revision)).GetResult())
		latest, err := operator.Get(testContext(t), 0)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("malee-%d", revision), latest.GetAuthor())
	}
	// The leader transfers leadership first; its successor records who requested
	// the removal.
	leader = cluster.leader()
	removed := leader.options.ID
	voters, err := clientOf("malee-voters", keys.RoleOperator, leader).RemoveVoter(testContext(t), removed)
	require.NoError(t, err)
	require.Len(t, voters, 2)
	remaining := cluster.others(leader)[0]
	operator := clientOf("malee-events", keys.RoleOperator, remaining)
	require.Eventually(t, func() bool {
		events, err := operator.Events(testContext(t), &v1.ListEventsRequest{})
		return err == nil && lo.SomeBy(events.GetEvents(), func(event *v1.Event) bool {
			return event.GetDetail() == fmt.Sprintf("voter %d was removed by malee-voters", removed)
		})
	}, testTimeout, 20*time.Millisecond)
	router := clientOf("router-1", keys.RoleRouter, remaining)
	_, err = router.Apply(testContext(t), &v1.ApplyRequest{ChangeId: "router", Text: "text", ExpectedRevision: 2})
	require.Equal(t, connect.CodePermissionDenied, connect.CodeOf(err), "%v", err)
	granted, err := router.claim(testContext(t), claimRequest("request", 1))
	require.NoError(t, err)
	require.Equal(t, v1.ClaimResult_CLAIM_RESULT_GRANTED, granted.GetResult())
}
