package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/rollout"
)

// rolloutsCommand lists the roll-outs of a registered site.
type rolloutsCommand struct {
	Arguments directoryAddress `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *rolloutsCommand) Execute([]string) error {
	list, err := askDirectory(c.Arguments.Address, directory.ListRollouts)
	if err != nil {
		return err
	}
	fmt.Printf("revision %d, %d services with a roll-out\n", list.Revision, len(list.Rollouts))
	table := newTable()
	for _, held := range list.Rollouts {
		fmt.Fprintf(table, "%s\tto %s\t%s\tsince %s\tordered %s for %s from %s\t%s\n", held.Service, held.Target, held.Phase,
			held.Changed.Format(time.RFC3339), held.Ordered.Format(time.RFC3339), held.Duration, held.By, held.Reason)
		writeEvidence(table, list.Evidence[held.Service])
	}
	return table.Flush()
}

// writeEvidence writes a line for each route of a roll-out that runs.
func writeEvidence(table io.Writer, evidence rollout.Evidence) {
	for _, route := range slices.Sorted(maps.Keys(evidence)) {
		pair := evidence[route]
		fmt.Fprintf(table, "  route %s\told %d answers, %d bad\tnew %d answers, %d bad\t\t\t\n",
			route, pair.Old.Answers, pair.Old.Bad, pair.New.Answers, pair.New.Bad)
	}
}
