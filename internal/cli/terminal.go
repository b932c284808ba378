package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"golang.org/x/term"
)

// IsTerminal reports whether a file is a terminal, so that a person reads it.
func IsTerminal(file *os.File) bool { return term.IsTerminal(int(file.Fd())) }

// Progress shows how long work has gone on for, on one line of a terminal that
// is written over. It writes nothing into a pipe or a file. It is for one
// goroutine.
type Progress struct {
	output  io.Writer
	started time.Time
	shown   bool
}

// NewProgress returns the progress of work that begins now.
func NewProgress(file *os.File) *Progress {
	progress := &Progress{started: time.Now()}
	if IsTerminal(file) {
		progress.output = file
	}
	return progress
}

// eraseLine returns to the start of the line and erases it (ECMA-48 EL).
const eraseLine = "\r\x1b[2K"

// Show writes what the work is waiting for over the last line.
func (p *Progress) Show(text string) {
	if p.output == nil {
		return
	}
	p.shown = true
	fmt.Fprintf(p.output, "%s%s (%s)", eraseLine, text, time.Since(p.started).Round(time.Second))
}

// Done erases the line.
func (p *Progress) Done() {
	if p.shown {
		fmt.Fprint(p.output, eraseLine)
		p.shown = false
	}
}

// progressInterval is the pace at which Working writes over its line.
const progressInterval = time.Second

// Working shows on a terminal, after a second and until the returned function
// is called, what is being worked on and for how long already.
func Working(file *os.File, text string) (done func()) {
	progress := NewProgress(file)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				progress.Show(text)
			case <-stop:
				progress.Done()
				return
			}
		}
	}()
	return func() {
		close(stop)
		<-stopped
	}
}
