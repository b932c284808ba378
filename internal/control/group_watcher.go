package control

import (
	"context"
	"fmt"
	"time"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/voter"
)

// groupWatchInterval is how often the group's state is compared with what was last
// recorded.
const groupWatchInterval = 200 * time.Millisecond

// Thresholds of slow disk reports.
const (
	// slowSyncThreshold is how long a write may wait for its sync before the disk
	// counts as slow. It is longer than a leader may stay silent.
	slowSyncThreshold = time.Second
	// slowSyncReportInterval is the minimum time between two slow disk events.
	slowSyncReportInterval = time.Minute
)

// groupWatcher records events of the voter group: a new leader, voters lost and
// returned, a slow or failed disk.
type groupWatcher struct {
	record         func(journal.Event)
	status         func() voter.Status
	term           uint64
	lost           map[uint64]bool
	diskFailed     bool
	slowReportedAt time.Time
}

func newGroupWatcher(server *Server) *groupWatcher {
	return &groupWatcher{record: server.recorder.Record, status: server.voter.Status, lost: map[uint64]bool{}}
}

func (w *groupWatcher) run(ctx context.Context) {
	ticker := time.NewTicker(groupWatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.observe(w.status())
		}
	}
}

func (w *groupWatcher) observe(status voter.Status) {
	w.observeDisk(status)
	if status.Role != consensus.Leader {
		w.term = 0
		return
	}
	if w.term != status.Term {
		w.term = status.Term
		clear(w.lost)
		w.record(journal.Event{
			// The term is the event's id, so the event is stored once whichever voter
			// records it.
			ID:     fmt.Sprintf("control/term/%d", status.Term),
			Kind:   journal.KindLeaderChanged,
			Detail: fmt.Sprintf("voter %d leads in term %d", status.ID, status.Term),
		})
		return
	}
	for _, member := range status.Members {
		w.observeMember(status, member)
	}
}

func (w *groupWatcher) observeMember(status voter.Status, member consensus.MemberStatus) {
	lost := !member.Active && member.ID != status.ID
	if lost == w.lost[member.ID] {
		return
	}
	w.lost[member.ID] = lost
	kind, word := journal.KindVoterReturned, "answers again"
	if lost {
		kind, word = journal.KindVoterLost, "does not answer"
	}
	w.record(journal.Event{Kind: kind, Address: member.Address, Detail: fmt.Sprintf("voter %d %s", member.ID, word)})
}

func (w *groupWatcher) observeDisk(status voter.Status) {
	w.observeSlowDisk(status)
	if status.DiskError == nil || w.diskFailed {
		return
	}
	w.diskFailed = true
	w.record(journal.Event{
		Kind:   journal.KindDiskFailed,
		Detail: fmt.Sprintf("voter %d votes no more until it is restarted: %v", status.ID, status.DiskError),
	})
}

func (w *groupWatcher) observeSlowDisk(status voter.Status) {
	if status.UnsyncedFor < slowSyncThreshold || time.Since(w.slowReportedAt) < slowSyncReportInterval {
		return
	}
	w.slowReportedAt = time.Now()
	w.record(journal.Event{
		Kind:   journal.KindDiskSlow,
		Detail: fmt.Sprintf("a write of voter %d has waited longer than %s for the disk", status.ID, slowSyncThreshold),
	})
}
