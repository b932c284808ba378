// Package admissionrecord writes down under which configuration a router
// admitted requests, so that the judge can tell whether an accepted one was in
// force. A record sums up what a router admitted under one revision within a
// second or so: how many requests, the first and the last moment.
package admissionrecord

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/records"
)

// interval is how often records are written. A process that is killed loses
// those of the last interval.
const interval = time.Second

// Summary sums admissions up. It is safe for many goroutines.
type Summary struct {
	node  string
	mutex sync.Mutex
	// spans holds the sums by revision; there is one, or two around a change.
	spans map[uint64]records.Admission
}

// NewSummary returns the summary of a router.
func NewSummary(node string) *Summary {
	return &Summary{node: node, spans: map[uint64]records.Admission{}}
}

// Admitted notes that a request was admitted at a moment under a revision.
func (s *Summary) Admitted(at time.Time, revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	span, known := s.spans[revision]
	if !known {
		span = records.Admission{Node: s.node, At: at, Until: at, Revision: revision}
	}
	span.Count++
	if at.Before(span.At) {
		span.At = at
	}
	if at.After(span.Until) {
		span.Until = at
	}
	s.spans[revision] = span
}

// Take returns the records since the last call, by revision.
func (s *Summary) Take() []records.Admission {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	taken := lo.Values(s.spans)
	clear(s.spans)
	slices.SortFunc(taken, func(left, right records.Admission) int { return int(left.Revision) - int(right.Revision) })
	return taken
}

// File appends the records of a router to a file.
type File struct {
	*Summary
	file   *os.File
	logger logrus.FieldLogger
}

// Open opens a file of JSON lines to append to.
func Open(path, node string, logger logrus.FieldLogger) (*File, error) {
	const mode = 0o644
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, mode)
	if err != nil {
		return nil, errors.Wrap(err, "admission record")
	}
	return &File{Summary: NewSummary(node), file: file, logger: logger}, nil
}

// Run writes regularly until the context ends. Close writes the rest.
func (f *File) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := f.write(); err != nil {
				f.logger.WithError(err).Error("admissions not recorded")
			}
		}
	}
}

// Close writes what is left and closes the file.
func (f *File) Close() error {
	return errors.CombineErrors(f.write(), errors.Wrap(f.file.Close(), "admission record"))
}

// write writes whole lines at a time, so that a reader sees no torn one unless
// the process is killed.
func (f *File) write() error {
	var lines []byte
	for _, record := range f.Take() {
		line, err := json.Marshal(record)
		if err != nil {
			return errors.Wrap(err, "admission record")
		}
		lines = append(append(lines, line...), '\n')
	}
	if len(lines) == 0 {
		return nil
	}
	_, err := f.file.Write(lines)
	return errors.Wrap(err, "admission record")
}
