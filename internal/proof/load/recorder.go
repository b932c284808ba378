package load

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/records"
)

// FileRecorder writes answers as JSON lines. The first failure is kept and
// returned by Close.
type FileRecorder struct {
	mutex   sync.Mutex
	file    *os.File
	buffer  *bufio.Writer
	encoder *json.Encoder
	failure error
}

// NewFileRecorder creates the file.
func NewFileRecorder(path string) (*FileRecorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "record of answers")
	}
	buffer := bufio.NewWriter(file)
	return &FileRecorder{file: file, buffer: buffer, encoder: json.NewEncoder(buffer)}, nil
}

// Answer implements Recorder.
func (f *FileRecorder) Answer(answer records.CallerAnswer) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.failure == nil {
		f.failure = f.encoder.Encode(answer)
	}
}

// Close writes out what is left.
func (f *FileRecorder) Close() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return errors.Wrap(errors.Join(f.failure, f.buffer.Flush(), f.file.Close()), "record of answers")
}
