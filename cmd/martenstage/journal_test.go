package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/controlclient"
	"github.com/martenstage/martenstage/internal/exitcode"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/spool"
)

// Environment of a process that records numbered events.
const (
	recorderFolder = "MARTENSTAGE_TEST_RECORDER"
	recorderVoters = "MARTENSTAGE_TEST_VOTERS"
	recorderBoot   = "MARTENSTAGE_TEST_BOOT"
	recorderEvents = "MARTENSTAGE_TEST_EVENTS"
	recorderSource = "recorder"
)

// TestJournalLosesNothingAmidKills kills a recording process and the voters
// again and again, each at an arbitrary moment. What the recorder had on disk is
// in the journal in the end: once, and in the order in which it happened.
func TestJournalLosesNothingAmidKills(t *testing.T) {
	if folder := os.Getenv(recorderFolder); folder != "" {
		recordUntilKilled(t, folder)
	}
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	processes, client := startVoters(t)
	random := rand.New(rand.NewPCG(20, 26))
	recorder := &recorderProcess{events: 5000, folder: t.TempDir(), voters: addressesOf(processes)}
	const rounds = 6
	for round := range rounds {
		recorder.start(t, round)
		recorder.awaitMore(t, 3+random.IntN(20))
		victims := random.Perm(len(processes))[:1+random.IntN(len(processes))]
		for _, victim := range victims {
			processes[victim].end(t, syscall.SIGKILL)
		}
		recorder.awaitMore(t, 3+random.IntN(20))
		if random.IntN(2) == 0 { // else while the voters come back
			recorder.kill(t)
		}
		for _, victim := range victims {
			processes[victim].start(t)
		}
		recorder.kill(t)
	}
	recorder.events = 20
	recorder.start(t, rounds)
	defer recorder.kill(t)
	recorder.awaitMore(t, recorder.events)
	require.Eventually(t, func() bool {
		return runLength(numbered(ctx, t, client), rounds) == recorder.events
	}, testTimeout, 100*time.Millisecond, "events of the last run come after all others")
	events := numbered(ctx, t, client)
	total := 0
	for round := range rounds + 1 {
		length := runLength(events, round)
		require.GreaterOrEqual(t, length, recorder.promised(round), "run %d", round)
		for number, event := range events[total : total+length] {
			require.Equal(t, fmt.Sprint(round, " ", number), event.GetDetail(), "in order, none lost, none doubled")
			require.EqualValues(t, 1, event.GetCount())
		}
		total += length
	}
	events = recorded(ctx, t, client)
	ids := lo.Map(events, func(event *v1.Event, _ int) string { return event.GetId() })
	require.Len(t, lo.Uniq(ids), len(ids))
	t.Logf("%d events of %d runs that were killed", total, rounds)
}

func addressesOf(processes []*voterProcess) []string {
	return lo.Map(processes, func(process *voterProcess, _ int) string { return process.arguments[5] })
}

// runLength counts the events of one run of the recorder.
func runLength(events []*v1.Event, run int) int {
	return lo.CountBy(events, func(event *v1.Event) bool {
		return strings.HasPrefix(event.GetDetail(), fmt.Sprint(run, " "))
	})
}

// numbered returns the events that the recorder numbered.
func numbered(ctx context.Context, t *testing.T, client *control.Client) []*v1.Event {
	return lo.Reject(recorded(ctx, t, client), func(event *v1.Event, _ int) bool {
		// On a busy disk the spool adds an event of its own.
		return event.GetKind() == string(journal.KindDiskSlow)
	})
}

// recorded returns all events of the recorder, each of which must be there once.
func recorded(ctx context.Context, t *testing.T, client *control.Client) []*v1.Event {
	response, err := client.Events(ctx, &v1.ListEventsRequest{Limit: 100_000})
	require.NoError(t, err)
	return lo.Filter(response.GetEvents(), func(event *v1.Event, _ int) bool { return event.GetSource() == recorderSource })
}

// recorderProcess is this test program, run again to record events.
type recorderProcess struct {
	folder string
	voters []string
	// events is how many the next run records at most.
	events int

	command *exec.Cmd
	mutex   sync.Mutex
	// counts are how many events each run said are on disk.
	counts []int
	read   sync.WaitGroup
}

func (p *recorderProcess) start(t *testing.T, boot int) {
	p.command = exec.Command(os.Args[0], "-test.run=^TestJournalLosesNothingAmidKills$")
	p.command.Env = append(os.Environ(), recorderFolder+"="+p.folder,
		recorderVoters+"="+strings.Join(p.voters, ","), fmt.Sprintf("%s=%d", recorderBoot, boot),
		fmt.Sprintf("%s=%d", recorderEvents, p.events))
	p.mutex.Lock()
	p.counts = append(p.counts, 0)
	p.mutex.Unlock()
	output, err := p.command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, p.command.Start())
	p.read.Go(func() { p.readFrom(output, boot) })
}

// readFrom counts what the process says is on disk.
func (p *recorderProcess) readFrom(output io.Reader, boot int) {
	for lines := bufio.NewScanner(output); lines.Scan(); {
		var number int
		if _, err := fmt.Sscan(lines.Text(), &number); err != nil {
			continue
		}
		p.mutex.Lock()
		p.counts[boot] = number + 1
		p.mutex.Unlock()
	}
}

func (p *recorderProcess) promised(boot int) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counts[boot]
}

// awaitMore waits until the present run has more events on disk.
func (p *recorderProcess) awaitMore(t *testing.T, count int) {
	present := len(p.counts) - 1
	target := p.promised(present) + count
	require.Eventually(t, func() bool { return p.promised(present) >= target }, testTimeout, time.Millisecond)
}

func (p *recorderProcess) kill(t *testing.T) {
	if p.command == nil {
		return
	}
	require.NoError(t, p.command.Process.Kill())
	p.read.Wait()
	_ = p.command.Wait() // it was killed, so it reports a failure
	p.command = nil
}

// recordUntilKilled records events with distinct details, run and number, and
// prints the number of each once it is on disk.
func recordUntilKilled(t *testing.T, folder string) {
	var boot uint64
	_, err := fmt.Sscan(os.Getenv(recorderBoot), &boot)
	require.NoError(t, err)
	var limit int
	_, err = fmt.Sscan(os.Getenv(recorderEvents), &limit)
	require.NoError(t, err)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	voters := controlclient.NewVoters(rpc.NewClient(rpc.Plaintext(), rpc.ClientConfig{}), strings.Split(os.Getenv(recorderVoters), ","))
	opened, err := spool.Open(spool.Config{Folder: folder, Source: recorderSource, Boot: boot},
		spool.Deps{Deliver: voters.AppendEvents, Logger: logger, Registerer: prometheus.NewRegistry()})
	require.NoError(t, err)
	go opened.Run(t.Context())
	for next := range limit {
		time.Sleep(2 * time.Millisecond) // so that the spool doesn't fill
		opened.Record(journal.Event{Kind: journal.KindReplicaEjected, Detail: fmt.Sprint(boot, " ", next)})
		if err := opened.AwaitStored(t.Context()); err != nil {
			return
		}
		fmt.Println(next)
	}
	<-t.Context().Done() // until it is killed
}

// watchedOutput is a process's output that may be read while it grows.
type watchedOutput struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write implements io.Writer.
func (o *watchedOutput) Write(data []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(data)
}

func (o *watchedOutput) has(t *testing.T, texts ...string) {
	t.Helper()
	require.Eventually(t, func() bool {
		o.mutex.Lock()
		defer o.mutex.Unlock()
		rest := o.text.String()
		for _, text := range texts {
			_, after, found := strings.Cut(rest, text)
			if !found {
				return false
			}
			rest = after
		}
		return true
	}, testTimeout, 10*time.Millisecond, "%v", texts)
}

// TestNightWithoutControlIsToldInTheMorning kills all voters, then the router
// that lost its lease by that, and starts all again: the journal tells of both.
func TestNightWithoutControlIsToldInTheMorning(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	processes, client := startVoters(t, "--lease", "5s")
	text, err := os.ReadFile("../../deploy/bangkok/bangkok.policy")
	require.NoError(t, err)
	_, err = client.Apply(ctx, &v1.ApplyRequest{ChangeId: "first", Text: string(text), Author: "test"})
	require.NoError(t, err)
	addresses := testaddress.List(2)
	arguments := []string{
		"router", "--insecure-plaintext", "--name", "router-1", "--log-level", "debug", "--data-folder", t.TempDir(),
		"--callers-listen", addresses[0], "--peers-listen", addresses[1],
	}
	for _, voter := range addressesOf(processes) {
		arguments = append(arguments, "--upstream", voter)
	}
	program, err := buildOnce()
	require.NoError(t, err)
	startRouter := func() (kill func(), output *watchedOutput) {
		command, output := exec.Command(program, arguments...), &watchedOutput{}
		command.Stderr = output
		require.NoError(t, command.Start())
		kill = sync.OnceFunc(func() {
			_ = command.Process.Kill()
			_ = command.Wait() // it was killed, so it reports a failure
		})
		t.Cleanup(kill)
		return kill, output
	}
	kill, output := startRouter()
	output.has(t, "event=lease_gained", "events stored")
	for _, process := range processes {
		process.end(t, syscall.SIGKILL)
	}
	output.has(t, "event=lease_lost", "events stored")
	kill()
	_, output = startRouter()
	output.has(t, "event=restarted", "events stored")
	for _, process := range processes {
		process.start(t)
	}
	told := func(source string, kind journal.Kind) uint64 {
		response, err := client.Events(ctx, &v1.ListEventsRequest{Limit: 1000})
		require.NoError(t, err)
		return lo.SumBy(response.GetEvents(), func(event *v1.Event) uint64 {
			if event.GetSource() != source || event.GetKind() != string(kind) {
				return 0
			}
			return event.GetCount()
		})
	}
	require.Eventually(t, func() bool {
		return told("router-1", journal.KindRestarted) == 2 && told("router-1", journal.KindLeaseLost) == 1 &&
			told("router-1", journal.KindLeaseGained) == 2
	}, testTimeout, 100*time.Millisecond)
	for id := range processes {
		source := fmt.Sprintf("control-%d", id+1)
		require.Eventually(t, func() bool { return told(source, journal.KindRestarted) == 2 }, testTimeout, 100*time.Millisecond, source)
	}

	page := filepath.Join(t.TempDir(), "night.html")
	command := []string{"report", "--insecure-plaintext", "--control", addressesOf(processes)[0], "--since", "10m", "--html", page}
	stdout, stderr, code := runCommand(t, command...)
	require.Equal(t, exitcode.OK, code, stderr)
	require.Regexp(t, `no lease +router-1 +1 +1 +router-1`, stdout)
	require.Contains(t, stdout, "voter 3 started")
	require.Regexp(t, `process crashed +router-1 `, stdout)
	require.Regexp(t, `process crashed +control-2 `, stdout)
	written, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(written), "no lease: router-1")
	_, stderr, code = runCommand(t, append(command, "--until", "20m")...)
	require.Equal(t, exitcode.Usage, code)
	require.Contains(t, stderr, "must lie before until")
}
