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

// Bounds of claim commits.
const (
	// claimRing is how many claims may wait; further ones are refused, and
	// nothing of them is recorded.
	claimRing = 8192
	// defaultClaimBatch is how many claims one commit holds at most.
	defaultClaimBatch = 512
	// claimCommitTimeout bounds one commit. Its outcome is unknown after that.
	claimCommitTimeout = 5 * time.Second
)

// pendingClaim waits for the commit of its batch.
type pendingClaim struct {
	operation *v1.ClaimOperation
	done      chan claimOutcome // holds one
}

type claimOutcome struct {
	result state.ClaimResult
	err    error
}

// claimBatcher commits claims in groups: while one commit is being replicated
// and synced, the claims that arrive gather for the next one. So the batches
// grow with the load, and a lone claim waits for nobody.
type claimBatcher struct {
	waiting *ring.Ring[*pendingClaim]
	most    int
	propose func(context.Context, *v1.StateCommand) (state.Result, error)
	sizes   prometheus.Histogram
}

func newClaimBatcher(
	most int, propose func(context.Context, *v1.StateCommand) (state.Result, error), registerer prometheus.Registerer,
) *claimBatcher {
	const smallest, factor, buckets = 1, 2, 11
	batcher := &claimBatcher{
		waiting: ring.New[*pendingClaim](claimRing),
		most:    most,
		propose: propose,
		sizes: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "martenstage_claim_batch_claims",
			Help:    "Claims and settlements per commit.",
			Buckets: prometheus.ExponentialBuckets(smallest, factor, buckets),
		}),
	}
	depth := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "martenstage_claims_waiting",
		Help: "Claims and settlements that wait for a commit.",
	}, func() float64 { return float64(batcher.waiting.Depth()) })
	registerer.MustRegister(batcher.sizes, depth)
	return batcher
}

// submit commits one operation and returns its result. When the context ends
// first, the operation may be committed all the same.
func (b *claimBatcher) submit(ctx context.Context, operation *v1.ClaimOperation) (state.ClaimResult, error) {
	pending := &pendingClaim{operation: operation, done: make(chan claimOutcome, 1)}
	if !b.waiting.TryPush(pending) {
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
		case first := <-b.waiting.Items():
			b.commit(ctx, b.gather(first))
		}
	}
}

// gather takes what is waiting, without waiting for more.
func (b *claimBatcher) gather(first *pendingClaim) []*pendingClaim {
	batch := []*pendingClaim{first}
	for len(batch) < b.most {
		select {
		case next := <-b.waiting.Items():
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
	b.sizes.Observe(float64(len(batch)))
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
