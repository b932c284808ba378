package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/query"
)

// maxControlBytes bounds the reply to a probe or a cancellation.
const maxControlBytes = 1 << 20

// Probe asks a back end for its health. The second result is false when the
// router holds no connection of the server and so has nothing to say about it.
func (c *Client) Probe(ctx context.Context, address netip.AddrPort) (query.HealthObserved, bool) {
	observed := query.HealthObserved{Address: address}
	body, err := c.control(ctx, address, http.MethodGet, backendapi.PathHealth, nil)
	if errors.Is(err, errNoConnection) {
		return observed, false
	}
	if err != nil || json.Unmarshal(body, &observed.Health) != nil {
		return query.HealthObserved{Address: address, Silent: isTimeout(err)}, true
	}
	observed.Reachable = true
	return observed, true
}

// isTimeout reports whether a call failed because its time ran out.
func isTimeout(err error) bool {
	var network net.Error
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &network) && network.Timeout())
}

// Cancel tells a back end that an attempt is no longer wanted.
func (s *Sender) Cancel(ctx context.Context, address netip.AddrPort, request string, attempt query.AttemptID) error {
	document, err := json.Marshal(backendapi.CancelRequest{Request: request, Attempt: s.attemptName(attempt)})
	if err != nil {
		return err
	}
	_, err = s.control(ctx, address, http.MethodPost, backendapi.PathCancel, document)
	if err == nil {
		s.metrics.cancelsSent.Inc()
	}
	return err
}

// control sends a small request over the connection kept for that purpose.
func (c *Client) control(ctx context.Context, address netip.AddrPort, method, path string, document []byte) ([]byte, error) {
	target := c.serverAt(address)
	connections := target.control
	connected, err := connections.acquire(ctx)
	if errors.Is(err, errNoConnection) {
		connections = target.queries
		connected, err = connections.acquire(ctx)
	}
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target.host+path, bytes.NewReader(document))
	if err != nil {
		connections.release(connected, true)
		return nil, err
	}
	body, reusable, err := roundTripControl(connected, request)
	connections.release(connected, reusable)
	return body, err
}

func roundTripControl(connected *link, request *http.Request) (body []byte, reusable bool, err error) {
	connected.socket.begin()
	response, err := connected.client.RoundTrip(request)
	if err != nil {
		return nil, false, err
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, maxControlBytes))
	_ = response.Body.Close()
	if err == nil && response.StatusCode >= http.StatusMultipleChoices {
		return nil, !response.Close, errors.Newf("%s %s: status %d", request.Method, request.URL.Path, response.StatusCode)
	}
	return body, err == nil && !response.Close, err
}
