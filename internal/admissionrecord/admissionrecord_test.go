package admissionrecord

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/proof/recordfile"
	"github.com/martenstage/martenstage/internal/records"
)

func at(second int64) time.Time { return time.Unix(second, 0).UTC() }

func TestAdmissionsAreSummedUpByRevision(t *testing.T) {
	summary := NewSummary("router-1")
	for _, second := range []int64{5, 3, 9} {
		summary.Admitted(at(second), 2)
	}
	summary.Admitted(at(1), 1)
	require.Equal(t, []records.Admission{
		{Node: "router-1", Revision: 1, At: at(1), Until: at(1), Count: 1},
		{Node: "router-1", Revision: 2, At: at(3), Until: at(9), Count: 3},
	}, summary.Take())
	require.Empty(t, summary.Take())
}

// TestFilesHoldWhatEveryRunAdmitted checks that a restarted router appends to its file, and
// that a planned stop loses no records.
func TestFilesHoldWhatEveryRunAdmitted(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, recordfile.PrefixAdmissions+"-1"+recordfile.Suffix)
	for run := range uint64(2) {
		file, err := Open(path, "router-1", logrus.New())
		require.NoError(t, err)
		running, end := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			file.Run(running)
		}()
		file.Admitted(at(int64(run)), run+1)
		end()
		<-ended
		require.NoError(t, file.Close())
	}
	var got []records.Admission
	require.NoError(t, recordfile.EachIn(folder, recordfile.PrefixAdmissions, func(admission records.Admission) { got = append(got, admission) }))
	require.Equal(t, []records.Admission{
		{Node: "router-1", Revision: 1, At: at(0), Until: at(0), Count: 1},
		{Node: "router-1", Revision: 2, At: at(1), Until: at(1), Count: 1},
	}, got)
}

func TestAFolderThatIsNotThereIsAnError(t *testing.T) {
	_, err := Open(filepath.Join(t.TempDir(), "none", "admissions.jsonl"), "router-1", logrus.New())
	require.ErrorContains(t, err, "admission record")
}
