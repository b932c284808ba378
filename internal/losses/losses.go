// Package losses works out from the logs of several routers where answers were lost:
// by second, route and cause, with the shards and servers behind most of it. A request
// counts as one loss if it was answered late, failed, was refused or was given up by
// its client, and as a part of one for the shards that an answer in time lacks, since
// an answer is worth the square of the share that is in.
package losses

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/martenstage/martenstage/internal/trace"
)

// Causes beside those that routers log for parts (package scatter).
const (
	// CauseRefused: a router refused the request at once.
	CauseRefused = "refused"
	// CauseOwnDelay: all parts were in when they were due, or the request has none.
	CauseOwnDelay = "own_delay"
	// CauseRouterGone: another router failed with its slice.
	CauseRouterGone = "router_gone"
)

// Report is where answers were lost.
type Report struct {
	// Requests counts those that the logs tell of; ordinary answers are sampled.
	Requests int `json:"requests"`
	// Lost is the sum of all losses, in requests.
	Lost     float64            `json:"lost"`
	Causes   map[string]float64 `json:"causes"`
	Seconds  []Second           `json:"seconds"`
	Routes   []Named            `json:"routes"`
	Shards   []Named            `json:"shards"`
	Servers  []Named            `json:"servers"`
	Starts   int                `json:"router_starts"`
	Doubts   int                `json:"routers_doubted"`
	PassedBy int                `json:"lines_passed_over"`
}

// Second is what was lost of the requests that ended within a second.
type Second struct {
	At     time.Time          `json:"at"`
	Lost   float64            `json:"lost"`
	Causes map[string]float64 `json:"causes"`
}

// Named is what was lost by a route, shard or server.
type Named struct {
	Name   string             `json:"name"`
	Lost   float64            `json:"lost"`
	Causes map[string]float64 `json:"causes"`
}

// part is one shard that a request lacked when its parts were due.
type part struct{ service, cause, server string }

// account gathers a report.
type account struct {
	parts   map[string][]part
	report  Report
	seconds map[time.Time]*Second
	routes  map[string]*Named
	shards  map[string]*Named
	servers map[string]*Named
}

// Account works out the losses that log lines tell of. The lines of a request may
// come from several routers and in any order.
func Account(lines []trace.Line) Report {
	made := &account{
		parts: make(map[string][]part), seconds: make(map[time.Time]*Second), routes: make(map[string]*Named),
		shards: make(map[string]*Named), servers: make(map[string]*Named),
	}
	made.report.Causes = make(map[string]float64)
	for _, line := range lines {
		switch line.Fields["msg"] {
		case "parts_overdue":
			made.parts[line.Fields["request"]] = append(made.parts[line.Fields["request"]], partsOf(line.Fields["parts"])...)
		case "router_doubted":
			made.report.Doubts++
		case "started":
			if line.Fields["role"] == "gateway" {
				made.report.Starts++
			}
		}
	}
	for _, line := range lines {
		if line.Fields["msg"] == "request" {
			made.addRequest(line)
		}
	}
	return made.finish()
}

// partsOf reads "service:cause:server" words; a server may contain colons.
func partsOf(text string) []part {
	var parts []part
	for _, word := range strings.Fields(text) {
		if fields := strings.SplitN(word, ":", 3); len(fields) == 3 {
			parts = append(parts, part{service: fields[0], cause: fields[1], server: fields[2]})
		}
	}
	return parts
}

// addRequest takes in the line that ends a request.
func (a *account) addRequest(line trace.Line) {
	a.report.Requests++
	lost := lossOf(line)
	if lost <= 0 {
		return
	}
	a.report.Lost += lost
	second := a.second(line.Time)
	second.Lost += lost
	route := named(a.routes, line.Fields["route"])
	route.Lost += lost
	causes, parts := a.causesOf(line)
	for cause, share := range causes {
		for _, sum := range []map[string]float64{a.report.Causes, second.Causes, route.Causes} {
			sum[cause] += lost * share
		}
	}
	for _, lacking := range parts {
		each := lost / float64(len(parts))
		add(a.shards, lacking.service, lacking.cause, each)
		if lacking.server != "" {
			add(a.servers, lacking.server, lacking.cause, each)
		}
	}
}

// lossOf is how much of a request was lost, 0 to 1.
func lossOf(line trace.Line) float64 {
	if line.Fields["outcome"] != "answered" || line.Fields["late"] == "true" {
		if line.Fields["reason"] == "unknown_route" {
			return 0
		}
		return 1
	}
	missing, _ := strconv.ParseFloat(line.Fields["missing"], 64)
	shards, _ := strconv.ParseFloat(line.Fields["shards"], 64)
	if missing <= 0 || shards <= 0 {
		return 0
	}
	in := 1 - missing/shards
	return 1 - in*in
}

// causesOf divides the loss of a request among its causes; the shares add up to 1.
func (a *account) causesOf(line trace.Line) (map[string]float64, []part) {
	parts := a.parts[line.Fields["request"]]
	fallbacks := line.Fields["fallbacks"]
	switch {
	case line.Fields["outcome"] == "refused":
		return map[string]float64{CauseRefused: 1}, nil
	case fallbacks != "" && fallbacks != "0":
		return map[string]float64{CauseRouterGone: 1}, nil
	case len(parts) == 0:
		return map[string]float64{CauseOwnDelay: 1}, nil
	}
	shares := make(map[string]float64)
	for _, lacking := range parts {
		shares[lacking.cause] += 1 / float64(len(parts))
	}
	return shares, parts
}

func (a *account) second(at time.Time) *Second {
	at = at.Truncate(time.Second)
	known, exists := a.seconds[at]
	if !exists {
		known = &Second{At: at, Causes: make(map[string]float64)}
		a.seconds[at] = known
	}
	return known
}

func named(of map[string]*Named, name string) *Named {
	known, exists := of[name]
	if !exists {
		known = &Named{Name: name, Causes: make(map[string]float64)}
		of[name] = known
	}
	return known
}

func add(to map[string]*Named, name, cause string, lost float64) {
	known := named(to, name)
	known.Lost += lost
	known.Causes[cause] += lost
}

// finish orders what was gathered: seconds by time, the rest by what was lost.
func (a *account) finish() Report {
	for _, at := range slices.SortedFunc(maps.Keys(a.seconds), time.Time.Compare) {
		a.report.Seconds = append(a.report.Seconds, *a.seconds[at])
	}
	a.report.Routes, a.report.Shards, a.report.Servers = ordered(a.routes), ordered(a.shards), ordered(a.servers)
	return a.report
}

func ordered(of map[string]*Named) []Named {
	var list []Named
	for _, each := range of {
		list = append(list, *each)
	}
	slices.SortFunc(list, func(a, b Named) int { return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Name, b.Name)) })
	return list
}
