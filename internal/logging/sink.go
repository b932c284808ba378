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

// Bounds of a Sink.
const (
	sinkLines = 1024
	// sinkBatch is how many lines are written at once.
	sinkBatch     = 64
	sinkCloseTime = 500 * time.Millisecond
)

// Sink is a writer for logs that never blocks its callers: lines wait in a
// bounded ring for a goroutine that writes them. When the reader of the log does
// not keep up, the newest lines are dropped, counted, and the count is told once
// there is room again.
type Sink struct {
	output  io.Writer
	lines   *ring.Ring[[]byte]
	lost    atomic.Uint64
	dropped prometheus.Counter
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewSink starts a sink to an output.
func NewSink(output io.Writer, registerer prometheus.Registerer) *Sink {
	sink := &Sink{
		output: output, lines: ring.New[[]byte](sinkLines), stop: make(chan struct{}), done: make(chan struct{}),
		dropped: promauto.With(registerer).NewCounter(prometheus.CounterOpts{
			Name: "martenstage_log_dropped_lines_total", Help: "Log lines dropped because the log was not read.",
		}),
	}
	go sink.run()
	return sink
}

// Write takes one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.lines.TryPush(append([]byte(nil), line...)) {
		s.lost.Add(1)
		s.dropped.Inc()
	}
	return len(line), nil
}

// Close writes what waits, for a short time at the most.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(sinkCloseTime):
	}
}

func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines.Items():
			s.write(line)
		case <-s.stop:
			for s.lines.Depth() > 0 {
				s.write(<-s.lines.Items())
			}
			return
		}
	}
}

// write writes a line and those that wait behind it.
func (s *Sink) write(line []byte) {
	for count := 1; count < sinkBatch && s.lines.Depth() > 0; count++ {
		line = append(line, <-s.lines.Items()...)
	}
	if lost := s.lost.Swap(0); lost > 0 {
		line = fmt.Appendf(line, "time=%s level=warning msg=log_lines_dropped count=%d\n", time.Now().Format(time.RFC3339Nano), lost)
	}
	_, _ = s.output.Write(line)
}
