package exchange

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/martenstage/martenstage/internal/message"
)

// Encoded is a request in the form of HTTP/1.1, but for what differs between its attempts.
// It is encoded once for all of them, and never changed.
type Encoded struct {
	request *message.Request
	// head is the request line with the headers that all attempts have in common, tail
	// what follows the others.
	head []byte
	tail []byte
}

// Encode prepares a request for its attempts: one that gathers a shard of a slice writes
// two headers in place of all.
func Encode(codec Codec, request *message.Request) *Encoded {
	own := make(message.Header)
	codec.Outgoing(own, 0, "")
	common := make(message.Header, len(request.Header))
	for name, values := range request.Header {
		if _, differs := own[name]; !differs {
			common[name] = values
		}
	}
	var head bytes.Buffer
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	// A buffer takes all that is written.
	_ = http.Header(common).Write(&head)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	return &Encoded{request: request, head: head.Bytes(), tail: append([]byte("\r\n"), request.Body...)}
}

// oneLine keeps a value, which may hold what a server said of itself, from ending its
// header.
var oneLine = strings.NewReplacer("\n", " ", "\r", " ")

// ownBytes is about what the headers of one attempt take.
const ownBytes = 128

// with returns the request for one instance, which may work for what remains.
func (e *Encoded) with(codec Codec, remaining time.Duration, instance string) []byte {
	own := make(message.Header, 2)
	codec.Outgoing(own, remaining, instance)
	data := make([]byte, 0, len(e.head)+ownBytes+len(e.tail))
	data = append(data, e.head...)
	for name, values := range own {
		for _, value := range values {
			data = append(data, name...)
			data = append(data, ": "...)
			data = append(data, oneLine.Replace(value)...)
			data = append(data, "\r\n"...)
		}
	}
	return append(data, e.tail...)
}
