package main

import (
	"context"
	"fmt"
	"os/user"
	"strings"
	"time"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/quarantine"
)

// quarantineCommand lists the requests under which servers ended, or lifts what is held
// against one.
type quarantineCommand struct {
	Lift      string           `long:"lift" value-name:"FINGERPRINT" description:"End the quarantine or suspicion of a request, by its whole fingerprint"`
	Arguments directoryAddress `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *quarantineCommand) Execute([]string) error {
	if c.Lift != "" {
		return c.lift()
	}
	book, err := askDirectory(c.Arguments.Address, directory.ListQuarantine)
	if err != nil {
		return err
	}
	fmt.Printf("revision %d, %d requests under which servers ended\n", book.Revision, len(book.Records))
	table := newTable()
	for _, held := range book.Records {
		fmt.Fprintf(table, "%s\t%s\tsince %s\troute %s\tcaller %s\t%d servers ended: %s\n",
			held.Fingerprint, held.Status(), held.At.Format(time.RFC3339), held.Route, held.Caller, held.Ended, strings.Join(held.Servers, " "))
	}
	return table.Flush()
}

func (c *quarantineCommand) lift() error {
	var fingerprint quarantine.Fingerprint
	if err := fingerprint.UnmarshalText([]byte(c.Lift)); err != nil {
		return exitcode.With(exitcode.Usage, err)
	}
	before, err := askDirectory(c.Arguments.Address, func(ctx context.Context, address string) (quarantine.Status, error) {
		return directory.LiftQuarantine(ctx, address, fingerprint, operatorName())
	})
	if err != nil {
		return err
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
