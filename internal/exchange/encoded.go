package exchange

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/martenstage/martenstage/internal/message"
)

// Encoded is a request in HTTP/1.1 encoding, without the headers that differ between its
// attempts. It is encoded once for all attempts and is immutable.
type Encoded struct {
	request *message.Request
	// idHash is a hash of the request's id.
	idHash uint64
	// method is the request as far as reading a reply needs it. It is not changed.
	method *http.Request
	// head is the request line and the headers common to all attempts, tail what follows the
	// attempt's own headers.
	head []byte
	tail []byte
}

// Encode prepares a request for its attempts, so that each attempt at a shard writes two
// headers instead of all.
func Encode(codec Codec, request *message.Request) *Encoded {
	attemptHeaders := make(message.Header)
	codec.Outgoing(attemptHeaders, 0, "")
	common := make(message.Header, len(request.Header))
	for name, values := range request.Header {
		if _, differs := attemptHeaders[name]; !differs {
			common[name] = values
		}
	}
	var head bytes.Buffer
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	// Writes to a buffer don't fail.
	_ = http.Header(common).Write(&head)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	return &Encoded{
		request: request, idHash: xxhash.Sum64String(request.ID), method: &http.Request{Method: request.Method},
		head: head.Bytes(), tail: append([]byte("\r\n"), request.Body...),
	}
}

// lineBreaks prevents header injection by a value, which may contain data reported by a
// server.
var lineBreaks = strings.NewReplacer("\n", " ", "\r", " ")

// attemptHeaderBytes is the approximate size of the headers of one attempt.
const attemptHeaderBytes = 128

// size returns the approximate size of the request with the headers of an attempt.
func (e *Encoded) size() int { return len(e.head) + attemptHeaderBytes + len(e.tail) }

// withAttemptHeaders returns the request for one instance with its remaining time.
func (e *Encoded) withAttemptHeaders(codec Codec, remaining time.Duration, instance string) []byte {
	return e.appendAttempt(make([]byte, 0, e.size()), codec, remaining, instance)
}

// appendAttempt appends the request for one instance with its remaining time.
func (e *Encoded) appendAttempt(data []byte, codec Codec, remaining time.Duration, instance string) []byte {
	attemptHeaders := make(message.Header, 2)
	codec.Outgoing(attemptHeaders, remaining, instance)
	data = append(data, e.head...)
	for name, values := range attemptHeaders {
		for _, value := range values {
			data = append(data, name...)
			data = append(data, ": "...)
			data = append(data, lineBreaks.Replace(value)...)
			data = append(data, "\r\n"...)
		}
	}
	return append(data, e.tail...)
}
