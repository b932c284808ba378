package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/addressee"
	"github.com/martenstage/martenstage/internal/liveness"
	"github.com/martenstage/martenstage/internal/slicing"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// Bounds of asking another router.
const (
	// acceptTime is how long a router that was sent a slice may take to say that it has
	// it; acceptGrace is what passes after that before it is taken for silent, so that a
	// router that was busy itself reads first what has come in meanwhile. Both are long,
	// since one that is taken for silent wrongly may have asked second servers already.
	acceptTime  = 90 * time.Millisecond
	acceptGrace = 15 * time.Millisecond
	// peerSilence is how long bytes that were sent to a router may stay unacknowledged by
	// its machine before the connection ends.
	peerSilence     = time.Second
	peerIdlePerHost = 16
	peerIdleTime    = 20 * time.Second
)

// sliceClient asks other routers for slices.
type sliceClient struct {
	http *http.Client
	// group returns that of this router.
	group func() addressee.Group
	// patience is how long a connection to a router may take to come up.
	patience patience
}

func newSliceClient(group func() addressee.Group) *sliceClient {
	client := &sliceClient{group: group}
	client.http = &http.Client{Transport: &http.Transport{
		DialContext: client.dial, MaxIdleConnsPerHost: peerIdlePerHost, IdleConnTimeout: peerIdleTime,
		DisableCompression: true, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10,
	}}
	return client
}

// dial connects to a router, which proves nothing sent where it fails.
func (c *sliceClient) dial(ctx context.Context, network, address string) (net.Conn, error) {
	began := steadyclock.Now()
	dialer := net.Dialer{Timeout: c.patience.current(), KeepAlive: -1, Control: liveness.Bound(peerSilence)}
	conn, err := dialer.DialContext(ctx, network, address)
	var failure net.Error
	if err == nil || errors.As(err, &failure) && failure.Timeout() {
		c.patience.observe(steadyclock.Now(), steadyclock.Since(began))
	}
	return conn, err
}

// Answers of a router that knows the request of a slice as one that ends its servers, or may,
// and what comes of them. It has sent nothing.
const (
	statusQuarantined = http.StatusUnprocessableEntity
	statusSuspected   = http.StatusConflict
)

var (
	errQuarantined = errors.New("the request of the slice is quarantined")
	errSuspected   = errors.New("the request of the slice is suspected")
)

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
	response, accepted, err := c.accepted(ctx, cancel, router, body)
	if err != nil {
		return accepted, err
	}
	defer func() { _ = response.Body.Close() }()
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

// accepted sends a slice and waits until the router says that it has it. When it returns
// an error, may says whether the router may have sent something to servers.
func (c *sliceClient) accepted(ctx context.Context, cancel context.CancelCauseFunc, router slicing.Router, body []byte) (response *http.Response, may bool, err error) {
	var written, answered atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { written.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+router.Address+pathSlice, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	// A kept connection may be to an earlier start of the router. Where it ends before
	// anything came, nothing was sent to servers, so that net/http may send the slice
	// again over a new one; an empty key says so to it alone.
	request.Header["Idempotency-Key"] = []string{}
	expected := addressee.Identity{Group: c.group(), Name: router.Name}
	addressee.Mark(request.Header, expected)
	silence := time.AfterFunc(acceptTime, func() {
		time.AfterFunc(acceptGrace, func() {
			if !answered.Load() {
				cancel(errNotAccepted)
			}
		})
	})
	defer silence.Stop()
	response, err = c.http.Do(request)
	answered.Store(err == nil)
	if err != nil {
		silent := errors.Is(context.Cause(ctx), errNotAccepted)
		// Silence proves nothing once something was written. A connection that ends does:
		// a router says that it has a slice before it sends anything.
		return nil, written.Load() && silent, err
	}
	if err := addressee.Check(response, expected, router.Identifies); err != nil {
		_ = response.Body.Close()
		return nil, mayHaveTaken(response, err), err
	}
	if err := sliceRefusal(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return nil, false, err
	}
	return response, true, nil
}

// mayHaveTaken reports whether a process that was not meant may have sent something to servers of
// this group.
func mayHaveTaken(response *http.Response, err error) bool {
	var misdirected *addressee.MisdirectedError
	stranger := errors.As(err, &misdirected) && misdirected.Expected.Group.Differs(misdirected.Found.Group)
	return response.StatusCode == http.StatusOK && !stranger
}

// sliceRefusal returns why a router did not take a slice; nil if it did.
func sliceRefusal(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case statusQuarantined:
		return errQuarantined
	case statusSuspected:
		return errSuspected
	}
	return errors.Newf("status %d", status)
}
