package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/settings"
)

// evacuationsCommand lists the zones whose servers get no requests.
type evacuationsCommand struct {
	Arguments struct {
		Address string `positional-arg-name:"IP:PORT" description:"Peer address of a directory node"`
	} `positional-args:"yes" required:"yes"`
}

// evacuationsTimeout bounds the call.
const evacuationsTimeout = 2 * time.Second

// Execute implements flags.Commander.
func (c *evacuationsCommand) Execute([]string) error {
	if _, err := settings.ParseAddress(c.Arguments.Address); err != nil {
		return exitcode.With(exitcode.Usage, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), evacuationsTimeout)
	defer cancel()
	list, err := directory.ListEvacuations(ctx, c.Arguments.Address)
	if err != nil {
		return exitcode.With(exitcode.Unavailable, err)
	}
	fmt.Printf("revision %d, %d zones evacuated\n", list.Revision, len(list.Evacuated))
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, held := range list.Evacuated {
		fmt.Fprintf(table, "%s\tsince %s\tordered from %s\n", held.Zone, held.At.Format(time.RFC3339), held.By)
	}
	return table.Flush()
}
