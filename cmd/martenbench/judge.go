package main

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/dataset"
	"github.com/martenstage/martenstage/internal/proof/judge"
	"github.com/martenstage/martenstage/internal/proof/report"
)

// judgeCommand judges the record files of a run.
type judgeCommand struct {
	Folder      string   `long:"folder" required:"true" description:"Folder with the record files of the run"`
	PolicyFiles []string `long:"policy-file" description:"Configuration that was in force; repeat for each revision"`
	Report      bool     `long:"report" description:"Print a summary of each route first, with attempts as back ends saw them"`
	JSON        bool     `long:"json" description:"Print the result as one line of JSON"`
}

// Execute implements flags.Commander.
func (c *judgeCommand) Execute([]string) error {
	plans, err := compileFiles(c.PolicyFiles)
	if err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	if c.Report {
		if err := c.printReport(plans); err != nil {
			return err
		}
	}
	judged := judge.New(judge.Config{Items: dataset.Items})
	for _, known := range plans {
		judged.AddPlan(known)
	}
	if err := judged.Folder(c.Folder); err != nil {
		return err
	}
	return c.print(judged.Result())
}

func (c *judgeCommand) printReport(plans []*plan.Plan) error {
	rows, err := report.Folder(c.Folder, plans)
	if err != nil {
		return err
	}
	return report.Print(os.Stdout, rows)
}

// print fails if there are violations.
func (c *judgeCommand) print(result judge.Result) error {
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
			return errors.Wrap(err, "standard output")
		}
	} else {
		result.Print(os.Stdout)
	}
	if result.Total > 0 {
		return exitcode.With(exitcode.Failure, errors.Newf("%d violations", result.Total))
	}
	return nil
}
