package main

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

// Times of the case. The servers are down for as long as in playCascade; the processes return
// within a second, as the pages say; recover_s of the small deployments is 12.
const (
	restartBefore  = 8 * time.Second
	restartWait    = 2 * time.Second
	restartPause   = 500 * time.Millisecond
	restartRecover = 12 * time.Second
	restartAfter   = 25 * time.Second
	// minServedShare is the share of the rule RECOVER.
	minServedShare = 0.25
)

// playRestart has the servers of one service fail together, one by a crash and the others silently,
// and kills all processes of the program meanwhile. Rule RECOVER: of the requests sent more than
// recover_s after they have returned, at least a quarter is served.
func playRestart(s *site, trouble bool) (int, error) {
	service, err := s.startSearch()
	if err != nil {
		return 0, err
	}
	clients := &load{
		site: s, host: "pupu76.example", rate: cascadeRate, deadline: cascadeDeadline,
		path: func() string { return "/timi402/2f" },
	}
	began := time.Now()
	end := began.Add(restartBefore + cascadeDown + restartRecover + restartAfter)
	go clients.run(end)
	time.Sleep(restartBefore)
	fault := time.Now()
	if trouble {
		if err := failServersAndKill(s, service); err != nil {
			return 0, err
		}
	}
	returned := time.Now()
	time.Sleep(time.Until(end))
	time.Sleep(cascadeDeadline)
	before, after := clients.counts(began, fault), clients.counts(returned.Add(restartRecover), time.Now())
	s.record.add("attempts before the final fault: %v", before)
	s.record.add("attempts sent later than %s after all had returned: %v", restartRecover, after)
	fmt.Printf("before %v; after %v\n", before, after)
	if share(before) < minServedShare || after["all"] == 0 {
		return 0, fmt.Errorf("too little was served before the fault")
	}
	if share(after) < minServedShare {
		return exitBroken, nil
	}
	return exitHeld, nil
}

func share(counts map[string]int) float64 {
	return float64(counts["200 of a server"]) / float64(max(1, counts["all"]))
}

// failServersAndKill crashes one server at work and silences the others, kills all processes of the
// program while the servers are down, and brings all back.
func failServersAndKill(s *site, service *service) error {
	working := s.awaitWork(cascadeIdle)
	crashed := slices.IndexFunc(service.servers, func(server *process) bool { return server.name == working })
	if crashed < 0 {
		return fmt.Errorf("no server works")
	}
	time.Sleep(cascadeAtWork)
	down := time.Now()
	service.servers[crashed].signal(syscall.SIGKILL)
	s.record.add("server %s crashes", working)
	for index, silent := range service.servers {
		if index != crashed {
			silent.signal(syscall.SIGSTOP)
			s.record.add("server %s falls silent", silent.name)
		}
	}
	<-service.servers[crashed].done
	time.Sleep(restartWait)
	if err := s.killAll(restartPause); err != nil {
		return err
	}
	time.Sleep(time.Until(down.Add(cascadeDown)))
	for index, silent := range service.servers {
		if index != crashed {
			silent.signal(syscall.SIGCONT)
			s.record.add("server %s goes on", silent.name)
		}
	}
	return service.start(crashed, 1)
}
