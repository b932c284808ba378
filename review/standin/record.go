package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run, with the seconds since the
// start of the case.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

// note adds a line.
func (r *record) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.writer, "%9.4f  ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.writer, format, arguments...)
	fmt.Fprintln(r.writer)
}

// say adds a line and prints it.
func (r *record) say(format string, arguments ...any) {
	r.note(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

func (r *record) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
