package emulator

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/backendapi"
)

// query is the head of a request as its headers state it.
type query struct {
	request    string
	attempt    string
	service    string
	shard      uint32
	generation uint32
	version    uint64
	// timeout is the time left for the query; 0 when the client states none.
	timeout time.Duration
	zone    string
	once    bool
}

// parseQuery reads the headers of a request.
func parseQuery(headers http.Header) (query, error) {
	parsed := query{
		request: headers.Get(backendapi.HeaderRequest),
		attempt: headers.Get(backendapi.HeaderAttempt),
		service: headers.Get(backendapi.HeaderService),
		zone:    headers.Get(backendapi.HeaderZone),
		once:    headers.Get(backendapi.HeaderOnce) == "1",
	}
	if parsed.request == "" || parsed.attempt == "" || parsed.service == "" {
		return parsed, errors.Newf("headers %s, %s and %s are needed",
			backendapi.HeaderRequest, backendapi.HeaderAttempt, backendapi.HeaderService)
	}
	shard, shardErr := parseNumber(headers, backendapi.HeaderShard, 32)
	generation, generationErr := parseNumber(headers, backendapi.HeaderGeneration, 32)
	version, versionErr := parseNumber(headers, backendapi.HeaderVersion, 64)
	parsed.shard, parsed.generation, parsed.version = uint32(shard), uint32(generation), version
	timeout, timeoutErr := parseTimeout(headers)
	parsed.timeout = timeout
	for _, err := range []error{shardErr, generationErr, versionErr, timeoutErr} {
		if err != nil {
			return parsed, err
		}
	}
	return parsed, nil
}

func parseNumber(headers http.Header, name string, bits int) (uint64, error) {
	value, err := strconv.ParseUint(headers.Get(name), 10, bits)
	if err != nil {
		return 0, errors.Newf("header %s is %q, not a decimal number of %d bits", name, headers.Get(name), bits)
	}
	return value, nil
}

// parseTimeout reads the time left in microseconds. A timeout of nothing or
// less is a deadline that has passed; it becomes the shortest one.
func parseTimeout(headers http.Header) (time.Duration, error) {
	text := headers.Get(backendapi.HeaderTimeout)
	if text == "" {
		return 0, nil
	}
	const bits = 32 // an hour in microseconds fits; a longer timeout is a mistake
	microseconds, err := strconv.ParseInt(text, 10, bits)
	if err != nil {
		return 0, errors.Newf("header %s is %q, not a number of microseconds", backendapi.HeaderTimeout, text)
	}
	return max(1, time.Duration(microseconds)*time.Microsecond), nil
}

var errBodyTooLarge = errors.New("the request body is too large")

// readBody reads a request body up to a limit in bytes.
func readBody(request *http.Request, limit int64) ([]byte, error) {
	if request.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if request.ContentLength >= 0 {
		body := make([]byte, request.ContentLength)
		_, err := io.ReadFull(request.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, limit+1))
	if int64(len(body)) > limit {
		return nil, errBodyTooLarge
	}
	return body, err
}
