// Command martenstage runs the roles of the query tier and the operators'
// commands. This package only wires flags to packages.
package main

import (
	"os"

	"github.com/martenstage/martenstage/internal/cli"
)

const summary = "A query tier between callers and sharded, replicated search back ends."

func main() {
	os.Exit(cli.Run("martenstage", summary, commands(), os.Args[1:]))
}

// commands lists the sub-commands; each has a file of its own.
func commands() []cli.Command {
	return []cli.Command{
		{Name: "control", Short: "Run a control voter", Long: "Runs a control voter until SIGTERM, which hands leadership over first.", Data: &controlCommand{}},
		{Name: "config", Short: "Submit and read configurations", Children: configCommands()},
		{Name: "voters", Short: "List, add and remove control voters", Children: votersCommands()},
		{Name: "status", Short: "Show who leads and how far everybody is", Data: &statusCommand{}},
		{Name: "events", Short: "List the event journal", Data: &eventsCommand{}},
		{Name: "drain", Short: "Mark a back end as leaving", Data: &drainCommand{draining: true}},
		{Name: "undrain", Short: "Remove the mark of drain", Data: &drainCommand{}},
		{Name: "policy", Short: "Check, explain, format, lint and compare configuration files", Children: policyCommands()},
		{Name: "relay", Short: "Run a relay", Long: "Runs a relay, which fans out configuration and leases, until SIGTERM.", Data: &relayCommand{}},
		{Name: "settings", Short: "Make and check the settings of processes", Children: settingsCommands()},
		{Name: "keys", Short: "Make a site's authority and issue certificates", Children: keysCommands()},
		{Name: "router", Short: "Run a router", Long: "Runs a router until SIGTERM, which stops it as planned.", Data: &routerCommand{}},
	}
}
