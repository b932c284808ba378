package control

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/voter"
	"github.com/martenstage/martenstage/internal/wait"
)

// Timeouts and retry delays of the client.
const (
	// attemptTimeout bounds one call to one voter. It is long enough for an
	// election.
	attemptTimeout = 5 * time.Second
	// initialBackoff and maxBackoff bound the delay between rounds over all
	// addresses.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
)

// ErrUnavailable means that no voter gave a definite answer in time. The request
// had no effect, or was a read.
var ErrUnavailable = errors.New("no control voter with a quorum answered")

// Client calls the control services for operators' programs. It tries the given
// voters in turn and retries until its context ends, so a leader change or a lost
// answer is not an error. Writes carry an id by which the servers recognize
// retries.
type Client struct {
	voters []voterClients
	next   int
	// onRetry is called after each round without a definite answer; may be nil.
	onRetry func(why string)
}

// NewClient returns a client of the voters at the addresses. At least one address
// is required.
func NewClient(addresses []string, client *rpc.Client) *Client {
	voters := lo.Map(addresses, func(address string, _ int) voterClients { return newVoterClients(client, address) })
	return &Client{voters: voters}
}

// OnRetry sets a function that is called after each round over all voters
// without a definite answer, with the last error of each voter.
func (c *Client) OnRetry(onRetry func(why string)) { c.onRetry = onRetry }

// Apply submits a configuration and resends it under the same change id until it
// gets a definite answer. voter.ErrOutcomeUnknown means that the context ended
// while a copy may still take effect: only a retry with the same change id can
// find the result.
func (c *Client) Apply(ctx context.Context, request *v1.ApplyRequest) (*v1.ApplyResponse, error) {
	return write(ctx, c, request, func(to voterClients, ctx context.Context, request *connect.Request[v1.ApplyRequest]) (*connect.Response[v1.ApplyResponse], error) {
		return to.config.Apply(ctx, request)
	})
}

// SetDrain sets or clears the drain mark of a back end, with the retries of Apply.
func (c *Client) SetDrain(ctx context.Context, request *v1.SetDrainRequest) error {
	_, err := write(ctx, c, request, func(to voterClients, ctx context.Context, request *connect.Request[v1.SetDrainRequest]) (*connect.Response[v1.SetDrainResponse], error) {
		return to.config.SetDrain(ctx, request)
	})
	return err
}

// Get returns a revision; 0 means the latest.
func (c *Client) Get(ctx context.Context, revision uint64) (*v1.Revision, error) {
	response, err := read(ctx, c, &v1.GetRequest{Revision: revision}, func(to voterClients, ctx context.Context, request *connect.Request[v1.GetRequest]) (*connect.Response[v1.GetResponse], error) {
		return to.config.Get(ctx, request)
	})
	return response.GetRevision(), err
}

// History lists revisions without their texts, newest first.
func (c *Client) History(ctx context.Context, limit uint32) ([]*v1.Revision, error) {
	response, err := read(ctx, c, &v1.HistoryRequest{Limit: limit}, func(to voterClients, ctx context.Context, request *connect.Request[v1.HistoryRequest]) (*connect.Response[v1.HistoryResponse], error) {
		return to.config.History(ctx, request)
	})
	return response.GetRevisions(), err
}

// Status returns the group's status as seen by the confirmed leader.
func (c *Client) Status(ctx context.Context) (*v1.StatusResponse, error) {
	return read(ctx, c, &v1.StatusRequest{}, func(to voterClients, ctx context.Context, request *connect.Request[v1.StatusRequest]) (*connect.Response[v1.StatusResponse], error) {
		return to.config.Status(ctx, request)
	})
}

// LocalStatuses returns the local, unconfirmed view of each reachable voter, for
// use while there is no quorum. Voters that don't answer are omitted.
func (c *Client) LocalStatuses(ctx context.Context) []*v1.StatusResponse {
	var statuses []*v1.StatusResponse
	for _, voter := range c.voters {
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		response, err := voter.config.Status(attempt, connect.NewRequest(&v1.StatusRequest{Local: true}))
		cancel()
		if err == nil {
			statuses = append(statuses, response.Msg)
		}
	}
	return statuses
}

// ListVoters lists voters and learners.
func (c *Client) ListVoters(ctx context.Context) ([]*v1.Voter, error) {
	response, err := read(ctx, c, &v1.ListVotersRequest{}, func(to voterClients, ctx context.Context, request *connect.Request[v1.ListVotersRequest]) (*connect.Response[v1.VotersResponse], error) {
		return to.config.ListVoters(ctx, request)
	})
	return response.GetVoters(), err
}

// AddVoter adds a voter. Adding a voter that is already a member succeeds.
func (c *Client) AddVoter(ctx context.Context, id uint64, address string) ([]*v1.Voter, error) {
	response, err := write(ctx, c, &v1.AddVoterRequest{Id: id, Address: address}, func(to voterClients, ctx context.Context, request *connect.Request[v1.AddVoterRequest]) (*connect.Response[v1.VotersResponse], error) {
		return to.config.AddVoter(ctx, request)
	})
	return response.GetVoters(), err
}

// RemoveVoter removes a voter. Removing a voter that is no longer a member
// succeeds.
func (c *Client) RemoveVoter(ctx context.Context, id uint64) ([]*v1.Voter, error) {
	response, err := write(ctx, c, &v1.RemoveVoterRequest{Id: id}, func(to voterClients, ctx context.Context, request *connect.Request[v1.RemoveVoterRequest]) (*connect.Response[v1.VotersResponse], error) {
		return to.config.RemoveVoter(ctx, request)
	})
	return response.GetVoters(), err
}

// TransferLeadership transfers leadership to a voter, or to any other voter if to
// is 0.
func (c *Client) TransferLeadership(ctx context.Context, to uint64) error {
	_, err := write(ctx, c, &v1.TransferLeadershipRequest{To: to}, func(to voterClients, ctx context.Context, request *connect.Request[v1.TransferLeadershipRequest]) (*connect.Response[v1.TransferLeadershipResponse], error) {
		return to.config.TransferLeadership(ctx, request)
	})
	return err
}

// Events lists the newest matching events, oldest first.
func (c *Client) Events(ctx context.Context, request *v1.ListEventsRequest) (*v1.ListEventsResponse, error) {
	return read(ctx, c, request, func(to voterClients, ctx context.Context, request *connect.Request[v1.ListEventsRequest]) (*connect.Response[v1.ListEventsResponse], error) {
		return to.events.List(ctx, request)
	})
}

func read[Request, Response any](ctx context.Context, client *Client, request *Request, call remoteCall[Request, Response]) (*Response, error) {
	response, _, err := callUntilDefinite(ctx, client, request, call)
	return response, err
}

// write is like read, but marks the error with voter.ErrOutcomeUnknown if the
// request may have had an effect.
func write[Request, Response any](ctx context.Context, client *Client, request *Request, call remoteCall[Request, Response]) (*Response, error) {
	response, outcomeUnknown, err := callUntilDefinite(ctx, client, request, call)
	if err != nil && outcomeUnknown {
		return nil, errors.Mark(err, voter.ErrOutcomeUnknown)
	}
	return response, err
}

// callUntilDefinite calls the voters in turn until one gives a definite answer or
// the context ends. outcomeUnknown reports that a copy of the request may still
// take effect.
func callUntilDefinite[Request, Response any](
	ctx context.Context, client *Client, request *Request, call remoteCall[Request, Response],
) (response *Response, outcomeUnknown bool, err error) {
	backoff := initialBackoff
	lastErrors := make(voterErrors, len(client.voters))
	for attempt := 1; ; attempt++ {
		response, err := attemptOnce(ctx, client, request, call)
		if err == nil || isDefinite(err) {
			return response, false, definite(err)
		}
		outcomeUnknown = outcomeUnknown || !hadNoEffect(err)
		lastErrors.record(client.next%len(client.voters), err, ctx.Err() != nil)
		client.next++
		if attempt%len(client.voters) != 0 {
			continue
		}
		if lastErrors.allCertificateErrors() {
			return nil, outcomeUnknown, errors.Mark(errors.Newf("%v: %s", ErrCertificate, lastErrors.describe(client.voters)), ErrCertificate)
		}
		client.notifyRetry(lastErrors)
		if !wait.For(ctx, jitter(backoff)) {
			return nil, outcomeUnknown, errors.Mark(errors.Newf("%v: %s", ErrUnavailable, lastErrors.describe(client.voters)), ErrUnavailable)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (c *Client) notifyRetry(lastErrors voterErrors) {
	if c.onRetry != nil {
		c.onRetry(lastErrors.describe(c.voters))
	}
}

func attemptOnce[Request, Response any](
	ctx context.Context, client *Client, request *Request, call remoteCall[Request, Response],
) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err := call(client.voters[client.next%len(client.voters)], ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// isDefinite reports whether an error is an answer that a retry would get again.
func isDefinite(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeAlreadyExists, connect.CodeFailedPrecondition,
		connect.CodePermissionDenied, connect.CodeUnauthenticated, connect.CodeUnimplemented, connect.CodeDataLoss:
		return true
	default:
		return false
	}
}

// hadNoEffect reports whether a failed attempt certainly changed nothing: a voter
// reported so, or no connection was established.
func hadNoEffect(err error) bool {
	return neverSent(err) || isCertificateError(err) || connect.IsWireError(err) && connect.CodeOf(err) != connect.CodeAborted
}

// neverSent reports whether no connection was established.
func neverSent(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

// answerError is a definite answer that is an error. Its text omits the
// transport's prefix.
type answerError struct{ cause *connect.Error }

// Error returns the server's message.
func (e answerError) Error() string { return e.cause.Message() }

// Unwrap returns the error with its status code.
func (e answerError) Unwrap() error { return e.cause }

func definite(err error) error {
	var coded *connect.Error
	if errors.As(err, &coded) {
		return answerError{coded}
	}
	return err
}

func jitter(backoff time.Duration) time.Duration { return backoff/2 + rand.N(backoff) }
