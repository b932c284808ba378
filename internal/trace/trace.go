// Package trace merges the log lines of several processes about one request into
// a timeline: lines that contain the request's id, and earlier lines within a
// time window that report a state change of a server, service or router that the
// request used.
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
	// Source names the log that the line was read from.
	Source string
	Text   string
}

// Names of the fields by which lines are correlated.
const (
	fieldTime    = "time"
	fieldRequest = "request"
	fieldServer  = "server"
	fieldService = "service"
	fieldRouter  = "router"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// Read returns the lines of a log. Lines that are not key=value pairs with a time
// are skipped and counted.
func Read(source string, reader io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(source, scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrapf(scanner.Err(), "reading %s", source)
}

func parse(source, text string) (Line, bool) {
	// Strip a prefix that a log collector added.
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

// Explain returns, ordered by time, the lines of a request and the lines about
// the servers, services and routers that these name, from the given period before
// the request's last line.
func Explain(lines []Line, request string, before time.Duration) []Line {
	var requestLines []Line
	references := map[string]bool{}
	for _, line := range lines {
		if line.Fields[fieldRequest] != request {
			continue
		}
		requestLines = append(requestLines, line)
		for _, field := range []string{fieldServer, fieldService, fieldRouter} {
			if value := line.Fields[field]; value != "" {
				references[field+"="+value] = true
			}
		}
		for _, word := range strings.Fields(line.Fields["steps"]) {
			references[fieldServer+"="+strings.TrimSuffix(word, ";")] = true
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	last := slices.MaxFunc(requestLines, func(a, b Line) int { return a.Time.Compare(b.Time) }).Time
	timeline := requestLines
	for _, line := range lines {
		if line.Fields[fieldRequest] == "" && line.matchesAny(references) && !line.Time.After(last) && line.Time.After(last.Add(-before)) {
			timeline = append(timeline, line)
		}
	}
	slices.SortStableFunc(timeline, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Source, b.Source))
	})
	return timeline
}

func (l Line) matchesAny(references map[string]bool) bool {
	for _, field := range []string{fieldServer, fieldService, fieldRouter} {
		if references[field+"="+l.Fields[field]] {
			return true
		}
	}
	// Directory logs identify servers by the field "instance".
	return references[fieldServer+"="+l.Fields["instance"]]
}
