package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/cli"
	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/exitcode"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/policy"
)

// configCommands are the commands under "config".
func configCommands() []cli.Command {
	return []cli.Command{
		{Name: "apply", Short: "Submit a configuration", Data: &configApply{}},
		{Name: "get", Short: "Print a configuration", Data: &configGet{}},
		{Name: "history", Short: "List accepted configurations, newest first", Data: &configHistory{}},
		{Name: "diff", Short: "Describe what changed between two revisions", Data: &configDiff{}},
		{Name: "lint", Short: "Look for likely mistakes and risks in an accepted configuration", Data: &configLint{}},
		{Name: "rollback", Short: "Submit the text of an earlier revision as a new one", Data: &configRollback{}},
	}
}

// changeOptions are common to commands that submit a configuration.
type changeOptions struct {
	operatorOptions
	Expected    *uint64       `long:"expected" value-name:"N" description:"Revision that the change was written against (default: the current one)"`
	ChangeID    string        `long:"change-id" description:"Id of the change; a repeated id gets the first result (default: a new one)"`
	Comment     string        `long:"comment" description:"Why, for the history"`
	DryRun      bool          `long:"dry-run" description:"Submit nothing; show which routes, shards and connections the change would touch, and what is risky about it"`
	Wait        bool          `long:"wait" description:"Wait until the revision is in force on every router"`
	WaitTimeout time.Duration `long:"wait-timeout" default:"60s" description:"Longest wait until in force"`
}

type configApply struct {
	changeOptions
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"File with the configuration; - reads standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *configApply) Execute([]string) error {
	text, err := readText(c.Arguments.File)
	if err != nil {
		return err
	}
	if c.DryRun {
		return c.preview(func(context.Context, *control.Client) (proposal, error) {
			return proposal{name: c.Arguments.File, text: text}, nil
		})
	}
	return c.submit(&v1.ApplyRequest{Text: text})
}

func readText(file string) (string, error) {
	if file == "-" {
		text, err := io.ReadAll(io.LimitReader(os.Stdin, control.MaxTextBytes+1))
		return string(text), errors.Wrap(err, "standard input")
	}
	text, err := os.ReadFile(file)
	return string(text), err
}

type configRollback struct {
	changeOptions
	Arguments struct {
		Revision uint64 `positional-arg-name:"N" description:"Revision to take the text of"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *configRollback) Execute([]string) error {
	if c.Arguments.Revision == 0 {
		return exitcode.With(exitcode.Usage, errors.New("revisions begin at 1"))
	}
	if c.DryRun {
		return c.preview(func(ctx context.Context, client *control.Client) (proposal, error) {
			revision, err := client.Get(ctx, c.Arguments.Revision)
			return proposal{name: revisionName(revision), text: revision.GetText()}, err
		})
	}
	return c.submit(&v1.ApplyRequest{RollbackTo: c.Arguments.Revision})
}

// checkUTF8 refuses what can't be sent. The compiler names the lines of a text
// that are not valid UTF-8.
func checkUTF8(request *v1.ApplyRequest) error {
	if !utf8.ValidString(request.GetText()) {
		_, err := policy.Compile("configuration", []byte(request.GetText()))
		return errors.Wrap(err, "nothing was submitted, the configuration is not valid")
	}
	if !utf8.ValidString(request.GetComment()) || !utf8.ValidString(request.GetChangeId()) {
		return exitcode.With(exitcode.Usage, errors.New("nothing was submitted: comment and change id must be valid UTF-8"))
	}
	return nil
}

// submit sends a change and reports the decision.
func (o *changeOptions) submit(request *v1.ApplyRequest) error {
	request.ChangeId, request.Comment, request.Author = o.ChangeID, o.Comment, author()
	if request.ChangeId == "" {
		request.ChangeId = newChangeID()
	}
	if err := checkUTF8(request); err != nil {
		return err
	}
	var accepted uint64
	err := o.call(func(ctx context.Context, client *control.Client) error {
		if err := o.expect(ctx, client, request); err != nil {
			return err
		}
		response, err := client.Apply(ctx, request)
		if err != nil {
			return unknownOutcome(err, request.GetChangeId())
		}
		accepted = response.GetRevision()
		return decision(request, response)
	})
	if err != nil || !o.Wait {
		return err
	}
	return o.waitInForce(accepted)
}

// expect fills in the revision that the change is compared with.
func (o *changeOptions) expect(ctx context.Context, client *control.Client, request *v1.ApplyRequest) error {
	if o.Expected != nil {
		request.ExpectedRevision = *o.Expected
		return nil
	}
	history, err := client.History(ctx, 1)
	if err != nil {
		return err
	}
	if len(history) > 0 {
		request.ExpectedRevision = history[0].GetNumber()
	}
	return nil
}

func decision(request *v1.ApplyRequest, response *v1.ApplyResponse) error {
	switch response.GetResult() {
	case v1.ApplyResult_APPLY_RESULT_ACCEPTED:
		fmt.Printf("revision %d accepted (change %s)\n", response.GetRevision(), request.GetChangeId())
		return nil
	case v1.ApplyResult_APPLY_RESULT_CONFLICT:
		return exitcode.With(exitcode.Conflict, errors.Newf("refused: %s", response.GetDetail()))
	case v1.ApplyResult_APPLY_RESULT_INVALID:
		return errors.Newf("refused, the configuration is not valid:\n%s", response.GetDetail())
	default:
		return errors.Newf("refused: %s", response.GetDetail())
	}
}

// waitPoll is how often the state is asked for while waiting.
const waitPoll = 200 * time.Millisecond

func (o *changeOptions) waitInForce(revision uint64) error {
	started := time.Now()
	progress := cli.NewProgress(os.Stderr)
	defer progress.Done()
	o.Timeout = o.WaitTimeout
	return o.call(func(ctx context.Context, client *control.Client) error {
		for {
			status, err := client.Status(ctx)
			if err == nil && status.GetRevisionInForce() >= revision {
				progress.Done()
				fmt.Printf("revision %d in force everywhere after %s\n", revision, time.Since(started).Round(time.Millisecond))
				return nil
			}
			progress.Show(fmt.Sprintf("revision %d: in force everywhere up to %d", revision, status.GetRevisionInForce()))
			select {
			case <-ctx.Done():
				return exitcode.With(exitcode.Unavailable, notInForce(revision, status, err))
			case <-time.After(waitPoll):
			}
		}
	})
}

func notInForce(revision uint64, status *v1.StatusResponse, cause error) error {
	if cause != nil {
		return errors.Wrapf(cause, "revision %d is accepted, but not known to be in force", revision)
	}
	var behind []string
	for _, node := range status.GetNodes() {
		if node.GetRevision() < revision && !node.GetLeaseLapsed() {
			behind = append(behind, node.GetNode())
		}
	}
	return errors.Newf("revision %d is accepted, but not yet in force on %v", revision, behind)
}

type configGet struct {
	operatorOptions
	Revision uint64 `long:"revision" description:"Revision to print; the latest when 0"`
}

// Execute implements flags.Commander.
func (c *configGet) Execute([]string) error {
	return c.call(func(ctx context.Context, client *control.Client) error {
		revision, err := client.Get(ctx, c.Revision)
		if err != nil {
			return err
		}
		// The text alone goes to standard output, so that it can be submitted again.
		fmt.Fprintf(os.Stderr, "revision %d by %s\n", revision.GetNumber(), revision.GetAuthor())
		_, err = fmt.Print(revision.GetText())
		return err
	})
}

type configHistory struct {
	operatorOptions
	Limit uint32 `long:"limit" default:"20" description:"How many revisions"`
	JSON  bool   `long:"json" description:"Print JSON"`
}

// Execute implements flags.Commander.
func (c *configHistory) Execute([]string) error {
	return c.call(func(ctx context.Context, client *control.Client) error {
		history, err := client.History(ctx, c.Limit)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(history)
		}
		table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "REVISION\tACCEPTED\tAUTHOR\tCHANGE\tCOMMENT")
		for _, revision := range history {
			comment := revision.GetComment()
			if revision.GetRollbackOf() != 0 {
				comment = fmt.Sprintf("(rollback to %d) %s", revision.GetRollbackOf(), comment)
			}
			fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", revision.GetNumber(),
				revision.GetAcceptedAt().AsTime().Local().Format(time.DateTime), revision.GetAuthor(), revision.GetChangeId(), comment)
		}
		return table.Flush()
	})
}

type configDiff struct {
	operatorOptions
	Arguments struct {
		Before uint64 `positional-arg-name:"A" required:"yes" description:"Earlier revision"`
		After  uint64 `positional-arg-name:"B" description:"Later revision; the latest when left out"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *configDiff) Execute([]string) error {
	return c.call(func(ctx context.Context, client *control.Client) error {
		before, err := revisionPlan(ctx, client, c.Arguments.Before)
		if err != nil {
			return err
		}
		after, err := revisionPlan(ctx, client, c.Arguments.After)
		if err != nil {
			return err
		}
		for _, line := range plan.Diff(before, after).Lines() {
			fmt.Println(line)
		}
		return nil
	})
}

func revisionPlan(ctx context.Context, client *control.Client, number uint64) (*plan.Plan, error) {
	revision, err := client.Get(ctx, number)
	if err != nil {
		return nil, err
	}
	return compileRevision(revision)
}
