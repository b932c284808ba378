package controlclient

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/verdict"
)

const testTimeout = 30 * time.Second

// fakeVoter answers claims with a function and records the requests.
type fakeVoter struct {
	martenstagev1connect.UnimplementedClaimServiceHandler
	mutex   sync.Mutex
	claims  []*v1.ClaimRequest
	settled chan *v1.SettleClaimRequest
	answer  func(count int) (v1.ClaimResult, error)
}

func (f *fakeVoter) Claim(_ context.Context, request *connect.Request[v1.ClaimRequest]) (*connect.Response[v1.ClaimResponse], error) {
	f.mutex.Lock()
	f.claims = append(f.claims, request.Msg)
	count := len(f.claims)
	f.mutex.Unlock()
	result, err := f.answer(count)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&v1.ClaimResponse{Result: result}), nil
}

func (f *fakeVoter) SettleClaim(_ context.Context, request *connect.Request[v1.SettleClaimRequest]) (*connect.Response[v1.SettleClaimResponse], error) {
	f.settled <- request.Msg
	return connect.NewResponse(&v1.SettleClaimResponse{}), nil
}

func (f *fakeVoter) receivedClaims() []*v1.ClaimRequest {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]*v1.ClaimRequest(nil), f.claims...)
}

// newClaims returns a registry that calls one fake voter per answer function.
func newClaims(t *testing.T, answers ...func(count int) (v1.ClaimResult, error)) (*Claims, []*fakeVoter) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	var voters []*fakeVoter
	var addresses []string
	for _, answer := range answers {
		fake := &fakeVoter{settled: make(chan *v1.SettleClaimRequest, 16), answer: answer}
		mux := http.NewServeMux()
		mux.Handle(martenstagev1connect.NewClaimServiceHandler(fake, rpc.HandlerOptions()))
		server, err := rpc.NewServer(testaddress.Next().String(), mux, rpc.Plaintext(), logger)
		require.NoError(t, err)
		go func() { _ = server.Serve() }()
		t.Cleanup(func() { _ = server.Close() })
		voters, addresses = append(voters, fake), append(addresses, server.Address())
	}
	client := rpc.NewClient(rpc.Plaintext(), rpc.ClientConfig{})
	t.Cleanup(client.CloseIdle)
	claims := NewClaims(NewVoters(client, addresses), Holder("router", 7), logger, prometheus.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); claims.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return claims, voters
}

func always(result v1.ClaimResult) func(int) (v1.ClaimResult, error) {
	return func(int) (v1.ClaimResult, error) { return result, nil }
}

func failing(code connect.Code) func(int) (v1.ClaimResult, error) {
	return func(int) (v1.ClaimResult, error) { return 0, connect.NewError(code, nil) }
}

func claimWithin(t *testing.T, claims *Claims, timeout time.Duration) query.ClaimDecision {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return claims.Claim(ctx, router.ClaimRequest{CallerID: "id", Route: "send", Digest: "digest", Expiry: time.Hour})
}

// TestClaimIsResentUnderOneCall loses an answer at one voter. The claim must be
// retried at the next voter under the same call number, and the next claim must
// use another.
func TestClaimIsResentUnderOneCall(t *testing.T) {
	claims, voters := newClaims(t, failing(connect.CodeAborted), always(v1.ClaimResult_CLAIM_RESULT_GRANTED))
	require.Equal(t, query.ClaimGranted, claimWithin(t, claims, testTimeout))
	require.Equal(t, query.ClaimGranted, claimWithin(t, claims, testTimeout))
	first, second := voters[0].receivedClaims(), voters[1].receivedClaims()
	require.Len(t, first, 1, "the voter that answered must be tried first from then on")
	require.Equal(t, first[0].GetCall(), second[0].GetCall())
	require.NotEqual(t, second[0].GetCall(), second[1].GetCall())
	require.Equal(t, "router/7", second[0].GetHolder())
}

// TestUndecidedClaimIsReleased lets a claim time out. Nothing is dispatched, so
// the claim must be released under its own call number in case it was granted.
func TestUndecidedClaimIsReleased(t *testing.T) {
	claims, voters := newClaims(t, failing(connect.CodeAborted))
	require.Equal(t, query.ClaimUnavailable, claimWithin(t, claims, 100*time.Millisecond))
	select {
	case released := <-voters[0].settled:
		require.Equal(t, v1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN, released.GetOutcome())
		require.Equal(t, voters[0].receivedClaims()[0].GetCall(), released.GetCall())
	case <-time.After(testTimeout):
		require.Fail(t, "the claim was not released")
	}
}

// TestRefusalIsFinal checks that an answer which any voter would give is not
// requested again, and how each result maps to a router's decision.
func TestRefusalIsFinal(t *testing.T) {
	claims, voters := newClaims(t, failing(connect.CodeResourceExhausted), always(v1.ClaimResult_CLAIM_RESULT_GRANTED))
	require.Equal(t, query.ClaimUnavailable, claimWithin(t, claims, testTimeout))
	require.Empty(t, voters[1].receivedClaims())
	for result, decision := range map[v1.ClaimResult]query.ClaimDecision{
		v1.ClaimResult_CLAIM_RESULT_MAY_HAVE_RUN:    query.ClaimHeldMayHaveRun,
		v1.ClaimResult_CLAIM_RESULT_RAN:             query.ClaimHeldRan,
		v1.ClaimResult_CLAIM_RESULT_EXPIRED:         query.ClaimExpired,
		v1.ClaimResult_CLAIM_RESULT_DIGEST_MISMATCH: query.ClaimDigestMismatch,
		v1.ClaimResult_CLAIM_RESULT_UNSPECIFIED:     query.ClaimUnavailable,
	} {
		claims, _ := newClaims(t, always(result))
		require.Equal(t, decision, claimWithin(t, claims, testTimeout), result)
	}
}

// TestSettlement settles a held claim with its outcome, once.
func TestSettlement(t *testing.T) {
	claims, voters := newClaims(t, always(v1.ClaimResult_CLAIM_RESULT_GRANTED))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.Equal(t, query.ClaimGranted, claimWithin(t, claims, testTimeout))
	require.NoError(t, claims.Settle(ctx, "id", verdict.Ran))
	settled := <-voters[0].settled
	require.Equal(t, v1.ClaimOutcome_CLAIM_OUTCOME_RAN, settled.GetOutcome())
	require.Equal(t, voters[0].receivedClaims()[0].GetCall(), settled.GetCall())
	require.ErrorIs(t, claims.Settle(ctx, "id", verdict.Ran), ErrNotHeld)

	// A claim whose request may have run stays held.
	require.Equal(t, query.ClaimGranted, claimWithin(t, claims, testTimeout))
	require.NoError(t, claims.Settle(ctx, "id", verdict.MayHaveRun))
	require.Empty(t, voters[0].settled)
}
