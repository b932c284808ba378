package main

import (
	"fmt"
	"time"

	"github.com/martenstage/martenstage/internal/directory"
)

// evacuationsCommand lists the zones whose servers get no requests.
type evacuationsCommand struct {
	Arguments directoryAddress `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *evacuationsCommand) Execute([]string) error {
	list, err := askDirectory(c.Arguments.Address, directory.ListEvacuations)
	if err != nil {
		return err
	}
	fmt.Printf("revision %d, %d zones evacuated\n", list.Revision, len(list.Evacuated))
	table := newTable()
	for _, held := range list.Evacuated {
		fmt.Fprintf(table, "%s\tsince %s\tordered from %s\n", held.Zone, held.At.Format(time.RFC3339), held.By)
	}
	return table.Flush()
}
