// Command martenbench emulates back ends and callers, runs experiments,
// simulations and scale runs, and judges their records. This package only
// wires flags to packages.
package main

import (
	"os"

	"github.com/martenstage/martenstage/internal/cli"
)

const summary = "The bench of martenstage: emulators, load, experiments, simulation and the judge."

func main() {
	os.Exit(cli.Run("martenbench", summary, append(commands(), cli.Completion("martenbench")), os.Args[1:]))
}

// commands lists the sub-commands; each has a file of its own.
func commands() []cli.Command {
	return []cli.Command{
		{Name: "experiment", Short: "Compare variants of the query engine", Data: &experimentCommand{}},
		{Name: "judge", Short: "Judge the records of a run", Data: &judgeCommand{}},
		{Name: "simulate", Short: "Simulate a whole fleet under faults on a virtual clock", Data: &simulateCommand{}},
		{Name: "load", Short: "Send open-loop load to routers", Data: &loadCommand{}},
		{Name: "backends", Short: "Run emulated back ends", Data: &backendsCommand{}},
		{Name: "platform", Short: "Run a stand-in for the platform's list of machines", Data: &platformCommand{}},
		{Name: "hollow", Short: "Run hollow followers, which follow control and serve nothing", Data: &hollowCommand{}},
		{Name: "scale", Short: "Measure running processes under changes and restarts", Data: &scaleCommand{}},
		{Name: "slopes", Short: "Fit lines over the number of routers to results of scale", Data: &slopesCommand{}},
	}
}
