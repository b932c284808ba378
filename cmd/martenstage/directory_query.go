package main

import (
	"context"
	"os"
	"text/tabwriter"
	"time"

	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/settings"
)

// directoryAddress is the argument of commands that ask one directory node.
type directoryAddress struct {
	Address string `positional-arg-name:"IP:PORT" description:"Peer address of a directory node"`
}

// directoryTimeout bounds the call.
const directoryTimeout = 2 * time.Second

// askDirectory asks a node what it knows, with the exit codes of a wrong address and of a node
// that does not answer.
func askDirectory[Answer any](address string, ask func(context.Context, string) (Answer, error)) (Answer, error) {
	var none Answer
	if _, err := settings.ParseAddress(address); err != nil {
		return none, exitcode.With(exitcode.Usage, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), directoryTimeout)
	defer cancel()
	answer, err := ask(ctx, address)
	if err != nil {
		return none, exitcode.With(exitcode.Unavailable, err)
	}
	return answer, nil
}

// newTable returns a writer that aligns columns on standard output once it is flushed.
func newTable() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0) }
