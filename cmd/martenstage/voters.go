package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/cli"
	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/exitcode"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/settings"
)

// votersCommands are the commands under "voters".
func votersCommands() []cli.Command {
	return []cli.Command{
		{Name: "list", Short: "List the control voters", Data: &votersList{}},
		{Name: "add", Short: "Add a control voter that was started with --join", Data: &votersAdd{}},
		{Name: "remove", Short: "Remove a control voter for good", Data: &votersRemove{}},
		{Name: "recover", Short: "Found a new group from one voter's data folder, after a quorum is lost for good",
			Long: "Works on this machine's disk, with the voter stopped. Changes and claims that the surviving voter does not hold are lost. Make sure that no other voter of the old group ever runs again.",
			Data: &votersRecover{}},
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
		done := cli.Working(os.Stderr, fmt.Sprintf("bringing voter %d up to date", c.Arguments.ID))
		voters, err := client.AddVoter(ctx, c.Arguments.ID, c.Arguments.Address)
		done()
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

type votersRecover struct {
	From        string `long:"from" required:"yes" value-name:"FOLDER" description:"Data folder of the surviving voter, or a copy of it; it is not changed"`
	FromID      uint64 `long:"from-id" required:"yes" value-name:"ID" description:"Id of the surviving voter"`
	Folder      string `long:"data-folder" required:"yes" value-name:"FOLDER" description:"Data folder of the new voter; must be empty"`
	ID          uint64 `long:"id" required:"yes" value-name:"ID" description:"Id of the new voter; never used before"`
	Address     string `long:"address" required:"yes" value-name:"IP:PORT" description:"Address of the new voter"`
	LostChanges int    `long:"lost-changes" default:"10" value-name:"N" description:"Most accepted changes that the survivor can have missed; the latest text is accepted that many times again"`
}

// Execute implements flags.Commander.
func (c *votersRecover) Execute([]string) error {
	if _, err := settings.ParseAddress(c.Address); err != nil {
		return exitcode.With(exitcode.Usage, err)
	}
	if c.ID == 0 || c.LostChanges < 0 {
		return exitcode.With(exitcode.Usage, errors.New("the id must not be 0, and the lost changes not negative"))
	}
	recovered, err := control.Recovery{
		From: c.From, FromID: c.FromID, Folder: c.Folder, ID: c.ID, Address: c.Address, LostChanges: c.LostChanges,
	}.Run(time.Now())
	if err != nil {
		return err
	}
	fmt.Printf("found revision %d; the log ends at index %d of term %d\n", recovered.SurvivorRevision, recovered.LastIndex, recovered.LastTerm)
	fmt.Printf("voter %d begins a new group with revision %d, which has the same text\n", c.ID, recovered.FirstRevision)
	return nil
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
