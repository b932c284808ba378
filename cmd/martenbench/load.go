package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/cli"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/load"
	"github.com/martenstage/martenstage/internal/proof/report"
	"github.com/martenstage/martenstage/internal/records"
	"github.com/martenstage/martenstage/internal/settings"
)

// loadCommand sends open-loop load to routers and reports what came back.
type loadCommand struct {
	Routers         []string      `long:"router" required:"true" description:"Callers' address of a router (IP:PORT); repeat for each"`
	PolicyFile      string        `long:"policy-file" required:"true" description:"Configuration that names the routes"`
	Rates           []string      `long:"rate" description:"ROUTE=PER_SECOND; repeat for each route; every route gets --default-rate otherwise"`
	DefaultRate     float64       `long:"default-rate" default:"20" description:"Requests per second of routes without --rate"`
	Duration        time.Duration `long:"duration" default:"15s" description:"Length of the run"`
	Seed            uint64        `long:"seed" default:"1" description:"Seed of the arrivals"`
	Record          string        `long:"record" description:"File for the record of answers; empty for none"`
	Resends         int           `long:"resends" description:"How often a caller sends a failed request again"`
	ResendPause     time.Duration `long:"resend-pause" default:"20ms" description:"Pause before a request is sent again"`
	HonorRetryAfter bool          `long:"honor-retry-after" description:"Keep the pause that an answer names"`
	ProbeInterval   time.Duration `long:"probe-interval" default:"250ms" description:"Pause between two questions whether a router is ready; 0 for never"`
	WaitReady       time.Duration `long:"wait-ready" description:"Longest wait before the run until every router is ready"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	config, err := c.config()
	if err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	path := c.Record
	if path == "" {
		path = os.DevNull
	}
	file, err := load.NewFileRecorder(path)
	if err != nil {
		return err
	}
	summed := &summingRecorder{next: file, collector: report.New(), last: map[string]records.CallerAnswer{}}
	callers, err := load.New(config, summed)
	if err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := load.AwaitReady(ctx, config.Routers, c.WaitReady); err != nil {
		return err
	}
	done := cli.Working(os.Stderr, fmt.Sprintf("load on %d routes for %s", len(config.Rates), config.Duration))
	callers.Run(ctx)
	done()
	if err := file.Close(); err != nil {
		return err
	}
	return report.Print(os.Stdout, summed.rows())
}

func (c *loadCommand) config() (load.Config, error) {
	compiled, err := compileFile(c.PolicyFile)
	if err != nil {
		return load.Config{}, err
	}
	config := load.Config{
		Plan: compiled, Duration: c.Duration, Seed: c.Seed, Resends: c.Resends,
		ResendPause: c.ResendPause, HonorRetryAfter: c.HonorRetryAfter, ProbeInterval: c.ProbeInterval,
	}
	config.Rates, err = c.rates(compiled)
	if err != nil {
		return config, err
	}
	for _, text := range c.Routers {
		var address netip.AddrPort
		if address, err = settings.ParseAddress(text); err != nil {
			return config, errors.Wrap(err, "router")
		}
		config.Routers = append(config.Routers, address)
	}
	return config, nil
}

// rates gives every route its own or the default rate.
func (c *loadCommand) rates(compiled *plan.Plan) ([]load.RouteRate, error) {
	rates := load.RatesOf(compiled, c.DefaultRate)
	for _, text := range c.Rates {
		name, value, _ := strings.Cut(text, "=")
		perSecond, err := strconv.ParseFloat(value, 64)
		if err != nil || perSecond < 0 {
			return nil, errors.Newf("rate %q is not ROUTE=PER_SECOND", text)
		}
		found := false
		for index := range rates {
			if rates[index].Route == name {
				rates[index].PerSecond, found = perSecond, true
			}
		}
		if !found {
			return nil, errors.Newf("rate %q: the configuration has no route %q", text, name)
		}
	}
	return rates, nil
}
