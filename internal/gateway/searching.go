package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/wait"
)

// Bounds of the search for a directory node.
const (
	// searchTimeout bounds a probe, which a node answers at once. It is short, since a SYN
	// packet to a machine without power is resent only after a second, while a new call
	// reaches the machine as soon as it is up again.
	searchTimeout = 150 * time.Millisecond
	// searchStagger is the delay between the first probes of two nodes.
	searchStagger = 10 * time.Millisecond
	// maxSearchPause bounds the pause between two probes of a search, whatever the number of
	// nodes. After each node was probed once, it doubles with each probe.
	maxSearchPause = 100 * time.Millisecond
	// maxSearchTime is the time after which a search fails.
	maxSearchTime = 1500 * time.Millisecond
	// freshSearchTime is how long a search that has found only nodes with stale state waits
	// for a better one.
	freshSearchTime = 200 * time.Millisecond
	// staleSearchPause is the pause after the first search for a better node than the followed
	// one. It grows by as much with each further search, up to maxStaleSearchPause.
	staleSearchPause    = 500 * time.Millisecond
	maxStaleSearchPause = time.Second
	// staleSearchNodes is how many nodes such a search probes. Each search takes the next ones.
	staleSearchNodes = 5
)

var errNoNode = errors.New("no directory node is reachable")

// probeResult is a node's reply to a probe, or the error.
type probeResult struct {
	node string
	// ageUnknown is set if the node does not report the age of its state, as nodes of an
	// earlier version. Otherwise at is when its state was known to contain everything
	// acknowledged.
	ageUnknown bool
	at         time.Time
	err        error
}

// fresh reports whether the node's state is not stale.
func (f probeResult) fresh(now time.Time) bool {
	return f.ageUnknown || now.Sub(f.at) <= directory.StaleAfter
}

// search probes all known nodes in turn, without waiting for replies, until one replies whose
// state is not stale, so that a node that does not respond, has no leader yet or lags behind
// delays nothing. If all nodes that reply are stale it chooses the newest, because an old list
// of servers is better than none. Replies to probes are small, since all nodes may reply.
func (f *follower) search(ctx context.Context) (string, error) {
	searchCtx, cancel := context.WithTimeout(ctx, maxSearchTime)
	defer cancel()
	answers := f.probeInTurn(searchCtx, f.candidates())
	best := probeResult{err: errNoNode}
	failure := errNoNode
	var settle <-chan time.Time
	for {
		select {
		case answer := <-answers:
			switch {
			case answer.err != nil:
				failure = errors.Wrap(answer.err, answer.node)
				continue
			case answer.fresh(steadyclock.Now()):
				return answer.node, nil
			case best.err != nil || answer.at.After(best.at):
				best = answer
			}
			if settle == nil {
				settle = time.After(freshSearchTime)
			}
		case <-settle:
			return best.node, nil
		case <-searchCtx.Done():
			return "", errors.CombineErrors(errNoNode, failure)
		}
	}
}

// probeInTurn probes nodes one after the other until the context ends, without waiting for
// replies. All routers may search at the same time, so the rate of probes is bounded.
func (f *follower) probeInTurn(ctx context.Context, nodes []string) <-chan probeResult {
	answers := make(chan probeResult)
	f.calls.Go(func() {
		pause := searchStagger
		for count := 0; len(nodes) > 0; count++ {
			f.calls.Go(func() { f.probeOnce(ctx, nodes[count%len(nodes)], answers) })
			if count >= len(nodes) {
				pause = min(2*pause, maxSearchPause)
			}
			if !wait.For(ctx, jittered(pause)) {
				return
			}
		}
	})
	return answers
}

// jittered returns a time between half and one and a half of a pause, so that routers that
// begin a search together do not probe a node together.
func jittered(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause)
}

// probeOnce probes a node and reports the result unless the context has ended.
func (f *follower) probeOnce(ctx context.Context, node string, answers chan<- probeResult) {
	answer := f.probe(ctx, node)
	select {
	case <-ctx.Done():
	case answers <- answer:
	}
}

// probe asks a node whether it can be followed, and how old its state is.
func (f *follower) probe(ctx context.Context, node string) probeResult {
	sentAt := steadyclock.Now()
	reply, err := f.post(ctx, node, directory.FollowRequest{Probe: true, Seeds: f.seedsToSend()}, searchTimeout)
	if err == nil {
		err = f.checkGroup(reply.Group, node)
	}
	answer := probeResult{node: node, err: err, ageUnknown: err == nil && reply.Fresh == nil}
	if reply.Fresh != nil {
		answer.at = sentAt.Add(*reply.Fresh)
	}
	return answer
}

// candidates returns the nodes last reported and the seeds, in an order specific to this
// router. Routers thus spread over the nodes, and those of a failed node over all others.
func (f *follower) candidates() []string {
	known := lo.Uniq(append(slices.Clone(f.nodes), f.gateway.seedList()...))
	slices.SortFunc(known, func(a, b string) int { return cmp.Compare(f.preference(a), f.preference(b)) })
	return known
}

// preference is the sort key of a node for this router; lower is better.
func (f *follower) preference(node string) uint64 {
	return xxhash.Sum64String(f.gateway.config.Name + "/" + node)
}

// leaveForPreferred leaves the node that the seeds led to, once and before the router has a table
// of servers, if another of the reported nodes is the first in its order. Otherwise all routers
// would stay with the few nodes that are seeds.
func (f *follower) leaveForPreferred(nodes []string) bool {
	if f.spread || f.gateway.knowsServers() || len(nodes) == 0 {
		return false
	}
	f.spread = true
	preferred := lo.MinBy(nodes, func(a, b string) bool { return f.preference(a) < f.preference(b) })
	if preferred == f.node {
		return false
	}
	f.node = ""
	return true
}

// leaveStaleNode switches to another node if the state of the followed one is stale and that
// of the other is not.
func (f *follower) leaveStaleNode(ctx context.Context, followed view) {
	now := steadyclock.Now()
	if followed.at.IsZero() || now.Sub(followed.at) <= directory.StaleAfter {
		f.staleLogged, f.staleSearches = false, 0
		return
	}
	if now.Before(f.nextStaleSearch) {
		return
	}
	f.nextStaleSearch = now.Add(min(time.Duration(f.staleSearches+1)*staleSearchPause, maxStaleSearchPause))
	node, better := f.searchFresh(ctx)
	logger := f.gateway.logger.WithFields(logrus.Fields{"directory": followed.node, "state_age": now.Sub(followed.at)})
	if !better {
		if !f.staleLogged {
			logger.Warn("directory_stale: no node has a newer state")
		}
		f.staleLogged = true
		return
	}
	logger.WithField("next", node).Warn("directory_left")
	f.node, f.switched, f.staleLogged = node, true, false
}

// searchFresh returns a node whose state is not stale, if one replies in time. It probes a few
// nodes, once each, since all routers search when all nodes are stale.
func (f *follower) searchFresh(ctx context.Context) (node string, found bool) {
	searchCtx, cancel := context.WithTimeout(ctx, freshSearchTime)
	defer cancel()
	nodes := nextNodes(lo.Without(f.candidates(), f.node), f.staleSearches)
	f.staleSearches++
	answers := make(chan probeResult)
	for _, node := range nodes {
		f.calls.Go(func() { f.probeOnce(searchCtx, node, answers) })
	}
	for range nodes {
		select {
		case answer := <-answers:
			if answer.err == nil && answer.fresh(steadyclock.Now()) {
				return answer.node, true
			}
		case <-searchCtx.Done():
			return "", false
		}
	}
	return "", false
}

// nextNodes returns the nodes that a search for a better node probes, given the number of
// searches before it.
func nextNodes(nodes []string, searches int) []string {
	if len(nodes) <= staleSearchNodes {
		return nodes
	}
	start := searches * staleSearchNodes % len(nodes)
	return append(slices.Clone(nodes[start:]), nodes[:start]...)[:staleSearchNodes]
}
