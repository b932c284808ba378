package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/addressee"
	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/evacuation"
	"github.com/martenstage/martenstage/internal/liveness"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Bounds of following a directory node.
const (
	followWait    = 700 * time.Millisecond
	followTimeout = 1100 * time.Millisecond
	followSpacing = 20 * time.Millisecond
	// firstFollowTimeout bounds the first call to a node, which returns the node's complete
	// state.
	firstFollowTimeout = 1500 * time.Millisecond
	maxReplyBytes      = 64 << 20
	// maxDepartures bounds the remembered departures of each kind; the latest are kept.
	maxDepartures = 50_000
)

// follower keeps documents and servers up to date from the directory.
type follower struct {
	gateway *Gateway
	client  *http.Client
	request directory.FollowRequest
	// node is the followed directory node; empty while the router searches for one.
	node         string
	nodes        []string
	disconnected bool
	// switched is set when node has been replaced and the new node has not been called yet.
	switched bool
	// spread is set once the router has had the choice to leave the node that its seeds led to.
	spread bool
	// nextStaleSearch is when to search again for a better node while the state of the
	// followed one is stale. staleLogged is set once the log states that there is none.
	nextStaleSearch time.Time
	staleLogged     bool
	// staleSearches counts the searches since the state became stale.
	staleSearches int
	// followedNode is node, for other goroutines than the follower's.
	followedNode atomic.Pointer[string]
	// knownNodes are all nodes, the followed one first, for other goroutines than the
	// follower's.
	knownNodes atomic.Pointer[[]string]
	// routerCount is the last reported number of routers.
	routerCount int
	// evacuated tells which servers get no requests by order of an operator. evacuating is set
	// while that still changes with time.
	evacuated  evacuation.View
	evacuating bool
	// servers are the instances passed to the engine, by id. departed are those that are never
	// passed again.
	servers  map[string]registry.Instance
	departed *registry.Departures
	// fetch is the call for a complete table that is under way, or nil; its outcome arrives at
	// fetched. held is a table that lacks the changes since it was encoded, or nil.
	fetch   *tableFetch
	fetched chan fetchedTable
	held    *fetchedTable
	// lastReplyAt is when the previous reply was applied; zero if there is none.
	lastReplyAt time.Time
	// calls are those under way, also ones whose reply is no longer needed; run waits for them.
	calls sync.WaitGroup
	// refreshedAt is when a held call was last replaced by one with a new report.
	refreshedAt time.Time
}

func newFollower(gateway *Gateway) *follower {
	dialer := &net.Dialer{Timeout: searchTimeout, KeepAlive: -1, Control: liveness.LimitUnacknowledged(peerAckTimeout)}
	return &follower{
		gateway: gateway,
		client:  &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxResponseHeaderBytes: maxPeerHeadBytes}},
		request: directory.FollowRequest{SeparateTable: true},
		fetched: make(chan fetchedTable),
		servers: make(map[string]registry.Instance), departed: registry.NewDepartures(maxDepartures),
	}
}

func (f *follower) run(ctx context.Context) {
	defer f.calls.Wait()
	for ctx.Err() == nil {
		if err := f.follow(ctx); err != nil && ctx.Err() == nil {
			f.handleFollowFailure(err)
			f.node = ""
		}
		select {
		case <-ctx.Done():
		case <-time.After(followSpacing):
		}
	}
}

func (f *follower) handleFollowFailure(err error) {
	f.gateway.metrics.followFailures.Inc()
	if !f.disconnected {
		f.gateway.logger.WithFields(logrus.Fields{
			"directory": f.node, "reason": err, "since_reply": f.sinceLastReply(),
		}).Warn("directory_lost")
	}
	f.disconnected = true
	f.gateway.quotas.disconnect()
}

// follow requests an update from the followed node, after searching for a node if there is
// none, and applies the reply.
func (f *follower) follow(ctx context.Context) error {
	f.request.Router = directory.Router{
		Name: f.gateway.config.Name, Zone: f.gateway.config.Zone, Address: f.gateway.config.PeerAddress, Identifies: true,
		Stopping: f.gateway.stopping.Load(),
	}
	f.request.Seeds = f.seedsToSend()
	f.request.Calls = f.gateway.shardCalls.perSecond(steadyclock.Now())
	f.request.Load = f.gateway.loadReport(ctx)
	first := f.node == "" || f.switched
	if f.node == "" {
		node, err := f.search(ctx)
		if err != nil {
			return err
		}
		f.node = node
	}
	sentAt := steadyclock.Now()
	answer, err := f.requestUpdate(ctx, first)
	if err != nil {
		return err
	}
	reply := answer.reply
	if err := f.checkGroup(reply.Group, f.node); err != nil {
		return err
	}
	f.switched = false
	f.gateway.joinGroup(reply.Group, f.node)
	reconnected := f.disconnected
	if f.disconnected {
		f.disconnected = false
		f.gateway.logger.WithField("directory", f.node).WithField("source", reply.Source).Info("directory_regained")
	}
	node := f.node
	f.followedNode.Store(&node)
	// Before the reply is applied: a request that is served by its document may need a node.
	f.setNodesInOrder(node)
	if reply.Fresh == nil {
		f.gateway.confirmUnsupported()
	}
	newView := viewOf(f.node, sentAt, reply)
	f.applyEvacuations(reply, reconnected)
	f.applyReply(ctx, reply, newView)
	f.applyLoad(reply, answer.sentAt)
	f.updateView(newView)
	if reply.Fresh != nil && f.request.Version >= reply.Version {
		// The node received the call after sentAt, so that the confirmed time is a lower
		// bound.
		f.gateway.confirm(sentAt.Add(*reply.Fresh))
	}
	f.lastReplyAt = steadyclock.Now()
	f.setNodesInOrder(node)
	f.leaveStaleNode(ctx, newView)
	return nil
}

// requestUpdate requests an update from the followed node. The first call to a node returns at
// once. A complete table that arrives meanwhile is completed, and servers that come into trouble
// meanwhile are reported, by a call that starts at once.
func (f *follower) requestUpdate(ctx context.Context, first bool) (followAnswer, error) {
	timeout := followTimeout
	f.request.Wait = f.gateway.load.followWait(steadyclock.Now(), f.routerCount)
	switch {
	case first:
		f.request.Wait, timeout = 0, firstFollowTimeout
	case f.evacuating:
		f.request.Wait = min(f.request.Wait, evacuationInterval)
	}
	for {
		answer, answered := f.awaitAnswer(ctx, timeout)
		if answered {
			return answer, answer.err
		}
		f.request.Wait = 0
	}
}

// followAnswer is the outcome of a follow request that was sent at sentAt.
type followAnswer struct {
	reply  directory.FollowReply
	err    error
	sentAt time.Time
}

// awaitAnswer sends the follow request and waits for its outcome. It returns false once a
// complete table has arrived or servers have come into trouble.
func (f *follower) awaitAnswer(ctx context.Context, timeout time.Duration) (answer followAnswer, answered bool) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan followAnswer, 1)
	node, request, sentAt := f.node, f.request, steadyclock.Now()
	f.calls.Go(func() {
		reply, err := f.post(callCtx, node, request, timeout)
		answers <- followAnswer{reply: reply, err: err, sentAt: sentAt}
	})
	observe := time.NewTicker(loadInterval(f.routerCount))
	defer observe.Stop()
	for {
		select {
		case answer = <-answers:
			return answer, true
		case <-observe.C:
			if f.refreshReport(ctx) {
				return followAnswer{}, false
			}
		case fetched := <-f.fetched:
			if f.holdTable(fetched) {
				return followAnswer{}, false
			}
		}
	}
}

// post sends a follow request to a node.
func (f *follower) post(ctx context.Context, node string, request directory.FollowRequest, timeout time.Duration) (directory.FollowReply, error) {
	var reply directory.FollowReply
	err := f.call(ctx, node+directory.PathFollow, request, timeout, &reply)
	return reply, err
}

// call posts a message to a target, which is a node's address and path, and decodes the reply
// into reply unless it is nil.
func (f *follower) call(ctx context.Context, target string, message any, timeout time.Duration, reply any) error {
	_, err := f.callWithHeader(ctx, target, message, timeout, reply)
	return err
}

// callWithHeader is call that returns the header of the reply.
func (f *follower) callWithHeader(ctx context.Context, target string, message any, timeout time.Duration, reply any) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	expected := addressee.Identity{Group: f.gateway.group()}
	addressee.SetHeaders(request.Header, expected)
	response, err := f.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := addressee.CheckResponse(response, expected, false); err != nil {
		f.gateway.recordMisdirectedAnswer(err)
		return nil, errors.Wrap(err, target)
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	switch {
	case err != nil:
		return nil, err
	case response.StatusCode != http.StatusOK:
		return nil, errors.Newf("%d: %s", response.StatusCode, bytes.TrimSpace(answer))
	case reply == nil:
		return response.Header, nil
	}
	return response.Header, json.Unmarshal(answer, reply)
}

// maxNodesTried is how many nodes a report is sent to, one after the other, until one accepts
// it.
const maxNodesTried = 2

// callAnyNode posts a message to the followed node or, if that fails, to another one.
func (f *follower) callAnyNode(ctx context.Context, path string, message any, timeout time.Duration, reply any) (err error) {
	err = errNoNode
	for _, node := range lo.Slice(f.nodesInOrder(), 0, maxNodesTried) {
		if err = f.call(ctx, node+path, message, timeout, reply); err == nil {
			return nil
		}
	}
	return err
}

func (f *follower) applyReply(ctx context.Context, reply directory.FollowReply, from view) {
	f.applyQuarantine(reply)
	f.applyMetered(reply)
	f.applyRollouts(reply)
	f.logDepartures(reply.Departed, from)
	f.applyTableChanges(ctx, reply)
	f.applyDocument(reply)
	if len(reply.Nodes) > 0 {
		f.nodes = reply.Nodes
	}
	f.applyRouters(reply)
	f.request.RoutersDigest, f.request.AbsentDigest = reply.RoutersDigest, reply.AbsentDigest
	f.request.Source, f.request.Departures = reply.Source, reply.Departures
}

// applyRouters applies the number of routers, the list of routers and which of them are
// absent, and recounts the gatherers of shards.
func (f *follower) applyRouters(reply directory.FollowReply) {
	gateway := f.gateway
	if reply.RoutersDigest != f.request.RoutersDigest {
		gateway.peers.setRouters(reply.Routers)
		gateway.logger.WithField("routers", len(reply.Routers)).Info("routers_changed")
	}
	if reply.AbsentDigest != f.request.AbsentDigest {
		gateway.peers.setAbsent(reply.Absent)
		gateway.logger.WithField("absent", len(reply.Absent)).Info("absent_routers_changed")
	}
	gateway.loop.events <- scatter.RoutersChanged{Count: reply.RouterCount, Rank: gateway.peers.rank()}
	gateway.peers.setCalls(reply.Calls)
	if reply.RouterCount != f.routerCount {
		f.routerCount = reply.RouterCount
		gateway.quotas.setRouters(reply.RouterCount)
		gateway.peers.invalidateCount()
	}
	table := gateway.table.Load()
	if table == nil {
		return
	}
	if counted, changed := gateway.peers.countGatherers(table.ShardLists(), reply.RouterCount); changed {
		gateway.loop.events <- scatter.GatherersChanged{Gatherers: counted}
		gateway.logGatherers(reply.Calls, counted)
	}
}

// applyDocument installs a newer document; an older one is never installed.
func (f *follower) applyDocument(reply directory.FollowReply) {
	if reply.Version <= f.request.Version {
		return
	}
	document, err := f.readDocument(reply.Document)
	if err != nil {
		f.gateway.logger.WithField("version", reply.Version).WithError(err).Error("document_not_read")
		return
	}
	f.request.Version = reply.Version
	f.gateway.install(document, f.node, f.sinceLastReply())
}

// sinceLastReply returns the time since the previous reply was applied, or since the start if
// there is none: a document that arrives late was behind this gap.
func (f *follower) sinceLastReply() time.Duration {
	if f.lastReplyAt.IsZero() {
		return steadyclock.Since(f.gateway.started)
	}
	return steadyclock.Since(f.lastReplyAt)
}

func (f *follower) readDocument(packed directory.PackedDocument) (*routing.Document, error) {
	text, err := packed.Text()
	if err != nil {
		return nil, err
	}
	return f.gateway.config.ParseDocument(text)
}
