// Package losses computes from the logs of several routers where requests were lost: by
// second, route and cause, and by the shards and servers that caused most of the loss. A
// request counts as one loss if it was answered late, failed, was refused or was canceled
// by its client. An answer in time that lacks shards counts as a fraction of one, since
// the value of an answer is the square of the fraction of shards that it has.
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

// Causes in addition to those that routers log for parts (package scatter).
const (
	// CauseRefused: a router refused the request immediately.
	CauseRefused = "refused"
	// CauseOwnDelay: the router has logged no missing part, because all arrived in time or
	// the request has none.
	CauseOwnDelay = "own_delay"
	// CauseRouterFailed: another router failed while it handled a slice of the request.
	CauseRouterFailed = "router_gone"
)

// Report is the losses found in a set of logs.
type Report struct {
	// Requests is the number of requests in the logs; ordinary answers are sampled.
	Requests int `json:"requests"`
	// Lost is the total loss, in requests.
	Lost         float64            `json:"lost"`
	Causes       map[string]float64 `json:"causes"`
	Seconds      []Second           `json:"seconds"`
	Routes       []Group            `json:"routes"`
	Shards       []Group            `json:"shards"`
	Servers      []Group            `json:"servers"`
	Starts       int                `json:"router_starts"`
	Suspicions   int                `json:"routers_doubted"`
	SkippedLines int                `json:"lines_passed_over"`
}

// Second is the loss of the requests that ended within one second.
type Second struct {
	At     time.Time          `json:"at"`
	Lost   float64            `json:"lost"`
	Causes map[string]float64 `json:"causes"`
}

// Group is the loss of one route, shard or server.
type Group struct {
	Name   string             `json:"name"`
	Lost   float64            `json:"lost"`
	Causes map[string]float64 `json:"causes"`
}

// missingPart is a shard whose part of a request was missing at its deadline.
type missingPart struct{ service, cause, server string }

// accumulator collects the sums of a report.
type accumulator struct {
	parts   map[string][]missingPart
	totals  Report
	seconds map[time.Time]*Second
	routes  map[string]*Group
	shards  map[string]*Group
	servers map[string]*Group
}

// Analyze computes the losses recorded in log lines. The lines of a request may come
// from several routers and in any order.
func Analyze(lines []trace.Line) Report {
	result := &accumulator{
		parts: make(map[string][]missingPart), seconds: make(map[time.Time]*Second), routes: make(map[string]*Group),
		shards: make(map[string]*Group), servers: make(map[string]*Group),
	}
	result.totals.Causes = make(map[string]float64)
	for _, line := range lines {
		switch line.Fields["msg"] {
		case "parts_overdue":
			result.parts[line.Fields["request"]] = append(result.parts[line.Fields["request"]], parseParts(line.Fields["parts"])...)
		case "router_doubted":
			result.totals.Suspicions++
		case "started":
			if line.Fields["role"] == "gateway" {
				result.totals.Starts++
			}
		}
	}
	for _, line := range lines {
		if line.Fields["msg"] == "request" {
			result.addRequest(line)
		}
	}
	return result.finish()
}

// parseParts parses space-separated "service:cause:server" entries; a server may
// contain colons.
func parseParts(text string) []missingPart {
	var parts []missingPart
	for _, word := range strings.Fields(text) {
		if fields := strings.SplitN(word, ":", 3); len(fields) == 3 {
			parts = append(parts, missingPart{service: fields[0], cause: fields[1], server: fields[2]})
		}
	}
	return parts
}

// addRequest adds the loss of a request from its final log line.
func (a *accumulator) addRequest(line trace.Line) {
	a.totals.Requests++
	lost := requestLoss(line)
	if lost <= 0 {
		return
	}
	a.totals.Lost += lost
	second := a.second(line.Time)
	second.Lost += lost
	route := entry(a.routes, line.Fields["route"])
	route.Lost += lost
	causes, parts := a.causeShares(line)
	for cause, share := range causes {
		for _, sum := range []map[string]float64{a.totals.Causes, second.Causes, route.Causes} {
			sum[cause] += lost * share
		}
	}
	for _, missing := range parts {
		each := lost / float64(len(parts))
		addLoss(a.shards, missing.service, missing.cause, each)
		if missing.server != "" {
			addLoss(a.servers, missing.server, missing.cause, each)
		}
	}
}

// requestLoss returns the lost fraction of a request, from 0 to 1.
func requestLoss(line trace.Line) float64 {
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
	received := 1 - missing/shards
	return 1 - received*received
}

// causeShares returns the share of each cause in the loss of a request, which add up
// to 1, and the missing parts behind them.
func (a *accumulator) causeShares(line trace.Line) (map[string]float64, []missingPart) {
	parts := a.parts[line.Fields["request"]]
	fallbacks := line.Fields["fallbacks"]
	switch {
	case line.Fields["outcome"] == "refused":
		return map[string]float64{CauseRefused: 1}, nil
	case fallbacks != "" && fallbacks != "0":
		return map[string]float64{CauseRouterFailed: 1}, nil
	case len(parts) == 0:
		return map[string]float64{CauseOwnDelay: 1}, nil
	}
	shares := make(map[string]float64)
	for _, missing := range parts {
		shares[missing.cause] += 1 / float64(len(parts))
	}
	return shares, parts
}

func (a *accumulator) second(at time.Time) *Second {
	at = at.Truncate(time.Second)
	found, exists := a.seconds[at]
	if !exists {
		found = &Second{At: at, Causes: make(map[string]float64)}
		a.seconds[at] = found
	}
	return found
}

func entry(entries map[string]*Group, name string) *Group {
	found, exists := entries[name]
	if !exists {
		found = &Group{Name: name, Causes: make(map[string]float64)}
		entries[name] = found
	}
	return found
}

func addLoss(table map[string]*Group, name, cause string, lost float64) {
	group := entry(table, name)
	group.Lost += lost
	group.Causes[cause] += lost
}

// finish completes the report: it sorts seconds by time and the rest by loss.
func (a *accumulator) finish() Report {
	for _, at := range slices.SortedFunc(maps.Keys(a.seconds), time.Time.Compare) {
		a.totals.Seconds = append(a.totals.Seconds, *a.seconds[at])
	}
	a.totals.Routes, a.totals.Shards, a.totals.Servers = sortedByLoss(a.routes), sortedByLoss(a.shards), sortedByLoss(a.servers)
	return a.totals
}

func sortedByLoss(entries map[string]*Group) []Group {
	var list []Group
	for _, each := range entries {
		list = append(list, *each)
	}
	slices.SortFunc(list, func(a, b Group) int { return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(a.Name, b.Name)) })
	return list
}
