package simulation

import (
	"fmt"
	"slices"
	"strings"
)

// Names of the simulated services and routes, before the suffix of an area.
const (
	serviceDesks  = "desks"
	serviceNotify = "notify"
	routeQuick    = "quick"
	routeSweep    = "sweep"
	routeLookup   = "lookup"
	routeSend     = "send"
)

// configuration is one of those that operators choose from.
type configuration struct {
	generations []uint32
	hedges      int
	// fewer leaves out the last replica of the first group.
	fewer bool
	cells int
}

const policiesText = `
policy quick {
	deadline 300ms
	priority interactive
	repeatable
	snapshot coverage 60%
	hedge at p90 between 5ms and 60ms at most 1
	retry at most 2 backoff 2ms
	merge top 10 by rank ascending
	answer when coverage >= 100%
	answer when coverage >= 60% and elapsed >= 150ms
	fail when settled and coverage < 50%
	at 280ms answer
}

policy sweep {
	deadline 1s
	priority batch
	repeatable
	snapshot coverage 60%
	hedge at p95 between 10ms and 200ms at most 1
	retry at most 2 backoff 5ms
	answer when coverage >= 100%
	answer when settled
	at 950ms answer
}

policy lookup {
	deadline 400ms
	priority interactive
	repeatable
	snapshot coverage 60%
	hedge at p90 between 5ms and 100ms at most 1
	retry at most 1 backoff 2ms
	answer when coverage >= 100%
	fail when settled
	at 380ms answer
}

policy send {
	deadline 900ms
	once for 10m
	retry at most 2 backoff 5ms
	answer when coverage >= 100%
	fail when settled
	at 850ms fail
}
`

// text writes a configuration in the product's language.
func (l *layout) text(c configuration) string {
	var text strings.Builder
	for index := range l.areas {
		l.areas[index].writeServices(&text, c)
	}
	text.WriteString(policiesText)
	for index := range l.areas {
		l.areas[index].writeRoutes(&text)
	}
	return text.String()
}

func (a *area) writeServices(text *strings.Builder, c configuration) {
	fmt.Fprintf(text, "service %s {\n\tslots 3\n\tconnections 24\n\thedge budget %d%% burst 20\n\tretry budget 10%% burst 20\n", serviceDesks+a.suffix, c.hedges)
	if c.cells > 0 {
		fmt.Fprintf(text, "\tcell routers %d\n", c.cells)
	}
	for _, generation := range c.generations {
		a.writeGeneration(text, c, generation)
	}
	text.WriteString("}\n\n")
	if a.notifyBackends == 0 {
		return
	}
	fmt.Fprintf(text, "service %s {\n\tslots 2\n\tconnections 24\n\tgeneration 1 {\n\t\tgroup all {\n", serviceNotify+a.suffix)
	for index := range a.notifyBackends {
		a.writeReplica(text, a.desksBackends+index)
	}
	text.WriteString("\t\t}\n\t}\n}\n")
}

func (a *area) writeGeneration(text *strings.Builder, c configuration, generation uint32) {
	const replicas = 2
	fmt.Fprintf(text, "\tgeneration %d {\n", generation)
	for group := range a.groups[generation] {
		fmt.Fprintf(text, "\t\tgroup g%d {\n", group)
		for replica := range replicas {
			if c.fewer && group == 0 && replica == replicas-1 {
				continue
			}
			a.writeReplica(text, group*replicas+replica)
		}
		text.WriteString("\t\t}\n")
	}
	text.WriteString("\t}\n")
}

func (a *area) writeReplica(text *strings.Builder, index int) {
	fmt.Fprintf(text, "\t\t\treplica %s zone %s\n", backendAddress(a.firstBackend+index), a.zones[index%len(a.zones)])
}

func (a *area) writeRoutes(text *strings.Builder) {
	fmt.Fprintln(text)
	for _, name := range slices.Compact(slices.Clone(traffic)) {
		service, target := serviceDesks, "all"
		switch {
		case name == routeSend && a.notifyBackends > 0:
			service, target = serviceNotify, "key"
		case name == routeSend || name == routeLookup:
			target = "key"
		}
		fmt.Fprintf(text, "route %s { service %s policy %s target %s }\n", a.route(name), service+a.suffix, name, target)
	}
}

func backendAddress(index int) string { return fmt.Sprintf("10.0.0.%d:7000", index+1) }
