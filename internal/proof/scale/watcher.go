package scale

import (
	"context"
	"sync"
	"time"

	"github.com/martenstage/martenstage/internal/wait"
)

// inForcePoll is the grain of the times at which control reports a revision in
// force. With several groups it is coarser, since each look takes processor time.
const (
	inForcePoll        = 50 * time.Millisecond
	inForcePollRegions = 200 * time.Millisecond
)

// watcher notes when control first reports each revision in force.
type watcher struct {
	owner *group

	mutex   sync.Mutex
	highest uint64
	// reached holds the moments at which the reported revision rose.
	reached []Accepted
}

func newWatcher(owner *group) *watcher { return &watcher{owner: owner} }

// want notes a revision to wait for.
func (w *watcher) want(revision uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.highest = max(w.highest, revision)
}

// run polls until the context ends.
func (w *watcher) run(ctx context.Context) {
	var last uint64
	pause := inForcePoll
	if len(w.owner.run.groups) > 1 {
		pause = inForcePollRegions
	}
	for wait.For(ctx, pause) {
		w.mutex.Lock()
		waiting := w.highest > last
		w.mutex.Unlock()
		if !waiting {
			continue
		}
		if now := w.owner.inForce(ctx); now > last {
			last = now
			w.mutex.Lock()
			w.reached = append(w.reached, Accepted{Revision: now, At: time.Now()})
			w.mutex.Unlock()
		}
	}
}

// delays returns the times from acceptance to the report, in seconds, and how
// many revisions were never reported.
func (w *watcher) delays(accepted []Accepted) (waited []float64, missing int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	index := 0
	for _, one := range accepted {
		for index < len(w.reached) && w.reached[index].Revision < one.Revision {
			index++
		}
		if index == len(w.reached) {
			missing++
			continue
		}
		waited = append(waited, max(0, w.reached[index].At.Sub(one.At).Seconds()))
	}
	return waited, missing
}
