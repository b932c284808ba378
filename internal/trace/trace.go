// Package trace puts the log lines of several processes that concern one request
// into one timeline: those that name the request, and those by which a process
// changed its belief about a server, service or router that the request met,
// shortly before.
package trace

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// Line is one log line.
type Line struct {
	Time   time.Time
	Fields map[string]string
	// Source names where it was read.
	Source string
	Text   string
}

// Names of fields that the timeline joins lines by.
const (
	fieldTime    = "time"
	fieldRequest = "request"
	fieldServer  = "server"
	fieldService = "service"
	fieldRouter  = "router"
)

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Read returns the lines of a log. What is no line of key=value pairs with a
// time is passed over and counted.
func Read(source string, reader io.Reader) (lines []Line, passedOver int, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(source, scanner.Text())
		if !ok {
			passedOver++
			continue
		}
		lines = append(lines, line)
	}
	return lines, passedOver, errors.Wrapf(scanner.Err(), "reading %s", source)
}

func parse(source, text string) (Line, bool) {
	// A prefix that a collector put before the line is not part of it.
	if start := strings.Index(text, fieldTime+"="); start > 0 {
		text = text[start:]
	}
	line := Line{Source: source, Text: text, Fields: map[string]string{}}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			line.Fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	at, err := time.Parse(time.RFC3339Nano, line.Fields[fieldTime])
	line.Time = at
	return line, err == nil && decoder.Err() == nil
}

// Explain returns the lines of a request and, from the time before its last one,
// those about the servers, services and routers that its lines name, by time.
func Explain(lines []Line, request string, before time.Duration) []Line {
	var own []Line
	named := map[string]bool{}
	for _, line := range lines {
		if line.Fields[fieldRequest] != request {
			continue
		}
		own = append(own, line)
		for _, field := range []string{fieldServer, fieldService, fieldRouter} {
			if value := line.Fields[field]; value != "" {
				named[field+"="+value] = true
			}
		}
		for _, word := range strings.Fields(line.Fields["steps"]) {
			named[fieldServer+"="+strings.TrimSuffix(word, ";")] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	last := slices.MaxFunc(own, func(a, b Line) int { return a.Time.Compare(b.Time) }).Time
	timeline := own
	for _, line := range lines {
		if line.Fields[fieldRequest] == "" && line.concerns(named) && !line.Time.After(last) && line.Time.After(last.Add(-before)) {
			timeline = append(timeline, line)
		}
	}
	slices.SortStableFunc(timeline, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Source, b.Source))
	})
	return timeline
}

func (l Line) concerns(named map[string]bool) bool {
	for _, field := range []string{fieldServer, fieldService, fieldRouter} {
		if named[field+"="+l.Fields[field]] {
			return true
		}
	}
	// A directory names servers as instances.
	return named[fieldServer+"="+l.Fields["instance"]]
}
