package emulator

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/records"
)

// Recorder receives what the servers of a fleet did.
type Recorder interface {
	Execution(records.Execution)
	Departure(records.Departure)
}

// discard is the recorder of a fleet that was given none.
type discard struct{}

func (discard) Execution(records.Execution) {}
func (discard) Departure(records.Departure) {}

// MemoryRecorder keeps the record in memory.
type MemoryRecorder struct {
	mutex      sync.Mutex
	executions []records.Execution
	departures []records.Departure
}

// Execution implements Recorder.
func (m *MemoryRecorder) Execution(execution records.Execution) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.executions = append(m.executions, execution)
}

// Departure implements Recorder.
func (m *MemoryRecorder) Departure(departure records.Departure) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.departures = append(m.departures, departure)
}

// Executions returns a copy of the executions so far.
func (m *MemoryRecorder) Executions() []records.Execution {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]records.Execution(nil), m.executions...)
}

// Departures returns a copy of the departures so far.
func (m *MemoryRecorder) Departures() []records.Departure {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return append([]records.Departure(nil), m.departures...)
}

const (
	recordBufferSize    = 1 << 20 // bytes
	recordFlushInterval = time.Second
)

// FileRecorder writes the record as JSON lines, records.BackendLine, to a
// file. Lines are buffered; a buffer that is full is written out by the
// goroutine that filled it, so no line is dropped. Lines reach the file at the
// latest after a second and at Close.
type FileRecorder struct {
	mutex  sync.Mutex
	file   *os.File
	buffer *bufio.Writer
	// failure is the first write error; later lines are dropped and Close
	// reports it.
	failure error
	stop    chan struct{}
	stopped chan struct{}
}

// NewFileRecorder creates the file, or empties it.
func NewFileRecorder(path string) (*FileRecorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "record file")
	}
	recorder := &FileRecorder{
		file:    file,
		buffer:  bufio.NewWriterSize(file, recordBufferSize),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	go recorder.flushRegularly()
	return recorder, nil
}

// Execution implements Recorder.
func (f *FileRecorder) Execution(execution records.Execution) {
	f.write(appendExecution(make([]byte, 0, executionSizeHint), &execution))
}

// Departure implements Recorder.
func (f *FileRecorder) Departure(departure records.Departure) {
	line, err := json.Marshal(records.BackendLine{Departure: &departure})
	if err != nil {
		f.fail(err)
		return
	}
	f.write(append(line, '\n'))
}

// Close writes what is buffered and closes the file. It returns the first
// error of any write, since a record with gaps must not be judged.
func (f *FileRecorder) Close() error {
	close(f.stop)
	<-f.stopped
	f.mutex.Lock()
	defer f.mutex.Unlock()
	failure := f.failure
	failure = errors.CombineErrors(failure, f.buffer.Flush())
	return errors.Wrap(errors.CombineErrors(failure, f.file.Close()), "record file")
}

func (f *FileRecorder) write(line []byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.failure == nil {
		_, f.failure = f.buffer.Write(line)
	}
}

func (f *FileRecorder) fail(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failure = errors.CombineErrors(f.failure, err)
}

func (f *FileRecorder) flushRegularly() {
	defer close(f.stopped)
	ticker := time.NewTicker(recordFlushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
			f.mutex.Lock()
			if f.failure == nil {
				f.failure = f.buffer.Flush()
			}
			f.mutex.Unlock()
		}
	}
}
