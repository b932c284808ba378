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
	// inForce asks control for the revision in force, 0 if it does not answer.
	inForce func(ctx context.Context) uint64
	pause   time.Duration

	mutex   sync.Mutex
	highest uint64
	// reached holds the moments at which the reported revision rose.
	reached []Accepted
}

func newWatcher(owner *group) *watcher {
	made := &watcher{inForce: owner.inForce, pause: inForcePoll}
	if len(owner.run.groups) > 1 {
		made.pause = inForcePollRegions
	}
	return made
}

// lastLookTimeout bounds the look after the context has ended.
const lastLookTimeout = 5 * time.Second

// want notes a revision to wait for.
func (w *watcher) want(revision uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.highest = max(w.highest, revision)
}

// run polls until the context ends, and looks once more then: what came into force
// since the last look would else count as never reported.
func (w *watcher) run(ctx context.Context) {
	for wait.For(ctx, w.pause) {
		w.look(ctx)
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastLookTimeout)
	defer cancel()
	w.look(last)
}

// look notes the revision in force if it has risen and a higher one is waited for.
func (w *watcher) look(ctx context.Context) {
	w.mutex.Lock()
	seen := uint64(0)
	if len(w.reached) > 0 {
		seen = w.reached[len(w.reached)-1].Revision
	}
	waiting := w.highest > seen
	w.mutex.Unlock()
	if !waiting {
		return
	}
	if now := w.inForce(ctx); now > seen {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.reached = append(w.reached, Accepted{Revision: now, At: time.Now()})
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
