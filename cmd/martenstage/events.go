package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/exitcode"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// eventsCommand lists the event journal.
type eventsCommand struct {
	operatorOptions
	Since   string `long:"since" value-name:"TIME" description:"Only events since then: 18:00, 2026-01-31T18:00:00+07:00 or 12h"`
	Service string `long:"service" description:"Only events of this service"`
	Limit   uint32 `long:"limit" default:"1000" description:"How many events, the newest ones"`
	JSON    bool   `long:"json" description:"Print one JSON document a line"`
}

// Execute implements flags.Commander.
func (c *eventsCommand) Execute([]string) error {
	request := &v1.ListEventsRequest{Service: c.Service, Limit: c.Limit}
	if c.Since != "" {
		since, err := parseSince(c.Since, time.Now())
		if err != nil {
			return exitcode.With(exitcode.Usage, err)
		}
		request.Since = timestamppb.New(since)
	}
	return c.call(func(ctx context.Context, client *control.Client) error {
		response, err := client.Events(ctx, request)
		if err != nil {
			return err
		}
		if response.GetDropped() > 0 {
			fmt.Fprintf(os.Stderr, "%d older events were dropped, because the journal is bounded\n", response.GetDropped())
		}
		if c.JSON {
			return printEventLines(response.GetEvents())
		}
		return printEvents(response.GetEvents())
	})
}

// parseSince reads a time of day (of today, or of yesterday when it is still to
// come), a date with time, or a span before now.
func parseSince(text string, now time.Time) (time.Time, error) {
	if span, err := time.ParseDuration(text); err == nil {
		return now.Add(-span), nil
	}
	if moment, err := time.Parse(time.RFC3339, text); err == nil {
		return moment, nil
	}
	clock, err := time.Parse("15:04", text)
	if err != nil {
		return time.Time{}, errors.Newf("%q is neither a time of day (18:00), a date with time (RFC 3339) nor a span (12h)", text)
	}
	moment := time.Date(now.Year(), now.Month(), now.Day(), clock.Hour(), clock.Minute(), 0, 0, now.Location())
	if moment.After(now) {
		moment = moment.AddDate(0, 0, -1)
	}
	return moment, nil
}

// eventLine is the JSON form of an event.
type eventLine struct {
	ID       string    `json:"id"`
	Time     time.Time `json:"time"`
	LastTime time.Time `json:"last_time"`
	Count    uint64    `json:"count"`
	Kind     string    `json:"kind"`
	Source   string    `json:"source"`
	Service  string    `json:"service,omitempty"`
	Shard    string    `json:"shard,omitempty"`
	Address  string    `json:"address,omitempty"`
	Detail   string    `json:"detail,omitempty"`
}

func printEventLines(events []*v1.Event) error {
	encoder := json.NewEncoder(os.Stdout)
	for _, event := range events {
		line := eventLine{
			ID: event.GetId(), Time: event.GetTime().AsTime(), LastTime: event.GetLastTime().AsTime(), Count: event.GetCount(),
			Kind: event.GetKind(), Source: event.GetSource(), Service: event.GetService(), Shard: event.GetShard(),
			Address: event.GetAddress(), Detail: event.GetDetail(),
		}
		if err := encoder.Encode(line); err != nil {
			return err
		}
	}
	return nil
}

func printEvents(events []*v1.Event) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tKIND\tCOUNT\tSOURCE\tSERVICE\tSHARD\tADDRESS\tDETAIL")
	for _, event := range events {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", event.GetTime().AsTime().Local().Format(time.DateTime),
			event.GetKind(), event.GetCount(), event.GetSource(), event.GetService(), event.GetShard(), event.GetAddress(), event.GetDetail())
	}
	return table.Flush()
}
