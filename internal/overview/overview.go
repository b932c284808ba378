// Package overview sums up what control knows of a site for people: services
// with their shards and replicas, what routes answered lately, routers and
// relays with their leases, voters, and what needs somebody's attention. The
// status command and the status page show the same overview.
package overview

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/routestats"
)

// Overview is what control knows of a site.
type Overview struct {
	Group    Group     `json:"group"`
	Services []Service `json:"services"`
	Routes   []Route   `json:"routes"`
	Nodes    []Node    `json:"nodes"`
	// Machines are those that are leaving or gone.
	Machines []Machine `json:"machines"`
	// Attention lists what is wrong or under way, worst first.
	Attention []Notice `json:"attention"`
}

// Group is the group of control voters.
type Group struct {
	Leader uint64 `json:"leader"`
	Term   uint64 `json:"term"`
	Commit uint64 `json:"commit_index"`
	// Revision is the newest accepted configuration, InForce the newest that
	// every holder of a lease has.
	Revision uint64 `json:"revision"`
	InForce  uint64 `json:"revision_in_force"`
	// Confirmed is false for a voter's own view, given without a quorum.
	Confirmed  bool    `json:"confirmed"`
	AnsweredBy uint64  `json:"answered_by"`
	Voters     []Voter `json:"voters"`
}

// Voter is a control voter.
type Voter struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Learner bool   `json:"learner"`
	Leads   bool   `json:"leads"`
	Active  bool   `json:"active"`
	// Behind is how many committed log entries the voter lacks.
	Behind    uint64 `json:"behind"`
	DiskError string `json:"disk_error,omitempty"`
}

// Service is a service of the configuration with the states of its replicas.
type Service struct {
	Name string `json:"name"`
	// Generations are the numbers of the live shard maps.
	Generations []uint32 `json:"generations"`
	Shards      int      `json:"shards"`
	Replicas    int      `json:"replicas"`
	Live        int      `json:"live"`
	Leaving     int      `json:"leaving"`
	Gone        int      `json:"gone"`
	// Uncovered are the shards without a live replica, Thin those of several
	// replicas with a single live one.
	Uncovered []string `json:"uncovered"`
	Thin      []string `json:"thin"`
}

// Route is what the requests of a route met within the last minute or so.
type Route struct {
	Name string `json:"name"`
	// Rate is requests per second.
	Rate float64 `json:"rate"`
	// Latencies, in nanoseconds in JSON.
	P50  time.Duration `json:"p50"`
	P95  time.Duration `json:"p95"`
	P99  time.Duration `json:"p99"`
	P999 time.Duration `json:"p999"`
	// Coverage is the share of wanted shards in answers, Complete the share of
	// answers without a missing shard; both in [0,1].
	Coverage float64 `json:"coverage"`
	Complete float64 `json:"complete"`
	Requests uint64  `json:"requests"`
	Answered uint64  `json:"answered"`
	Refused  uint64  `json:"refused"`
	Failed   uint64  `json:"failed"`
	Late     uint64  `json:"late"`
}

// Node is a router or a relay.
type Node struct {
	Name     string `json:"name"`
	Role     string `json:"role"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	Relay    string `json:"relay,omitempty"`
	Revision uint64 `json:"revision"`
	Lapsed   bool   `json:"lease_lapsed"`
	// SinceSeen is in nanoseconds in JSON.
	SinceSeen time.Duration `json:"since_seen"`
}

// Machine is a back end that is not live.
type Machine struct {
	Address string `json:"address"`
	State   string `json:"state"`
	Source  string `json:"source"`
	// Serves names the service and shard, when the configuration has it.
	Serves string `json:"serves,omitempty"`
}

// New sums up a status; the plan may be nil when it is not known.
func New(status *v1.StatusResponse, current *plan.Plan) *Overview {
	overview := &Overview{
		Group:  newGroup(status),
		Routes: lo.Map(status.GetRoutes(), func(report *v1.RouteReport, _ int) Route { return newRoute(report) }),
		Nodes:  lo.Map(status.GetNodes(), func(node *v1.NodeStatus, _ int) Node { return newNode(node) }),
	}
	slices.SortFunc(overview.Nodes, func(left, right Node) int {
		return cmp.Or(cmp.Compare(left.Role, right.Role), cmp.Compare(left.Zone, right.Zone), cmp.Compare(left.Name, right.Name))
	})
	states := lo.SliceToMap(status.GetMachines(), func(machine *v1.MachineState) (string, string) {
		return machine.GetAddress(), machine.GetState()
	})
	serves := make(map[string]string)
	if current != nil {
		for index := range current.Services {
			overview.Services = append(overview.Services, newService(&current.Services[index], states, serves))
		}
	}
	overview.Machines = lo.Map(status.GetMachines(), func(machine *v1.MachineState, _ int) Machine {
		return Machine{Address: machine.GetAddress(), State: machine.GetState(), Source: machine.GetSource(), Serves: serves[machine.GetAddress()]}
	})
	overview.Attention = overview.notices(current)
	return overview
}

func newGroup(status *v1.StatusResponse) Group {
	group := Group{
		Leader: status.GetLeaderId(), Term: status.GetTerm(), Commit: status.GetCommitIndex(),
		Revision: status.GetRevision(), InForce: status.GetRevisionInForce(),
		Confirmed: status.GetConfirmed(), AnsweredBy: status.GetAnsweredBy(),
	}
	for _, voter := range status.GetVoters() {
		group.Voters = append(group.Voters, Voter{
			ID: voter.GetVoter().GetId(), Address: voter.GetVoter().GetAddress(), Learner: voter.GetVoter().GetLearner(),
			Leads:  group.Leader == voter.GetVoter().GetId(),
			Active: voter.GetRecentlyActive(), DiskError: voter.GetDiskError(),
			Behind: group.Commit - min(group.Commit, voter.GetMatchIndex()),
		})
	}
	return group
}

func newRoute(report *v1.RouteReport) Route {
	route := Route{
		Name: report.GetRoute(), Rate: routestats.Rate(report), Coverage: routestats.Coverage(report), Complete: 1,
		P50: routestats.Quantile(report, 0.5), P95: routestats.Quantile(report, 0.95),
		P99: routestats.Quantile(report, 0.99), P999: routestats.Quantile(report, 0.999),
		Requests: report.GetRequests(), Answered: report.GetAnswered(), Refused: report.GetRefused(),
		Failed: report.GetFailed(), Late: report.GetLate(),
	}
	if route.Answered > 0 {
		route.Complete = float64(report.GetComplete()) / float64(route.Answered)
	}
	return route
}

func newNode(node *v1.NodeStatus) Node {
	return Node{
		Name: node.GetNode(), Role: node.GetRole(), Zone: node.GetZone(), Address: node.GetAddress(), Relay: node.GetRelay(),
		Revision: node.GetRevision(), Lapsed: node.GetLeaseLapsed(), SinceSeen: node.GetSinceSeen().AsDuration(),
	}
}

// newService counts the replicas of a service by state and notes in serves
// what each of them serves. A replica whose state nobody reported is live.
func newService(service *plan.Service, states, serves map[string]string) Service {
	summed := Service{Name: service.Name, Uncovered: []string{}, Thin: []string{}}
	for _, generation := range service.Generations {
		summed.Generations = append(summed.Generations, generation.Number)
		for _, shard := range generation.Shards {
			live := 0
			for _, replica := range shard.Replicas {
				address := replica.Address.String()
				serves[address] = service.Name + " " + shard.Name
				switch states[address] {
				case membership.Leaving.String():
					summed.Leaving++
				case membership.Gone.String():
					summed.Gone++
				default:
					live++
				}
			}
			summed.Shards++
			summed.Replicas += len(shard.Replicas)
			summed.Live += live
			switch {
			case live == 0:
				summed.Uncovered = append(summed.Uncovered, shard.Name)
			case live == 1 && len(shard.Replicas) > 1:
				summed.Thin = append(summed.Thin, shard.Name)
			}
		}
	}
	return summed
}
