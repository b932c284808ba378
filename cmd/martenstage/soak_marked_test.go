package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Times and bounds of marked requests: each ends the server that runs it.
const (
	// soakContact is by when every router that runs has to know of one that ended three
	// servers; soakMaySend is how many attempts may still follow.
	soakContact = 4 * time.Second
	soakMaySend = 3
	// soakLongestQuiet bounds the pause between two of them, ms.
	soakLongestQuiet = 900
	soakMarkedPrefix = "marked-"
	// soakCalmRounds is how often each router gets each of them at the end.
	soakCalmRounds = 2
)

// soakMarkedRoutes are those that marked requests come on; each is one request, which comes
// again and again.
var soakMarkedRoutes = []soakRoute{soakSweep, soakLook, soakOnce}

// soakEnd is a server that a marked request of a route ended.
type soakEnd struct {
	route soakRoute
	at    time.Time
}

// soakTroubled is a time in which something befell processes of the system.
type soakTroubled struct{ began, ended time.Time }

func isMarked(id string) bool { return strings.HasPrefix(id, soakMarkedPrefix) }

// markedRoute is the route of a marked request, by its id.
func markedRoute(id string) soakRoute {
	route, _, _ := strings.Cut(strings.TrimPrefix(id, soakMarkedPrefix), "-")
	return soakRoute(route)
}

// befallsProcesses reports whether a fault troubles routers or nodes.
func (f soakFault) befallsProcesses() bool {
	return strings.Contains(f.kind, "router") || strings.Contains(f.kind, "node") || strings.Contains(f.kind, "all")
}

// end ends a server under a marked request. Another one takes its place first, so that none
// of the other faults lacks a server to hit.
func (s *soakSite) end(ended *soakServer, id string) {
	s.mutex.Lock()
	listed := slices.Contains(s.servers[ended.service], ended)
	s.mutex.Unlock()
	// One that leaves is waited for until its departure is acknowledged.
	if ended.kept.Load() || ended.leaving.Load() || !ended.ending.CompareAndSwap(false, true) {
		return
	}
	if listed {
		s.addServer(ended.service)
	}
	s.mutex.Lock()
	s.servers[ended.service] = slices.DeleteFunc(s.servers[ended.service], func(each *soakServer) bool { return each == ended })
	s.mutex.Unlock()
	s.records.note(func(records *soakRecords) {
		records.ends = append(records.ends, soakEnd{route: markedRoute(id), at: time.Now()})
	})
	ended.link.Close()
	ended.stop()
}

// sendMarked sends marked requests to any router until the context ends.
func (s *soakSite) sendMarked(ctx context.Context) {
	random := rand.New(rand.NewPCG(*soakSeed, uint64(len(soakMarkedPrefix))))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for count := 0; ctx.Err() == nil; count++ {
		time.Sleep(time.Duration(random.IntN(soakLongestQuiet)) * time.Millisecond)
		s.askMarked(client, soakMarkedRoutes[random.IntN(len(soakMarkedRoutes))], random.IntN(*soakRouters), count)
	}
}

func (s *soakSite) askMarked(client *http.Client, route soakRoute, router, count int) soakRequest {
	return s.ask(client, soakRequest{id: fmt.Sprintf("%s%s-%d-%d", soakMarkedPrefix, route, router, count), route: route, router: router})
}

// sendMarkedInCalm has each marked request come to each router once all processes were left
// alone for so long that each has to know it.
func (s *soakSite) sendMarkedInCalm() {
	time.Sleep(soakContact)
	count := 1 << 20
	for _, route := range soakMarkedRoutes {
		for s.records.endsOf(route) < 3 && count < 1<<20+50 {
			s.askMarked(http.DefaultClient, route, count%*soakRouters, count)
			count++
		}
	}
	time.Sleep(soakContact)
	for range soakCalmRounds {
		for router := range *soakRouters {
			for _, route := range soakMarkedRoutes {
				s.askMarked(http.DefaultClient, route, router, count)
				count++
			}
		}
	}
}

func (r *soakRecords) endsOf(route soakRoute) (count int) {
	r.note(func(records *soakRecords) {
		for _, end := range records.ends {
			if end.route == route {
				count++
			}
		}
	})
	return count
}

// sentAgain finds marked requests that were sent on although every router had to know them.
func (r *soakRecords) sentAgain() (broken []string) {
	for _, route := range soakMarkedRoutes {
		var ends []time.Time
		for _, end := range r.ends {
			if end.route == route {
				ends = append(ends, end.at)
			}
		}
		if len(ends) < 3 {
			continue
		}
		late := 0
		for _, arrival := range r.arrivals {
			if isMarked(arrival.id) && markedRoute(arrival.id) == route && arrival.at.After(ends[2].Add(soakContact)) && r.calmBefore(arrival.at) {
				late++
			}
		}
		if late > soakMaySend {
			broken = append(broken, fmt.Sprintf("a %s that had ended three servers was sent %d times more, %d ended in all", route, late, len(ends)))
		}
	}
	return broken
}

// calmBefore reports whether nothing had befallen the processes for soakContact.
func (r *soakRecords) calmBefore(at time.Time) bool {
	return !slices.ContainsFunc(r.troubles, func(trouble soakTroubled) bool {
		return trouble.began.Before(at) && trouble.ended.After(at.Add(-soakContact))
	})
}

// threeEnds are the ends of three servers under a marked sweep.
func threeEnds(at time.Time) []soakEnd {
	return []soakEnd{{soakSweep, at}, {soakSweep, at}, {soakSweep, at}}
}

// marked are arrivals of a marked sweep.
func marked(count int, at time.Time) (arrivals []soakArrival) {
	for number := range count {
		arrivals = append(arrivals, soakArrival{id: fmt.Sprintf("%s%s-%d", soakMarkedPrefix, soakSweep, number), service: fmt.Sprint(number), at: at})
	}
	return arrivals
}
