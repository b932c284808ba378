package gateway

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/directory"
)

// Bounds of telling the directory of routers that failed.
const (
	// doubtBacklog bounds those that wait to be told; further ones are dropped, since
	// others that ask the same router tell of it as well.
	doubtBacklog = 64
	// doubtGathering is for how long doubts are put together into one message.
	doubtGathering = 10 * time.Millisecond
	doubtTimeout   = 250 * time.Millisecond
)

// tellDoubts tells the directory which routers failed, so that all others learn it before
// they have asked them.
func (f *follower) tellDoubts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-f.gateway.doubts:
			told := directory.Doubt{By: f.gateway.config.Name, Routers: f.gatherDoubts(ctx, first)}
			node := f.followed.Load()
			if node == nil || *node == "" {
				f.gateway.logger.WithField("routers", len(told.Routers)).Info("doubts_not_told")
				continue
			}
			if err := f.call(ctx, *node+directory.PathDoubt, told, doubtTimeout, nil); err != nil {
				f.gateway.logger.WithField("routers", len(told.Routers)).WithField("reason", err).Info("doubts_not_told")
			}
		}
	}
}

// gatherDoubts waits a moment for more.
func (f *follower) gatherDoubts(ctx context.Context, first string) []string {
	names := []string{first}
	moment := time.NewTimer(doubtGathering)
	defer moment.Stop()
	for {
		select {
		case name := <-f.gateway.doubts:
			names = append(names, name)
		case <-moment.C:
			return lo.Uniq(names)
		case <-ctx.Done():
			return names
		}
	}
}

// tellDoubt hands a router that failed to tellDoubts; it never waits.
func (g *Gateway) tellDoubt(name string) {
	select {
	case g.doubts <- name:
	default:
	}
}
