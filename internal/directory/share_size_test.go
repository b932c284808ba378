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

// TestSharedHeartbeatsAreSmall counts the bytes of what a node tells each other one every second
// of a thousand servers, and reads them as the other one does.
func TestSharedHeartbeatsAreSmall(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var told shareMessage
	for range 1000 {
		told.Beats = append(told.Beats, beat{ID: fmt.Sprintf("i-%08x", random.Uint32()), Sequence: 20 + random.Uint64N(20)})
	}
	plain, err := json.Marshal(told)
	require.NoError(t, err)
	body, err := encodeShared(told)
	require.NoError(t, err)
	require.True(t, body.compressed)
	require.Less(t, len(body.bytes), len(plain)/2, "%d of %d", len(body.bytes), len(plain))
	t.Logf("%d bytes of %d", len(body.bytes), len(plain))

	var heard shareMessage
	server := httptest.NewServer(handle(func(_ context.Context, message shareMessage) (struct{}, error) {
		heard = message
		return struct{}{}, nil
	}))
	defer server.Close()
	client := newPeerClient()
	require.NoError(t, client.send(t.Context(), server.Listener.Addr().String(), "/", body))
	require.Equal(t, told, heard)

	small, err := encodeShared(shareMessage{Settled: true})
	require.NoError(t, err)
	require.False(t, small.compressed)
	require.NoError(t, client.send(t.Context(), server.Listener.Addr().String(), "/", small))
	require.True(t, heard.Settled)
	damaged := sharedBody{bytes: []byte("no gzip"), compressed: true}
	require.Error(t, client.send(t.Context(), server.Listener.Addr().String(), "/", damaged))
}
