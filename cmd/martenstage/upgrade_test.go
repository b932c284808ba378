package main

import (
	"archive/tar"
	"cmp"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/exitcode"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/raftlog"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/state"
)

const (
	// firstFormat is the packed data folder of a voter that ran a program from
	// before configuration changes were kept as differences, and firstContents what
	// that program read in it.
	firstFormat   = "testdata/data-folder-v1.tar.gz"
	firstContents = "testdata/data-folder-v1.json"
	// recordTo names a folder into which TestDataFolderOfThisProgram writes both,
	// for the next change of the format; unset, it writes into a folder of its own.
	// Pack the data folder with: tar -C recorded/data-folder -czf data-folder-vN.tar.gz .
	recordTo = "MARTENSTAGE_RECORD_DATA_FOLDER"
	// stateHeader is the length of what stands before the message in a snapshot
	// of the state: its name and a format byte.
	stateHeader = len("martenstage-state") + 1
)

// dataFolder is all that a data folder holds.
type dataFolder struct {
	HardState consensus.HardState
	Snapshot  *consensus.Snapshot
	Entries   []consensus.Entry
	// State is the state machine's after the snapshot and all entries.
	State map[string]any

	machine *state.Machine
}

// readDataFolder reads a folder that no process has open.
func readDataFolder(t testing.TB, folder string) dataFolder {
	log, restored, err := raftlog.Open(raftlog.Options{Folder: folder, VoterID: 1})
	require.NoError(t, err)
	require.NoError(t, log.Close())
	machine, applied := state.New(state.DefaultLimits()), uint64(0)
	if restored.Snapshot != nil {
		require.NoError(t, machine.Restore(restored.Snapshot.Data))
		applied = restored.Snapshot.Index
	}
	for _, entry := range restored.Entries {
		if entry.Index > applied && entry.Kind == consensus.EntryData {
			_, err := machine.Apply(entry.Data)
			require.NoError(t, err)
		}
	}
	data, err := machine.Snapshot()
	require.NoError(t, err)
	stored := &v1.StateSnapshot{}
	require.NoError(t, proto.Unmarshal(data[stateHeader:], stored))
	text, err := protojson.Marshal(stored)
	require.NoError(t, err)
	contents := dataFolder{HardState: restored.HardState, Snapshot: restored.Snapshot, Entries: restored.Entries, machine: machine}
	require.NoError(t, json.Unmarshal(text, &contents.State))
	return contents
}

// unpack puts the files of a packed folder into a new one.
func unpack(t testing.TB, packed, folder string) {
	file, err := os.Open(packed)
	require.NoError(t, err)
	defer func() { require.NoError(t, file.Close()) }()
	plain, err := gzip.NewReader(file)
	require.NoError(t, err)
	files := tar.NewReader(plain)
	for {
		header, err := files.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		require.NoError(t, err)
		path := filepath.Join(folder, filepath.Clean("/"+header.Name))
		if header.Typeflag == tar.TypeDir {
			require.NoError(t, os.MkdirAll(path, 0o750))
			continue
		}
		data, err := io.ReadAll(files)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path, data, 0o600))
	}
}

// asJSON returns the folder as it stands in the recorded file.
func (f dataFolder) asJSON(t *testing.T) string {
	text, err := json.MarshalIndent(f, "", " ")
	require.NoError(t, err)
	return string(text) + "\n"
}

// TestDataFolderOfTheFirstFormat reads a folder that an earlier program wrote,
// compares every field with what that program read in it, and goes on with it in
// a process.
func TestDataFolderOfTheFirstFormat(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	unpack(t, firstFormat, folder)
	recorded, err := os.ReadFile(firstContents)
	require.NoError(t, err)
	contents := readDataFolder(t, folder)
	require.Equal(t, string(recorded), contents.asJSON(t))
	contents.requireWhole(t)

	// A change id from then gets its answer from then. Processes forget it after
	// a time, so the state machine is asked, by its own clock.
	resent, err := proto.Marshal(&v1.StateCommand{Body: &v1.StateCommand_Change{Change: &v1.ChangeCommand{
		ChangeId: "second", ExpectedRevision: 1, RequestHash: state.ApplyHash(fmt.Sprintf(smallPolicy, "second"), 0)}}})
	require.NoError(t, err)
	result, err := contents.machine.Apply(resent)
	require.NoError(t, err)
	require.Equal(t, state.ChangeResult{Result: v1.ApplyResult_APPLY_RESULT_ACCEPTED, Revision: 2}, result.Change)

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	address := testaddress.Next().String()
	process := &voterProcess{arguments: []string{"control", "--insecure-plaintext", "--id", "1", "--listen", address, "--data-folder", folder}}
	process.start(t)
	t.Cleanup(func() { process.end(t, syscall.SIGKILL) })
	client := clientOf(t, address)
	history, err := client.History(ctx, 100)
	require.NoError(t, err)
	require.Len(t, history, len(contents.State["revisions"].([]any)))
	for _, revision := range history {
		read, err := client.Get(ctx, revision.GetNumber())
		require.NoError(t, err)
		require.Contains(t, []string{
			fmt.Sprintf(smallPolicy, "first"), fmt.Sprintf(smallPolicy, "second"), fmt.Sprintf(smallPolicy, "third"),
		}, read.GetText())
	}
	latest := uint64(len(history))
	require.Equal(t, v1.ApplyResult_APPLY_RESULT_CONFLICT, mustApply(ctx, t, client, "too-late", 0).GetResult())
	for number := range uint64(3) {
		response := mustApply(ctx, t, client, fmt.Sprint("new-", number), latest+number)
		require.Equal(t, v1.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetResult(), response.GetDetail())
	}
}

// TestDataFolderOfALaterFormatIsRefused starts a voter on a folder whose state
// is of a format that this program does not know, as after going back.
func TestDataFolderOfALaterFormatIsRefused(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	unpack(t, firstFormat, folder)
	log, restored, err := raftlog.Open(raftlog.Options{Folder: folder, VoterID: 1})
	require.NoError(t, err)
	later := *restored.Snapshot
	later.Index, later.Term = restored.Entries[len(restored.Entries)-1].Index, restored.HardState.Term
	later.Data[stateHeader-1] = 0xff
	require.NoError(t, log.Write([]*consensus.Persist{{Sequence: 1, Snapshot: &later}}))
	require.NoError(t, log.Close())

	process := &voterProcess{arguments: []string{"control", "--insecure-plaintext", "--id", "1",
		"--listen", testaddress.Next().String(), "--data-folder", folder}}
	process.start(t)
	_ = process.command.Wait() // the exit code tells
	require.Equal(t, exitcode.DataFolder, process.command.ProcessState.ExitCode(), process.output.String())
	require.Contains(t, process.output.String(), "this program reads up to")
}

// requireWhole checks that nothing which a folder can hold is missing, so that
// no comparison passes by two absences.
func (f dataFolder) requireWhole(t *testing.T) {
	require.NotNil(t, f.Snapshot)
	require.NotEmpty(t, f.Entries)
	for _, name := range []string{"revisions", "compressedPlan", "changes", "claims", "tombstones", "drains", "events"} {
		require.Contains(t, f.State, name)
	}
}

// TestDataFolderOfThisProgram kills a voter and reads its folder.
func TestDataFolderOfThisProgram(t *testing.T) {
	t.Parallel()
	target := cmp.Or(os.Getenv(recordTo), t.TempDir())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	address := testaddress.Next().String()
	folder := filepath.Join(target, "data-folder")
	process := &voterProcess{arguments: []string{"control", "--insecure-plaintext", "--id", "1", "--listen", address,
		"--data-folder", folder, "--voter", "1=" + address, "--snapshot-entries", "14"}}
	process.start(t)
	client := clientOf(t, address)
	fillDataFolder(ctx, t, client, address, "snapshot")
	fillDataFolder(ctx, t, client, address, "log")
	process.end(t, syscall.SIGKILL)
	contents := readDataFolder(t, folder)
	contents.requireWhole(t)
	require.NoError(t, os.WriteFile(filepath.Join(target, "data-folder.json"), []byte(contents.asJSON(t)), 0o600))
}

// fillDataFolder makes changes, claims, marks and events of every kind.
func fillDataFolder(ctx context.Context, t *testing.T, client *control.Client, address, round string) {
	if round == "snapshot" {
		mustApply(ctx, t, client, "first", 0)
		mustApply(ctx, t, client, "second", 1)
		mustApply(ctx, t, client, "too-late", 0)
	} else {
		mustApply(ctx, t, client, "third", 2)
		_, err := client.Apply(ctx, &v1.ApplyRequest{ChangeId: "back", RollbackTo: 1, ExpectedRevision: 3, Author: "malee", Comment: "as it was"})
		require.NoError(t, err)
	}
	_, err := client.Apply(ctx, &v1.ApplyRequest{ChangeId: "invalid-" + round, Text: "service {", Author: "malee"})
	require.NoError(t, err)
	require.NoError(t, client.SetDrain(ctx, &v1.SetDrainRequest{Address: "127.0.0.1:1", Draining: true, ChangeId: "drain-" + round, Author: "malee"}))
	connection := rpc.NewClient(rpc.Plaintext(), rpc.ClientConfig{})
	t.Cleanup(connection.CloseIdle)
	claims := martenstagev1connect.NewClaimServiceClient(connection.HTTP(), connection.URL(address))
	for number, claim := range []*v1.ClaimRequest{
		{Expiry: durationpb.New(time.Millisecond)}, {Expiry: durationpb.New(time.Hour)},
		{NotAfter: timestamppb.New(time.Now().Add(time.Hour))},
	} {
		claim.RequestId, claim.Call = fmt.Sprint(round, "-", number), uint64(number+1)
		claim.Route, claim.Digest, claim.Holder = "find", "abc", "router/"+round
		answer, err := claims.Claim(ctx, connect.NewRequest(claim))
		require.NoError(t, err)
		require.Equal(t, v1.ClaimResult_CLAIM_RESULT_GRANTED, answer.Msg.GetResult())
		time.Sleep(10 * time.Millisecond) // lets the first one expire
	}
	_, err = claims.SettleClaim(ctx, connect.NewRequest(&v1.SettleClaimRequest{
		RequestId: round + "-1", Holder: "router/" + round, Call: 2, Outcome: v1.ClaimOutcome_CLAIM_OUTCOME_RAN}))
	require.NoError(t, err)
	events := martenstagev1connect.NewJournalServiceClient(connection.HTTP(), connection.URL(address))
	now := timestamppb.Now()
	_, err = events.Append(ctx, connect.NewRequest(&v1.AppendEventsRequest{Events: []*v1.Event{{
		Id: "router/1/" + round, Time: now, Kind: "shard_uncovered", Source: "router", Service: "search", Shard: "g0",
		Address: "127.0.0.1:1", Detail: round, Count: 3, LastTime: now,
	}}}))
	require.NoError(t, err)
}
