package plan

import (
	"math"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"google.golang.org/protobuf/types/known/durationpb"

	martenstagev1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// ToProto returns the plan as the protobuf message that the control group sends
// to routers.
func ToProto(p *Plan) *martenstagev1.Plan {
	return &martenstagev1.Plan{
		Services: lo.Map(p.Services, func(service Service, _ int) *martenstagev1.Service { return serviceToProto(service) }),
		Routes:   lo.Map(p.Routes, func(route Route, _ int) *martenstagev1.Route { return routeToProto(route) }),
		Regions:  lo.Map(p.Regions, func(region Region, _ int) *martenstagev1.Region { return regionToProto(region) }),
		RemoteRoutes: lo.Map(p.RemoteRoutes, func(route RemoteRoute, _ int) *martenstagev1.RemoteRoute {
			return remoteRouteToProto(route)
		}),
	}
}

// FromProto converts a message that ToProto returned. It returns an error for
// values that a Plan can't represent, such as a malformed address; Validate
// checks the rest.
func FromProto(message *martenstagev1.Plan) (*Plan, error) {
	reader := newProtoReader()
	result := &Plan{
		Services: convertList(message.GetServices(), reader.service),
		Routes:   convertList(message.GetRoutes(), reader.route),
		Regions:  convertList(message.GetRegions(), reader.region),

		RemoteRoutes: convertList(message.GetRemoteRoutes(), remoteRouteFromProto),
	}
	return result, reader.err
}

func serviceToProto(service Service) *martenstagev1.Service {
	return &martenstagev1.Service{
		Name: service.Name,
		Generations: lo.Map(service.Generations, func(generation Generation, _ int) *martenstagev1.Generation {
			return &martenstagev1.Generation{Number: generation.Number, Shards: shardsToProto(generation.Shards)}
		}),
		HedgeBudget: budgetToProto(service.HedgeBudget),
		RetryBudget: budgetToProto(service.RetryBudget),
		CellRouters: uint32(service.CellRouters),
		ColdStart:   durationToProto(service.ColdStart),
	}
}

func shardsToProto(shards []Shard) []*martenstagev1.Shard {
	return lo.Map(shards, func(shard Shard, _ int) *martenstagev1.Shard {
		return &martenstagev1.Shard{
			Id:   shard.ID,
			Name: shard.Name,
			Replicas: lo.Map(shard.Replicas, func(replica Replica, _ int) *martenstagev1.Replica {
				return &martenstagev1.Replica{
					Address:     replica.Address.String(),
					Zone:        replica.Zone,
					Slots:       uint32(replica.Slots),
					Connections: uint32(replica.Connections),
				}
			}),
		}
	})
}

// budgetToProto returns nil for an empty budget, which omits it from the message.
func budgetToProto(budget Budget) *martenstagev1.Budget {
	if budget == (Budget{}) {
		return nil
	}
	return &martenstagev1.Budget{Ratio: budget.Ratio, Burst: budget.Burst}
}

// durationToProto returns nil for a duration of 0, which omits it from the message.
func durationToProto(duration time.Duration) *durationpb.Duration {
	if duration == 0 {
		return nil
	}
	return durationpb.New(duration)
}

func routeToProto(route Route) *martenstagev1.Route {
	return &martenstagev1.Route{
		Name:    route.Name,
		Service: route.Service,
		Target:  uint32(route.Target),
		Policy:  policyToProto(route.Policy),
	}
}

func policyToProto(policy Policy) *martenstagev1.Policy {
	return &martenstagev1.Policy{
		Name:        policy.Name,
		Priority:    uint32(policy.Priority),
		Deadline:    durationToProto(policy.Deadline),
		Once:        policy.Once,
		ClaimExpiry: durationToProto(policy.ClaimExpiry),
		Hedge: &martenstagev1.Hedge{
			Quantile:    policy.Hedge.Quantile,
			Least:       durationToProto(policy.Hedge.MinDelay),
			Most:        durationToProto(policy.Hedge.MaxDelay),
			MaxPerShard: uint32(policy.Hedge.MaxPerShard),
		},
		Retry: &martenstagev1.Retry{
			MaxPerShard: uint32(policy.Retry.MaxPerShard),
			Backoff:     durationToProto(policy.Retry.Backoff),
		},
		SnapshotCoverage: policy.SnapshotCoverage,
		Statements: lo.Map(policy.Statements, func(statement Statement, _ int) *martenstagev1.Statement {
			return &martenstagev1.Statement{
				Condition: conditionToProto(statement.Condition),
				Action:    uint32(statement.Action),
				Line:      uint32(statement.Line),
			}
		}),
		Merge: &martenstagev1.Merge{
			Kind:       uint32(policy.Merge.Kind),
			Limit:      uint32(policy.Merge.Limit),
			Field:      policy.Merge.Field,
			Descending: policy.Merge.Descending,
		},
	}
}

func conditionToProto(condition Condition) *martenstagev1.Condition {
	return &martenstagev1.Condition{
		Kind:     uint32(condition.Kind),
		Operands: lo.Map(condition.Operands, func(operand Condition, _ int) *martenstagev1.Condition { return conditionToProto(operand) }),
		Duration: durationToProto(condition.Duration),
		Ratio:    condition.Ratio,
		Shards:   condition.Shards,
	}
}

// protoReader converts protobuf messages to plan values and keeps the first error.
type protoReader struct {
	err error
	// zones interns zone names, which would otherwise be stored once for each
	// replica.
	zones map[string]string
}

func newProtoReader() *protoReader { return &protoReader{zones: map[string]string{}} }

// convertList converts each element. It returns nil for an empty list, as in
// compiled plans.
func convertList[From, To any](list []From, convert func(From) To) []To {
	if len(list) == 0 {
		return nil
	}
	converted := make([]To, 0, len(list))
	for _, element := range list {
		converted = append(converted, convert(element))
	}
	return converted
}

func (r *protoReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *protoReader) service(message *martenstagev1.Service) Service {
	return Service{
		Name: message.GetName(),
		Generations: convertList(message.GetGenerations(), func(generation *martenstagev1.Generation) Generation {
			return Generation{Number: generation.GetNumber(), Shards: convertList(generation.GetShards(), r.shard)}
		}),
		HedgeBudget: budgetFromProto(message.GetHedgeBudget()),
		RetryBudget: budgetFromProto(message.GetRetryBudget()),
		CellRouters: int(message.GetCellRouters()),
		ColdStart:   message.GetColdStart().AsDuration(),
	}
}

func budgetFromProto(message *martenstagev1.Budget) Budget {
	return Budget{Ratio: message.GetRatio(), Burst: message.GetBurst()}
}

func (r *protoReader) shard(message *martenstagev1.Shard) Shard {
	return Shard{ID: message.GetId(), Name: message.GetName(), Replicas: convertList(message.GetReplicas(), r.replica)}
}

func (r *protoReader) replica(message *martenstagev1.Replica) Replica {
	address, err := netip.ParseAddrPort(message.GetAddress())
	if err != nil {
		r.fail(errors.Newf("replica address %q is not an IP address with a port", message.GetAddress()))
	}
	zone, found := r.zones[message.GetZone()]
	if !found {
		zone = message.GetZone()
		r.zones[zone] = zone
	}
	return Replica{
		Address:     address,
		Zone:        zone,
		Slots:       int(message.GetSlots()),
		Connections: int(message.GetConnections()),
	}
}

func (r *protoReader) route(message *martenstagev1.Route) Route {
	return Route{
		Name:    message.GetName(),
		Service: message.GetService(),
		Target:  Target(r.enumValue("target", message.GetTarget())),
		Policy:  r.policy(message.GetPolicy()),
	}
}

// enumValue rejects numbers that would overflow the uint8 enumerations of a plan.
func (r *protoReader) enumValue(kind string, value uint32) uint8 {
	if value > math.MaxUint8 {
		r.fail(errors.Newf("unknown %s %d", kind, value))
		return 0
	}
	return uint8(value)
}

func (r *protoReader) policy(message *martenstagev1.Policy) Policy {
	hedge, retry, merge := message.GetHedge(), message.GetRetry(), message.GetMerge()
	return Policy{
		Name:        message.GetName(),
		Priority:    Priority(r.enumValue("priority", message.GetPriority())),
		Deadline:    message.GetDeadline().AsDuration(),
		Once:        message.GetOnce(),
		ClaimExpiry: message.GetClaimExpiry().AsDuration(),
		Hedge: Hedge{
			Quantile:    hedge.GetQuantile(),
			MinDelay:    hedge.GetLeast().AsDuration(),
			MaxDelay:    hedge.GetMost().AsDuration(),
			MaxPerShard: int(hedge.GetMaxPerShard()),
		},
		Retry:            Retry{MaxPerShard: int(retry.GetMaxPerShard()), Backoff: retry.GetBackoff().AsDuration()},
		SnapshotCoverage: message.GetSnapshotCoverage(),
		Statements: convertList(message.GetStatements(), func(statement *martenstagev1.Statement) Statement {
			return Statement{
				Condition: r.condition(statement.GetCondition()),
				Action:    Action(r.enumValue("action", statement.GetAction())),
				Line:      int(statement.GetLine()),
			}
		}),
		Merge: Merge{
			Kind:       MergeKind(r.enumValue("merge kind", merge.GetKind())),
			Limit:      int(merge.GetLimit()),
			Field:      merge.GetField(),
			Descending: merge.GetDescending(),
		},
	}
}

func (r *protoReader) condition(message *martenstagev1.Condition) Condition {
	return Condition{
		Kind:     ConditionKind(r.enumValue("condition kind", message.GetKind())),
		Operands: convertList(message.GetOperands(), r.condition),
		Duration: message.GetDuration().AsDuration(),
		Ratio:    message.GetRatio(),
		Shards:   convertList(message.GetShards(), func(name string) string { return name }),
	}
}
