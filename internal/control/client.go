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

// Times of the client.
const (
	// attemptTimeout bounds one call to one voter. It covers an election.
	attemptTimeout = 5 * time.Second
	// firstPause and longestPause lie between rounds over all addresses.
	firstPause   = 50 * time.Millisecond
	longestPause = 250 * time.Millisecond
)

// ErrUnavailable says that no voter gave a definite answer in time. What was
// asked had no effect, or was a read.
var ErrUnavailable = errors.New("no control voter with a quorum answered")

// Client calls the services of control for operators' programs. It tries the
// given voters in turn, and again until its context ends, so a change of
// leader or a lost answer is not an error. Writes carry an id that the servers
// recognize when they are resent.
type Client struct {
	voters []peers
	next   int
	// waiting is told after each round without a definite answer; nil for nobody.
	waiting func(why string)
}

// NewClient returns a client of the voters at the addresses, of which there
// must be one at least.
func NewClient(addresses []string, client *rpc.Client) *Client {
	voters := lo.Map(addresses, func(address string, _ int) peers { return newPeers(client, address) })
	return &Client{voters: voters}
}

// OnWaiting sets a function that is called after each round over all voters that
// gave no definite answer, with what each of them said.
func (c *Client) OnWaiting(waiting func(why string)) { c.waiting = waiting }

// Apply submits a configuration and resends it under the same change id until
// an answer is definite. voter.ErrOutcomeUnknown means that the time ran out with a
// copy on its way: it may be accepted, and only the same change id will tell.
func (c *Client) Apply(ctx context.Context, request *v1.ApplyRequest) (*v1.ApplyResponse, error) {
	return write(ctx, c, request, func(to peers, ctx context.Context, request *connect.Request[v1.ApplyRequest]) (*connect.Response[v1.ApplyResponse], error) {
		return to.config.Apply(ctx, request)
	})
}

// SetDrain marks a back end as leaving or removes the mark, with the resends
// of Apply.
func (c *Client) SetDrain(ctx context.Context, request *v1.SetDrainRequest) error {
	_, err := write(ctx, c, request, func(to peers, ctx context.Context, request *connect.Request[v1.SetDrainRequest]) (*connect.Response[v1.SetDrainResponse], error) {
		return to.config.SetDrain(ctx, request)
	})
	return err
}

// Get returns a revision; 0 asks for the latest.
func (c *Client) Get(ctx context.Context, revision uint64) (*v1.Revision, error) {
	response, err := read(ctx, c, &v1.GetRequest{Revision: revision}, func(to peers, ctx context.Context, request *connect.Request[v1.GetRequest]) (*connect.Response[v1.GetResponse], error) {
		return to.config.Get(ctx, request)
	})
	return response.GetRevision(), err
}

// History lists the newest revisions first, without texts.
func (c *Client) History(ctx context.Context, limit uint32) ([]*v1.Revision, error) {
	response, err := read(ctx, c, &v1.HistoryRequest{Limit: limit}, func(to peers, ctx context.Context, request *connect.Request[v1.HistoryRequest]) (*connect.Response[v1.HistoryResponse], error) {
		return to.config.History(ctx, request)
	})
	return response.GetRevisions(), err
}

// Status returns the confirmed leader's view of the group.
func (c *Client) Status(ctx context.Context) (*v1.StatusResponse, error) {
	return read(ctx, c, &v1.StatusRequest{}, func(to peers, ctx context.Context, request *connect.Request[v1.StatusRequest]) (*connect.Response[v1.StatusResponse], error) {
		return to.config.Status(ctx, request)
	})
}

// LocalStatuses returns each reachable voter's own, unconfirmed view, for use
// while there is no quorum. The voters that don't answer are left out.
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
	response, err := read(ctx, c, &v1.ListVotersRequest{}, func(to peers, ctx context.Context, request *connect.Request[v1.ListVotersRequest]) (*connect.Response[v1.VotersResponse], error) {
		return to.config.ListVoters(ctx, request)
	})
	return response.GetVoters(), err
}

// AddVoter adds a voter. Adding one that is there already is a success.
func (c *Client) AddVoter(ctx context.Context, id uint64, address string) ([]*v1.Voter, error) {
	response, err := write(ctx, c, &v1.AddVoterRequest{Id: id, Address: address}, func(to peers, ctx context.Context, request *connect.Request[v1.AddVoterRequest]) (*connect.Response[v1.VotersResponse], error) {
		return to.config.AddVoter(ctx, request)
	})
	return response.GetVoters(), err
}

// RemoveVoter removes a voter. Removing one that is gone is a success.
func (c *Client) RemoveVoter(ctx context.Context, id uint64) ([]*v1.Voter, error) {
	response, err := write(ctx, c, &v1.RemoveVoterRequest{Id: id}, func(to peers, ctx context.Context, request *connect.Request[v1.RemoveVoterRequest]) (*connect.Response[v1.VotersResponse], error) {
		return to.config.RemoveVoter(ctx, request)
	})
	return response.GetVoters(), err
}

// TransferLeadership hands leadership to a voter, or to any when to is 0.
func (c *Client) TransferLeadership(ctx context.Context, to uint64) error {
	_, err := write(ctx, c, &v1.TransferLeadershipRequest{To: to}, func(to peers, ctx context.Context, request *connect.Request[v1.TransferLeadershipRequest]) (*connect.Response[v1.TransferLeadershipResponse], error) {
		return to.config.TransferLeadership(ctx, request)
	})
	return err
}

// Events lists the newest events that match, oldest first.
func (c *Client) Events(ctx context.Context, request *v1.ListEventsRequest) (*v1.ListEventsResponse, error) {
	return read(ctx, c, request, func(to peers, ctx context.Context, request *connect.Request[v1.ListEventsRequest]) (*connect.Response[v1.ListEventsResponse], error) {
		return to.events.List(ctx, request)
	})
}

func read[Request, Response any](ctx context.Context, client *Client, request *Request, call remoteCall[Request, Response]) (*Response, error) {
	response, _, err := untilDefinite(ctx, client, request, call)
	return response, err
}

// write is like read, but tells a request that surely had no effect from one
// that may have.
func write[Request, Response any](ctx context.Context, client *Client, request *Request, call remoteCall[Request, Response]) (*Response, error) {
	response, doubtful, err := untilDefinite(ctx, client, request, call)
	if err != nil && doubtful {
		return nil, errors.Mark(err, voter.ErrOutcomeUnknown)
	}
	return response, err
}

// untilDefinite calls the voters in turn until one gives a definite answer or
// the context ends. Doubtful says that some copy of the request may take
// effect later.
func untilDefinite[Request, Response any](
	ctx context.Context, client *Client, request *Request, call remoteCall[Request, Response],
) (response *Response, doubtful bool, err error) {
	pause := firstPause
	said := make(failures, len(client.voters))
	for attempt := 1; ; attempt++ {
		response, err := attemptOnce(ctx, client, request, call)
		if err == nil || isDefinite(err) {
			return response, false, definite(err)
		}
		doubtful = doubtful || !hadNoEffect(err)
		said.note(client.next%len(client.voters), err, ctx.Err() != nil)
		client.next++
		if attempt%len(client.voters) != 0 {
			continue
		}
		if said.allCertificates() {
			return nil, doubtful, errors.Mark(errors.Newf("%v: %s", ErrCertificate, said.describe(client.voters)), ErrCertificate)
		}
		client.tell(said)
		if !wait.For(ctx, jitter(pause)) {
			return nil, doubtful, errors.Mark(errors.Newf("%v: %s", ErrUnavailable, said.describe(client.voters)), ErrUnavailable)
		}
		pause = min(2*pause, longestPause)
	}
}

func (c *Client) tell(said failures) {
	if c.waiting != nil {
		c.waiting(said.describe(c.voters))
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

// isDefinite reports whether an error is an answer that another attempt would
// get again.
func isDefinite(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeAlreadyExists, connect.CodeFailedPrecondition,
		connect.CodePermissionDenied, connect.CodeUnauthenticated, connect.CodeUnimplemented, connect.CodeDataLoss:
		return true
	default:
		return false
	}
}

// hadNoEffect reports whether a failed attempt surely changed nothing: a voter
// said so, or no connection came about.
func hadNoEffect(err error) bool {
	return neverSent(err) || isCertificateError(err) || connect.IsWireError(err) && connect.CodeOf(err) != connect.CodeAborted
}

// neverSent reports whether no connection came about.
func neverSent(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

// answerError is a definite answer that is an error. It reads without the
// transport's wording.
type answerError struct{ cause *connect.Error }

// Error returns the server's words.
func (e answerError) Error() string { return e.cause.Message() }

// Unwrap returns the error with its code.
func (e answerError) Unwrap() error { return e.cause }

func definite(err error) error {
	var coded *connect.Error
	if errors.As(err, &coded) {
		return answerError{coded}
	}
	return err
}

func jitter(pause time.Duration) time.Duration { return pause/2 + rand.N(pause) }
