package main

import (
	"bufio"
	"fmt"
	"os"
	"path"
	"regexp"
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

// sourcePath is an absolute path of a source file, as in the stack of a process that panics.
var sourcePath = regexp.MustCompile(`/[^\s:]*\.go\b`)

// projectPath is the part of such a path that is within the project.
var projectPath = regexp.MustCompile(`/((?:internal|cmd|platform)/[^\s:]*\.go)$`)

// withoutMachine shortens the paths in a line of a process to those of the project, since the rest
// is that of the machine that built it.
func withoutMachine(line string) string {
	return sourcePath.ReplaceAllStringFunc(line, func(found string) string {
		if within := projectPath.FindStringSubmatch(found); within != nil {
			return within[1]
		}
		return path.Base(found)
	})
}
