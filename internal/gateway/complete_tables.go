package gateway

import (
	"context"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// tableTimeout bounds a call for a complete table. Other updates do not wait for it, and a node
// spends little on a call that is repeated.
const tableTimeout = 5 * time.Second

// tableFetch is a call for a node's complete table that is under way.
type tableFetch struct {
	source string
	cancel context.CancelFunc
}

// fetchedTable is the outcome of a call for a node's complete table.
type fetchedTable struct {
	node, source string
	table        directory.RouterTable
	// age is the time since the table was encoded, at receivedAt.
	age, took  time.Duration
	receivedAt time.Time
	err        error
}

// requestTable starts a call for the followed node's complete table, unless one is under way.
// The outcome arrives at f.fetched.
func (f *follower) requestTable(ctx context.Context, source string) {
	if f.fetch != nil {
		if f.fetch.source == source {
			return
		}
		f.fetch.cancel()
	}
	fetchCtx, cancel := context.WithCancel(ctx)
	f.fetch = &tableFetch{source: source, cancel: cancel}
	node := f.node
	go func() {
		fetched := f.fetchTable(fetchCtx, node)
		fetched.source = source
		select {
		case f.fetched <- fetched:
		case <-fetchCtx.Done():
		}
	}()
}

// fetchTable calls a node for its complete table.
func (f *follower) fetchTable(ctx context.Context, node string) fetchedTable {
	start := steadyclock.Now()
	fetched := fetchedTable{node: node}
	header, err := f.callWithHeader(ctx, node+directory.PathTable, struct{}{}, tableTimeout, &fetched.table)
	if err == nil {
		fetched.age, err = directory.TableAge(header)
	}
	fetched.receivedAt = steadyclock.Now()
	fetched.took, fetched.err = fetched.receivedAt.Sub(start), err
	return fetched
}

// holdTable keeps a complete table until the node's next reply, which has the changes since it
// was encoded: without them servers that are known already would be missing for a moment. It
// returns false if there is no table to keep; the next reply then starts another call.
func (f *follower) holdTable(fetched fetchedTable) bool {
	if f.fetch == nil || f.fetch.source != fetched.source {
		return false
	}
	f.fetch.cancel()
	f.fetch = nil
	logger := f.gateway.logger.WithFields(logrus.Fields{"directory": fetched.node, "source": fetched.source, "took": fetched.took})
	if fetched.err != nil {
		logger.WithField("reason", fetched.err).Warn("table_not_fetched")
		return false
	}
	if fetched.table.Source != f.request.Source {
		logger.Info("table_dropped: the directory node has changed")
		return false
	}
	logger.WithField("servers", len(fetched.table.Instances)).WithField("age", fetched.age).Info("table_fetched")
	f.held = &fetched
	f.request.TableSource, f.request.Revision = fetched.table.Source, fetched.table.Revision
	return true
}

// applyTableChanges applies the changes of servers in a reply, or starts a call for the
// complete table if the router holds none of the node.
func (f *follower) applyTableChanges(ctx context.Context, reply directory.FollowReply) {
	update := serverUpdate{instances: reply.Instances, complete: reply.Complete && reply.Settled}
	if held := f.held; held != nil {
		f.held = nil
		if reply.Source == held.source {
			update = held.updatedBy(reply.Instances)
		} else {
			f.request.TableSource, f.request.Revision = "", 0
		}
	}
	update.removed = f.applyDepartures(reply)
	f.applyServers(update)
	if reply.TableOmitted {
		if !f.leaveForPreferred(reply.Nodes) {
			f.requestTable(ctx, reply.Source)
		}
		return
	}
	f.request.TableSource, f.request.Revision = reply.Source, reply.Revision
	if !f.gateway.knowsServers() {
		close(f.gateway.serversKnown)
	}
}

// updatedBy returns the table with the changes since it was encoded.
func (t *fetchedTable) updatedBy(changes []registry.Instance) serverUpdate {
	changed := lo.SliceToMap(changes, func(instance registry.Instance) (string, bool) { return instance.ID, true })
	age := t.age + steadyclock.Since(t.receivedAt)
	instances := make([]registry.Instance, 0, len(t.table.Instances)+len(changes))
	for _, instance := range t.table.Instances {
		if changed[instance.ID] {
			continue
		}
		instance.WarmLeft = max(0, instance.WarmLeft-age)
		instances = append(instances, instance)
	}
	return serverUpdate{instances: append(instances, changes...), complete: t.table.Settled}
}
