package main

import (
	"context"
	"fmt"

	"github.com/martenstage/martenstage/internal/control"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// drainCommand marks a back end as leaving, or removes the mark.
type drainCommand struct {
	operatorOptions
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
	return c.call(func(ctx context.Context, client *control.Client) error {
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
