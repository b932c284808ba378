package overview

import (
	"fmt"
	"strings"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
)

// Severity of a notice.
type Severity string

// Severities, worst first.
const (
	// Critical: requests fail or changes can't be made.
	Critical Severity = "critical"
	// Warning: the next failure would be critical, or answers are short.
	Warning Severity = "warning"
	// Info: something is under way that an operator began.
	Info Severity = "info"
)

// Notice says what is wrong, where, and what to do about it.
type Notice struct {
	Severity Severity `json:"severity"`
	Text     string   `json:"text"`
	// Action is what a person can do; empty when the system mends it.
	Action string `json:"action,omitempty"`
}

// maxNamed bounds how many names one notice lists.
const maxNamed = 8

func named(names []string) string {
	if len(names) <= maxNamed {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamed], ", "), len(names)-maxNamed)
}

// notices looks for what needs attention.
func (o *Overview) notices(current *plan.Plan) []Notice {
	notices := slicesOf(o.groupNotices(), o.serviceNotices(), o.routeNotices(), o.nodeNotices(), o.machineNotices())
	if current == nil && o.Group.Confirmed && o.Group.Revision == 0 {
		notices = append(notices, Notice{Info, "no configuration was submitted yet, so routers get no lease", "martenstage config apply FILE"})
	}
	var sorted []Notice
	for _, severity := range []Severity{Critical, Warning, Info} {
		sorted = append(sorted, lo.Filter(notices, func(notice Notice, _ int) bool { return notice.Severity == severity })...)
	}
	return sorted
}

func slicesOf(parts ...[]Notice) []Notice { return lo.Flatten(parts) }

func (o *Overview) groupNotices() []Notice {
	var notices []Notice
	if !o.Group.Confirmed {
		notices = append(notices, Notice{Critical, "no quorum of control voters: changes and once requests are refused, and routers stop when their leases lapse",
			"start the missing voters; docs/operate/lost-quorum.md"})
	}
	for _, voter := range o.Group.Voters {
		if !voter.Active && o.Group.Confirmed {
			notices = append(notices, Notice{Warning, fmt.Sprintf("voter %d at %s is silent", voter.ID, voter.Address),
				"start it, or replace it: docs/operate/replacing-a-control-machine.md"})
		}
		if voter.DiskError != "" {
			notices = append(notices, Notice{Warning, fmt.Sprintf("voter %d can't use its disk: %s", voter.ID, voter.DiskError),
				"replace it: docs/operate/replacing-a-control-machine.md"})
		}
	}
	if o.Group.Confirmed && o.Group.InForce < o.Group.Revision {
		notices = append(notices, Notice{Info, fmt.Sprintf("revision %d is accepted, and not yet known to be in force everywhere", o.Group.Revision), ""})
	}
	return notices
}

func (o *Overview) serviceNotices() []Notice {
	var notices []Notice
	for _, service := range o.Services {
		if len(service.Uncovered) > 0 {
			notices = append(notices, Notice{Critical, fmt.Sprintf("%s: no live replica of %s", service.Name, named(service.Uncovered)),
				"bring a replica back, or undrain one"})
		}
		if len(service.Thin) > 0 {
			notices = append(notices, Notice{Warning, fmt.Sprintf("%s: a single live replica of %s", service.Name, named(service.Thin)),
				"drain no other replica of these"})
		}
	}
	return notices
}

func (o *Overview) routeNotices() []Notice {
	var notices []Notice
	for _, route := range o.Routes {
		if route.Failed > 0 || route.Refused > 0 {
			notices = append(notices, Notice{Warning, fmt.Sprintf("route %s: %d of %d requests refused and %d failed within the last minute",
				route.Name, route.Refused, route.Requests, route.Failed), "martenstage events --since 15m"})
		}
		if route.Complete < 1 {
			// Its policy allows that, so it need not be a fault.
			notices = append(notices, Notice{Info, fmt.Sprintf("route %s: %.2f%% of answers miss a shard; coverage is %.2f%%",
				route.Name, percent*(1-route.Complete), percent*route.Coverage), "martenstage events --since 15m"})
		}
	}
	return notices
}

const percent = 100

func (o *Overview) nodeNotices() []Notice {
	lapsed := lo.FilterMap(o.Nodes, func(node Node, _ int) (string, bool) { return node.Name, node.Lapsed })
	if len(lapsed) == 0 {
		return nil
	}
	return []Notice{{Warning, "without a lease: " + named(lapsed), "start them again, unless they were stopped as planned"}}
}

func (o *Overview) machineNotices() []Notice {
	var notices []Notice
	for _, state := range []string{membership.Gone.String(), membership.Leaving.String()} {
		addresses := lo.FilterMap(o.Machines, func(machine Machine, _ int) (string, bool) {
			return machine.Address, machine.State == state
		})
		if len(addresses) > 0 {
			notices = append(notices, Notice{Info, fmt.Sprintf("back ends %s: %s", state, named(addresses)), ""})
		}
	}
	return notices
}
