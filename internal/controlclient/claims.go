package controlclient

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/ring"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

const (
	// releaseQueueCapacity bounds the claims that wait to be released. The oldest
	// are dropped and stay held until they expire, which rejects more requests than
	// necessary but runs none twice.
	releaseQueueCapacity = 4096
	// releaseTimeout bounds the release of one claim.
	releaseTimeout = 10 * time.Second
	// minSweepSize is the smallest number of held claims at which expired ones are
	// removed.
	minSweepSize = 4096
)

// ErrNotHeld is returned by Settle for a claim that this router does not hold.
var ErrNotHeld = errors.New("this router does not hold the claim")

// Claims is the router's claim registry at control. Every call has a unique number
// that its retries repeat, so that control recognizes them: after a lost answer, a
// retry is not refused because of the router's own claim.
type Claims struct {
	voters   *Voters
	holder   string
	logger   logrus.FieldLogger
	calls    atomic.Uint64
	releases *ring.Ring[*v1.SettleClaimRequest]
	dropped  prometheus.Counter

	mutex         sync.Mutex
	held          map[string]heldClaim
	nextSweepSize int
}

type heldClaim struct {
	call    uint64
	expires time.Time
}

// NewClaims returns the registry of one incarnation of a router, identified by its
// name and boot number. Run must be running while it is used.
func NewClaims(
	voters *Voters, holder string, logger logrus.FieldLogger, registerer prometheus.Registerer,
) *Claims {
	return &Claims{
		voters:   voters,
		holder:   holder,
		logger:   logger,
		releases: ring.New[*v1.SettleClaimRequest](releaseQueueCapacity),
		dropped: promauto.With(registerer).NewCounter(prometheus.CounterOpts{
			Name: "martenstage_claim_releases_dropped_total",
			Help: "Claims that were not given back because too many waited; they last until they expire.",
		}),
		held:          make(map[string]heldClaim),
		nextSweepSize: minSweepSize,
	}
}

// Holder returns the claim holder's name for one incarnation of a router.
func Holder(name string, boot uint64) string { return fmt.Sprintf("%s/%d", name, boot) }

// Claim implements router.ClaimRegistry. If no voter answers before the context
// ends, the claim may still have been granted. Run then releases it, since nothing
// was dispatched.
func (c *Claims) Claim(ctx context.Context, request router.ClaimRequest) query.ClaimDecision {
	message := &v1.ClaimRequest{
		RequestId: request.CallerID,
		Route:     request.Route,
		Digest:    request.Digest,
		Expiry:    durationpb.New(request.Expiry),
		Holder:    c.holder,
		Call:      c.calls.Add(1),
	}
	var result v1.ClaimResult
	err := c.voters.callUntilAnswered(ctx, func(ctx context.Context, voter int) error {
		response, err := c.voters.claims[voter].Claim(ctx, connect.NewRequest(message))
		if err == nil {
			result = response.Msg.GetResult()
		}
		return err
	})
	if err != nil {
		c.logger.WithFields(logrus.Fields{"request": request.CallerID, "reason": err}).Warn("no voter decided the claim")
		c.release(message)
		return query.ClaimUnavailable
	}
	decision := decisionOf(result)
	if decision == query.ClaimGranted {
		c.hold(request, message.GetCall())
	}
	return decision
}

func decisionOf(result v1.ClaimResult) query.ClaimDecision {
	switch result {
	case v1.ClaimResult_CLAIM_RESULT_GRANTED:
		return query.ClaimGranted
	case v1.ClaimResult_CLAIM_RESULT_MAY_HAVE_RUN:
		return query.ClaimHeldMayHaveRun
	case v1.ClaimResult_CLAIM_RESULT_RAN:
		return query.ClaimHeldRan
	case v1.ClaimResult_CLAIM_RESULT_EXPIRED:
		return query.ClaimExpired
	case v1.ClaimResult_CLAIM_RESULT_DIGEST_MISMATCH:
		return query.ClaimDigestMismatch
	default:
		return query.ClaimUnavailable
	}
}

func (c *Claims) hold(request router.ClaimRequest, call uint64) {
	now := steadyclock.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.held[request.CallerID] = heldClaim{call: call, expires: now.Add(request.Expiry)}
	if len(c.held) < c.nextSweepSize {
		return
	}
	// Claims whose outcome remains unknown are never settled.
	for id, claim := range c.held {
		if now.After(claim.expires) {
			delete(c.held, id)
		}
	}
	c.nextSweepSize = max(minSweepSize, 2*len(c.held))
}

// release queues a claim for release by Run.
func (c *Claims) release(message *v1.ClaimRequest) {
	dropped := c.releases.PushDropOldest(&v1.SettleClaimRequest{
		RequestId: message.GetRequestId(),
		Holder:    message.GetHolder(),
		Call:      message.GetCall(),
		Outcome:   v1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN,
	})
	c.dropped.Add(float64(dropped))
}

// Settle implements router.ClaimRegistry.
func (c *Claims) Settle(ctx context.Context, callerID string, outcome verdict.Verdict) error {
	c.mutex.Lock()
	claim, found := c.held[callerID]
	delete(c.held, callerID)
	c.mutex.Unlock()
	if !found {
		return errors.Wrapf(ErrNotHeld, "request %s", callerID)
	}
	message := &v1.SettleClaimRequest{RequestId: callerID, Holder: c.holder, Call: claim.call}
	switch outcome {
	case verdict.Ran:
		message.Outcome = v1.ClaimOutcome_CLAIM_OUTCOME_RAN
	case verdict.NotRun:
		message.Outcome = v1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN
	default:
		return nil
	}
	return c.settle(ctx, message)
}

func (c *Claims) settle(ctx context.Context, message *v1.SettleClaimRequest) error {
	err := c.voters.callUntilAnswered(ctx, func(ctx context.Context, voter int) error {
		_, err := c.voters.claims[voter].SettleClaim(ctx, connect.NewRequest(message))
		return err
	})
	return errors.Wrapf(err, "settle the claim of request %s", message.GetRequestId())
}

// Run releases claims whose answer was lost, until the context ends.
func (c *Claims) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-c.releases.Items():
			settleCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
			err := c.settle(settleCtx, message)
			cancel()
			if err != nil {
				c.logger.WithField("reason", err).Warn("claim not released; it remains held until it expires")
			}
		}
	}
}
