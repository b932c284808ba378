package scale

import (
	"context"
	"time"

	"github.com/martenstage/martenstage/internal/wait"
)

// submitted is what became of the changes of a phase.
type submitted struct {
	accepted []Accepted
	// took holds the seconds from the first call to acceptance.
	took   []float64
	resent int
}

// submit sends changes at a rate for the duration of a phase. One that takes
// longer than the pause between two delays the next; the accepted rate shows
// it. The groups' first changes are spread over the pause.
func (g *group) submit(ctx context.Context, length time.Duration, perSecond float64) error {
	g.sent = submitted{}
	begin := time.Now()
	if perSecond == 0 {
		wait.For(ctx, length)
		return ctx.Err()
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	first := begin.Add(interval * time.Duration(g.region) / time.Duration(len(g.run.groups)))
	for next := first; next.Before(begin.Add(length)) && time.Since(begin) < length; next = next.Add(interval) {
		if !wait.For(ctx, time.Until(next)) {
			return ctx.Err()
		}
		g.text.Change()
		if err := g.applyUntilAnswered(ctx); err != nil {
			return err
		}
		g.watcher.want(g.revision)
		if time.Since(next) > interval {
			next = time.Now() // behind: what was missed is not made up for
		}
	}
	wait.For(ctx, time.Until(begin.Add(length)))
	return ctx.Err()
}

// applyUntilAnswered sends one change again until it is answered. It keeps its
// id, so it takes effect once.
func (g *group) applyUntilAnswered(ctx context.Context) error {
	// A region whose control is gone for a while accepts afterwards.
	const giveUpAfter, resendPause = cutTime + 20*time.Second, 100 * time.Millisecond
	begin := time.Now()
	for {
		one, err := g.apply(ctx)
		if err == nil {
			g.sent.accepted = append(g.sent.accepted, one)
			g.sent.took = append(g.sent.took, one.At.Sub(begin).Seconds())
			return nil
		}
		if time.Since(begin) > giveUpAfter || !wait.For(ctx, resendPause) {
			return err
		}
		g.sent.resent++
	}
}
