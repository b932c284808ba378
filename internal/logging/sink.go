package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/martenstage/martenstage/internal/ring"
)

// Limits of a Sink.
const (
	sinkCapacity = 1024
	// sinkBatchLines is the maximum number of lines per write.
	sinkBatchLines   = 64
	sinkCloseTimeout = 500 * time.Millisecond
)

// Sink is an io.Writer for logs that never blocks its callers: a goroutine writes
// the lines, which are queued in a bounded ring. If the reader of the log does not
// keep up, the newest lines are dropped, and their count is logged once the output
// accepts lines again.
type Sink struct {
	output     io.Writer
	lines      *ring.Ring[[]byte]
	unreported atomic.Uint64
	dropped    prometheus.Counter
	stop       chan struct{}
	done       chan struct{}
	once       sync.Once
}

// NewSink starts a Sink that writes to an output.
func NewSink(output io.Writer, registerer prometheus.Registerer) *Sink {
	sink := &Sink{
		output: output, lines: ring.New[[]byte](sinkCapacity), stop: make(chan struct{}), done: make(chan struct{}),
		dropped: promauto.With(registerer).NewCounter(prometheus.CounterOpts{
			Name: "martenstage_log_dropped_lines_total", Help: "Log lines dropped because the log was not read.",
		}),
	}
	go sink.run()
	return sink
}

// Write queues one line, or drops it if the queue is full. It never blocks and
// never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.lines.TryPush(append([]byte(nil), line...)) {
		s.unreported.Add(1)
		s.dropped.Inc()
	}
	return len(line), nil
}

// Close writes the queued lines, waiting for at most sinkCloseTimeout.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(sinkCloseTimeout):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines.Items():
			s.writeBatch(line)
		case <-s.stop:
			for s.lines.Depth() > 0 {
				s.writeBatch(<-s.lines.Items())
			}
			return
		}
	}
}

// writeBatch writes a line together with lines queued after it.
func (s *Sink) writeBatch(line []byte) {
	for count := 1; count < sinkBatchLines && s.lines.Depth() > 0; count++ {
		line = append(line, <-s.lines.Items()...)
	}
	if unreported := s.unreported.Swap(0); unreported > 0 {
		line = fmt.Appendf(line, "time=%s level=warning msg=log_lines_dropped count=%d\n", time.Now().Format(time.RFC3339Nano), unreported)
	}
	_, _ = s.output.Write(line)
}
