package main

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/dataset"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/judge"
)

// judgeCommand judges the record files of a run.
type judgeCommand struct {
	Folder      string   `long:"folder" required:"true" description:"Folder with the record files of the run"`
	PolicyFiles []string `long:"policy-file" description:"Configuration that was in force; repeat for each revision"`
	JSON        bool     `long:"json" description:"Print the result as one line of JSON"`
}

// Execute implements flags.Commander.
func (c *judgeCommand) Execute([]string) error {
	judged := judge.New(judge.Config{Items: dataset.Items})
	for _, path := range c.PolicyFiles {
		compiled, err := compileFile(path)
		if err != nil {
			return err
		}
		judged.AddPlan(compiled)
	}
	if err := judged.Folder(c.Folder); err != nil {
		return err
	}
	result := judged.Result()
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
