package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSharedHeartbeatsAreSmall measures the size of the message with the heartbeats of a
// thousand servers that a node sends to each other node every second, and decodes it like the
// receiver.
func TestSharedHeartbeatsAreSmall(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var sent shareMessage
	for range 1000 {
		sent.Heartbeats = append(sent.Heartbeats, sharedHeartbeat{ID: fmt.Sprintf("i-%08x", random.Uint32()), Sequence: 20 + random.Uint64N(20)})
	}
	plain, err := json.Marshal(sent)
	require.NoError(t, err)
	body, err := encodeShared(sent)
	require.NoError(t, err)
	require.True(t, body.compressed)
	require.Less(t, len(body.bytes), len(plain)/2, "%d of %d", len(body.bytes), len(plain))
	t.Logf("%d bytes of %d", len(body.bytes), len(plain))

	var received shareMessage
	server := httptest.NewServer(handle(func(_ context.Context, message shareMessage) (struct{}, error) {
		received = message
		return struct{}{}, nil
	}))
	defer server.Close()
	client := newPeerClient()
	require.NoError(t, client.send(t.Context(), server.Listener.Addr().String(), "/", body))
	require.Equal(t, sent, received)

	small, err := encodeShared(shareMessage{Settled: true})
	require.NoError(t, err)
	require.False(t, small.compressed)
	require.NoError(t, client.send(t.Context(), server.Listener.Addr().String(), "/", small))
	require.True(t, received.Settled)
	damaged := sharedBody{bytes: []byte("no gzip"), compressed: true}
	require.Error(t, client.send(t.Context(), server.Listener.Addr().String(), "/", damaged))
}
