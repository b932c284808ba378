package control

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/wait"
)

func claimRequest(id string, call uint64) *v1.ClaimRequest {
	return &v1.ClaimRequest{
		RequestId: id, Route: "reminder", Digest: "body", Holder: "router", Call: call, Expiry: durationpb.New(time.Hour),
	}
}

// claim retries until an answer is definite, as a router does.
func (c *Client) claim(ctx context.Context, request *v1.ClaimRequest) (*v1.ClaimResponse, error) {
	return read(ctx, c, request, func(to voterClients, ctx context.Context, request *connect.Request[v1.ClaimRequest]) (*connect.Response[v1.ClaimResponse], error) {
		return to.claims.Claim(ctx, request)
	})
}

func (c *Client) settle(ctx context.Context, request *v1.SettleClaimRequest) error {
	_, err := read(ctx, c, request, func(to voterClients, ctx context.Context, request *connect.Request[v1.SettleClaimRequest]) (*connect.Response[v1.SettleClaimResponse], error) {
		return to.claims.SettleClaim(ctx, request)
	})
	return err
}

// history collects the operations of several clients.
type history struct {
	mutex      sync.Mutex
	started    time.Time
	operations []porcupine.Operation
	// answered counts the operations with a definite answer.
	answered int
}

// Minimum contents of a history, so that it can reveal a fault.
const (
	minOperations  = 120
	minDisruptions = 4
)

func (h *history) sufficient() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.answered >= minOperations
}

// run records one operation. An operation without a definite answer may take
// effect at any later time, so the history gives it no end.
func (h *history) run(client int, input any, operation func() (any, error)) {
	call := time.Since(h.started).Nanoseconds()
	output, err := operation()
	returned := time.Since(h.started).Nanoseconds()
	if err != nil {
		output, returned = nil, math.MaxInt64
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err == nil {
		h.answered++
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: input, Call: call, Output: output, Return: returned,
	})
}

// disruptLeaders crashes, isolates and restarts leaders until both the disruptions
// and the history are sufficient. It leaves all voters running.
func (c *testCluster) disruptLeaders(sufficient func() bool) {
	pause := func(span time.Duration) { wait.For(context.Background(), span) }
	for round := 0; round < minDisruptions || !sufficient(); round++ {
		pause(time.Duration(300+rand.IntN(700)) * time.Millisecond)
		leader := c.leader()
		if round%2 == 0 {
			leader.crash()
			pause(time.Second)
			leader.restart()
			continue
		}
		leader.isolated.Store(true)
		pause(1500 * time.Millisecond)
		leader.isolated.Store(false)
	}
}

// runClients runs clients concurrently while leaders are disrupted.
func (c *testCluster) runClients(clients int, sufficient func() bool, step func(ctx context.Context, number int, client *Client, random *rand.Rand)) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() {
		defer cancel()
		c.disruptLeaders(func() bool { return sufficient() || ctx.Err() != nil })
	})
	for number := range clients {
		client := c.client(c.nodes[number%len(c.nodes)], c.nodes[(number+1)%len(c.nodes)])
		random := rand.New(rand.NewPCG(1, uint64(number)))
		running.Go(func() {
			for ctx.Err() == nil {
				step(ctx, number, client, random)
				wait.For(ctx, time.Duration(random.IntN(20))*time.Millisecond)
			}
		})
	}
	running.Wait()
}

func (h *history) check(t *testing.T, model porcupine.Model) {
	t.Logf("%d operations, %d with a definite answer", len(h.operations), h.answered)
	require.GreaterOrEqual(t, h.answered, minOperations)
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model, h.operations, testTimeout))
}

// registerInput is a change (compare-and-set) or, without an id, a read.
type registerInput struct {
	id       string
	expected uint64
}

type registerOutput struct {
	accepted bool
	revision uint64
	id       string // change id of the latest revision, set by reads
}

type registerState struct {
	revision uint64
	id       string
}

// configurationModel is a register that is set by compare-and-set on its revision.
var configurationModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		current, request := state.(registerState), input.(registerInput)
		if request.id == "" {
			read, known := output.(registerOutput)
			return !known || read.revision == current.revision && read.id == current.id, current
		}
		next := current
		if request.expected == current.revision {
			next = registerState{revision: current.revision + 1, id: request.id}
		}
		answer, known := output.(registerOutput)
		valid := !known || answer.accepted == (next != current) && answer.revision == next.revision
		return valid, next
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// TestConfigurationIsLinearizable checks a history of changes and reads through
// all voters while leaders crash and are isolated.
func TestConfigurationIsLinearizable(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, func(options *Options) { options.SnapshotEntries = 50 })
	recorded := &history{started: time.Now()}
	var newest sync.Map // the revision that each client saw last
	cluster.runClients(6, recorded.sufficient, func(ctx context.Context, number int, client *Client, random *rand.Rand) {
		ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		if random.IntN(2) == 0 {
			recorded.run(number, registerInput{}, func() (any, error) {
				revision, err := client.Get(ctx, 0)
				if connect.CodeOf(err) == connect.CodeNotFound {
					return registerOutput{}, nil
				}
				if err != nil {
					return nil, err
				}
				newest.Store(number, revision.GetNumber())
				return registerOutput{revision: revision.GetNumber(), id: revision.GetChangeId()}, nil
			})
			return
		}
		seen, _ := newest.LoadOrStore(number, uint64(0))
		input := registerInput{id: fmt.Sprintf("%d-%d", number, random.Uint64()), expected: seen.(uint64)}
		recorded.run(number, input, func() (any, error) {
			response, err := client.Apply(ctx, &v1.ApplyRequest{ChangeId: input.id, Text: input.id, ExpectedRevision: input.expected})
			if err != nil {
				return nil, err
			}
			newest.Store(number, response.GetRevision())
			return registerOutput{accepted: response.GetResult() == accepted, revision: response.GetRevision()}, nil
		})
	})
	recorded.check(t, configurationModel)
}

// claimInput is a claim or the release of one.
type claimInput struct {
	id      string
	call    uint64
	release bool
}

// claimState is the call that holds an id, and the last call that released it.
type claimState struct{ holder, released uint64 }

// claimModel is a lock per id that each call acquires at most once.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := map[string][]porcupine.Operation{}
		for _, operation := range history {
			id := operation.Input.(claimInput).id
			byID[id] = append(byID[id], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byID {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return claimState{} },
	Step: func(state, input, output any) (bool, any) {
		current, request := state.(claimState), input.(claimInput)
		if request.release {
			if current.holder == request.call {
				return true, claimState{released: request.call}
			}
			return true, current
		}
		granted := current.holder == 0 || current.holder == request.call
		next := current
		if granted {
			next.holder = request.call
		}
		answer, known := output.(v1.ClaimResult)
		return !known || (answer == v1.ClaimResult_CLAIM_RESULT_GRANTED) == granted, next
	},
}

// TestClaimsAreLinearizable checks a history of claims and releases through all
// voters while leaders crash and are isolated.
func TestClaimsAreLinearizable(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t, 3, func(options *Options) { options.SnapshotEntries = 50 })
	recorded := &history{started: time.Now()}
	cluster.runClients(6, recorded.sufficient, func(ctx context.Context, number int, client *Client, random *rand.Rand) {
		ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		input := claimInput{id: fmt.Sprint("request-", random.IntN(40)), call: random.Uint64()}
		var result v1.ClaimResult
		recorded.run(number, input, func() (any, error) {
			response, err := client.claim(ctx, claimRequest(input.id, input.call))
			result = response.GetResult()
			return result, err
		})
		if result != v1.ClaimResult_CLAIM_RESULT_GRANTED || random.IntN(2) == 0 {
			return
		}
		release := claimInput{id: input.id, call: input.call, release: true}
		recorded.run(number, release, func() (any, error) {
			return "released", client.settle(ctx, &v1.SettleClaimRequest{
				RequestId: input.id, Holder: "router", Call: input.call, Outcome: v1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN,
			})
		})
	})
	recorded.check(t, claimModel)
}
