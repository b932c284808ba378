package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/control"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/raftlog"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/state"
)

// Sizes of a full state, by the limits of the state machine.
const (
	// fullClaims is how many claims of usual ids fill their bytes.
	fullClaims = 220_000
	// fullLog is how many entries a log has before the next snapshot is taken.
	fullLog = 19_999
	// fullBatch is how many entries are written at once.
	fullBatch = 1000
)

// BenchmarkStartOfAVoter measures a voter process from its start to the first
// confirmed read, with the small state of the recorded folder and with histories,
// claims and journal at their bounds.
func BenchmarkStartOfAVoter(b *testing.B) {
	small := b.TempDir()
	unpack(b, firstFormat, small)
	b.Run("small", func(b *testing.B) { benchmarkStart(b, small) })
	full := b.TempDir()
	fillFolder(b, full)
	b.Run("full", func(b *testing.B) { benchmarkStart(b, full) })
}

func benchmarkStart(b *testing.B, folder string) {
	var took, processor time.Duration
	peak := 0
	for b.Loop() {
		copied := b.TempDir()
		require.NoError(b, os.CopyFS(copied, os.DirFS(folder)))
		address := testaddress.Next().String()
		process := &voterProcess{arguments: []string{"control", "--insecure-plaintext", "--id", "1", "--listen", address, "--data-folder", copied}}
		connection := rpc.NewClient(rpc.Plaintext(), rpc.ClientConfig{})
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		began := time.Now()
		process.start(b)
		_, err := control.NewClient([]string{address}, connection).Get(ctx, 0)
		took += time.Since(began)
		peak = max(peak, peakMemory(b, process.command.Process.Pid))
		process.end(b, syscall.SIGKILL)
		processor += process.command.ProcessState.UserTime() + process.command.ProcessState.SystemTime()
		cancel()
		connection.CloseIdle()
		require.NoError(b, err, process.output.String())
	}
	b.ReportMetric(took.Seconds()/float64(b.N), "s/start")
	b.ReportMetric(processor.Seconds()/float64(b.N), "cpu-s/start")
	b.ReportMetric(float64(peak)/1024, "MiB-peak")
	b.ReportMetric(0, "ns/op")
}

// peakMemory returns the most resident memory that a process had, in KiB.
func peakMemory(b *testing.B, process int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	require.NoError(b, err)
	_, after, found := strings.Cut(string(text), "VmHWM:")
	require.True(b, found)
	kibibytes, err := strconv.Atoi(strings.Fields(after)[0])
	require.NoError(b, err)
	return kibibytes
}

// fillFolder makes a data folder whose state is at its bounds, with a log that
// is about to be cut.
func fillFolder(b *testing.B, folder string) {
	unpack(b, firstFormat, folder)
	contents := readDataFolder(b, folder)
	data, err := contents.machine.Snapshot()
	require.NoError(b, err)
	stored := &v1.StateSnapshot{}
	require.NoError(b, proto.Unmarshal(data[stateHeader:], stored))
	fillState(stored, state.DefaultLimits())
	data, err = proto.MarshalOptions{}.MarshalAppend(data[:stateHeader:stateHeader], stored)
	require.NoError(b, err)

	log, restored, err := raftlog.Open(raftlog.Options{Folder: folder, VoterID: 1})
	require.NoError(b, err)
	last := restored.Entries[len(restored.Entries)-1]
	snapshot := &consensus.Snapshot{Index: last.Index, Term: last.Term, Membership: restored.Snapshot.Membership, Data: data}
	sequence := uint64(1)
	require.NoError(b, log.Write([]*consensus.Persist{{Sequence: sequence, Snapshot: snapshot, CompactTo: last.Index}}))
	var batch []consensus.Entry
	for number := range uint64(fullLog) {
		command, err := proto.Marshal(&v1.StateCommand{Body: &v1.StateCommand_Claims{Claims: &v1.ClaimBatch{
			Operations: []*v1.ClaimOperation{{RequestId: fmt.Sprint("logged-", number), Holder: "router", Call: number + 1,
				Digest: "0123456789abcdef", ExpiryMs: 1}}}}})
		require.NoError(b, err)
		batch = append(batch, consensus.Entry{Index: last.Index + 1 + number, Term: last.Term, Data: command})
		if len(batch) == fullBatch || number == fullLog-1 {
			sequence++
			require.NoError(b, log.Write([]*consensus.Persist{{Sequence: sequence, Entries: batch}}))
			batch = nil
		}
	}
	require.NoError(b, log.Close())
	b.Logf("snapshot of %.1f MiB, %d entries behind it", float64(len(data))/(1<<20), fullLog)
}

// fillState adds to a state until it holds as much as its bounds allow. Live
// claims and ids outlast the run.
func fillState(stored *v1.StateSnapshot, limits state.Limits) {
	random := rand.New(rand.NewPCG(1, 2))
	latest := stored.Revisions[len(stored.Revisions)-1]
	stored.Revisions = nil
	for number := 1; number <= limits.Revisions; number++ {
		revision := proto.Clone(latest).(*v1.StoredRevision)
		revision.Number, revision.ChangeId = uint64(number), fmt.Sprintf("%026d", number)
		revision.CompressedText, revision.TextDropped = nil, true
		if number > limits.Revisions-limits.Texts {
			revision.CompressedText, revision.TextDropped = noise(random, limits.TextBytes/limits.Texts), false
		}
		stored.Revisions = append(stored.Revisions, revision)
	}
	stored.Revisions[len(stored.Revisions)-1].CompressedText = latest.GetCompressedText()
	stored.Changes = nil
	for number := range limits.Changes {
		stored.Changes = append(stored.Changes, &v1.StoredChange{
			ChangeId: fmt.Sprintf("%026d", number), RequestHash: noise(random, 32), TimeUnixMs: stored.GetTimeUnixMs(),
			Result: v1.ApplyResult_APPLY_RESULT_INVALID, Detail: strings.Repeat("x", limits.ChangeBytes/limits.Changes),
		})
	}
	later := time.Now().Add(24 * time.Hour).UnixMilli()
	stored.Claims = nil
	for number := range fullClaims {
		stored.Claims = append(stored.Claims, &v1.StoredClaim{RequestId: fmt.Sprintf("%036d", number), Digest: "0123456789abcdef",
			Holder: "router-17/1764658800000000000", Call: uint64(number + 1), ExpiresUnixMs: later + int64(number)})
	}
	stored.Tombstones = &v1.StoredTombstones{}
	for number := range limits.ClaimIDs - fullClaims - fullLog {
		stored.Tombstones.IdHashes = append(stored.Tombstones.IdHashes, random.Uint64())
		delta := int64(1)
		if number == 0 {
			delta = later
		}
		stored.Tombstones.ForgetDeltaMs = append(stored.Tombstones.ForgetDeltaMs, delta)
	}
	fillJournal(stored, limits)
}

func fillJournal(stored *v1.StateSnapshot, limits state.Limits) {
	pattern := stored.Events[len(stored.Events)-1]
	stored.Events = nil
	for number := range limits.Events {
		for _, kind := range []string{"shard_uncovered", "change_accepted"} {
			event := proto.Clone(pattern).(*v1.Event)
			event.Id, event.Kind = fmt.Sprintf("%s/1/%d", kind, number), kind
			event.Detail = fmt.Sprint("event ", number)
			stored.Events = append(stored.Events, event)
		}
	}
}

func noise(random *rand.Rand, length int) []byte {
	data := make([]byte, length)
	for index := range data {
		data[index] = byte(random.Uint32())
	}
	return data
}
