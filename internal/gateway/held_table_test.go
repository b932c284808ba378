package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

func listed(id string, state registry.State) registry.Instance {
	return registry.Instance{ID: id, Service: "s", Address: id + ":1", State: state, WarmLeft: time.Second}
}

// TestServersGoMissingWhileATableIsApplied guards against a complete table that removes servers,
// or brings back earlier states of them, which changed after the table was encoded.
func TestServersGoMissingWhileATableIsApplied(t *testing.T) {
	fetched := fetchedTable{
		source: "a", age: 600 * time.Millisecond, receivedAt: steadyclock.Now(),
		table: directory.RouterTable{Source: "a", Settled: true, Instances: []registry.Instance{listed("i1", registry.Ready), listed("i2", registry.Ready)}},
	}
	update := fetched.updatedBy([]registry.Instance{listed("i2", registry.Missing), listed("i3", registry.Ready)})
	require.True(t, update.complete)
	byID := lo.KeyBy(update.instances, func(instance registry.Instance) string { return instance.ID })
	require.Len(t, update.instances, 3)
	require.Equal(t, registry.Missing, byID["i2"].State)
	require.Contains(t, byID, "i3")
	require.LessOrEqual(t, byID["i1"].WarmLeft, 400*time.Millisecond, "counted from when the table was encoded")
	require.Equal(t, time.Second, byID["i3"].WarmLeft)
}

// TestTableOfAnotherNodeIsDropped guards against a table of a node that is no longer followed,
// or changes that are applied to a table that never was.
func TestTableOfAnotherNodeIsDropped(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f := New(Config{Name: "r0"}, Environment{Logger: logger, Registerer: prometheus.NewRegistry()}).follower
	f.request.Source, f.request.TableSource, f.request.Revision = "b", "b", 7
	f.fetch = &tableFetch{source: "a", cancel: func() {}}
	require.False(t, f.holdTable(fetchedTable{source: "a", table: directory.RouterTable{Source: "a", Revision: 9}}))
	require.Equal(t, "b", f.request.TableSource)
	require.EqualValues(t, 7, f.request.Revision)

	f.fetch = &tableFetch{source: "b", cancel: func() {}}
	require.True(t, f.holdTable(fetchedTable{source: "b", table: directory.RouterTable{Source: "b", Revision: 9}}))
	f.fetch = &tableFetch{source: "c", cancel: func() {}}
	f.applyTableChanges(t.Context(), directory.FollowReply{Source: "c", TableOmitted: true})
	require.Empty(t, f.request.TableSource, "the table of b was not applied")
	require.Nil(t, f.held)
}
