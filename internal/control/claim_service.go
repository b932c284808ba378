package control

import (
	"context"

	"connectrpc.com/connect"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/state"
)

// claimService implements ClaimService.
type claimService struct{ server *Server }

// Claim decides whether a request that must run at most once may be dispatched. An
// error means that this call was not granted a claim. After Aborted,
// DeadlineExceeded or a broken connection the claim may still be held; resending
// the same call returns its result.
func (s claimService) Claim(
	ctx context.Context, request *connect.Request[v1.ClaimRequest],
) (*connect.Response[v1.ClaimResponse], error) {
	if err := checkClaim(request.Msg); err != nil {
		return nil, err
	}
	call := leaderCall[v1.ClaimRequest, v1.ClaimResponse]{
		local: s.claim,
		remote: func(leader voterClients, ctx context.Context, request *connect.Request[v1.ClaimRequest]) (*connect.Response[v1.ClaimResponse], error) {
			return leader.claims.Claim(ctx, request)
		},
	}
	return call.do(ctx, s.server, request)
}

func checkClaim(request *v1.ClaimRequest) error {
	switch {
	case request.GetRequestId() == "" || len(request.GetRequestId()) > maxIDBytes:
		return refuse(connect.CodeInvalidArgument, "the request id must have 1 to %d bytes", maxIDBytes)
	case request.GetDigest() == "" || len(request.GetDigest()) > maxIDBytes:
		return refuse(connect.CodeInvalidArgument, "the digest must have 1 to %d bytes", maxIDBytes)
	case request.GetHolder() == "" || len(request.GetHolder()) > maxIDBytes:
		return refuse(connect.CodeInvalidArgument, "the holder must have 1 to %d bytes", maxIDBytes)
	case request.GetNotAfter() == nil && request.GetExpiry().AsDuration() <= 0:
		return refuse(connect.CodeInvalidArgument, "a claim needs an expiry")
	case request.GetExpiry().AsDuration() > state.DefaultLimits().ClaimExpiry:
		return refuse(connect.CodeInvalidArgument, "the expiry is longer than %s", state.DefaultLimits().ClaimExpiry)
	default:
		return nil
	}
}

func (s claimService) claim(ctx context.Context, request *v1.ClaimRequest) (*v1.ClaimResponse, error) {
	operation := &v1.ClaimOperation{
		RequestId: request.GetRequestId(),
		Holder:    request.GetHolder(),
		Call:      request.GetCall(),
		Route:     request.GetRoute(),
		Digest:    request.GetDigest(),
		ExpiryMs:  request.GetExpiry().AsDuration().Milliseconds(),
	}
	if request.GetNotAfter() != nil {
		operation.NotAfterUnixMs = request.GetNotAfter().AsTime().UnixMilli()
	}
	result, err := s.server.claims.submit(ctx, operation)
	if err != nil {
		return nil, err
	}
	return claimResponse(result)
}

func claimResponse(result state.ClaimResult) (*v1.ClaimResponse, error) {
	switch result {
	case state.ClaimGranted:
		return &v1.ClaimResponse{Result: v1.ClaimResult_CLAIM_RESULT_GRANTED}, nil
	case state.ClaimMayHaveRun:
		return &v1.ClaimResponse{Result: v1.ClaimResult_CLAIM_RESULT_MAY_HAVE_RUN}, nil
	case state.ClaimRan:
		return &v1.ClaimResponse{Result: v1.ClaimResult_CLAIM_RESULT_RAN}, nil
	case state.ClaimExpired:
		return &v1.ClaimResponse{Result: v1.ClaimResult_CLAIM_RESULT_EXPIRED}, nil
	case state.ClaimDigestMismatch:
		return &v1.ClaimResponse{Result: v1.ClaimResult_CLAIM_RESULT_DIGEST_MISMATCH}, nil
	default:
		return nil, refuse(connect.CodeResourceExhausted, "no more claims can be remembered; nothing was recorded")
	}
}

// SettleClaim records the outcome of a claimed request.
func (s claimService) SettleClaim(
	ctx context.Context, request *connect.Request[v1.SettleClaimRequest],
) (*connect.Response[v1.SettleClaimResponse], error) {
	if request.Msg.GetOutcome() == v1.ClaimOutcome_CLAIM_OUTCOME_UNSPECIFIED {
		return nil, refuse(connect.CodeInvalidArgument, "a settlement needs an outcome")
	}
	call := leaderCall[v1.SettleClaimRequest, v1.SettleClaimResponse]{
		local: s.settle,
		remote: func(leader voterClients, ctx context.Context, request *connect.Request[v1.SettleClaimRequest]) (*connect.Response[v1.SettleClaimResponse], error) {
			return leader.claims.SettleClaim(ctx, request)
		},
	}
	return call.do(ctx, s.server, request)
}

func (s claimService) settle(ctx context.Context, request *v1.SettleClaimRequest) (*v1.SettleClaimResponse, error) {
	_, err := s.server.claims.submit(ctx, &v1.ClaimOperation{
		RequestId: request.GetRequestId(),
		Holder:    request.GetHolder(),
		Call:      request.GetCall(),
		Settle:    request.GetOutcome(),
	})
	if err != nil {
		return nil, err
	}
	return &v1.SettleClaimResponse{}, nil
}
