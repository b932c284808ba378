package spool

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
)

// fakeJournal stores each id once and can fail deliveries or lose responses.
type fakeJournal struct {
	mutex sync.Mutex
	ids   map[string]bool
	order []*v1.Event
	// refuse makes deliveries fail before the events are stored, loseResponse after.
	refuse, loseResponse bool
}

func newFakeJournal() *fakeJournal { return &fakeJournal{ids: make(map[string]bool)} }

func (r *fakeJournal) deliver(_ context.Context, events []*v1.Event) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.refuse {
		return errors.New("no quorum")
	}
	for _, event := range events {
		if !r.ids[event.GetId()] {
			r.ids[event.GetId()] = true
			r.order = append(r.order, event)
		}
	}
	if r.loseResponse {
		r.loseResponse = false
		return errors.New("the response was lost")
	}
	return nil
}

// details returns the details of the stored events, except the spool's own reports of a
// slow disk.
func (r *fakeJournal) details() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	recorded := lo.Reject(r.order, func(event *v1.Event, _ int) bool { return event.GetKind() == string(journal.KindDiskSlow) })
	return lo.Map(recorded, func(event *v1.Event, _ int) string { return event.GetDetail() })
}

func open(t *testing.T, folder string, boot uint64, limit int, deliver Deliver) *Spool {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	spool, err := Open(
		Config{Folder: folder, Source: "router-1", Boot: boot, Limit: limit},
		Deps{Deliver: deliver, Logger: logger, Registerer: prometheus.NewRegistry()})
	require.NoError(t, err)
	return spool
}

// run runs a spool and returns a function that stops and closes it.
func run(t *testing.T, spool *Spool) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); spool.Run(ctx) }()
	return func() {
		cancel()
		<-done
		require.NoError(t, spool.Close())
	}
}

func recordNumbered(spool *Spool, from, to int) (details []string) {
	for number := from; number < to; number++ {
		detail := strconv.Itoa(number)
		spool.Record(journal.Event{Kind: journal.KindReplicaEjected, Detail: detail})
		details = append(details, detail)
	}
	return details
}

func TestEventsSurviveARestartAndALostAnswer(t *testing.T) {
	folder := t.TempDir()
	control := newFakeJournal()
	control.refuse = true
	spool := open(t, folder, 1, 0, control.deliver)
	stop := run(t, spool)
	expected := recordNumbered(spool, 0, 300)
	require.NoError(t, spool.Flush(t.Context()), "stored on disk, not delivered")
	stop()

	control.refuse, control.loseResponse = false, true
	spool = open(t, folder, 2, 0, control.deliver)
	require.False(t, spool.store.crashed, "the previous incarnation stopped cleanly")
	stop = run(t, spool)
	expected = append(expected, recordNumbered(spool, 300, 400)...)
	require.Eventually(t, func() bool { return len(control.details()) == len(expected) }, 10*time.Second, time.Millisecond)
	require.NoError(t, spool.Flush(t.Context()))
	stop()
	require.Equal(t, expected, control.details())
}

func TestFullSpoolDropsOldestAndSaysSo(t *testing.T) {
	const limit, excess = 50, 30
	control := newFakeJournal()
	spool := open(t, t.TempDir(), 1, limit, control.deliver)
	expected := recordNumbered(spool, 0, limit+excess)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	spool.runWriter(ended) // stores all queued events while no delivery is in flight
	stop := run(t, spool)
	require.Eventually(t, func() bool { return len(control.details()) == limit+1 }, 10*time.Second, time.Millisecond)
	stop()
	require.Equal(t, expected[excess:], control.details()[:limit])
	loss := control.order[limit]
	require.Equal(t, string(journal.KindEventsDropped), loss.GetKind())
	require.EqualValues(t, excess, loss.GetCount())
}

func TestEqualEventsAreMerged(t *testing.T) {
	control := newFakeJournal()
	spool := open(t, t.TempDir(), 1, 0, control.deliver)
	begun := time.Unix(1_000, 0)
	for second := range 5 {
		spool.Record(journal.Event{Kind: journal.KindBadEcho, Address: "127.0.0.1:1", Time: begun.Add(time.Duration(second) * time.Second)})
	}
	stop := run(t, spool)
	require.NoError(t, spool.Flush(t.Context()))
	stop()
	require.Len(t, control.order, 1)
	require.EqualValues(t, 5, control.order[0].GetCount())
	require.Equal(t, begun.Add(4*time.Second).UTC(), control.order[0].GetLastTime().AsTime())
}

// TestEqualEventsAreMergedOnDisk records equal events while the journal is unavailable.
// Those of one window must be merged, and none may be merged into a batch that the
// journal may already have.
func TestEqualEventsAreMergedOnDisk(t *testing.T) {
	control := newFakeJournal()
	control.refuse = true
	spool := open(t, t.TempDir(), 1, 0, control.deliver)
	begun := time.Unix(10_000, 0)
	record := func(after time.Duration) {
		spool.Record(journal.Event{Kind: journal.KindReplicaEjected, Address: "127.0.0.1:1", Time: begun.Add(after)})
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		spool.runWriter(ended) // one transaction per event
	}
	const second = time.Second
	for number := range 5 {
		record(time.Duration(number) * second)
	}
	record(minWindow) // outside the window
	_, err := spool.deliverOldest(t.Context())
	require.Error(t, err)
	record(minWindow + second) // the attempted delivery may have reached the journal
	record(minWindow + 2*second)
	control.refuse = false
	for range 2 {
		_, err := spool.deliverOldest(t.Context())
		require.NoError(t, err)
	}
	require.NoError(t, spool.Close())
	counts := lo.Map(control.order, func(event *v1.Event, _ int) uint64 { return event.GetCount() })
	require.Equal(t, []uint64{5, 1, 2}, counts)
	require.Equal(t, begun.Add(4*second).UTC(), control.order[0].GetLastTime().AsTime())
}

// TestEventsAreDeliveredDespiteFailedDisk closes the spool's file to make writes fail.
// Events must still be delivered, and one of them must report the failed disk.
func TestEventsAreDeliveredDespiteFailedDisk(t *testing.T) {
	control := newFakeJournal()
	spool := open(t, t.TempDir(), 1, 0, control.deliver)
	require.NoError(t, spool.store.close())
	ended, cancel := context.WithCancel(t.Context())
	defer cancel()
	for number := range 2 {
		recordNumbered(spool, number, number+1)
		spool.storeBatch(ended, spool.drainRing(nil))
	}
	kinds := lo.Map(control.order, func(event *v1.Event, _ int) string { return event.GetKind() })
	ejected, failed := string(journal.KindReplicaEjected), string(journal.KindDiskFailed)
	require.Equal(t, []string{ejected, failed, ejected}, kinds)
	ids := lo.Map(control.order, func(event *v1.Event, _ int) string { return event.GetId() })
	require.Equal(t, []string{"router-1/1/1", "router-1/1/2", "router-1/1/3"}, ids)
}

const killedFolder = "SPOOL_TEST_FOLDER"

// TestEventsSurviveAKill runs this test as a child process, which prints the number of
// each event once it is stored on disk, and kills it while it records events.
func TestEventsSurviveAKill(t *testing.T) {
	if folder := os.Getenv(killedFolder); folder != "" {
		recordUntilKilled(t, folder)
	}
	folder := t.TempDir()
	process := exec.Command(os.Args[0], "-test.run=^TestEventsSurviveAKill$")
	process.Env = append(os.Environ(), killedFolder+"="+folder)
	output, err := process.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, process.Start())
	promised := 0
	for ; promised < 200; promised++ {
		var number int
		_, err := fmt.Fscanln(output, &number)
		require.NoError(t, err)
		require.Equal(t, promised, number)
	}
	require.NoError(t, process.Process.Kill())
	_ = process.Wait() // returns an error because the process was killed

	control := newFakeJournal()
	spool := open(t, folder, 2, 0, control.deliver)
	require.True(t, spool.store.crashed)
	stop := run(t, spool)
	require.Eventually(t, func() bool { return len(control.details()) >= promised }, 10*time.Second, time.Millisecond)
	stop()
	for number, detail := range control.details() {
		require.Equal(t, strconv.Itoa(number), detail, "in order, none lost, none duplicated")
	}
}

func recordUntilKilled(t *testing.T, folder string) {
	control := newFakeJournal()
	control.refuse = true
	spool := open(t, folder, 1, 0, control.deliver)
	run(t, spool)
	for number := 0; ; number++ {
		recordNumbered(spool, number, number+1)
		if err := spool.await(t.Context(), func() bool { return spool.processed > uint64(number) }); err != nil {
			return
		}
		fmt.Println(number)
	}
}
