package main

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/settings"
)

// quarantineCommand lists the requests under which servers ended, or lifts what is held
// against one.
type quarantineCommand struct {
	Lift      string `long:"lift" value-name:"FINGERPRINT" description:"End the quarantine or suspicion of a request, by its whole fingerprint"`
	Arguments struct {
		Address string `positional-arg-name:"IP:PORT" description:"Peer address of a directory node"`
	} `positional-args:"yes" required:"yes"`
}

// quarantineTimeout bounds the call.
const quarantineTimeout = 2 * time.Second

// Execute implements flags.Commander.
func (c *quarantineCommand) Execute([]string) error {
	if _, err := settings.ParseAddress(c.Arguments.Address); err != nil {
		return exitcode.With(exitcode.Usage, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
	defer cancel()
	if c.Lift != "" {
		return c.lift(ctx)
	}
	book, err := directory.ListQuarantine(ctx, c.Arguments.Address)
	if err != nil {
		return exitcode.With(exitcode.Unavailable, err)
	}
	fmt.Printf("revision %d, %d requests under which servers ended\n", book.Revision, len(book.Records))
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, held := range book.Records {
		fmt.Fprintf(table, "%s\t%s\tsince %s\troute %s\tcaller %s\t%d servers ended: %s\n",
			held.Fingerprint, held.Standing(), held.At.Format(time.RFC3339), held.Route, held.Caller, held.Ended, strings.Join(held.Servers, " "))
	}
	return table.Flush()
}

func (c *quarantineCommand) lift(ctx context.Context) error {
	var fingerprint quarantine.Fingerprint
	if err := fingerprint.UnmarshalText([]byte(c.Lift)); err != nil {
		return exitcode.With(exitcode.Usage, err)
	}
	before, err := directory.LiftQuarantine(ctx, c.Arguments.Address, fingerprint, operatorName())
	if err != nil {
		return exitcode.With(exitcode.Unavailable, err)
	}
	fmt.Printf("%s was %s\n", fingerprint, before)
	return nil
}

// operatorName is who gives the order, for the log.
func operatorName() string {
	if current, err := user.Current(); err == nil {
		return "operator " + current.Username
	}
	return "operator"
}
