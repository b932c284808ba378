package scatter_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/scatter"
)

// BenchmarkArrival measures a request over ten of 1,000 services with three servers each: its
// arrival, the ends of its attempts and its answer.
func BenchmarkArrival(b *testing.B) {
	const services, gathered = 1000, 10
	engine := scatter.New(scatter.Config{Zone: "a", Seed: 1, Budget: ampleBudget})
	now := origin
	var names []string
	for service := range services {
		names = append(names, "s"+strconv.Itoa(service))
		for number := range 3 {
			id := names[service] + "/" + strconv.Itoa(number)
			engine.Step(now, scatter.ServersChanged{Servers: []scatter.Server{{
				ID: id, Service: names[service], Address: id, Zone: string(rune('a' + number)), Slots: 2,
			}}})
		}
	}
	routes := make([]*routing.Route, 0, services/gathered)
	for first := 0; first < services; first += gathered {
		routes = append(routes, gatherRoute(names[first:first+gathered]...))
	}
	reply := goodAfter(1, 0)
	var sent []scatter.AttemptID
	step := func(event scatter.Event) {
		for _, command := range engine.Step(now, event) {
			if send, ok := command.(scatter.Send); ok {
				sent = append(sent, send.Attempt)
			}
		}
	}
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		route := routes[index%len(routes)]
		sent = sent[:0]
		step(scatter.Arrived{ID: scatter.RequestID(index + 1), Route: route, Services: route.Shards, Deadline: now.Add(route.Timeout), Due: now.Add(route.Target)})
		now = now.Add(5 * time.Millisecond)
		for _, attempt := range sent {
			step(scatter.Ended{Attempt: attempt, Outcome: reply})
		}
	}
}
