package main

import (
	"encoding/json"
	"os"

	"github.com/martenstage/martenstage/internal/losses"
)

// lossesCommand tells where answers were lost.
type lossesCommand struct {
	JSON bool `long:"json" description:"Write the report as JSON"`
	Args struct {
		Logs []string `positional-arg-name:"LOG" description:"Log files of routers; standard input when none is given"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *lossesCommand) Execute([]string) error {
	lines, passedOver, err := readLogs(c.Args.Logs)
	if err != nil {
		return err
	}
	report := losses.Analyze(lines)
	report.SkippedLines = passedOver
	if !c.JSON {
		return report.WriteText(os.Stdout)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
