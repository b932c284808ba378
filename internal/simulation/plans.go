package simulation

import (
	"fmt"
	"strings"
	"sync"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/policy"
	"github.com/martenstage/martenstage/internal/simulation/network"
)

// Names of the simulated services and routes.
const (
	serviceDesks  = "desks"
	serviceNotify = "notify"
	routeQuick    = "quick"
	routeSweep    = "sweep"
	routeLookup   = "lookup"
	routeSend     = "send"
)

// backendCount is how many back ends the services have together.
const (
	desksBackends  = 8
	notifyBackends = 3
	backendCount   = desksBackends + notifyBackends
)

// zones of the world; the third is a region of its own.
var zones = []string{"a", "b", "c"}

func regionOf(zone string) string {
	if zone == zones[len(zones)-1] {
		return "south"
	}
	return "north"
}

func placeIn(zone, name string) network.Place {
	return network.Place{Name: name, Zone: zone, Region: regionOf(zone)}
}

// configurations are the texts that operators choose from. They differ in shard
// maps, replicas and budgets; routes and policies are the same in all, so that
// a judge that knows them can judge every answer.
var configurations = []configuration{
	{generations: []uint32{1}, hedges: 10},
	{generations: []uint32{1, 2}, hedges: 10},
	{generations: []uint32{2}, hedges: 10},
	{generations: []uint32{1}, hedges: 5, fewer: true},
	{generations: []uint32{1, 2}, hedges: 20, fewer: true},
	{generations: []uint32{1}, hedges: 20, cells: 2},
}

type configuration struct {
	generations []uint32
	hedges      int
	// fewer leaves out the last replica of the first group.
	fewer bool
	cells int
}

// groupsOf is the number of groups of each generation of the desks service.
var groupsOf = map[uint32]int{1: 3, 2: 4}

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

route quick { service desks policy quick target all }
route sweep { service desks policy sweep target all }
route lookup { service desks policy lookup target key }
route send { service notify policy send target key }
`

// text writes the configuration in the product's language.
func (c configuration) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "service desks {\n\tslots 3\n\tconnections 24\n\thedge budget %d%% burst 20\n\tretry budget 10%% burst 20\n", c.hedges)
	if c.cells > 0 {
		fmt.Fprintf(&text, "\tcell routers %d\n", c.cells)
	}
	for _, generation := range c.generations {
		c.writeGeneration(&text, generation)
	}
	text.WriteString("}\n\nservice notify {\n\tslots 2\n\tconnections 24\n\tgeneration 1 {\n\t\tgroup all {\n")
	for index := range notifyBackends {
		writeReplica(&text, desksBackends+index)
	}
	text.WriteString("\t\t}\n\t}\n}\n")
	text.WriteString(policiesText)
	return text.String()
}

func (c configuration) writeGeneration(text *strings.Builder, generation uint32) {
	const replicas = 2
	groups := groupsOf[generation]
	fmt.Fprintf(text, "\tgeneration %d {\n", generation)
	for group := range groups {
		fmt.Fprintf(text, "\t\tgroup g%d {\n", group)
		for replica := range replicas {
			if c.fewer && group == 0 && replica == replicas-1 {
				continue
			}
			writeReplica(text, group*replicas+replica)
		}
		text.WriteString("\t\t}\n")
	}
	text.WriteString("\t}\n")
}

func writeReplica(text *strings.Builder, index int) {
	fmt.Fprintf(text, "\t\t\treplica %s zone %s\n", backendAddress(index), zones[index%len(zones)])
}

func backendAddress(index int) string { return fmt.Sprintf("10.0.0.%d:7000", index+1) }

// compiledTexts are the configurations as the compiler reads them.
var compiledTexts = sync.OnceValue(func() map[string]*plan.Plan {
	compiled := make(map[string]*plan.Plan, len(configurations))
	for _, candidate := range configurations {
		text := candidate.text()
		result, err := policy.Compile("simulation", []byte(text))
		if err != nil {
			panic(err) // a programming error in the texts above
		}
		compiled[text] = result
	}
	return compiled
})
