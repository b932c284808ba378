package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/loadview"
)

// TestLoadTables guards against figures that the tables of the command leave out.
func TestLoadTables(t *testing.T) {
	list := directory.LoadList{
		Term: 3, Revision: 7, Age: 120 * time.Millisecond,
		Nodes: []loadview.NodeSummary{{Node: "n0", Routers: 2}, {Node: "n1", Routers: 3}},
		Services: []loadview.ServiceState{
			{Service: "a", Demand: 7, Capacity: 5.1, Waiting: 12, Since: 1500 * time.Millisecond, Servers: []loadview.ServerState{
				{ID: "i-a1", Condition: loadview.Slow, Pace: 6.727, Refusals: 0.25, Age: 80 * time.Millisecond}, {ID: "i-a2", Condition: loadview.Silent},
			}},
			{Service: "b", Demand: 1, Capacity: 4},
		},
		Routes: []directory.RouteLoad{
			{RouteDemand: loadview.RouteDemand{Route: "sweep", Offered: 304.4, Admitted: 152.2, Work: 23 * time.Millisecond}, Admission: &loadview.RouteState{Route: "sweep", Fraction: 0.5, Bottleneck: "a", Since: 2 * time.Second}},
			{RouteDemand: loadview.RouteDemand{Route: "look", Offered: 16}},
		},
		Tenants: []loadview.TenantState{{Tenant: "one", Share: 0.25}},
	}
	var written bytes.Buffer
	require.NoError(t, writeLoad(&written, list, 50))
	require.Equal(t, `term 3, revision 7, view of 120ms ago, 5 routers at 2 nodes

SERVICE  DEMAND  CAPACITY  ROOM  WAITING  SINCE  SERVERS IN TROUBLE
a        7.0     5.1       0.0   12       1.5s   i-a1 slow (pace 6.7, refusals 0.25, 80ms ago), i-a2 silent (pace 0.0, refusals 0.00, 0s ago)
b        1.0     4.0       3.0   0        0s     

ROUTE  OFFERED/S  ADMITTED/S  WORK  SHARE  BOTTLENECK  SINCE
sweep  304.4      152.2       23ms  0.50   a           2s
look   16.0       0.0         0s    1.00   -           -

TENANT  SHARE
one     0.25
`, written.String())
	written.Reset()
	require.NoError(t, writeLoad(&written, directory.LoadList{Age: -1}, 50))
	require.Contains(t, written.String(), "no view published")
}

// TestLoadCommandOverAllProcesses guards against a command that does not reach the leader's
// figures, and against a document that the nodes of the program don't read for them.
func TestLoadCommandOverAllProcesses(t *testing.T) {
	site := newRegisteredSite(t)
	var list directory.LoadList
	require.Eventually(t, func() bool {
		for index, name := range []string{"reporter-0", "reporter-1"} {
			site.reportLoad(index, name, loadview.Report{
				Routes: []loadview.RouteDemand{{Route: "sweep", Offered: 64, Work: 500 * time.Millisecond}},
				Services: []loadview.ServiceReport{{Service: "a", Servers: []loadview.ServerState{
					{ID: "i-a1", Condition: loadview.Slow, Pace: 4},
				}}},
			})
		}
		var err error
		list, err = askDirectory(site.peers[1], directory.ListLoad)
		return err == nil && len(list.Services) > 0 && len(list.Routes) == 1 && list.Services[0].Demand > list.Services[0].Capacity
	}, 20*time.Second, 100*time.Millisecond)
	require.Equal(t, "a", list.Services[0].Service)
	require.Equal(t, "i-a1", list.Services[0].Servers[0].ID)
	require.Equal(t, "sweep", list.Routes[0].Route)
	require.NoError(t, (&loadCommand{Arguments: directoryAddress{Address: site.peers[0]}, Most: 1}).Execute(nil))
}

// reportLoad has a router report to a node, as a call that waits for nothing.
func (s *registeredSite) reportLoad(node int, router string, report loadview.Report) {
	body, err := json.Marshal(directory.FollowRequest{Router: directory.Router{Name: router}, Load: &report})
	require.NoError(s.t, err)
	response, err := http.Post("http://"+s.peers[node]+directory.PathFollow, "application/json", bytes.NewReader(body))
	if err == nil {
		_ = response.Body.Close()
	}
}
