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

// maxControlBytes limits the size of the reply to a probe or a cancellation.
const maxControlBytes = 1 << 20

// Probe requests a back end's health. The second result is false if this router
// has no share of the server's connections and therefore could not probe it.
func (c *Client) Probe(ctx context.Context, address netip.AddrPort) (query.HealthObserved, bool) {
	observed := query.HealthObserved{Address: address}
	body, err := c.sendControl(ctx, address, http.MethodGet, backendapi.PathHealth, nil)
	if errors.Is(err, errNoConnection) {
		return observed, false
	}
	if err != nil || json.Unmarshal(body, &observed.Health) != nil {
		return query.HealthObserved{Address: address, TimedOut: isTimeout(err)}, true
	}
	observed.Reachable = true
	return observed, true
}

// isTimeout reports whether a call failed because of a timeout.
func isTimeout(err error) bool {
	var network net.Error
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &network) && network.Timeout())
}

// Cancel requests that a back end cancel an attempt.
func (s *Sender) Cancel(ctx context.Context, address netip.AddrPort, request string, attempt query.AttemptID) error {
	requestBody, err := json.Marshal(backendapi.CancelRequest{Request: request, Attempt: s.attemptWireID(attempt)})
	if err != nil {
		return err
	}
	_, err = s.sendControl(ctx, address, http.MethodPost, backendapi.PathCancel, requestBody)
	if err == nil {
		s.metrics.cancelsSent.Inc()
	}
	return err
}

// sendControl sends a probe or cancellation over the control connection, or
// over a query connection if the router's share has no control connection.
func (c *Client) sendControl(ctx context.Context, address netip.AddrPort, method, path string, requestBody []byte) ([]byte, error) {
	target := c.serverAt(address)
	source := target.control
	connection, err := source.acquire(ctx)
	if errors.Is(err, errNoConnection) {
		source = target.queries
		connection, err = source.acquire(ctx)
	}
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target.host+path, bytes.NewReader(requestBody))
	if err != nil {
		source.release(connection, true)
		return nil, err
	}
	body, reusable, err := roundTripControl(connection, request)
	source.release(connection, reusable)
	return body, err
}

func roundTripControl(connection *clientConnection, request *http.Request) (body []byte, reusable bool, err error) {
	connection.socket.beginRequest()
	response, err := connection.client.RoundTrip(request)
	if err != nil {
		return nil, false, err
	}
	body, err = io.ReadAll(io.LimitReader(response.Body, maxControlBytes))
	_ = response.Body.Close()
	if err == nil && (response.StatusCode < http.StatusOK || response.StatusCode >= http.StatusMultipleChoices) {
		return nil, !response.Close, errors.Newf("%s %s: status %d", request.Method, request.URL.Path, response.StatusCode)
	}
	return body, err == nil && !response.Close, err
}
