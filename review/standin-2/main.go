// Command standin2 plays the cases of the second review: it starts the program's own processes on
// loopback addresses, with small servers, clients and an operator beside them.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitNotPlayed = 2
)

// playLimit bounds the time of a case.
const playLimit = 115 * time.Second

// record is the record of a case: what was sent, answered and run, with the time since the start.
type record struct {
	mutex   sync.Mutex
	started time.Time
	file    *os.File
}

func (r *record) add(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "server" {
		var options serverOptions
		if json.Unmarshal([]byte(os.Args[2]), &options) != nil {
			os.Exit(exitNotPlayed)
		}
		fmt.Fprintln(os.Stderr, runServer(options))
		os.Exit(exitNotPlayed)
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		os.Exit(exitNotPlayed)
	}
	cases := map[string]func(*site, bool) (int, error){"cascade": playCascade, "restart": playRestart}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitNotPlayed)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

func run(play func(*site, bool) (int, error), program, recordPath string) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	record := &record{started: time.Now(), file: file}
	program, err = filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	s, err := newSite(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	defer s.stop()
	// A case that takes too long, or is told to stop, still ends what it started.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(playLimit):
		}
		record.add("the case was broken off")
		s.stop()
		os.Exit(exitNotPlayed)
	}()
	code, err := play(s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.add("the case could not be played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	return code
}
