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
	lines, _, err := readLogs(c.Args.Logs)
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

// readLogs reads log files, or standard input when none is named, and counts the lines
// that are not of a log.
func readLogs(paths []string) (all []trace.Line, passedOver int, err error) {
	if len(paths) == 0 {
		return trace.Read("-", os.Stdin)
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, 0, exitcode.With(exitcode.Usage, errors.Wrap(err, "a log can't be read"))
		}
		lines, passed, err := trace.Read(filepath.Base(path), file)
		if err := errors.CombineErrors(err, file.Close()); err != nil {
			return nil, 0, err
		}
		all = append(all, lines...)
		passedOver += passed
	}
	return all, passedOver, nil
}
