package directory

import (
	"context"
	"time"

	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// LoadList is the leader's view of the load.
type LoadList struct {
	Term     uint64 `json:"term"`
	Revision uint64 `json:"revision"`
	// Age is the time since the view was published; negative if this leader published none.
	Age time.Duration `json:"age"`
	// Nodes are those whose summaries are valid.
	Nodes []loadview.NodeSummary `json:"nodes,omitempty"`
	// Services are those that are short or have servers in trouble.
	Services []loadview.ServiceState `json:"services,omitempty"`
	// Routes are those with traffic, ordered as in the document.
	Routes []RouteLoad `json:"routes,omitempty"`
	// Tenants are those that exceed their share.
	Tenants []loadview.TenantState `json:"tenants,omitempty"`
}

// RouteLoad is the demand on a route and its admission.
type RouteLoad struct {
	loadview.RouteDemand
	// Admission is the route's entry in the view, nil if all requests are admitted.
	Admission *loadview.RouteState `json:"admission,omitempty"`
}

// Load returns the load figures, from the leader. It fails with ErrUnavailable.
func (n *Node) Load(ctx context.Context) (LoadList, error) {
	var list LoadList
	err := n.onLeader(ctx, func(ctx context.Context) error {
		known, err := n.loadAsLeader(ctx, struct{}{})
		list = known
		return err
	}, pathLoadLeader, struct{}{}, &list)
	return list, err
}

// loadAsLeader is Load at the leader.
func (n *Node) loadAsLeader(context.Context, struct{}) (LoadList, error) {
	load, release, err := n.lockLoad()
	if err != nil {
		return LoadList{}, err
	}
	defer release()
	now, view := steadyclock.Now(), load.published
	list := LoadList{
		Term: load.term, Revision: view.Revision, Age: now.Sub(load.publishedAt), Nodes: load.merger.Nodes(now),
		Services: view.Services, Tenants: view.Tenants,
	}
	if view.Revision == 0 {
		list.Age = -1
	}
	for _, route := range load.document.routes {
		demand, known := load.totals.Routes[route.Name]
		entry := admissionOf(view, route.Name)
		if known || entry != nil {
			demand.Route = route.Name
			list.Routes = append(list.Routes, RouteLoad{RouteDemand: demand, Admission: entry})
		}
	}
	return list, nil
}

// admissionOf returns the entry of a route in a view, or nil.
func admissionOf(view loadview.View, route string) *loadview.RouteState {
	for _, state := range view.Routes {
		if state.Route == route {
			return &state
		}
	}
	return nil
}

// ListLoad queries the node at a peer address for the load figures of the leader.
func ListLoad(ctx context.Context, address string) (LoadList, error) {
	var list LoadList
	err := newPeerClient().call(ctx, address, pathLoadList, struct{}{}, &list)
	return list, err
}
