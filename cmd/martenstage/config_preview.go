package main

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/exitcode"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/policy"
)

// proposal is a configuration that could be submitted, with the name that
// messages about it begin with.
type proposal struct{ name, text string }

// preview shows what a change would touch, compared with the latest accepted
// revision, and submits nothing.
func (o *changeOptions) preview(proposed func(context.Context, *control.Client) (proposal, error)) error {
	return o.call(func(ctx context.Context, client *control.Client) error {
		change, err := proposed(ctx, client)
		if err != nil {
			return err
		}
		after, err := compileText(change.name, change.text)
		if err != nil {
			return err
		}
		warnings, err := policy.LintText(change.name, []byte(change.text))
		if err != nil {
			return err
		}
		latest, before, err := latestPlan(ctx, client)
		if err != nil {
			return err
		}
		fmt.Printf("compared with revision %d; nothing was submitted\n", latest.GetNumber())
		for _, line := range plan.Diff(before, after).Lines() {
			fmt.Println(line)
		}
		for _, warning := range warnings {
			fmt.Printf("lint: %s\n", warning)
		}
		if o.Expected != nil && *o.Expected != latest.GetNumber() {
			return exitcode.With(exitcode.Conflict, errors.Newf("it would be refused: it expects revision %d, the latest is %d by %s",
				*o.Expected, latest.GetNumber(), latest.GetAuthor()))
		}
		return nil
	})
}

// latestPlan returns the latest accepted revision with its plan; revision 0 with
// an empty plan before the first one.
func latestPlan(ctx context.Context, client *control.Client) (*v1.Revision, *plan.Plan, error) {
	latest, err := client.Get(ctx, 0)
	if connect.CodeOf(err) == connect.CodeNotFound {
		return &v1.Revision{}, &plan.Plan{}, nil
	}
	if err != nil {
		return nil, nil, err
	}
	compiled, err := compileRevision(latest)
	return latest, compiled, err
}

type configLint struct {
	operatorOptions
	Revision uint64 `long:"revision" description:"Revision to examine; the latest when 0"`
}

// Execute implements flags.Commander.
func (c *configLint) Execute([]string) error {
	return c.call(func(ctx context.Context, client *control.Client) error {
		revision, err := client.Get(ctx, c.Revision)
		if err != nil {
			return err
		}
		warnings, err := policy.LintText(revisionName(revision), []byte(revision.GetText()))
		if err != nil {
			return olderLanguage(err)
		}
		for _, warning := range warnings {
			fmt.Println(warning)
		}
		if len(warnings) > 0 {
			return exitcode.With(exitcode.Failure, errors.Newf("revision %d: %s", revision.GetNumber(), counted(len(warnings), "warning")))
		}
		fmt.Printf("revision %d: no warnings\n", revision.GetNumber())
		return nil
	})
}

func revisionName(revision *v1.Revision) string {
	return fmt.Sprintf("revision %d", revision.GetNumber())
}

// olderLanguage explains an accepted text that does not compile.
func olderLanguage(err error) error { return errors.Wrap(err, "an older version of the language?") }

func compileRevision(revision *v1.Revision) (*plan.Plan, error) {
	compiled, err := policy.Compile(revisionName(revision), []byte(revision.GetText()))
	return compiled, olderLanguage(err)
}
