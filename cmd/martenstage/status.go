package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/martenstage/martenstage/internal/cli"
	"github.com/martenstage/martenstage/internal/control"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/overview"
	"github.com/martenstage/martenstage/internal/plan"
)

// statusCommand shows services, routes, routers, relays and voters, and what
// needs attention.
type statusCommand struct {
	operatorOptions
	JSON     bool          `long:"json" description:"Print JSON"`
	Watch    bool          `long:"watch" description:"Show it again and again: redrawn on a terminal; in a pipe only what needs attention, when that changes"`
	Interval time.Duration `long:"interval" default:"2s" description:"Pause between two views of --watch"`

	// revision and plan are the last that were read, so that watching does not
	// compile an unchanged configuration again.
	revision uint64
	plan     *plan.Plan
}

// Execute implements flags.Commander. Without a quorum it shows what each voter
// that answers believes, and fails all the same.
func (c *statusCommand) Execute([]string) error {
	if c.Watch {
		return c.watch()
	}
	return c.call(func(ctx context.Context, client *control.Client) error {
		status, err := c.read(ctx, client)
		if err == nil {
			return c.print(status)
		}
		if !errors.Is(err, control.ErrUnavailable) {
			return err
		}
		for _, local := range client.LocalStatuses(context.WithoutCancel(ctx)) {
			if printError := c.print(local); printError != nil {
				return printError
			}
		}
		return err
	})
}

// read asks for the status, and for the configuration if it is a newer one.
func (c *statusCommand) read(ctx context.Context, client *control.Client) (*v1.StatusResponse, error) {
	status, err := client.Status(ctx)
	addDiskErrors(ctx, client, status)
	if err != nil || status.GetRevision() == 0 || status.GetRevision() == c.revision {
		return status, err
	}
	compiled, err := revisionPlan(ctx, client, status.GetRevision())
	if err != nil {
		return nil, err
	}
	c.revision, c.plan = status.GetRevision(), compiled
	return status, nil
}

// addDiskErrors asks the voters whether their disk failed if one is behind or not
// heard of: only they themselves know.
func addDiskErrors(ctx context.Context, client *control.Client, status *v1.StatusResponse) {
	suspicious := lo.SomeBy(status.GetVoters(), func(voter *v1.VoterStatus) bool {
		return !voter.GetRecentlyActive() || voter.GetMatchIndex() < status.GetCommitIndex()
	})
	if !suspicious {
		return
	}
	for _, own := range client.LocalStatuses(ctx) {
		for _, voter := range status.GetVoters() {
			if voter.GetVoter().GetId() == own.GetAnsweredBy() {
				voter.DiskError = ownDiskError(own)
			}
		}
	}
}

// ownDiskError returns what a voter says of its own disk.
func ownDiskError(own *v1.StatusResponse) string {
	for _, voter := range own.GetVoters() {
		if voter.GetVoter().GetId() == own.GetAnsweredBy() {
			return voter.GetDiskError()
		}
	}
	return ""
}

func (c *statusCommand) print(status *v1.StatusResponse) error {
	if c.JSON {
		return c.printJSON(status)
	}
	return overview.New(status, c.plan).Print(os.Stdout)
}

// printJSON prints the status as control answers it, with the services and
// notices that are made of it.
func (c *statusCommand) printJSON(status *v1.StatusResponse) error {
	text, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(status)
	if err != nil {
		return err
	}
	document := make(map[string]any)
	if err := json.Unmarshal(text, &document); err != nil {
		return err
	}
	summed := overview.New(status, c.plan)
	document["services"], document["attention"] = summed.Services, summed.Attention
	return printJSON(document)
}

// clearScreen moves the cursor home and erases the terminal (ECMA-48 CUP, ED).
const clearScreen = "\x1b[H\x1b[2J"

// watch shows the status until it is interrupted. A status that can't be had
// is shown as such, because watching matters most while something is wrong.
func (c *statusCommand) watch() error {
	stopping, restore := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer restore()
	var shown string
	for {
		var view bytes.Buffer
		if err := c.view(&view); err != nil {
			fmt.Fprintln(&view, "no status:", err)
		}
		switch {
		case c.JSON:
			fmt.Print(view.String())
		case cli.IsTerminal(os.Stdout):
			fmt.Printf("%s%s\n\n%s", clearScreen, time.Now().Format(time.DateTime), view.String())
		case view.String() != shown:
			shown = view.String()
			fmt.Printf("%s\n%s", time.Now().Format(time.DateTime), shown)
		}
		select {
		case <-stopping.Done():
			return nil
		case <-time.After(c.Interval):
		}
	}
}

// view writes one view: everything on a terminal, notices in a pipe, a JSON
// document a line with --json.
func (c *statusCommand) view(view *bytes.Buffer) error {
	return c.call(func(ctx context.Context, client *control.Client) error {
		status, err := c.read(ctx, client)
		if err != nil {
			return err
		}
		switch summed := overview.New(status, c.plan); {
		case c.JSON:
			return json.NewEncoder(view).Encode(map[string]any{
				"time": time.Now(), "revision": summed.Group.Revision, "revision_in_force": summed.Group.InForce,
				"services": summed.Services, "routes": summed.Routes, "attention": summed.Attention,
			})
		case cli.IsTerminal(os.Stdout):
			return summed.Print(view)
		default:
			return summed.PrintAttention(view)
		}
	})
}
