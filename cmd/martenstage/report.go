package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/exitcode"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/incident"
	"github.com/martenstage/martenstage/internal/journal"
)

const (
	// reportLookback is how long before the window events are read, to tell
	// what was already going on when it began.
	reportLookback = 7 * day
	// reportEvents is as many events as the journal holds.
	reportEvents   = 100_000
	reportFileMode = 0o644
)

// reportCommand prints what happened in a time window.
type reportCommand struct {
	operatorOptions
	Since   string `long:"since" default:"18:00" value-name:"TIME" description:"Beginning: 18:00, 2026-01-31T18:00:00+07:00 or 12h"`
	Until   string `long:"until" value-name:"TIME" description:"End, written like the beginning; now when empty"`
	Service string `long:"service" description:"Leave out what is about other services"`
	JSON    bool   `long:"json" description:"Print the whole report as JSON"`
	HTML    string `long:"html" value-name:"FILE" description:"Also write the report with plots to a file, which needs no network"`
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) error {
	now := time.Now()
	since, until, err := c.window(now)
	if err != nil {
		return exitcode.With(exitcode.Usage, err)
	}
	return c.call(func(ctx context.Context, client *control.Client) error {
		response, err := client.Events(ctx, &v1.ListEventsRequest{
			Since: timestamppb.New(since.Add(-reportLookback)), Limit: reportEvents,
		})
		if err != nil {
			return err
		}
		events := lo.FilterMap(response.GetEvents(), func(event *v1.Event, _ int) (journal.Event, bool) {
			return eventFromWire(event), !event.GetTime().AsTime().After(until)
		})
		return c.write(incident.New(events, incident.Request{
			Since: since, Until: until, Service: c.Service, Dropped: response.GetDropped(),
		}))
	})
}

func (c *reportCommand) window(now time.Time) (since, until time.Time, err error) {
	until = now
	if c.Until != "" {
		if until, err = parseSince(c.Until, now); err != nil {
			return since, until, errors.Wrap(err, "until")
		}
	}
	if since, err = parseSince(c.Since, now); err != nil {
		return since, until, errors.Wrap(err, "since")
	}
	if !since.Before(until) {
		return since, until, errors.Newf("since (%s) must lie before until (%s)",
			since.Format(time.RFC3339), until.Format(time.RFC3339))
	}
	return since, until, nil
}

func (c *reportCommand) write(report *incident.Report) error {
	if c.HTML != "" {
		if err := writeReportPage(c.HTML, report); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(report)
	}
	if err := report.Text(os.Stdout, time.Local); err != nil {
		return err
	}
	if c.HTML != "" {
		fmt.Fprintf(os.Stderr, "the page is in %s\n", c.HTML)
	}
	return nil
}

// writeReportPage writes the page beside its name first, so that a reader never
// meets half of one.
func writeReportPage(path string, report *incident.Report) error {
	temporary := path + ".tmp"
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, reportFileMode)
	if err != nil {
		return errors.Wrap(err, "html")
	}
	err = errors.Join(report.HTML(file, time.Local), file.Close())
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		return errors.Join(errors.Wrap(err, "html"), os.Remove(temporary))
	}
	return nil
}

func eventFromWire(event *v1.Event) journal.Event {
	return journal.Event{
		ID: event.GetId(), Time: event.GetTime().AsTime(), Kind: journal.Kind(event.GetKind()), Source: event.GetSource(),
		Service: event.GetService(), Shard: event.GetShard(), Address: event.GetAddress(), Detail: event.GetDetail(),
		Count: event.GetCount(), LastTime: event.GetLastTime().AsTime(),
	}
}
