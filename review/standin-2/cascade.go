package main

import (
	"fmt"
	"syscall"
	"time"
)

// The service and the traffic of the case are those of dispatch-screen and quote-doc of the small
// deployment quispe-cotiza: three servers of four slots, 22.5 requests a second of 160 ms.
const (
	cascadeRate     = 22.5
	cascadeWork     = 160 * time.Millisecond
	cascadeSpread   = 0.5
	cascadeDeadline = 6 * time.Second
	// All servers of the service crash cascadeCrashes times, each time after cascadeAtWork of work,
	// and are down for cascadeDown. They do not crash again if they get no work for cascadeIdle.
	cascadeCrashes = 3
	cascadeAtWork  = 60 * time.Millisecond
	cascadeDown    = 4500 * time.Millisecond
	cascadeIdle    = 3 * time.Second
	// cascadeBefore and cascadeAfter are the times without crashes.
	cascadeBefore = 5 * time.Second
	cascadeAfter  = 25 * time.Second
	// cascadeSettle is contact_ms of the small deployments.
	cascadeSettle = 4 * time.Second
)

const cascadeConfiguration = `{"version":7,"routes":[{"name":"r-s4qmv29","host":"pupu76.example","path_prefix":"/timi402/","type":"idempotent","timeout_ms":6000,"target_ms":600,"priority":2,"backend":"kafi81c","max_attempts":2}],"services":[{"name":"kafi81c","health_path":"/health","max_conns":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// playCascade has all servers of one service crash three times and start again, while clients ask
// for the same document. Rule DENIED: routers without any disruption may end no more
// than 5 requests and one in 500 of all with a 4xx of their own.
func playCascade(s *site, trouble bool) (int, error) {
	service, err := s.startSearch()
	if err != nil {
		return 0, err
	}
	clients := &load{
		site: s, host: "pupu76.example", rate: cascadeRate, deadline: cascadeDeadline,
		path: func() string { return "/timi402/2f" },
	}
	began := time.Now()
	end := began.Add(cascadeBefore + cascadeCrashes*(cascadeDown+time.Second) + cascadeAfter)
	go clients.run(end)
	time.Sleep(cascadeBefore)
	if trouble {
		for crash := 1; crash <= cascadeCrashes; crash++ {
			if err := crashAll(s, service, crash); err != nil {
				return 0, err
			}
		}
	}
	recovered := time.Now()
	time.Sleep(time.Until(end))
	time.Sleep(5 * time.Second)
	counts, after := clients.counts(began, time.Now()), clients.counts(recovered.Add(cascadeSettle), time.Now())
	allowed := 5 + counts["all"]/500
	s.record.add("attempts sent later than %s after the last start of the servers: %v", cascadeSettle, after)
	s.record.add("all attempts: %v; with a 4xx of the routers' own: %d, allowed are %d", counts, counts["denied"], allowed)
	fmt.Printf("attempts %v: %d denied, %d allowed; after the crashes %v\n", counts, counts["denied"], allowed, after)
	if counts["200 of a server"] == 0 {
		return 0, fmt.Errorf("nothing was served")
	}
	if counts["denied"] > allowed {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// service is the service of the cases: three servers, each in a process of its own.
type service struct {
	site    *site
	zones   []string
	servers []*process
}

// start starts a server as a new incarnation.
func (v *service) start(index, incarnation int) (err error) {
	v.servers[index], err = v.site.startServer(serverOptions{
		ID: fmt.Sprintf("i-%d-%d", index+1, incarnation), Service: "kafi81c", Address: v.site.address(21+index, serverPort), Zone: v.zones[index],
		Slots: 4, Queue: 16, Work: cascadeWork, Spread: cascadeSpread,
	})
	if err == nil {
		v.site.record.add("server %s starts", v.servers[index].name)
	}
	return err
}

// startSearch starts the program's processes and the service, and waits until the routers are
// ready with the configuration.
func (s *site) startSearch() (*service, error) {
	if err := s.startCore(); err != nil {
		return nil, err
	}
	zones := []string{"callao-a", "ate-b", "lurin-c"}
	if err := s.startFronts(zones); err != nil {
		return nil, err
	}
	started := &service{site: s, zones: zones, servers: make([]*process, len(zones))}
	for index := range zones {
		if err := started.start(index, 0); err != nil {
			return nil, err
		}
	}
	if err := s.put(cascadeConfiguration, 20*time.Second); err != nil {
		return nil, err
	}
	if err := s.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	return started, nil
}

// crashAll kills all servers once they have been at work for a moment, and starts each again on its
// address as a new incarnation.
func crashAll(s *site, service *service, incarnation int) error {
	if s.awaitWork(cascadeIdle) == "" {
		s.record.add("no server has begun a request for %s: they do not crash again", cascadeIdle)
		return nil
	}
	time.Sleep(cascadeAtWork)
	for _, server := range service.servers {
		server.signal(syscall.SIGKILL)
		s.record.add("server %s crashes", server.name)
	}
	for _, server := range service.servers {
		<-server.done
	}
	time.Sleep(cascadeDown)
	for index := range service.servers {
		if err := service.start(index, incarnation); err != nil {
			return err
		}
	}
	return nil
}

// awaitWork waits until a server begins a request and returns its id; empty if none has in time.
func (s *site) awaitWork(within time.Duration) string {
	for len(s.notes) > 0 {
		<-s.notes
	}
	timeout := time.After(within)
	for {
		select {
		case told := <-s.notes:
			if told.Event == "begin" {
				return told.Server
			}
		case <-timeout:
			return ""
		}
	}
}
