package gateway

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/directory"
)

// Bounds of reporting failed routers to the directory.
const (
	// suspectBacklog bounds the queued reports; further ones are dropped, since other routers
	// that call the same router report it as well.
	suspectBacklog = 64
	// suspectBatchDelay is how long suspects are collected for one message.
	suspectBatchDelay    = 10 * time.Millisecond
	suspectReportTimeout = 250 * time.Millisecond
)

// reportSuspects reports failed routers to the directory, so that other routers stop calling
// them before they fail there too.
func (f *follower) reportSuspects(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-f.gateway.suspects:
			report := directory.SuspectReport{By: f.gateway.config.Name, Routers: f.batchSuspects(ctx, first)}
			node := f.followedNode.Load()
			if node == nil || *node == "" {
				f.gateway.logger.WithField("routers", len(report.Routers)).Info("doubts_not_told")
				continue
			}
			if err := f.call(ctx, *node+directory.PathSuspect, report, suspectReportTimeout, nil); err != nil {
				f.gateway.logger.WithField("routers", len(report.Routers)).WithField("reason", err).Info("doubts_not_told")
			}
		}
	}
}

// batchSuspects collects further suspects for suspectBatchDelay.
func (f *follower) batchSuspects(ctx context.Context, first string) []string {
	names := []string{first}
	timer := time.NewTimer(suspectBatchDelay)
	defer timer.Stop()
	for {
		select {
		case name := <-f.gateway.suspects:
			names = append(names, name)
		case <-timer.C:
			return lo.Uniq(names)
		case <-ctx.Done():
			return names
		}
	}
}

// reportSuspect queues a failed router for reportSuspects. It never blocks.
func (g *Gateway) reportSuspect(name string) {
	select {
	case g.suspects <- name:
	default:
	}
}
