package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/settings"
)

// rolloutsCommand lists the roll-outs of a registered site.
type rolloutsCommand struct {
	Arguments struct {
		Address string `positional-arg-name:"IP:PORT" description:"Peer address of a directory node"`
	} `positional-args:"yes" required:"yes"`
}

// rolloutsTimeout bounds the call.
const rolloutsTimeout = 2 * time.Second

// Execute implements flags.Commander.
func (c *rolloutsCommand) Execute([]string) error {
	if _, err := settings.ParseAddress(c.Arguments.Address); err != nil {
		return exitcode.With(exitcode.Usage, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), rolloutsTimeout)
	defer cancel()
	list, err := directory.ListRollouts(ctx, c.Arguments.Address)
	if err != nil {
		return exitcode.With(exitcode.Unavailable, err)
	}
	fmt.Printf("revision %d, %d services with a roll-out\n", list.Revision, len(list.Rollouts))
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, held := range list.Rollouts {
		fmt.Fprintf(table, "%s\tto %s\t%s\tsince %s\tordered %s for %s from %s\t%s\n", held.Service, held.Target, held.Phase,
			held.Changed.Format(time.RFC3339), held.Ordered.Format(time.RFC3339), held.Duration, held.By, held.Why)
		evidence := list.Evidence[held.Service]
		for _, route := range slices.Sorted(maps.Keys(evidence)) {
			pair := evidence[route]
			fmt.Fprintf(table, "  route %s\told %d answers, %d bad\tnew %d answers, %d bad\t\t\t\n", route, pair.Old.Answers, pair.Old.Bad, pair.New.Answers, pair.New.Bad)
		}
	}
	return table.Flush()
}
