package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/proof/scale"
	"github.com/martenstage/martenstage/internal/rpc"
)

// scaleCommand measures running processes under changes and restarts.
type scaleCommand struct {
	Processes string        `long:"processes" required:"yes" value-name:"FILE" description:"List of the running processes, as scripts/scale.sh writes it"`
	Regions   int           `long:"regions" default:"1" description:"Regions, each with a control group of its own; followers, relays, servers, zones and changes are split over them"`
	Routers   int           `long:"routers" required:"yes" description:"Hollow followers that must be among them"`
	Servers   int           `long:"servers" default:"1000" description:"Servers of the configuration"`
	Relays    int           `long:"relays" required:"yes" description:"Relays that must be among them"`
	Zones     int           `long:"zones" default:"1" description:"Zones of the configuration's servers"`
	Speeds    []int64       `long:"speed" default:"1" description:"Factor over the stated rates of changes and restarts; repeat it for several phases"`
	Duration  time.Duration `long:"duration" default:"30s" description:"Length of each phase"`
	Cell      int           `long:"cell" default:"64" description:"Routers that connect to the servers of a service"`
	Platform  []string      `long:"platform-listen" description:"Address at which the platform's list of a region is served; repeat it for each region; none when empty"`
	Faults    []string      `long:"fault" choice:"kill-relay" choice:"kill-leader" choice:"cut-region" choice:"lose-rack" choice:"lose-zone" choice:"lose-control" choice:"lose-others" description:"A phase with a fault, after the others; may be repeated. With several regions each strikes another one, the last first"`
	Settle    time.Duration `long:"settle" default:"5s" description:"Pause before the first phase"`
	JSON      bool          `long:"json" description:"Print the whole result as one line of JSON"`
}

// Execute implements flags.Commander.
func (c *scaleCommand) Execute([]string) error {
	processes, err := scale.ReadProcesses(c.Processes)
	if err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	if err := c.check(processes); err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	logger, err := logging.New(os.Stderr, "info")
	if err != nil {
		return err
	}
	security, err := rpc.NewSecurity(rpc.SecuritySettings{InsecurePlaintext: true}, logger)
	if err != nil {
		return err
	}
	ctx, restore := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer restore()
	client := rpc.NewClient(security, rpc.ClientConfig{ServerRoles: []keys.Role{keys.RoleControl}})
	defer client.CloseIdle()
	connect := func(voters []string) *control.Client { return control.NewClient(voters, client) }
	run := scale.NewRun(scale.RunConfig{
		Regions: c.Regions, Servers: c.Servers, Zones: c.Zones, Speeds: c.Speeds, Duration: c.Duration, Settle: c.Settle,
		CellRouters: c.Cell, PlatformListen: c.Platform,
		Faults: lo.Map(c.Faults, func(fault string, _ int) scale.Fault { return scale.Fault(fault) }),
	}, processes, connect, logger)
	// What was measured before a failure is printed as well.
	result, err := run.Do(ctx)
	return errors.CombineErrors(err, c.print(result))
}

// check compares the list of processes with what was asked for.
func (c *scaleCommand) check(processes []scale.Process) error {
	if c.Regions < 1 {
		return errors.Newf("%d regions; there must be one at least", c.Regions)
	}
	for _, process := range processes {
		if process.Region < 0 || process.Region >= c.Regions {
			return errors.Newf("%s lists %s of region %d, which is none of %d", c.Processes, process.Name, process.Region, c.Regions)
		}
	}
	for region := range c.Regions {
		if err := c.checkRegion(processes, region); err != nil {
			return errors.Wrapf(err, "region %d", region)
		}
	}
	return nil
}

func (c *scaleCommand) checkRegion(processes []scale.Process, region int) error {
	own := lo.Filter(processes, func(process scale.Process, _ int) bool { return process.Region == region })
	count := func(role scale.Role) int {
		return lo.CountBy(own, func(process scale.Process) bool { return process.Role == role })
	}
	followers := lo.SumBy(own, func(process scale.Process) int { return process.Followers })
	wantedFollowers, wantedRelays := scale.Share(c.Routers, c.Regions, region), scale.Share(c.Relays, c.Regions, region)
	switch {
	case followers != wantedFollowers:
		return errors.Newf("%s lists %d hollow followers, not %d", c.Processes, followers, wantedFollowers)
	case count(scale.RoleRelay) != wantedRelays:
		return errors.Newf("%s lists %d relays, not %d", c.Processes, count(scale.RoleRelay), wantedRelays)
	case count(scale.RoleControl) == 0:
		return errors.Newf("%s lists no control voter", c.Processes)
	default:
		return nil
	}
}

func (c *scaleCommand) print(result scale.Result) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(result)
	}
	for _, phase := range result.Phases {
		printPhase(phase)
		for _, used := range phase.Usages {
			fmt.Printf("  %-12s %.2f %% %.1f MB %.1f KB/s  %.1f KB/s to disk\n", used.Name, used.CorePercent, used.MB, used.KBPerSecond, used.StoredKBPerSecond)
		}
		for region, part := range phase.ByRegion {
			fmt.Printf("region %d\n", region)
			printPhase(part)
		}
	}
	return nil
}

func printPhase(phase scale.Phase) {
	fmt.Printf("speed %d  accepted %d (%.2f/s of %.2f/s)  in force p50 %.3f s  p99 %.3f s  max %.3f s  reported p50 %.3f s  behind %d  lease gaps %d  foreign plans %d\n",
		phase.Speed, phase.Accepted, phase.AcceptedPerSecond, phase.OfferedPerSecond,
		phase.InForceP50, phase.InForceP99, phase.InForceMax, phase.ReportedP50, phase.Behind, phase.Gaps, phase.ForeignPlans)
	if recovery := phase.Recovery; recovery != nil {
		fmt.Printf("  fault %s in region %d of %v and %d followers  lowest holding %d  all holding after %.2f s  longest gap %.2f s  resent %d\n",
			phase.Fault, recovery.Region, recovery.Struck, recovery.StruckFollowers, recovery.LowestHolding, recovery.AllHolding, phase.LongestGap, phase.Resent)
		fmt.Printf("  leases lost there %d  elsewhere %d  connections across regions %d\n",
			recovery.LostHere, recovery.LostElsewhere, recovery.Crossings)
	}
	fmt.Printf("  follower %.4f %% %.2f MB %.2f KB/s  relay %.2f %% %.1f MB %.1f KB/s  control %.2f %% %.1f MB %.1f KB/s  all voters %.2f %%  all relays %.2f %%\n",
		phase.FollowerCorePercent, phase.FollowerMB, phase.FollowerKBPerSecond,
		phase.RelayCorePercent, phase.RelayMB, phase.RelayKBPerSecond,
		phase.ControlCorePercent, phase.ControlMB, phase.ControlKBPerSecond,
		phase.ControlCorePercentAll, phase.RelayCorePercentAll)
}

// slopesCommand fits lines to the results of several runs.
type slopesCommand struct {
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"Results of scale --json, one a line"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *slopesCommand) Execute([]string) error {
	file, err := os.Open(c.Arguments.File)
	if err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	defer func() { _ = file.Close() }()
	results, err := scale.ReadResults(file)
	if err != nil {
		return err
	}
	fmt.Printf("%-8s%-26s%16s%14s%8s%6s\n", "speed", "figure", "per router", "base", "r2", "runs")
	for _, slope := range scale.Slopes(results) {
		fmt.Printf("%-8d%-26s%16.6f%14.4f%8.3f%6d\n", slope.Speed, slope.Figure, slope.PerRouter, slope.Base, slope.R2, slope.Runs)
	}
	return nil
}
