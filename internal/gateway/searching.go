package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/directory"
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
)

var errNoNode = errors.New("no directory node answers")

// found is a node that can be followed, or why none can.
type found struct {
	node string
	err  error
}

// search asks all known nodes side by side until one answers, so that one that is
// silent, or hears no leader yet, delays nothing. What is asked is answered with
// few bytes, since all may answer.
func (f *follower) search(ctx context.Context) (string, error) {
	searching, cancel := context.WithTimeout(ctx, searchTime)
	defer cancel()
	candidates := f.candidates()
	answers := make(chan found, len(candidates))
	for position, node := range candidates {
		go func() { answers <- f.ask(searching, node, time.Duration(position)*searchStagger) }()
	}
	failure := errNoNode
	for range candidates {
		answer := <-answers
		if answer.err == nil {
			return answer.node, nil
		}
		failure = errors.CombineErrors(answer.err, failure)
	}
	return "", failure
}

// ask calls one node after a pause, again and again until it answers or the
// context ends.
func (f *follower) ask(ctx context.Context, node string, pause time.Duration) found {
	asked := found{node: node, err: errNoNode}
	probe := directory.FollowRequest{Probe: true}
	for next := firstSearchPause; ; next = min(2*next, longestSearchPause) {
		select {
		case <-ctx.Done():
			return asked
		case <-time.After(pause):
		}
		if _, asked.err = f.post(ctx, node, probe, searchTimeout); asked.err == nil {
			return asked
		}
		pause = next
	}
}

// candidates are the nodes of the group as last told and the seeds, beginning at
// a place of this router's own, so that routers spread over the nodes.
func (f *follower) candidates() []string {
	known := lo.Uniq(append(slices.Clone(f.nodes), f.gateway.seedList()...))
	if len(known) == 0 {
		return nil
	}
	first := int(f.gateway.seed % uint64(len(known)))
	return slices.Concat(known[first:], known[:first])
}
