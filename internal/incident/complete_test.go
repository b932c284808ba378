package incident

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/journal"
)

// kindsOfJournal reads the kinds from the source of package journal.
func kindsOfJournal(t *testing.T) (kinds []journal.Kind) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../journal/event.go", nil, 0)
	require.NoError(t, err)
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, "Kind") {
			return true
		}
		value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		require.NoError(t, err)
		kinds = append(kinds, journal.Kind(value))
		return true
	})
	require.Contains(t, kinds, journal.KindReplicaEjected)
	return kinds
}

// TestEveryKindIsInTheReport gives the report one event of each kind. A kind
// that only ends something shows by ending it.
func TestEveryKindIsInTheReport(t *testing.T) {
	endings := []journal.Kind{
		journal.KindReplicaReturned, journal.KindShardCovered, journal.KindLeaseGained, journal.KindVoterReturned,
		journal.KindDrainDone, journal.KindRegionReachable,
	}
	now := time.Unix(1_700_000_000, 0)
	for _, kind := range kindsOfJournal(t) {
		event := journal.Event{Time: now, Kind: kind, Source: "router-1", Address: "10.0.0.1:7000", Service: "s", Shard: "a"}
		report := New([]journal.Event{event}, Request{Since: now.Add(-time.Hour), Until: now.Add(time.Hour)})
		shown := len(report.Failures) + len(report.Drains) + len(report.Moments)
		if slices.Contains(endings, kind) {
			require.Zero(t, shown, kind)
			continue
		}
		require.Equal(t, 1, shown, kind)
	}
}

// TestTasksNamePagesThatExist looks for the operators' pages.
func TestTasksNamePagesThatExist(t *testing.T) {
	for _, known := range advices {
		_, err := os.Stat(filepath.Join("../../", operatorsPages, known.page))
		require.NoError(t, err, known.class)
	}
}
