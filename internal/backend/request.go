package backend

import (
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// requestText lays out an HTTP/1.1 request in one piece of memory, to be
// written with one call.
type requestText struct {
	text []byte
	// err is set by a header value that would break the request apart.
	err error
}

var requestTexts = sync.Pool{New: func() any { return new(requestText) }}

// maxPooledRequest keeps single huge requests from staying in memory.
const maxPooledRequest = 64 << 10

const decimal = 10

// newRequest begins a request. Body must be called last, bytes after it.
func newRequest(method, path, host string) *requestText {
	created := requestTexts.Get().(*requestText)
	created.text, created.err = created.text[:0], nil
	created.add(method, " ", path, " HTTP/1.1\r\nHost: ", host, "\r\n")
	return created
}

func (t *requestText) add(texts ...string) {
	for _, text := range texts {
		t.text = append(t.text, text...)
	}
}

// header adds a header. A value with a control character is an error.
func (t *requestText) header(name, value string) {
	for index := range len(value) {
		if value[index] < ' ' || value[index] == 0x7f {
			t.err = errors.Newf("the value of %s has a control character", name)
			return
		}
	}
	t.add(name, ": ", value, "\r\n")
}

// number adds a header with a decimal number.
func (t *requestText) number(name string, value uint64) {
	t.add(name, ": ")
	t.text = strconv.AppendUint(t.text, value, decimal)
	t.add("\r\n")
}

// body ends the headers and adds the body.
func (t *requestText) body(body []byte) {
	t.add("Content-Type: application/json\r\nContent-Length: ")
	t.text = strconv.AppendUint(t.text, uint64(len(body)), decimal)
	t.add("\r\n\r\n")
	t.text = append(t.text, body...)
}

func (t *requestText) bytes() []byte { return t.text }

// free gives the memory back. Nobody may read the text any more.
func (t *requestText) free() {
	if cap(t.text) <= maxPooledRequest {
		requestTexts.Put(t)
	}
}
