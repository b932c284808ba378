// Package admissionrecord records the configuration revision under which a router
// admitted requests, so that the judge can check when an accepted revision took
// effect. A record covers the requests that a router admitted under one revision
// within about a second: their number and the times of the first and the last.
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

// writeInterval is the interval at which records are written. A process that is killed
// loses the records of the last interval.
const writeInterval = time.Second

// Summary aggregates admissions. It is safe for concurrent use.
type Summary struct {
	node  string
	mutex sync.Mutex
	// sums holds the totals by revision: one, or two around a configuration change.
	sums map[uint64]records.Admission
}

// NewSummary returns the summary of a router.
func NewSummary(node string) *Summary {
	return &Summary{node: node, sums: map[uint64]records.Admission{}}
}

// Admitted records that a request was admitted at a time under a revision.
func (s *Summary) Admitted(at time.Time, revision uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sum, known := s.sums[revision]
	if !known {
		sum = records.Admission{Node: s.node, At: at, Until: at, Revision: revision}
	}
	sum.Count++
	if at.Before(sum.At) {
		sum.At = at
	}
	if at.After(sum.Until) {
		sum.Until = at
	}
	s.sums[revision] = sum
}

// Take returns the records since the last call, sorted by revision.
func (s *Summary) Take() []records.Admission {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	admissions := lo.Values(s.sums)
	clear(s.sums)
	slices.SortFunc(admissions, func(left, right records.Admission) int { return int(left.Revision) - int(right.Revision) })
	return admissions
}

// File appends the admission records of a router to a file.
type File struct {
	*Summary
	file   *os.File
	logger logrus.FieldLogger
}

// Open opens a file in JSON Lines format for appending.
func Open(path, node string, logger logrus.FieldLogger) (*File, error) {
	const mode = 0o644
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, mode)
	if err != nil {
		return nil, errors.Wrap(err, "admission record")
	}
	return &File{Summary: NewSummary(node), file: file, logger: logger}, nil
}

// Run writes records periodically until the context is done. Close writes the rest.
func (f *File) Run(ctx context.Context) {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := f.writePending(); err != nil {
				f.logger.WithError(err).Error("admissions not recorded")
			}
		}
	}
}

// Close writes the remaining records and closes the file.
func (f *File) Close() error {
	return errors.CombineErrors(f.writePending(), errors.Wrap(f.file.Close(), "admission record"))
}

// writePending writes complete lines in a single call, so that a reader sees no partial
// line unless the process is killed.
func (f *File) writePending() error {
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
