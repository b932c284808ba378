package main

import (
	"strings"

	"github.com/martenstage/martenstage/internal/cli"
)

// examples are shown at the end of each command's help, by the command's path.
// A test parses every one of them.
var examples = map[string][]string{
	"control": {
		"martenstage control --settings /etc/martenstage/control.yaml",
		"martenstage control --id 1 --listen 10.0.0.1:7100 --voter 1=10.0.0.1:7100 --data-folder /var/lib/martenstage/control --insecure-plaintext",
	},
	"relay":  {"martenstage relay --settings /etc/martenstage/relay.yaml"},
	"router": {"martenstage router --settings /etc/martenstage/router.yaml", "martenstage router --policy-file deploy/bangkok/bangkok.policy"},
	"gateway": {
		"martenstage gateway --settings /etc/martenstage/gateway.yaml",
		"martenstage gateway --clients-listen 10.0.0.9:8080 --ready-listen 10.0.0.9:8082 --seed 10.0.0.1:7200 --peer-port 7201",
	},
	"directory": {
		"martenstage directory --settings /etc/martenstage/directory.yaml",
		"martenstage directory --control-listen 10.0.0.1:7200 --peer-listen 10.0.0.1:7201 --seed 10.0.0.1:7200 --peer-port 7201 --bootstrap --losses 0 --data-folder /var/lib/martenstage/directory",
	},
	"status": {
		"martenstage status --control 10.0.0.1:7100 --control 10.0.0.2:7100",
		"martenstage status --watch",
		"martenstage status --json",
	},
	"drain":       {"martenstage drain 10.0.1.7:7000"},
	"undrain":     {"martenstage undrain 10.0.1.7:7000"},
	"explain":     {"martenstage explain 9c41d07be2a35f68 gateway-1.log gateway-2.log directory-1.log"},
	"rollouts":    {"martenstage rollouts 10.0.0.1:7201"},
	"tenants":     {"martenstage tenants 10.0.0.1:7201", "martenstage tenants --most 10 10.0.0.1:7201"},
	"load":        {"martenstage load 10.0.0.1:7201", "martenstage load --most 10 10.0.0.1:7201"},
	"evacuations": {"martenstage evacuations 10.0.0.1:7201"},
	"quarantine": {
		"martenstage quarantine 10.0.0.1:7201",
		"martenstage quarantine --lift 2f52b39ca8c50f552f52b39ca8c50f552f52b39ca8c50f552f52b39ca8c50f55 10.0.0.1:7201",
	},
	"losses": {"martenstage losses gateway-*.log", "martenstage losses --json gateway-1.log gateway-2.log"},
	"events": {"martenstage events --since 18:00 --service seat-finder", "martenstage events --since 12h --json"},
	"report": {"martenstage report --since 18:00", "martenstage report --since 18:00 --html report.html"},

	"config apply":    {"martenstage config apply site.policy --dry-run", "martenstage config apply site.policy --comment \"more patience\" --wait"},
	"config get":      {"martenstage config get > site.policy", "martenstage config get --revision 7"},
	"config history":  {"martenstage config history --limit 5"},
	"config diff":     {"martenstage config diff 7 8"},
	"config lint":     {"martenstage config lint", "martenstage config lint --revision 7"},
	"config rollback": {"martenstage config rollback 7 --dry-run", "martenstage config rollback 7 --wait"},

	"policy check":   {"martenstage policy check site.policy"},
	"policy explain": {"martenstage policy explain site.policy --route quick-pick"},
	"policy format":  {"martenstage policy format --write site.policy"},
	"policy lint":    {"martenstage policy lint site.policy"},
	"policy diff":    {"martenstage policy diff before.policy after.policy"},

	"voters list":     {"martenstage voters list"},
	"voters add":      {"martenstage voters add 4 10.0.0.4:7100"},
	"voters remove":   {"martenstage voters remove 3"},
	"voters recover":  {"martenstage voters recover --from /var/lib/martenstage/control --from-id 2 --data-folder /var/lib/martenstage/control-4 --id 4 --address 10.0.0.2:7100"},
	"voters transfer": {"martenstage voters transfer 2"},

	"keys init":  {"martenstage keys init --folder keys"},
	"keys issue": {"martenstage keys issue --folder keys --role router --name bkk-a1-router --address 10.0.0.1"},
}

// withExamples fills in the examples of commands below a path.
func withExamples(commands []cli.Command, path ...string) []cli.Command {
	for index := range commands {
		command := &commands[index]
		here := append(path[:len(path):len(path)], command.Name)
		command.Children = withExamples(command.Children, here...)
		if shown, found := examples[strings.Join(here, " ")]; found {
			command.Examples = shown
		}
	}
	return commands
}
