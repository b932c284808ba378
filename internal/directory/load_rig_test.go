package directory_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/admission"
	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/routing"
)

// readLoadDocument parses "VERSION routes NAME..." into routes to the service "s".
func readLoadDocument(text []byte) (*routing.Document, error) {
	parsed, fields := &routing.Document{}, strings.Fields(string(text))
	if len(fields) < 2 || fields[1] != "routes" {
		return parsed, nil
	}
	for _, name := range fields[2:] {
		parsed.Routes = append(parsed.Routes, routing.Route{Name: name, Targets: []routing.Target{{Service: "s", Weight: 1}}})
	}
	return parsed, nil
}

// plannerLog holds what the planners of all nodes were given.
type plannerLog struct {
	mutex   sync.Mutex
	resumed []loadview.View
	// offered are the rates of the route "a" in each plan.
	offered []float64
}

// fixedPlanner admits a fixed share of each route of the document that has traffic.
type fixedPlanner struct {
	log *plannerLog
}

const fixedShare = 0.5

func (p *fixedPlanner) Resume(view loadview.View) {
	p.log.mutex.Lock()
	defer p.log.mutex.Unlock()
	p.log.resumed = append(p.log.resumed, view)
}

func (p *fixedPlanner) Plan(_ time.Time, inputs directory.PlanInputs) admission.Outcome {
	p.log.mutex.Lock()
	defer p.log.mutex.Unlock()
	p.log.offered = append(p.log.offered, inputs.Totals.Routes["a"].Offered)
	var outcome admission.Outcome
	for _, route := range inputs.Routes {
		if inputs.Totals.Routes[route.Name].Offered > 0 {
			outcome.Routes = append(outcome.Routes, loadview.RouteState{Route: route.Name, Fraction: fixedShare, Promised: fixedShare, Bottleneck: "s"})
		}
	}
	return outcome
}

// views returns the views from which planners were resumed.
func (l *plannerLog) views() []loadview.View {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]loadview.View(nil), l.resumed...)
}

// greatest returns the greatest rate of the route "a" in any plan.
func (l *plannerLog) greatest() float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	greatest := 0.0
	for _, offered := range l.offered {
		greatest = max(greatest, offered)
	}
	return greatest
}

// withPlanner has all nodes of a cluster plan by a fixed share.
func (c *cluster) withPlanner() *plannerLog {
	log := &plannerLog{}
	c.newPlanner = func() directory.AdmissionPlanner { return &fixedPlanner{log: log} }
	return log
}

// leader returns the index of the node that leads; -1 for none.
func (c *cluster) leader() int {
	for index, node := range c.nodes {
		if node != nil && node.Leads() {
			return index
		}
	}
	return -1
}

// leaveTime is how long a router keeps following a node that has stopped answering.
const leaveTime = 1100 * time.Millisecond

// loadRouter is a router that reports load and holds the view it gets.
type loadRouter struct {
	request  directory.FollowRequest
	node     int
	failedAt time.Time
	held     loadview.Held
	// withoutRoutes is set when a view without routes replaced one with routes.
	withoutRoutes bool
}

// newLoadRouters returns one router for each node. All of them send the same rate of the route "a"
// and report the server i1 as slow.
func (c *cluster) newLoadRouters() []*loadRouter {
	var routers []*loadRouter
	for index := range c.nodes {
		routers = append(routers, &loadRouter{node: index, request: directory.FollowRequest{
			Router: directory.Router{Name: fmt.Sprint("r", index)},
			Load: &loadview.Report{
				Heard: 3, Troubled: 1, Routes: []loadview.RouteDemand{{Route: "a", Offered: 16, Work: 10 * time.Millisecond}},
				Services: []loadview.ServiceReport{{Service: "s", Waiting: 1, Servers: []loadview.ServerState{{ID: "i1", Condition: loadview.Slow, Pace: 4}}}},
			},
		}})
	}
	return routers
}

// call calls the router's node once, without waiting for updates. A node that has stopped
// answering is left after leaveTime.
func (r *loadRouter) call(c *cluster) {
	node, sentAt := c.nodes[r.node], time.Now()
	var reply directory.FollowReply
	var err error
	if node != nil {
		reply, err = node.Follow(context.Background(), r.request)
	}
	if node == nil || err != nil {
		if r.failedAt.IsZero() {
			r.failedAt = sentAt
		}
		if sentAt.Sub(r.failedAt) >= leaveTime {
			r.node, r.failedAt = (r.node+1)%len(c.nodes), time.Time{}
		}
		return
	}
	r.failedAt = time.Time{}
	r.request.Source = reply.Source
	if reply.Load == nil || !reply.Load.Newer(r.held.View) {
		return
	}
	r.withoutRoutes = r.withoutRoutes || r.held.View.Short() && !reply.Load.Short()
	r.held = loadview.Held{View: *reply.Load, At: sentAt.Add(*reply.LoadAt)}
	r.request.LoadTerm, r.request.LoadRevision = reply.Load.Term, reply.Load.Revision
}

// drive has the routers call until a condition holds.
func (c *cluster) drive(message string, routers []*loadRouter, holds func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		c.announceServers()
		for _, router := range routers {
			router.call(c)
		}
		if holds() {
			return
		}
	}
	require.Fail(c.t, message)
}

// allHold reports whether all routers hold a view that a condition accepts.
func allHold(routers []*loadRouter, accepts func(loadview.View) bool) func() bool {
	return func() bool {
		for _, router := range routers {
			if router.held.At.IsZero() || !accepts(router.held.View) {
				return false
			}
		}
		return true
	}
}

// short accepts views in which the route "a" is short and the server i1 is in trouble.
func short(view loadview.View) bool {
	return len(view.Routes) > 0 && view.Routes[0].Fraction == fixedShare && inTrouble(view)
}

func inTrouble(view loadview.View) bool {
	return len(view.Services) == 1 && len(view.Services[0].Servers) == 1 && view.Services[0].Servers[0].ID == "i1"
}

// announceServers has the two servers of the service "s" announce themselves at all nodes.
func (c *cluster) announceServers() {
	sequence := uint64(time.Now().UnixMilli())
	for _, node := range c.nodes {
		if node == nil {
			continue
		}
		for _, id := range []string{"i1", "i2"} {
			// A node without a leader refuses it; the next one follows soon.
			_ = node.Heartbeat(context.Background(), instance(id, "s", registry.Ready, sequence))
		}
	}
}
