package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Bounds of the search for a directory node.
const (
	// searchTimeout bounds a call, which a node answers at once. It is short, since
	// an opening packet that met a machine without power is repeated only after a
	// second, while a new call meets the machine as soon as it is back.
	searchTimeout = 150 * time.Millisecond
	// searchStagger lies between the first calls to two nodes.
	searchStagger = 10 * time.Millisecond
	// firstSearchPause and longestSearchPause bound the pause after a node's
	// failure, which doubles with each.
	firstSearchPause   = 20 * time.Millisecond
	longestSearchPause = 50 * time.Millisecond
	// searchTime is after how long a search fails.
	searchTime = 2 * time.Second
	// staleChoice is for how long a search that found only nodes whose state is out of date
	// goes on for a better one.
	staleChoice = 200 * time.Millisecond
	// staleLookPause lies between two searches for a better node than the one followed.
	staleLookPause = 500 * time.Millisecond
)

var errNoNode = errors.New("no directory node answers")

// found is what a node said to a probe, or why it said nothing.
type found struct {
	node string
	// untold says that the node does not tell how old its state is, as nodes of an earlier
	// version; else its state held all that had been acknowledged at a time.
	untold bool
	at     time.Time
	err    error
}

// fresh reports whether the node's state is not out of date.
func (f found) fresh(now time.Time) bool { return f.untold || now.Sub(f.at) <= directory.StaleAfter }

// search asks all known nodes side by side until one answers whose state is not out of date,
// so that one that is silent, hears no leader yet or is behind delays nothing. Where all that
// answer are out of date, the newest is taken: an old list serves better than none. What is
// asked is answered with few bytes, since all may answer.
func (f *follower) search(ctx context.Context) (string, error) {
	searching, cancel := context.WithTimeout(ctx, searchTime)
	defer cancel()
	answers := f.askAll(searching, f.candidates(), true)
	best := found{err: errNoNode}
	failure := errNoNode
	var enough <-chan time.Time
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
			if enough == nil {
				enough = time.After(staleChoice)
			}
		case <-enough:
			return best.node, nil
		case <-searching.Done():
			return "", errors.CombineErrors(errNoNode, failure)
		}
	}
}

// askAll asks nodes side by side, each once or again and again until the context ends.
func (f *follower) askAll(ctx context.Context, nodes []string, again bool) <-chan found {
	answers := make(chan found)
	for position, node := range nodes {
		go f.ask(ctx, node, time.Duration(position)*searchStagger, again, answers)
	}
	return answers
}

// ask calls one node after a pause, once or again and again until the context ends.
func (f *follower) ask(ctx context.Context, node string, pause time.Duration, again bool, answers chan<- found) {
	for next := firstSearchPause; ; next = min(2*next, longestSearchPause) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		answer := f.probe(ctx, node)
		select {
		case <-ctx.Done():
			return
		case answers <- answer:
		}
		if !again {
			return
		}
		pause = next
	}
}

// probe asks a node whether it can be followed, and how old its state is.
func (f *follower) probe(ctx context.Context, node string) found {
	asked := steadyclock.Now()
	reply, err := f.post(ctx, node, directory.FollowRequest{Probe: true, Seeds: f.seedsToName()}, searchTimeout)
	if err == nil {
		err = f.checkGroup(reply.Group, node)
	}
	answer := found{node: node, err: err, untold: err == nil && reply.Fresh == nil}
	if reply.Fresh != nil {
		answer.at = asked.Add(*reply.Fresh)
	}
	return answer
}

// candidates are the nodes of the group as last told and the seeds, in an order of this
// router's own: routers spread over the nodes, and those that leave one over all others.
func (f *follower) candidates() []string {
	known := lo.Uniq(append(slices.Clone(f.nodes), f.gateway.seedList()...))
	slices.SortFunc(known, func(a, b string) int { return cmp.Compare(f.preference(a), f.preference(b)) })
	return known
}

// preference orders nodes for this router alone; less is better.
func (f *follower) preference(node string) uint64 {
	return xxhash.Sum64String(f.gateway.config.Name + "/" + node)
}

// leaveStale moves to another node if the state of the one that is followed is out of date and
// another one's is not.
func (f *follower) leaveStale(ctx context.Context, followed view) {
	now := steadyclock.Now()
	if followed.at.IsZero() || now.Sub(followed.at) <= directory.StaleAfter {
		f.staleTold = false
		return
	}
	if now.Before(f.nextLook) {
		return
	}
	f.nextLook = now.Add(staleLookPause)
	node, better := f.searchFresh(ctx)
	told := f.gateway.logger.WithFields(logrus.Fields{"directory": followed.node, "state_age": now.Sub(followed.at)})
	if !better {
		if !f.staleTold {
			told.Warn("directory_stale: no node has a newer state")
		}
		f.staleTold = true
		return
	}
	told.WithField("next", node).Warn("directory_left")
	f.node, f.moved, f.staleTold = node, true, false
}

// searchFresh returns a node whose state is not out of date, if one answers in time. Each is
// asked once: where all are out of date, all routers look.
func (f *follower) searchFresh(ctx context.Context) (node string, found bool) {
	searching, cancel := context.WithTimeout(ctx, staleChoice)
	defer cancel()
	answers := f.askAll(searching, lo.Without(f.candidates(), f.node), false)
	for {
		select {
		case answer := <-answers:
			if answer.err == nil && answer.fresh(steadyclock.Now()) {
				return answer.node, true
			}
		case <-searching.Done():
			return "", false
		}
	}
}
