package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/martenstage/martenstage/internal/control"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// statusCommand shows who leads and how far everybody is.
type statusCommand struct {
	operatorOptions
	JSON bool `long:"json" description:"Print JSON"`
}

// Execute implements flags.Commander. Without a quorum it shows what each voter
// that answers believes, and fails all the same.
func (c *statusCommand) Execute([]string) error {
	return c.call(func(ctx context.Context, client *control.Client) error {
		confirmed, err := client.Status(ctx)
		if err == nil {
			return c.print(confirmed)
		}
		if !errors.Is(err, control.ErrUnavailable) {
			return err
		}
		for _, local := range client.LocalStatuses(context.WithoutCancel(ctx)) {
			fmt.Printf("unconfirmed view of voter %d:\n", local.GetAnsweredBy())
			if printError := c.print(local); printError != nil {
				return printError
			}
		}
		return err
	})
}

func (c *statusCommand) print(status *v1.StatusResponse) error {
	if c.JSON {
		text, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.Marshal(status)
		if err != nil {
			return err
		}
		_, err = fmt.Println(string(text))
		return err
	}
	fmt.Printf("leader %d  term %d  commit index %d  revision %d  in force everywhere %d\n\n",
		status.GetLeaderId(), status.GetTerm(), status.GetCommitIndex(), status.GetRevision(), status.GetRevisionInForce())
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	printVoterTable(table, status.GetVoters())
	printNodeTable(table, status.GetNodes())
	printMachineTable(table, status.GetMachines())
	return table.Flush()
}

func printVoterTable(table *tabwriter.Writer, voters []*v1.VoterStatus) {
	fmt.Fprintln(table, "VOTER\tADDRESS\tKIND\tMATCH\tACTIVE\tDISK")
	for _, voter := range voters {
		disk := voter.GetDiskError()
		if disk == "" {
			disk = "ok"
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%t\t%s\n", voter.GetVoter().GetId(), voter.GetVoter().GetAddress(),
			kindOf(voter.GetVoter()), voter.GetMatchIndex(), voter.GetRecentlyActive(), disk)
	}
}

func printNodeTable(table *tabwriter.Writer, nodes []*v1.NodeStatus) {
	if len(nodes) == 0 {
		return
	}
	fmt.Fprintln(table, "\nNODE\tROLE\tZONE\tADDRESS\tREVISION\tLEASE\tSEEN\tRELAY")
	for _, node := range nodes {
		lease := "live"
		if node.GetLeaseLapsed() {
			lease = "lapsed"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", node.GetNode(), node.GetRole(), node.GetZone(), node.GetAddress(),
			node.GetRevision(), lease, node.GetSinceSeen().AsDuration().Round(time.Millisecond), node.GetRelay())
	}
}

func printMachineTable(table *tabwriter.Writer, machines []*v1.MachineState) {
	if len(machines) == 0 {
		return
	}
	fmt.Fprintln(table, "\nMACHINE\tSTATE\tSOURCE")
	for _, machine := range machines {
		fmt.Fprintf(table, "%s\t%s\t%s\n", machine.GetAddress(), machine.GetState(), machine.GetSource())
	}
}
