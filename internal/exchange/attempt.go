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

// Attempt is one sending of a request to one instance.
type Attempt struct {
	pool     *Pool
	request  *Encoded
	server   scatter.Server
	deadline time.Time
	// chosen is when the server was chosen.
	chosen time.Time

	mutex sync.Mutex
	// cancel ends a dial that is under way; nil for none.
	cancel context.CancelFunc
	used   *connection
	ended  bool
}

// Start prepares an attempt; Run carries it out.
func (p *Pool) Start(request *Encoded, server scatter.Server, deadline time.Time) *Attempt {
	return &Attempt{pool: p, request: request, server: server, deadline: deadline, chosen: steadyclock.Now()}
}

// ServerID names the instance that the attempt is for.
func (a *Attempt) ServerID() string { return a.server.ID }

// SendWithin is within which time after the choice of its server a request is sent, or not at
// all: longer than a connection takes to come up. A router that stood still longer chooses anew.
const SendWithin = 2 * dialTimeout

// maxReplyBytes bounds the body of an answer.
const maxReplyBytes = 16 << 20

// maxSurplus is how many answers to other requests are passed over.
const maxSurplus = 2

// replyGrace is how much longer than its deadline an attempt is waited for: a
// server that ends at the deadline says so a little later.
const replyGrace = 20 * time.Millisecond

// Run sends the request and waits for the answer. It returns the one outcome of
// the attempt.
func (a *Attempt) Run() scatter.Outcome {
	outcome := a.run()
	a.pool.ended.WithLabelValues(outcome.Failure.String()).Inc()
	return outcome
}

func (a *Attempt) run() scatter.Outcome {
	used, err := a.connect()
	if err != nil {
		a.pool.failed.Inc()
		return scatter.Outcome{Failure: scatter.NotConnected, Verdict: verdict.NotRun}
	}
	if steadyclock.Since(a.chosen) > SendWithin {
		a.pool.put(a.server.ID, used)
		return scatter.Outcome{Failure: scatter.NotSent, Verdict: verdict.NotRun}
	}
	if !a.use(used) {
		a.pool.put(a.server.ID, used)
		return scatter.Outcome{Failure: scatter.Aborted, Verdict: verdict.NotRun}
	}
	_ = used.SetDeadline(steadyclock.Runtime(a.deadline.Add(replyGrace)))
	unproved := !used.proved
	written := a.write(used)
	outcome, reusable := a.read(used)
	if unproved && outcome.Failure == scatter.Broken && used.read == 0 {
		outcome.Failure = scatter.Unaccepted
	}
	used.proved = true
	if !a.release() {
		reusable = false
		if outcome.Failure != scatter.NoFailure {
			outcome.Failure = scatter.Aborted
		}
	}
	// The rest of a request whose answer came early is never replaced by the next
	// request: the connection ends with it.
	if !reusable || !isDone(written) {
		_ = used.Close()
		return outcome
	}
	a.pool.put(a.server.ID, used)
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
	if kept := a.pool.take(a.server.ID); kept != nil {
		return kept, nil
	}
	ctx, cancel := steadyclock.WithDeadline(context.Background(), a.deadline)
	defer cancel()
	if !a.dials(cancel) {
		return nil, context.Canceled
	}
	dialed, err := a.pool.dial(ctx, a.server.Address)
	if err != nil {
		return nil, err
	}
	a.pool.opened.Inc()
	return newConnection(dialed), nil
}

// dials lets Abort end a dial, unless the attempt was aborted before.
func (a *Attempt) dials(cancel context.CancelFunc) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.cancel = cancel
	return !a.ended
}

// use makes a connection the one that Abort closes, unless the attempt was
// aborted before.
func (a *Attempt) use(used *connection) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended {
		return false
	}
	a.used = used
	return true
}

// release reports whether the attempt was not aborted.
func (a *Attempt) release() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	aborted := a.ended
	a.ended, a.used = true, nil
	return !aborted
}

// Abort ends the attempt: the server sees the connection close.
func (a *Attempt) Abort() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	if a.cancel != nil {
		a.cancel()
	}
	if a.used != nil {
		_ = a.used.Close()
	}
}

// smallRequest is up to which size a request is written before the answer is
// read; a larger one could meet an answer that comes before it is written.
const smallRequest = 8 << 10

// write sends the request and returns a channel that is closed once it is sent
// whole. What fails here shows when the answer is read.
func (a *Attempt) write(used *connection) <-chan struct{} {
	data := a.request.with(a.pool.codec, steadyclock.Until(a.deadline), a.server.ID)
	written := make(chan struct{})
	send := func() {
		if _, err := used.Write(data); err == nil {
			close(written)
		}
	}
	if len(data) <= smallRequest {
		send()
	} else {
		go send()
	}
	return written
}

// read reads answers until one is to this request.
func (a *Attempt) read(used *connection) (outcome scatter.Outcome, reusable bool) {
	for range maxSurplus + 1 {
		reply, info, again, err := a.readReply(used)
		if err != nil {
			return a.broken(err), false
		}
		if info.RequestID != a.request.request.ID {
			if !again {
				break
			}
			continue
		}
		used.keep(steadyclock.Now(), reply.Header)
		return classify(reply, info), again && used.reader.Buffered() == 0
	}
	return a.broken(errForeign), false
}

var (
	errForeign = errors.New("the answer is to another request")
	errEncoded = errors.New("the answer has a content encoding")
	errLarge   = errors.New("the answer is too large")
)

// readReply reads one whole answer; again says whether the connection may carry
// another one.
func (a *Attempt) readReply(used *connection) (*message.Reply, ReplyInfo, bool, error) {
	method := &http.Request{Method: a.request.request.Method}
	response, err := readFinal(used.reader, method)
	if err != nil {
		return nil, ReplyInfo{}, false, err
	}
	body, err := readBody(response)
	if err != nil {
		return nil, ReplyInfo{}, false, err
	}
	if len(response.Header["Content-Encoding"]) > 0 {
		return nil, ReplyInfo{}, false, errEncoded
	}
	info := a.pool.codec.Reply(response.StatusCode, response.Header)
	reply := &message.Reply{Status: response.StatusCode, Header: response.Header, Body: body, Stamp: info.Stamp}
	unframed := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	return reply, info, !response.Close && !unframed, nil
}

// oneBufferBytes bounds the bodies that take one buffer: a length alone, which a faulty
// server may make up, takes no more memory than that.
const oneBufferBytes = 64 << 10

// readBody reads a body whole. A short one whose length is told takes one buffer: growing
// one took a third of the bytes that a slice of 14 parts allocates.
func readBody(response *http.Response) ([]byte, error) {
	if response.Body == http.NoBody {
		// Also where a length is told, as in the answer to a HEAD request.
		return nil, nil
	}
	if length := response.ContentLength; length >= 0 && length <= oneBufferBytes {
		body := make([]byte, length)
		_, err := io.ReadFull(response.Body, body)
		if err != nil {
			return nil, err
		}
		// The end of the body is still to be seen, so that the connection can be used again.
		_, err = response.Body.Read(make([]byte, 1))
		if !errors.Is(err, io.EOF) {
			return nil, errForeign
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if len(body) > maxReplyBytes {
		return nil, errLarge
	}
	return body, err
}

// readFinal passes over informational answers.
func readFinal(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errForeign
		}
	}
}

// classify turns a whole answer into the outcome.
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

// broken is the outcome of a request that was sent and not answered: it may have
// run.
func (a *Attempt) broken(err error) scatter.Outcome {
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
