package exchange

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/message"
)

// attemptCodec sets two headers for each attempt.
type attemptCodec struct{ Codec }

func (attemptCodec) Outgoing(header message.Header, remaining time.Duration, instance string) {
	header["X-Left"] = []string{remaining.String()}
	header["X-Meant"] = []string{instance}
}

func TestEachAttemptHasItsOwnHeadersAndAllOthers(t *testing.T) {
	request := &message.Request{
		Method: http.MethodPost, Target: "/a?b=%20", Host: "site", Body: []byte("the body"),
		Header: message.Header{"X-Left": {"client's"}, "Accept": {"a", "b"}},
	}
	encoded := Encode(attemptCodec{}, request)
	for _, instance := range []string{"i-1", "i-2", "evil\r\nX-Other: 1"} {
		read, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(encoded.withAttemptHeaders(attemptCodec{}, time.Second, instance))))
		require.NoError(t, err)
		require.Equal(t, "POST", read.Method)
		require.Equal(t, "/a?b=%20", read.RequestURI)
		require.Equal(t, "site", read.Host)
		require.Equal(t, []string{"1s"}, read.Header["X-Left"])
		require.Equal(t, []string{"a", "b"}, read.Header["Accept"])
		require.Len(t, read.Header["X-Meant"], 1)
		require.NotContains(t, read.Header, "X-Other")
		body, err := io.ReadAll(read.Body)
		require.NoError(t, err)
		require.Equal(t, "the body", string(body))
	}
}
