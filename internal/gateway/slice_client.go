package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/addressee"
	"github.com/martenstage/martenstage/internal/liveness"
	"github.com/martenstage/martenstage/internal/slicing"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Bounds of requesting slices from another router.
const (
	// acceptTimeout is how long a router may take to accept a slice. acceptGrace follows it
	// before the router is treated as unresponsive, so that a sender that was busy itself
	// first reads what has arrived meanwhile. Both are long, because a router wrongly treated
	// as unresponsive may already have sent hedges.
	acceptTimeout = 90 * time.Millisecond
	acceptGrace   = 15 * time.Millisecond
	// peerAckTimeout is how long data sent to a router may stay unacknowledged by its machine
	// before the connection is closed.
	peerAckTimeout  = time.Second
	peerIdlePerHost = 16
	peerIdleTimeout = 20 * time.Second
)

// sliceClient requests slices from other routers.
type sliceClient struct {
	http *http.Client
	// group returns the group of this router.
	group func() addressee.Group
	// connectTimeout is the timeout for connecting to a router.
	connectTimeout connectTimeout
}

func newSliceClient(group func() addressee.Group) *sliceClient {
	client := &sliceClient{group: group}
	client.http = &http.Client{Transport: &http.Transport{
		DialContext: client.dial, MaxIdleConnsPerHost: peerIdlePerHost, IdleConnTimeout: peerIdleTimeout,
		DisableCompression: true, MaxResponseHeaderBytes: maxPeerHeadBytes, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
	}}
	return client
}

// dial connects to a router. If it fails, nothing was sent.
func (c *sliceClient) dial(ctx context.Context, network, address string) (net.Conn, error) {
	began := steadyclock.Now()
	dialer := net.Dialer{Timeout: c.connectTimeout.current(), KeepAlive: -1, Control: liveness.LimitUnacknowledged(peerAckTimeout)}
	conn, err := dialer.DialContext(ctx, network, address)
	var failure net.Error
	if err == nil || errors.As(err, &failure) && failure.Timeout() {
		c.connectTimeout.observe(steadyclock.Now(), steadyclock.Since(began))
	}
	return conn, err
}

// Statuses and errors of a router that knows the request of a slice as quarantined or
// suspected. It has sent nothing to servers.
const (
	statusQuarantined = http.StatusUnprocessableEntity
	statusSuspected   = http.StatusConflict
)

var (
	errQuarantined = errors.New("request of the slice is quarantined")
	errSuspected   = errors.New("request of the slice is suspected")
)

var errNotAccepted = errors.New("router did not accept the slice in time")

// send requests a slice of some shards from a router and passes on its frames. If it returns an error,
// accepted reports whether the router may have sent anything to servers.
func (c *sliceClient) send(ctx context.Context, router slicing.Router, body []byte, shards int, onFrame func(sliceFrame)) (accepted bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	response, accepted, err := c.awaitAccepted(ctx, cancel, router, body)
	if err != nil {
		return accepted, err
	}
	defer func() { _ = response.Body.Close() }()
	// Each frame but the last contains a part, which bounds their number.
	for range shards + 2 {
		frame, err := readFrame(response.Body, shards)
		if err != nil {
			return true, err
		}
		onFrame(frame)
		if frame.Last {
			// Read to the end, so that the connection can be reused.
			_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1))
			return true, nil
		}
	}
	return true, errFrame
}

// awaitAccepted sends a slice and waits until the router accepts it. If it returns an error,
// mayHaveSent reports whether the router may have sent anything to servers.
func (c *sliceClient) awaitAccepted(ctx context.Context, cancel context.CancelCauseFunc, router slicing.Router, body []byte) (response *http.Response, mayHaveSent bool, err error) {
	var written, answered atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { written.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+router.Address+pathSlice, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	// A kept connection may belong to an earlier start of the router. If it ends before a
	// response arrives, nothing was sent to servers, so that net/http may resend the slice
	// over a new connection. An empty Idempotency-Key allows that without being sent.
	request.Header["Idempotency-Key"] = []string{}
	expected := addressee.Identity{Group: c.group(), Name: router.Name}
	addressee.SetHeaders(request.Header, expected)
	acceptTimer := time.AfterFunc(acceptTimeout, func() {
		time.AfterFunc(acceptGrace, func() {
			if !answered.Load() {
				cancel(errNotAccepted)
			}
		})
	})
	defer acceptTimer.Stop()
	response, err = c.roundTrip(request)
	answered.Store(err == nil)
	if err != nil {
		timedOut := errors.Is(context.Cause(ctx), errNotAccepted)
		// A timeout after something was written leaves open whether the router has sent
		// anything. The end of the connection does not: a router accepts a slice before it
		// sends anything.
		return nil, written.Load() && timedOut, err
	}
	if err := addressee.CheckResponse(response, expected, router.Identifies); err != nil {
		_ = response.Body.Close()
		return nil, mayHaveAccepted(response, err), err
	}
	if err := sliceRefusal(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return nil, false, err
	}
	return response, true, nil
}

// roundTrip sends a call and returns its response. Unlike http.Client.Do, it follows no redirect,
// which no router sends, and does not copy the URL and the headers for that. Its errors are the
// same.
func (c *sliceClient) roundTrip(request *http.Request) (*http.Response, error) {
	response, err := c.http.Transport.RoundTrip(request)
	if err != nil {
		return nil, &url.Error{Op: "Post", URL: request.URL.String(), Err: err}
	}
	return response, nil
}

// mayHaveAccepted reports whether the wrong process may have sent anything to servers of this
// group.
func mayHaveAccepted(response *http.Response, err error) bool {
	var misdirected *addressee.MisdirectedError
	otherGroup := errors.As(err, &misdirected) && misdirected.Expected.Group.Differs(misdirected.Found.Group)
	return response.StatusCode == http.StatusOK && !otherGroup
}

// sliceRefusal returns why a router refused a slice; nil if it accepted it.
func sliceRefusal(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case statusQuarantined:
		return errQuarantined
	case statusSuspected:
		return errSuspected
	}
	return errors.Newf("unexpected status %d", status)
}
