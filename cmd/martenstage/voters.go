package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/martenstage/martenstage/internal/cli"
	"github.com/martenstage/martenstage/internal/control"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// votersCommands are the commands under "voters".
func votersCommands() []cli.Command {
	return []cli.Command{
		{Name: "list", Short: "List the control voters", Data: &votersList{}},
		{Name: "add", Short: "Add a control voter that was started with --join", Data: &votersAdd{}},
		{Name: "remove", Short: "Remove a control voter for good", Data: &votersRemove{}},
		{Name: "transfer", Short: "Hand leadership to another voter", Data: &votersTransfer{}},
	}
}

type votersList struct{ operatorOptions }

// Execute implements flags.Commander.
func (c *votersList) Execute([]string) error {
	return c.call(func(ctx context.Context, client *control.Client) error {
		voters, err := client.ListVoters(ctx)
		if err != nil {
			return err
		}
		return printVoters(voters)
	})
}

type votersAdd struct {
	operatorOptions
	Arguments struct {
		ID      uint64 `positional-arg-name:"ID" description:"A new id; ids are never reused"`
		Address string `positional-arg-name:"IP:PORT" description:"Address of the voter"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. It ends once the voter holds the whole
// log and counts for quorums.
func (c *votersAdd) Execute([]string) error {
	return c.call(func(ctx context.Context, client *control.Client) error {
		voters, err := client.AddVoter(ctx, c.Arguments.ID, c.Arguments.Address)
		if err != nil {
			return err
		}
		return printVoters(voters)
	})
}

type votersRemove struct {
	operatorOptions
	Arguments struct {
		ID uint64 `positional-arg-name:"ID" description:"Id of the voter"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *votersRemove) Execute([]string) error {
	return c.call(func(ctx context.Context, client *control.Client) error {
		voters, err := client.RemoveVoter(ctx, c.Arguments.ID)
		if err != nil {
			return err
		}
		return printVoters(voters)
	})
}

type votersTransfer struct {
	operatorOptions
	Arguments struct {
		ID uint64 `positional-arg-name:"ID" description:"Id of the voter; the one with the longest log when left out"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *votersTransfer) Execute([]string) error {
	return c.call(func(ctx context.Context, client *control.Client) error {
		return client.TransferLeadership(ctx, c.Arguments.ID)
	})
}

func printVoters(voters []*v1.Voter) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ID\tADDRESS\tKIND")
	for _, voter := range voters {
		fmt.Fprintf(table, "%d\t%s\t%s\n", voter.GetId(), voter.GetAddress(), kindOf(voter))
	}
	return table.Flush()
}

func kindOf(voter *v1.Voter) string {
	if voter.GetLearner() {
		return "learner"
	}
	return "voter"
}
