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
	os.Exit(cli.Run("martenbench", summary, commands(), os.Args[1:]))
}

// commands lists the sub-commands; each has a file of its own.
func commands() []cli.Command {
	return []cli.Command{
		{Name: "backends", Short: "Run emulated back ends", Data: &backendsCommand{}},
		{Name: "platform", Short: "Run a stand-in for the platform's list of machines", Data: &platformCommand{}},
	}
}
