package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/trace"
)

// explainCommand prints the timeline of one request.
type explainCommand struct {
	Before time.Duration `long:"before" default:"30s" description:"How long before the request's end changes of belief are shown"`
	Args   struct {
		Request string   `positional-arg-name:"REQUEST-ID" required:"yes"`
		Logs    []string `positional-arg-name:"LOG" description:"Log files of processes; standard input when none is given"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	timeline := trace.Explain(lines, c.Args.Request, c.Before)
	if len(timeline) == 0 {
		return errors.Newf("no line of the %d read names request %s: of ordinary answers only some are logged", len(lines), c.Args.Request)
	}
	for _, line := range timeline {
		fmt.Printf("%s\t%s\n", line.Source, line.Text)
	}
	return nil
}

func (c *explainCommand) read() ([]trace.Line, error) {
	if len(c.Args.Logs) == 0 {
		lines, _, err := trace.Read("-", os.Stdin)
		return lines, err
	}
	var all []trace.Line
	for _, path := range c.Args.Logs {
		file, err := os.Open(path)
		if err != nil {
			return nil, exitcode.With(exitcode.Usage, errors.Wrap(err, "a log can't be read"))
		}
		lines, _, err := trace.Read(filepath.Base(path), file)
		if err := errors.CombineErrors(err, file.Close()); err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}
