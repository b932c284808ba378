package main

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/cli"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/proof/simulation"
)

// simulateCommand runs the whole fleet on a virtual clock.
type simulateCommand struct {
	Seed     uint64 `long:"seed" default:"1" description:"Seed of the first run; each further run takes the next"`
	Runs     int    `long:"runs" default:"1" description:"Number of runs"`
	World    string `long:"world" default:"usual" description:"What the fleet consists of; \"list\" prints the names"`
	Scenario string `long:"scenario" default:"random" description:"Scenario, or several joined by +; \"list\" prints their names"`
	Parallel int    `long:"parallel" description:"Runs at once; 0 means one for each processor"`
	JSON     bool   `long:"json" description:"End with one line of JSON"`
	Trace    string `long:"trace" description:"File for what happens, a line each; \"-\" is standard output. Runs follow each other then"`
}

// gcPercent lets the heap grow further than usual before it is collected: a run
// keeps little, and makes much that it soon drops.
const gcPercent = 2000

// Execute implements flags.Commander.
func (c *simulateCommand) Execute([]string) error {
	debug.SetGCPercent(gcPercent)
	if c.Scenario == "list" {
		return printNames(simulation.Scenarios())
	}
	if c.World == "list" {
		return printNames(simulation.Worlds())
	}
	config := simulation.Config{
		Seed: c.Seed, Runs: c.Runs, Parallel: c.Parallel,
		Choice: simulation.Choice{World: c.World, Scenario: c.Scenario},
	}
	if config.Parallel <= 0 {
		config.Parallel = runtime.GOMAXPROCS(0)
	}
	trace, err := c.openTrace()
	if err != nil {
		return err
	}
	if trace != nil {
		config.Trace, config.Parallel = trace, 1
	}
	done := cli.Working(os.Stderr, fmt.Sprintf("simulating %d runs", config.Runs))
	result, err := simulation.Run(config)
	done()
	if trace != nil && trace != os.Stdout {
		err = errors.CombineErrors(err, trace.Close())
	}
	if err != nil {
		return exitcode.With(exitcode.Usage, err)
	}
	if err := result.Print(os.Stdout, c.JSON); err != nil {
		return err
	}
	if result.Violations > 0 {
		return exitcode.With(exitcode.Failure, errors.Newf("%d violations", result.Violations))
	}
	return nil
}

func printNames(names []string) error {
	_, err := io.WriteString(os.Stdout, strings.Join(names, "\n")+"\n")
	return errors.Wrap(err, "standard output")
}

// openTrace returns where the trace goes, nil for nowhere.
func (c *simulateCommand) openTrace() (*os.File, error) {
	switch c.Trace {
	case "":
		return nil, nil
	case "-":
		return os.Stdout, nil
	}
	file, err := os.Create(c.Trace)
	return file, errors.Wrap(err, "trace")
}
