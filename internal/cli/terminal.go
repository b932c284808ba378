package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"golang.org/x/term"
)

// IsTerminal reports whether a file is a terminal.
func IsTerminal(file *os.File) bool { return term.IsTerminal(int(file.Fd())) }

// Progress shows a status text with the elapsed time on one line of a terminal,
// which it overwrites on each update. It writes nothing to a pipe or a file. It is
// not safe for concurrent use.
type Progress struct {
	output  io.Writer
	started time.Time
	shown   bool
}

// NewProgress returns a Progress whose elapsed time starts now.
func NewProgress(file *os.File) *Progress {
	progress := &Progress{started: time.Now()}
	if IsTerminal(file) {
		progress.output = file
	}
	return progress
}

// eraseLine returns to the start of the line and erases it (ECMA-48 EL).
const eraseLine = "\r\x1b[2K"

// Show replaces the line by a text and the elapsed time.
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

// progressInterval is how often Working updates its line.
const progressInterval = time.Second

// Working shows a text and the elapsed time on a terminal, from one second after
// the call until the returned function is called.
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
