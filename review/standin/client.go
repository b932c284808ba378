package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// class is a kind of request.
type class struct {
	name       string
	method     string
	host       string
	path       func() string
	body       []byte
	idempotent bool
	deadline   time.Duration
	// retries is how many attempts follow the first one.
	retries int
}

// attempt is one client attempt.
type attempt struct {
	id      string
	class   *class
	gateway *gateway
	// kept says that it was sent on a connection that had carried an answer before.
	kept bool
	sent time.Time
	// read says that the whole request was written.
	written bool
	// status is that of the answer; 0 for none. closed says that the connection ended without a
	// complete answer, before the client gave up.
	status int
	closed bool
	// retryAfter is what the answer says.
	retryAfter time.Duration
	answered   time.Time
	// arrivals are the servers that the request has reached, runs the ids of those that ran it.
	arrivals []*server
	runs     []string
}

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	entry  *gateway
	used   bool
	rested time.Time
}

// clients are the clients of a zone. They share their kept connections.
type clients struct {
	site  *site
	mutex sync.Mutex
	idle  []*clientConn
}

// maxRest is four fifths of the idle time in the limits.
const maxRest = 12 * time.Second

func (c *clients) take() *clientConn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(last.rested) < maxRest && last.quiet() {
			return last
		}
		_ = last.Close()
	}
	return nil
}

// quiet says that the other side has not closed the connection.
func (c *clientConn) quiet() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	var timeout net.Error
	return err != nil && asTimeout(err, &timeout)
}

func asTimeout(err error, timeout *net.Error) bool {
	failure, ok := err.(net.Error)
	*timeout = failure
	return ok && failure.Timeout()
}

func (c *clients) keep(conn *clientConn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	conn.rested, conn.used = time.Now(), true
	c.idle = append(c.idle, conn)
}

func (c *clients) open(until time.Time) (*clientConn, error) {
	entry := c.site.entry()
	conn, err := net.DialTimeout("tcp4", entry.address, min(time.Second, time.Until(until)))
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn), entry: entry}, nil
}

// ask sends a request of a class, and again after a failure, as the pages allow.
func (c *clients) ask(kind *class) {
	path, end := kind.path(), time.Now().Add(kind.deadline)
	conn := c.take()
	for try := 0; ; try++ {
		var err error
		if conn == nil {
			conn, err = c.open(end)
		}
		if err != nil {
			c.site.record.note("no connection for a %s: %v", kind.name, err)
		}
		var sent *attempt
		if conn != nil {
			sent = c.attempt(conn, kind, path, end)
		}
		conn = nil
		if sent != nil && !mayAskAgain(kind, sent) || try >= kind.retries {
			return
		}
		if sent != nil && sent.retryAfter > 0 {
			time.Sleep(min(sent.retryAfter, time.Until(end)/3))
		}
		if time.Until(end) < time.Millisecond {
			return
		}
	}
}

// mayAskAgain says whether a client may send a request again: an idempotent one after any
// failure, another one only after a promise that it has not run.
func mayAskAgain(kind *class, sent *attempt) bool {
	switch sent.status {
	case 400, 401, 404, 413, 431:
		return false
	case 408, 421, 429, 503:
		return true
	}
	return kind.idempotent && (sent.status < 200 || sent.status >= 300)
}

// attempt sends one attempt and waits for its answer until the client's deadline.
func (c *clients) attempt(conn *clientConn, kind *class, path string, end time.Time) *attempt {
	sent := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), class: kind, gateway: conn.entry, kept: conn.used}
	c.site.mutex.Lock()
	c.site.asks[sent.id] = sent
	c.site.mutex.Unlock()
	var text bytes.Buffer
	left := time.Until(end).Milliseconds()
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", kind.method, path, kind.host, sent.id, max(1, left))
	if kind.body != nil {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(kind.body))
	}
	text.WriteString("\r\n")
	text.Write(kind.body)
	c.site.record.note("client sends %s (%s %s) to %s, deadline %d ms, on a kept connection: %v", sent.id, kind.name, path, conn.entry.name, left, sent.kept)
	_ = conn.SetDeadline(end.Add(5 * time.Millisecond))
	status, closed, keep, after := 0, false, false, time.Duration(0)
	sentAt := time.Now()
	_, err := conn.Write(text.Bytes())
	written := err == nil
	if err == nil {
		status, after, keep, err = readAnswer(conn.reader, kind.method)
	}
	var timeout net.Error
	if err != nil {
		closed = !asTimeout(err, &timeout)
	}
	c.site.mutex.Lock()
	sent.sent, sent.written, sent.status, sent.closed, sent.retryAfter, sent.answered = sentAt, written, status, closed, after, time.Now()
	c.site.mutex.Unlock()
	switch {
	case err == nil:
		c.site.record.note("client gets %d for %s after %.1f ms", status, sent.id, float64(time.Since(sentAt).Microseconds())/1000)
	case closed:
		c.site.record.note("client gets no answer for %s: the connection ends after %.1f ms (%v)", sent.id, float64(time.Since(sentAt).Microseconds())/1000, err)
	default:
		c.site.record.note("client gives up %s at its deadline", sent.id)
	}
	if err == nil && keep {
		c.keep(conn)
	} else {
		_ = conn.Close()
	}
	return sent
}

// readAnswer reads a complete answer.
func readAnswer(reader *bufio.Reader, method string) (status int, after time.Duration, keep bool, err error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return 0, 0, false, err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, 0, false, err
	}
	if seconds, parseError := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseError == nil {
		after = time.Duration(seconds * float64(time.Second))
	}
	return response.StatusCode, after, !response.Close, nil
}

// load asks requests of a class at a rate until the given end.
func (c *clients) load(kind *class, perSecond func() float64, until time.Time, asking *sync.WaitGroup) {
	defer asking.Done()
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond() * float64(time.Second)))
		asking.Go(func() { c.ask(kind) })
	}
}
