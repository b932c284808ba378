package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/addressee"
	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/evacuation"
	"github.com/martenstage/martenstage/internal/liveness"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Bounds of following.
const (
	followWait    = 700 * time.Millisecond
	followTimeout = 1100 * time.Millisecond
	followSpacing = 20 * time.Millisecond
	// firstTimeout bounds the first call to a node, which is answered with all that
	// it knows.
	firstTimeout = 1500 * time.Millisecond
	maxFollowed  = 64 << 20
	// maxDepartures bounds the departures that are remembered of each kind, the latest ones.
	maxDepartures = 50_000
)

// follower takes documents and servers over from the directory.
type follower struct {
	gateway *Gateway
	client  *http.Client
	request directory.FollowRequest
	// node is followed; empty while one is searched for.
	node  string
	nodes []string
	lost  bool
	// moved says that node was chosen anew and has not been asked yet.
	moved bool
	// nextLook is when a better node than one whose state is out of date is looked for again;
	// staleTold says that the log has it that there is none.
	nextLook  time.Time
	staleTold bool
	// followed is node, for others than the one goroutine that follows.
	followed atomic.Pointer[string]
	// known are all nodes, the one that is followed first, for others than that goroutine.
	known atomic.Pointer[[]string]
	// routerCount is how many routers there are, as last told.
	routerCount int
	// evacuated says which servers get nothing by an operator's order; moving that this
	// still changes with time.
	evacuated evacuation.View
	moving    bool
	// servers are the instances told to the engine, by id; departed say which are never told
	// again.
	servers  map[string]registry.Instance
	departed *registry.Departures
}

func newFollower(gateway *Gateway) *follower {
	dialer := &net.Dialer{Timeout: searchTimeout, KeepAlive: -1, Control: liveness.Bound(peerSilence)}
	return &follower{
		gateway: gateway,
		client:  &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}},
		request: directory.FollowRequest{},
		servers: make(map[string]registry.Instance), departed: registry.NewDepartures(maxDepartures),
	}
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.follow(ctx); err != nil && ctx.Err() == nil {
			f.noteLost(err)
			f.node = ""
		}
		select {
		case <-ctx.Done():
		case <-time.After(followSpacing):
		}
	}
}

func (f *follower) noteLost(err error) {
	f.gateway.metrics.followFailures.Inc()
	if !f.lost {
		f.gateway.logger.WithField("node", f.node).WithField("reason", err).Warn("directory_lost")
	}
	f.lost = true
	f.gateway.quotas.lose()
}

// follow asks the followed node for news, or searches for a node, and takes in what
// was answered.
func (f *follower) follow(ctx context.Context) error {
	f.request.Router = directory.Router{
		Name: f.gateway.config.Name, Zone: f.gateway.config.Zone, Address: f.gateway.config.PeerAddress, Identifies: true,
		Stopping: f.gateway.stopping.Load(),
	}
	f.request.Seeds = f.seedsToName()
	f.request.Calls = f.gateway.shardCalls.perSecond(steadyclock.Now())
	first := f.node == "" || f.moved
	if f.node == "" {
		node, err := f.search(ctx)
		if err != nil {
			return err
		}
		f.node = node
	}
	asked := steadyclock.Now()
	reply, err := f.askNews(ctx, first)
	if err != nil {
		return err
	}
	if err := f.checkGroup(reply.Group, f.node); err != nil {
		return err
	}
	f.moved = false
	f.gateway.joinGroup(reply.Group, f.node)
	regained := f.lost
	if f.lost {
		f.lost = false
		f.gateway.logger.WithField("node", f.node).WithField("source", reply.Source).Info("directory_regained")
	}
	followed := f.node
	f.followed.Store(&followed)
	if reply.Fresh == nil {
		f.gateway.confirmUntold()
	}
	taken := viewOf(f.node, asked, reply)
	f.takeEvacuations(reply, regained)
	f.takeIn(reply, taken)
	f.takeView(taken)
	if reply.Fresh != nil && f.request.Version >= reply.Version {
		// The node got the call after it was sent, so that its word is at least that young.
		f.gateway.confirm(asked.Add(*reply.Fresh))
	}
	f.setReachable(followed)
	f.leaveStale(ctx, taken)
	return nil
}

// askNews asks the followed node for news. The first call to a node is answered at once, with all
// that it knows.
func (f *follower) askNews(ctx context.Context, first bool) (directory.FollowReply, error) {
	if first {
		f.request.Wait = 0
		return f.post(ctx, f.node, f.request, firstTimeout)
	}
	f.request.Wait = followWait
	if f.moving {
		f.request.Wait = evacuationStep
	}
	return f.post(ctx, f.node, f.request, followTimeout)
}

// post asks a node for news.
func (f *follower) post(ctx context.Context, node string, request directory.FollowRequest, timeout time.Duration) (directory.FollowReply, error) {
	var reply directory.FollowReply
	err := f.call(ctx, node+directory.PathFollow, request, timeout, &reply)
	return reply, err
}

// call posts a message to a node's address and path, and reads the reply into reply,
// unless nil.
func (f *follower) call(ctx context.Context, target string, message any, timeout time.Duration, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	expected := addressee.Identity{Group: f.gateway.group()}
	addressee.Mark(request.Header, expected)
	response, err := f.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := addressee.Check(response, expected, false); err != nil {
		f.gateway.noteAnswer(err)
		return errors.Wrap(err, target)
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxFollowed))
	switch {
	case err != nil:
		return err
	case response.StatusCode != http.StatusOK:
		return errors.Newf("%d: %s", response.StatusCode, bytes.TrimSpace(answer))
	case reply == nil:
		return nil
	}
	return json.Unmarshal(answer, reply)
}

// nodesTried is how many nodes a report is sent to, one after the other, until one has it.
const nodesTried = 2

// callEither posts a message to the node that is followed or, if that fails, to another.
func (f *follower) callEither(ctx context.Context, path string, message any, timeout time.Duration, reply any) (err error) {
	err = errNoNode
	for _, node := range lo.Slice(f.reachable(), 0, nodesTried) {
		if err = f.call(ctx, node+path, message, timeout, reply); err == nil {
			return nil
		}
	}
	return err
}

func (f *follower) takeIn(reply directory.FollowReply, from view) {
	f.takeQuarantine(reply)
	f.takeMetered(reply)
	f.takeRollouts(reply)
	f.tellDepartures(reply.Departed, from)
	f.takeServers(reply)
	f.takeDocument(reply)
	if len(reply.Nodes) > 0 {
		f.nodes = reply.Nodes
	}
	f.takeRouters(reply)
	f.request.Routers, f.request.Absent = reply.RoutersDigest, reply.AbsentDigest
	f.request.Source, f.request.Revision, f.request.Departures = reply.Source, reply.Revision, reply.Departures
}

// takeRouters takes in how many routers there are, which ones, and who of them
// asks which servers.
func (f *follower) takeRouters(reply directory.FollowReply) {
	gateway := f.gateway
	if reply.RoutersDigest != f.request.Routers {
		gateway.peers.setRouters(reply.Routers)
		gateway.logger.WithField("routers", len(reply.Routers)).Info("routers_changed")
	}
	if reply.AbsentDigest != f.request.Absent {
		gateway.peers.setAbsent(reply.Absent)
		gateway.logger.WithField("absent", len(reply.Absent)).Info("absent_routers_changed")
	}
	gateway.loop.events <- scatter.RoutersCounted{Count: reply.RouterCount, Rank: gateway.peers.rank()}
	gateway.peers.setCalls(reply.Calls)
	if reply.RouterCount != f.routerCount {
		f.routerCount = reply.RouterCount
		gateway.quotas.setRouters(reply.RouterCount)
		gateway.peers.recount()
	}
	table := gateway.table.Load()
	if table == nil {
		return
	}
	if counted, changed := gateway.peers.countGatherers(table.ShardLists(), reply.RouterCount); changed {
		gateway.loop.events <- scatter.GatherersCounted{Gatherers: counted}
		gateway.tellGatherers(reply.Calls, counted)
	}
}

func (f *follower) takeServers(reply directory.FollowReply) {
	gone := f.takeDepartures(reply)
	told := make(map[string]bool, len(reply.Instances))
	var changed []scatter.Server
	var instances []registry.Instance
	now := steadyclock.Now()
	for _, instance := range reply.Instances {
		told[instance.ID] = true
		if f.departed.Hold(instance) {
			continue
		}
		f.servers[instance.ID] = instance
		changed = append(changed, toServer(now, instance))
		instances = append(instances, instance)
	}
	if reply.Whole && reply.Settled {
		gone = append(gone, lo.Reject(lo.Keys(f.servers), func(id string, _ int) bool { return told[id] })...)
	}
	for _, id := range gone {
		delete(f.servers, id)
	}
	f.gateway.peers.setServers(instances, gone)
	if len(changed) > 0 {
		f.gateway.loop.events <- scatter.ServersChanged{Servers: changed}
	}
	if len(gone) > 0 {
		f.gateway.loop.events <- scatter.ServersGone{IDs: gone}
	}
}

// takeDepartures takes in which servers left, and returns the ids of those that were known.
func (f *follower) takeDepartures(reply directory.FollowReply) (gone []string) {
	for _, id := range reply.Departed {
		f.departed.Add(id)
	}
	for _, left := range reply.DepartedNames {
		f.departed.AddName(left)
		f.request.DepartedNames = max(f.request.DepartedNames, left.Before)
	}
	if len(reply.Departed)+len(reply.DepartedNames) == 0 {
		return nil
	}
	for id, known := range f.servers {
		if f.departed.Hold(known) {
			gone = append(gone, id)
		}
	}
	return gone
}

func toServer(now time.Time, instance registry.Instance) scatter.Server {
	return scatter.Server{
		ID: instance.ID, Name: registry.NameOf(instance.ID), Service: instance.Service, Address: instance.Address, Zone: instance.Zone, Version: instance.Version, Slots: instance.Slots,
		Leaving: instance.State == registry.Leaving, Missing: instance.State == registry.Missing, Replaced: instance.Replaced,
		WarmAt: now.Add(instance.WarmLeft),
	}
}

// takeDocument puts a newer document in force; an older one is never taken.
func (f *follower) takeDocument(reply directory.FollowReply) {
	if reply.Version <= f.request.Version {
		return
	}
	document, err := f.readDocument(reply.Document)
	if err != nil {
		f.gateway.logger.WithField("version", reply.Version).WithError(err).Error("document_not_read")
		return
	}
	f.request.Version = reply.Version
	f.gateway.install(document, f.node)
}

func (f *follower) readDocument(packed directory.PackedDocument) (*routing.Document, error) {
	text, err := packed.Text()
	if err != nil {
		return nil, err
	}
	return f.gateway.config.ParseDocument(text)
}
