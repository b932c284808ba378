package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/slicing"
)

// Bounds of asking another router.
const (
	peerDialTimeout = 60 * time.Millisecond
	// acceptTime is how long a router may take to say that it has the request.
	acceptTime      = 90 * time.Millisecond
	peerIdlePerHost = 16
	peerIdleTime    = 20 * time.Second
)

// sliceClient asks other routers for slices.
type sliceClient struct{ http *http.Client }

func newSliceClient() *sliceClient {
	dialer := &net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1}
	return &sliceClient{http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: peerIdlePerHost, IdleConnTimeout: peerIdleTime,
		DisableCompression: true, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
	}}}
}

var errNotAccepted = errors.New("the router did not accept the slice in time")

// ask sends a slice to a router and hands on its frames. When it returns an
// error, accepted says whether the router may have sent something to servers.
func (c *sliceClient) ask(ctx context.Context, router slicing.Router, asked sliceRequest, each func(sliceFrame)) (accepted bool, err error) {
	body, err := json.Marshal(asked)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router.Address+pathSlice, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	patience := time.AfterFunc(acceptTime, func() { cancel(errNotAccepted) })
	response, err := c.http.Do(request)
	patience.Stop()
	if err != nil {
		// A refused connection proves that it has nothing; silence proves nothing.
		return !isDialError(err), err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false, errors.Newf("status %d", response.StatusCode)
	}
	// Each frame but the last brings a part, so that there are no more than these;
	// the receiver of events has room for them.
	for range len(asked.Shards) + 2 {
		frame, err := readFrame(response.Body, len(asked.Shards))
		if err != nil {
			return true, err
		}
		each(frame)
		if frame.Last {
			// Read to the end, so that the connection is kept.
			_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 1))
			return true, nil
		}
	}
	return true, errFrame
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
