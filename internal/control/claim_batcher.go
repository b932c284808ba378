package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/ring"
	"github.com/martenstage/martenstage/internal/state"
	"github.com/martenstage/martenstage/internal/voter"
)

// Limits of claim commits.
const (
	// claimQueueCapacity is how many claims may wait. Further claims are rejected
	// and nothing is recorded for them.
	claimQueueCapacity = 8192
	// defaultClaimBatch is the maximum number of claims in one commit.
	defaultClaimBatch = 512
	// claimCommitTimeout bounds one commit. After it, the outcome is unknown.
	claimCommitTimeout = 5 * time.Second
)

// pendingClaim is a claim that waits for the commit of its batch.
type pendingClaim struct {
	operation *v1.ClaimOperation
	done      chan claimOutcome // buffered, one outcome
}

type claimOutcome struct {
	result state.ClaimResult
	err    error
}

// claimBatcher commits claims in batches (group commit): claims that arrive while
// a commit is replicated and synced go into the next one. Batches grow with the
// load, and a single claim is committed without delay.
type claimBatcher struct {
	queue      *ring.Ring[*pendingClaim]
	maxBatch   int
	propose    func(context.Context, *v1.StateCommand) (state.Result, error)
	batchSizes prometheus.Histogram
}

func newClaimBatcher(
	maxBatch int, propose func(context.Context, *v1.StateCommand) (state.Result, error), registerer prometheus.Registerer,
) *claimBatcher {
	const smallest, factor, buckets = 1, 2, 11
	batcher := &claimBatcher{
		queue:    ring.New[*pendingClaim](claimQueueCapacity),
		maxBatch: maxBatch,
		propose:  propose,
		batchSizes: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "martenstage_claim_batch_claims",
			Help:    "Claims and settlements per commit.",
			Buckets: prometheus.ExponentialBuckets(smallest, factor, buckets),
		}),
	}
	depth := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "martenstage_claims_waiting",
		Help: "Claims and settlements that wait for a commit.",
	}, func() float64 { return float64(batcher.queue.Depth()) })
	registerer.MustRegister(batcher.batchSizes, depth)
	return batcher
}

// submit commits one operation and returns its result. If the context ends first,
// the operation may still be committed.
func (b *claimBatcher) submit(ctx context.Context, operation *v1.ClaimOperation) (state.ClaimResult, error) {
	pending := &pendingClaim{operation: operation, done: make(chan claimOutcome, 1)}
	if !b.queue.TryPush(pending) {
		return 0, refuse(connect.CodeResourceExhausted, "too many claims are waiting; nothing was recorded")
	}
	select {
	case outcome := <-pending.done:
		return outcome.result, outcome.err
	case <-ctx.Done():
		return 0, errors.Wrapf(voter.ErrOutcomeUnknown, "%v", ctx.Err())
	}
}

// run commits batches until the context ends.
func (b *claimBatcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue.Items():
			b.commit(ctx, b.gather(first))
		}
	}
}

// gather collects the claims that are already queued, without waiting for more.
func (b *claimBatcher) gather(first *pendingClaim) []*pendingClaim {
	batch := []*pendingClaim{first}
	for len(batch) < b.maxBatch {
		select {
		case next := <-b.queue.Items():
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (b *claimBatcher) commit(ctx context.Context, batch []*pendingClaim) {
	ctx, cancel := context.WithTimeout(ctx, claimCommitTimeout)
	defer cancel()
	b.batchSizes.Observe(float64(len(batch)))
	operations := lo.Map(batch, func(pending *pendingClaim, _ int) *v1.ClaimOperation { return pending.operation })
	result, err := b.propose(ctx, &v1.StateCommand{Body: &v1.StateCommand_Claims{Claims: &v1.ClaimBatch{Operations: operations}}})
	for index, pending := range batch {
		outcome := claimOutcome{err: err}
		if err == nil {
			outcome.result = result.Claims[index]
		}
		pending.done <- outcome
	}
}
