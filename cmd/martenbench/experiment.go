package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/proof/experiment"
)

// experimentCommand compares variants of the query engine.
type experimentCommand struct {
	Deployment  string        `long:"deployment" default:"bangkok" description:"bangkok, norte-grande, wide, or any name with --policy-file"`
	PolicyFile  string        `long:"policy-file" description:"Configuration, if it is not that of the deployment"`
	Scenario    string        `long:"scenario" default:"steady" description:"Scenario; \"list\" prints their names"`
	Variants    string        `long:"variants" default:"naive,hedge-fixed,martenstage,oracle" description:"Variants, separated by commas"`
	Seed        uint64        `long:"seed" default:"1" description:"Seed of arrivals, service times and faults"`
	Seconds     float64       `long:"seconds" default:"20" description:"Length of the run"`
	Utilization float64       `long:"utilization" description:"Share of slots that first attempts occupy, in place of the scenario's"`
	Slots       int           `long:"slots" description:"Slots of every back end, in place of the configuration's"`
	Median      time.Duration `long:"service-time-median" description:"Median service time of the back ends, in place of 4ms"`
	Slowdown    int           `long:"slowdown" default:"1" description:"Multiply all times of the configuration, the back ends and the zones, for figures from a busy machine"`
	Virtual     bool          `long:"virtual" description:"Run on the virtual clock instead of over sockets"`
	JSON        bool          `long:"json" description:"End with one line of JSON"`
	HTML        string        `long:"html" description:"File for charts of latency and coverage"`
}

func (c *experimentCommand) run(config experiment.Config) (experiment.Result, error) {
	if c.Virtual {
		return experiment.RunVirtual(config)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return experiment.RunSockets(ctx, config)
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	if c.Scenario == "list" {
		fmt.Println(strings.Join(experiment.Scenarios(), "\n"))
		return nil
	}
	compiled, err := experiment.LoadSlowPlan(c.Deployment, c.PolicyFile, max(1, c.Slowdown))
	if err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	config := experiment.Config{
		Deployment: c.Deployment, Plan: compiled, Scenario: c.Scenario, Variants: strings.Split(c.Variants, ","),
		Seed: c.Seed, Duration: time.Duration(c.Seconds * float64(time.Second)), Utilization: c.Utilization,
		Slots: c.Slots, Median: c.Median, Slowdown: c.Slowdown,
	}
	result, err := c.run(config)
	if err != nil {
		return err
	}
	if err := result.Print(os.Stdout); err != nil {
		return errors.Wrap(err, "standard output")
	}
	if c.HTML != "" {
		if err := c.writeCharts(result); err != nil {
			return err
		}
	}
	if c.JSON {
		return errors.Wrap(json.NewEncoder(os.Stdout).Encode(result), "standard output")
	}
	return nil
}

func (c *experimentCommand) writeCharts(result experiment.Result) error {
	file, err := os.Create(c.HTML)
	if err != nil {
		return errors.Wrap(err, "charts")
	}
	return errors.CombineErrors(result.WriteHTML(file), file.Close())
}
