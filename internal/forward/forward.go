package forward

import (
	"context"
	"net"
	"sync"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Client forwards requests to other routers. It implements router.Forwarder and
// router.RegionCaller.
type Client struct {
	name   string
	client *rpc.Client

	mutex sync.Mutex
	peers map[string]martenstagev1connect.ForwardServiceClient
}

// NewClient returns a client that identifies itself to its peers by name.
func NewClient(name string, security *rpc.Security) *Client {
	return &Client{
		name:   name,
		client: rpc.NewClient(security, rpc.ClientConfig{ServerRoles: []keys.Role{keys.RoleRouter}}),
		peers:  make(map[string]martenstagev1connect.ForwardServiceClient),
	}
}

// Forward implements router.Forwarder.
func (c *Client) Forward(ctx context.Context, peer router.Peer, request router.Request) query.Answer {
	message := requestToWire(c.name, request, steadyclock.Now())
	response, err := c.peer(peer.Address.String()).Query(ctx, connect.NewRequest(message))
	if err != nil {
		return connectionFailure(ctx, peer, err)
	}
	return answerFromWire(response.Msg)
}

func (c *Client) peer(address string) martenstagev1connect.ForwardServiceClient {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	existing, ok := c.peers[address]
	if !ok {
		existing = martenstagev1connect.NewForwardServiceClient(trackingHTTPClient{c.client.HTTP()}, c.client.URL(address), rpc.ClientOptions())
		c.peers[address] = existing
	}
	return existing
}

// connectionFailure returns the answer for a call that the peer did not answer.
// Only a failure to connect proves that the peer did not run the request.
func connectionFailure(ctx context.Context, peer router.Peer, err error) query.Answer {
	failure := &verdict.Error{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonConnection,
		Detail: "router " + peer.Name + " did not answer"}
	var operation *net.OpError
	switch {
	case errors.As(err, &operation) && operation.Op == "dial":
		failure.Verdict = verdict.NotRun
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		failure.Reason = verdict.ReasonTimeout
	case ctx.Err() != nil:
		failure.Reason = verdict.ReasonCanceled
	}
	return query.Answer{Verdict: failure.Verdict, Err: failure}
}
