package exchange

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Attempt is one try to send a request to one instance.
type Attempt struct {
	pool     *Pool
	request  *Encoded
	server   scatter.Server
	deadline time.Time
	// chosenAt is when the server was chosen.
	chosenAt time.Time

	mutex sync.Mutex
	// cancelDial cancels a dial in progress; nil for none.
	cancelDial context.CancelFunc
	conn       *connection
	ended      bool
}

// Start prepares an attempt for Run.
func (p *Pool) Start(request *Encoded, server scatter.Server, deadline time.Time) *Attempt {
	return &Attempt{pool: p, request: request, server: server, deadline: deadline, chosenAt: steadyclock.Now()}
}

// Server returns the instance that the attempt is for.
func (a *Attempt) Server() scatter.Server { return a.server }

// ServerID returns the ID of the instance that the attempt is for.
func (a *Attempt) ServerID() string { return a.server.ID }

// MaxSendDelay is the maximum time between the choice of a server and the sending of the
// request; a request delayed for longer is not sent. It exceeds the time to open a connection,
// so that only a router that was suspended in between has to choose again.
const MaxSendDelay = 2 * dialTimeout

// maxReplyBytes bounds the body of a reply.
const maxReplyBytes = 16 << 20

// maxUnexpectedReplies is how many replies to other requests are skipped.
const maxUnexpectedReplies = 2

// replyGrace is how long after its deadline a reply is still accepted: a server that stops at
// the deadline reports so a little later.
const replyGrace = 20 * time.Millisecond

// Run sends the request, waits for the reply and returns the outcome of the attempt.
func (a *Attempt) Run() scatter.Outcome {
	outcome := a.run()
	a.pool.ended.WithLabelValues(outcome.Failure.String()).Inc()
	return outcome
}

func (a *Attempt) run() scatter.Outcome {
	conn, err := a.connect()
	if err != nil {
		a.pool.failed.Inc()
		return scatter.Outcome{Failure: scatter.NotConnected, Verdict: verdict.NotRun}
	}
	if steadyclock.Since(a.chosenAt) > MaxSendDelay {
		a.pool.put(a.server.ID, conn)
		return scatter.Outcome{Failure: scatter.NotSent, Verdict: verdict.NotRun}
	}
	if !a.registerConnection(conn) {
		a.pool.put(a.server.ID, conn)
		return scatter.Outcome{Failure: scatter.Aborted, Verdict: verdict.NotRun}
	}
	_ = conn.SetDeadline(steadyclock.RuntimeDeadline(a.deadline.Add(replyGrace)))
	first := !conn.hasReplied
	conn.carried.add(a.request.idHash)
	written := a.write(conn)
	outcome, reusable := a.read(conn)
	if first && outcome.Failure == scatter.Broken && conn.bytesRead == 0 {
		outcome.Failure = scatter.Unaccepted
	}
	conn.hasReplied = true
	if !a.finish() {
		reusable = false
		if outcome.Failure != scatter.NoFailure {
			outcome.Failure = scatter.Aborted
		}
	}
	// If the reply came before the request was fully written, the rest of it must not be
	// followed by another request: the connection is closed.
	if !reusable || !isDone(written) {
		_ = conn.Close()
		return outcome
	}
	a.pool.put(a.server.ID, conn)
	return outcome
}

func isDone(written <-chan struct{}) bool {
	select {
	case <-written:
		return true
	default:
		return false
	}
}

func (a *Attempt) connect() (*connection, error) {
	if kept := a.pool.take(a.server.ID, a.request.idHash); kept != nil {
		return kept, nil
	}
	ctx, cancel := steadyclock.WithDeadline(context.Background(), a.deadline)
	defer cancel()
	if !a.registerDial(cancel) {
		return nil, context.Canceled
	}
	dialed, err := a.pool.dial(ctx, a.server.Address)
	if err != nil {
		return nil, err
	}
	a.pool.opened.Inc()
	return newConnection(dialed), nil
}

// registerDial lets Abort cancel a dial. It returns false if the attempt was aborted already.
func (a *Attempt) registerDial(cancel context.CancelFunc) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.cancelDial = cancel
	return !a.ended
}

// registerConnection lets Abort close a connection. It returns false if the attempt was
// aborted already.
func (a *Attempt) registerConnection(conn *connection) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended {
		return false
	}
	a.conn = conn
	return true
}

// finish ends the attempt and reports whether it was not aborted before.
func (a *Attempt) finish() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	aborted := a.ended
	a.ended, a.conn = true, nil
	return !aborted
}

// Abort ends the attempt by closing its connection.
func (a *Attempt) Abort() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	if a.cancelDial != nil {
		a.cancelDial()
	}
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// maxInlineWrite is the size up to which a request is written before the reply is read. A
// larger one may be answered before it is fully written, so it is written concurrently.
const maxInlineWrite = 8 << 10

// Results of a request that was written before its reply is read.
var (
	completelyWritten = closedChannel()
	notWritten        = make(chan struct{})
)

func closedChannel() chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}

// inlineBuffers holds the buffers of requests that are written before the reply is read.
var inlineBuffers = sync.Pool{New: func() any { return new([]byte) }}

// write sends the request and returns a channel that is closed once all of it is written.
// Write errors show when the reply is read.
func (a *Attempt) write(conn *connection) <-chan struct{} {
	if a.request.size() > maxInlineWrite {
		return a.writeConcurrently(conn)
	}
	buffer := inlineBuffers.Get().(*[]byte)
	defer inlineBuffers.Put(buffer)
	*buffer = a.request.appendAttempt((*buffer)[:0], a.pool.codec, steadyclock.Until(a.deadline), a.server.ID)
	if _, err := conn.Write(*buffer); err != nil {
		return notWritten
	}
	return completelyWritten
}

func (a *Attempt) writeConcurrently(conn *connection) <-chan struct{} {
	data := a.request.withAttemptHeaders(a.pool.codec, steadyclock.Until(a.deadline), a.server.ID)
	written := make(chan struct{})
	go func() {
		if _, err := conn.Write(data); err == nil {
			close(written)
		}
	}()
	return written
}

// read reads replies until one belongs to this request. It is the answer to this attempt, since
// the connection has not carried the request before.
func (a *Attempt) read(conn *connection) (outcome scatter.Outcome, reusable bool) {
	for range maxUnexpectedReplies + 1 {
		reply, info, again, err := a.readReply(conn)
		if err != nil {
			return a.sentOutcome(err), false
		}
		if info.RequestID != a.request.request.ID {
			if !again {
				break
			}
			continue
		}
		conn.updateIdleTime(steadyclock.Now(), reply.Header)
		return classify(reply, info), again && conn.reader.Buffered() == 0
	}
	return a.sentOutcome(errUnexpectedReply), false
}

var (
	errUnexpectedReply = errors.New("the answer is to another request")
	errContentEncoding = errors.New("the answer has a content encoding")
	errReplyTooLarge   = errors.New("the answer is too large")
)

// readReply reads one complete reply; again says whether the connection may carry another one.
func (a *Attempt) readReply(conn *connection) (*message.Reply, ReplyInfo, bool, error) {
	conn.limitHead()
	response, err := readFinalResponse(conn.reader, a.request.method)
	if err != nil {
		return nil, ReplyInfo{}, false, err
	}
	conn.headEnd = 0
	body, err := a.readBody(conn, response)
	if err != nil {
		return nil, ReplyInfo{}, false, err
	}
	if len(response.Header["Content-Encoding"]) > 0 {
		return nil, ReplyInfo{}, false, errContentEncoding
	}
	info := a.pool.codec.Reply(response.StatusCode, response.Header)
	reply := &message.Reply{Status: response.StatusCode, Header: response.Header, Body: body, Stamp: info.Stamp}
	unframed := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	return reply, info, !response.Close && !unframed, nil
}

// maxPreallocated bounds the bodies that are read into one buffer of their declared length, so
// that a false Content-Length from a faulty server can't cause a large allocation.
const maxPreallocated = 64 << 10

// readBody reads a complete body. A short one with a declared length is read into one buffer:
// a growing buffer took a third of the bytes allocated for a slice of 14 parts.
func (a *Attempt) readBody(conn *connection, response *http.Response) ([]byte, error) {
	if response.Body == http.NoBody {
		// A length may be declared even so, as in the reply to a HEAD request.
		return nil, nil
	}
	if length := response.ContentLength; length >= 0 && length <= maxPreallocated {
		// The end of the body has to be read, so that the connection can be reused. The byte
		// after the body is for that.
		buffer := make([]byte, length+1)
		_, err := io.ReadFull(response.Body, buffer[:length])
		if err != nil {
			return nil, err
		}
		_, err = response.Body.Read(buffer[length:])
		if !errors.Is(err, io.EOF) {
			return nil, errUnexpectedReply
		}
		return buffer[:length:length], nil
	}
	growing := a.pool.replies.track(response.Body, response.ContentLength >= 0, func() { _ = conn.Close() })
	defer growing.close()
	body, err := io.ReadAll(io.LimitReader(growing, maxReplyBytes+1))
	if len(body) > maxReplyBytes {
		return nil, errReplyTooLarge
	}
	return body, err
}

// Bounds of the statuses that are an answer (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// readFinalResponse skips informational responses. What has another status than HTTP knows is no
// answer.
func readFinalResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}
		status := response.StatusCode
		switch {
		case status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols:
			return nil, errors.Wrapf(errUnexpectedReply, "status %03d", status)
		case status >= http.StatusOK:
			return response, nil
		}
	}
}

// classify returns the outcome for a complete reply.
func classify(reply *message.Reply, info ReplyInfo) scatter.Outcome {
	outcome := scatter.Outcome{Reply: reply, Load: info.Load, ColdFor: info.ColdFor, Verdict: verdict.Ran}
	switch {
	case info.OtherInstance:
		outcome.Failure, outcome.Verdict = scatter.OtherInstance, verdict.NotRun
	case info.NotExecuted:
		outcome.Failure, outcome.Verdict = scatter.Refused, verdict.NotRun
	case info.Stamp == "" && reply.Succeeded():
		outcome.Failure, outcome.Verdict = scatter.Broken, verdict.MayHaveRun
	}
	return outcome
}

// sentOutcome is the outcome of a request that was sent but not answered: it may have run.
func (a *Attempt) sentOutcome(err error) scatter.Outcome {
	failure := scatter.Broken
	if errors.Is(err, context.DeadlineExceeded) || isTimeout(err) {
		failure = scatter.TimedOut
	}
	return scatter.Outcome{Failure: failure, Verdict: verdict.MayHaveRun}
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
