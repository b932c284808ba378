package directory

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/addressee"
	"github.com/martenstage/martenstage/internal/liveness"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/voter"
)

// Limits of calls between nodes.
const (
	peerDialTimeout  = 400 * time.Millisecond
	deliverTimeout   = 500 * time.Millisecond
	deliverBytesRate = 10 << 20 // bytes per second
	deliverCallBytes = 1 << 20
	// peerAckTimeout is how long sent bytes may remain unacknowledged by the peer's host before
	// the connection is closed.
	peerAckTimeout    = time.Second
	peerIdlePerHost   = 8
	maxPeerReplyBytes = 64 << 20
)

// peerClient calls other nodes.
type peerClient struct {
	http *http.Client
	// group is the group of this node; operators have none.
	group groupHolder
}

var _ voter.Transport = (*peerClient)(nil)

// maxPeerHeadBytes bounds the head of an answer of another process of the system.
const maxPeerHeadBytes = 64 << 10

func newPeerClient() *peerClient {
	dialer := &net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1, Control: liveness.LimitUnacknowledged(peerAckTimeout)}
	return &peerClient{http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: peerIdlePerHost, DisableCompression: true, MaxResponseHeaderBytes: maxPeerHeadBytes,
	}}}
}

// Send delivers consensus messages in order. On a failure the remaining ones are lost, which
// the protocol tolerates.
func (c *peerClient) Send(_ uint64, address string, messages [][]byte) {
	for len(messages) > 0 {
		count, size := 0, 0
		for count < len(messages) && size < deliverCallBytes {
			size += len(messages[count])
			count++
		}
		if !c.deliver(address, messages[:count], size) {
			return
		}
		messages = messages[count:]
	}
}

func (c *peerClient) deliver(address string, messages [][]byte, size int) bool {
	timeout := deliverTimeout + time.Duration(size)*time.Second/deliverBytesRate
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := c.post(ctx, address, pathDeliver, frame(messages))
	return err == nil
}

// call posts a message as JSON and decodes the reply into reply, unless that is nil. Errors are
// ErrUnavailable or *routing.InvalidError.
func (c *peerClient) call(ctx context.Context, address, path string, message, reply any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	replyBody, err := c.post(ctx, address, path, body)
	if err != nil || reply == nil {
		return err
	}
	if err := json.Unmarshal(replyBody, reply); err != nil {
		return errors.Wrapf(ErrUnavailable, "reply of %s: %v", address, err)
	}
	return nil
}

// sharedBody is an encoded, possibly compressed message for several nodes.
type sharedBody struct {
	bytes      []byte
	compressed bool
}

// encodeShared encodes a message once for all receivers and compresses long ones. Each node
// shares the heartbeats of its servers every second; for some thousand servers, compression
// reduces them to a third of the bytes (TestSharedHeartbeatsAreSmall).
func encodeShared(message any) (sharedBody, error) {
	plain, err := json.Marshal(message)
	if err != nil || len(plain) < compressMinBytes {
		return sharedBody{bytes: plain}, err
	}
	compressed, err := PackDocument(plain)
	return sharedBody{bytes: compressed, compressed: true}, err
}

// send posts an encoded message whose reply is empty.
func (c *peerClient) send(ctx context.Context, address, path string, body sharedBody) error {
	request, err := newPeerRequest(ctx, address, path, body.bytes)
	if err != nil {
		return err
	}
	if body.compressed {
		request.Header.Set("Content-Encoding", encodingGzip)
	}
	_, err = c.do(request, address)
	return err
}

func newPeerRequest(ctx context.Context, address, path string, body []byte) (*http.Request, error) {
	return http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
}

func (c *peerClient) post(ctx context.Context, address, path string, body []byte) ([]byte, error) {
	request, err := newPeerRequest(ctx, address, path, body)
	if err != nil {
		return nil, err
	}
	return c.do(request, address)
}

func (c *peerClient) do(request *http.Request, address string) ([]byte, error) {
	expected := addressee.Identity{Group: c.group.get()}
	addressee.SetHeaders(request.Header, expected)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := addressee.CheckResponse(response, expected, false); err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%s: %v", address, err)
	}
	replyBody, err := io.ReadAll(io.LimitReader(response.Body, maxPeerReplyBytes))
	switch {
	case err != nil:
		return nil, errors.Wrapf(ErrUnavailable, "reply of %s: %v", address, err)
	case response.StatusCode == http.StatusUnprocessableEntity:
		return nil, &routing.InvalidError{Detail: string(replyBody)}
	case response.StatusCode != http.StatusOK:
		return nil, &refusedError{detail: fmt.Sprintf("%s answered %d %s", address, response.StatusCode, bytes.TrimSpace(replyBody))}
	}
	return replyBody, nil
}
