package main

import (
	"context"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/exitcode"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/nearest"
	"github.com/martenstage/martenstage/internal/settings"
)

// drainCommand marks a back end as leaving, or removes the mark.
type drainCommand struct {
	operatorOptions
	Unlisted  bool   `long:"unlisted" description:"Also accept an address that the configuration does not have, such as one of a change to come"`
	ChangeID  string `long:"change-id" description:"Id of the change; a repeated id gets the first result (default: a new one)"`
	Arguments struct {
		Address string `positional-arg-name:"IP:PORT" description:"Address of the back end"`
	} `positional-args:"yes" required:"yes"`
	draining bool
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	if c.ChangeID == "" {
		c.ChangeID = newChangeID()
	}
	if _, err := settings.ParseAddress(c.Arguments.Address); err != nil {
		return exitcode.With(exitcode.Usage, err)
	}
	return c.call(func(ctx context.Context, client *control.Client) error {
		if err := c.checkListed(ctx, client); err != nil {
			return err
		}
		err := client.SetDrain(ctx, &v1.SetDrainRequest{
			Address: c.Arguments.Address, Draining: c.draining, ChangeId: c.ChangeID, Author: author(),
		})
		if err != nil {
			return unknownOutcome(err, c.ChangeID)
		}
		word := "no longer marked as leaving"
		if c.draining {
			word = "marked as leaving"
		}
		fmt.Printf("%s is %s (change %s)\n", c.Arguments.Address, word, c.ChangeID)
		return nil
	})
}

// checkListed refuses to drain an address that no service has: the mark of a
// mistyped address would do nothing while its operator believes otherwise.
func (c *drainCommand) checkListed(ctx context.Context, client *control.Client) error {
	if !c.draining || c.Unlisted {
		return nil
	}
	current, err := revisionPlan(ctx, client, 0)
	if err != nil {
		return err
	}
	var known []string
	for placement := range current.Placements() {
		known = append(known, placement.Replica.Address.String())
	}
	if slices.Contains(known, c.Arguments.Address) {
		return nil
	}
	hint := ""
	if near, found := nearest.Name(c.Arguments.Address, known); found {
		hint = "; did you mean " + near + "?"
	}
	return errors.Newf("no service of the configuration in force has a replica at %s%s (--unlisted drains it all the same)",
		c.Arguments.Address, hint)
}
