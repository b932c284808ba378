// Command martenstage runs the roles of the query tier and the operators'
// commands. This package only wires flags to packages.
package main

import (
	"os"

	"github.com/martenstage/martenstage/internal/cli"
)

const summary = "A query tier between callers and sharded, replicated search back ends."

func main() {
	os.Exit(cli.Run("martenstage", summary, commandTree(), os.Args[1:]))
}

// commandTree returns the sub-commands with their examples.
func commandTree() []cli.Command {
	return withExamples(append(commands(), cli.Completion("martenstage")))
}

// commands lists the sub-commands; each has a file of its own.
func commands() []cli.Command {
	return []cli.Command{
		{Name: "control", Short: "Run a control voter", Long: "Runs a control voter until SIGTERM, which hands leadership over first.", Data: &controlCommand{}},
		{Name: "config", Short: "Submit and read configurations", Children: configCommands()},
		{Name: "voters", Short: "List, add and remove control voters", Children: votersCommands()},
		{Name: "status", Short: "Show services, routes, routers, leases and voters, and what needs attention", Long: "Shows on one screen what control knows of the site. Without a quorum it shows what each voter that answers believes, and exits with 4.", Data: &statusCommand{}},
		{Name: "events", Short: "List the event journal", Data: &eventsCommand{}},
		{
			Name: "report", Short: "Tell what failed, what the system did and what is left to do",
			Long:     "Reads the event journal and prints what failed in a time window, for how long, which shards and answers were affected, what goes on, what the system did, and what a person must do.",
			Examples: []string{"martenstage report --since 18:00", "martenstage report --since 12h --service seat-finder --html night.html"},
			Data:     &reportCommand{},
		},
		{
			Name: "explain", Short: "Put the log lines of one request into a timeline",
			Long: "Reads logs of gateways and directory nodes and prints, by time, the lines that name a request and those by which a process changed its belief about a server or router that the request met. See docs/OPERATIONS.md.",
			Data: &explainCommand{},
		},
		{
			Name: "losses", Short: "Tell where answers were lost, and why",
			Long: "Reads logs of gateways and prints what was late, failed, refused or partial by cause, second, route, shard and server. See docs/operate/overload-registered.md.",
			Data: &lossesCommand{},
		},
		{
			Name: "evacuations", Short: "List the zones of a registered site whose servers get no requests",
			Long: "Asks a directory node which zones are evacuated, since when and who ordered it. See docs/operate/evacuating-a-zone.md.",
			Data: &evacuationsCommand{},
		},
		{
			Name: "quarantine", Short: "List the requests of a registered site that end the servers which run them, or lift one",
			Long: "Asks a directory node under which requests servers ended, which of them are sent to no server, and the evidence; with --lift it takes that back for one. See docs/operate/requests-that-end-servers.md.",
			Data: &quarantineCommand{},
		},
		{
			Name: "rollouts", Short: "List the roll-outs of a registered site, with their evidence",
			Long: "Asks a directory node, and by it the leader, which services move to servers of another version, how far that is, what was observed of both versions and why the last step was taken. See docs/operate/rollouts.md.",
			Data: &rolloutsCommand{},
		},
		{
			Name: "tenants", Short: "List what the tenants of a registered site use of their limits",
			Long: "Asks a directory node, and by it the leader, what passed and was refused of each tenant with a limit, those refused most first. See docs/operate/tenants.md.",
			Data: &tenantsCommand{},
		},
		{
			Name: "load", Short: "List the load of the services and routes of a registered site",
			Long: "Asks a directory node, and by it the leader, which services are short of capacity or have servers in trouble, and which share of each route's requests routers admit. Demand, capacity and room are in slots.",
			Data: &loadCommand{},
		},
		{Name: "drain", Short: "Mark a back end as leaving", Long: "Routers send a marked back end no new work after a few seconds; work under way ends as usual. The mark stays until undrain.", Data: &drainCommand{draining: true}},
		{Name: "undrain", Short: "Remove the mark of drain", Long: "Routers use the back end again, from a small share of work upwards.", Data: &drainCommand{}},
		{Name: "policy", Short: "Check, explain, format, lint and compare configuration files", Children: policyCommands()},
		{Name: "relay", Short: "Run a relay", Long: "Runs a relay, which fans out configuration and leases, until SIGTERM.", Data: &relayCommand{}},
		{Name: "settings", Short: "Make and check the settings of processes", Children: settingsCommands()},
		{Name: "keys", Short: "Make a site's authority and issue certificates", Children: keysCommands()},
		{
			Name: "gateway", Short: "Run a router of a site whose servers announce themselves",
			Long: "Runs a router that follows directory nodes, until SIGTERM, which stops it as planned. SIGHUP or a changed settings file replaces the seeds.",
			Data: &gatewayCommand{},
		},
		{
			Name: "directory", Short: "Run a control node of a site whose servers announce themselves",
			Long: "Runs a directory node, which keeps the routing document and the servers' registrations, until SIGTERM, which hands leadership over first. SIGHUP or a changed settings file replaces the seeds.",
			Data: &directoryCommand{},
		},
		{Name: "router", Short: "Run a router", Long: "Runs a router until SIGTERM, which stops it as planned.", Data: &routerCommand{}},
	}
}
