package follower

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/lease"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// outcome is the result of one Sync call.
type outcome struct {
	verdict     lease.Verdict
	redirect    string
	interrupted bool
	err         error
}

func (o outcome) granted() bool { return o.err == nil && o.verdict == lease.Taken }

func (o outcome) label() string {
	switch {
	case o.interrupted:
		return outcomeInterrupted
	case o.err != nil:
		return outcomeFailed
	default:
		return o.verdict.String()
	}
}

func (o outcome) reason() string {
	if o.err != nil {
		return o.err.Error()
	}
	return o.verdict.String()
}

// call makes one Sync call and applies the response.
func (f *Follower) call(ctx context.Context) outcome {
	address := f.upstreams.current()
	ctx, cancel := context.WithTimeout(ctx, f.config.Hold+callMargin)
	defer cancel()
	// The lease runs from here, the earliest moment at which the server can
	// have received the call.
	sentAt := steadyclock.Now()
	routers, machines := f.deps.Sink.Versions()
	f.mutex.Lock()
	callNumber := f.calls.begin(sentAt, cancel)
	request := f.request()
	upstream := Upstream{Address: address, Term: f.holder.Term()}
	f.mutex.Unlock()
	request.RoutersVersion, request.MachinesVersion = routers, machines
	if f.deps.Reporter != nil {
		f.deps.Reporter.Prepare(sentAt, upstream, request)
	}
	response, err := f.deps.Dial(address).Sync(ctx, connect.NewRequest(request))
	f.mutex.Lock()
	interrupted := f.calls.end()
	f.mutex.Unlock()
	if err != nil {
		return outcome{err: err, interrupted: interrupted && ctx.Err() == context.Canceled}
	}
	result := f.apply(sentAt, response.Msg)
	if result.granted() {
		f.recordGrant(address, callNumber)
		if f.deps.Reporter != nil {
			f.deps.Reporter.Delivered(upstream, request)
		}
	}
	return result
}

// request builds a Sync request. The caller holds the lock.
func (f *Follower) request() *v1.SyncRequest {
	request := &v1.SyncRequest{Node: nodeToWire(f.config.Node), Revision: f.holder.Revision()}
	if f.resync {
		request.Revision = 0
	}
	if f.calls.holdable {
		request.Hold = durationpb.New(f.jitteredHold())
	}
	return request
}

// jitteredHold shortens the hold time by a random part, so that followers that
// were all answered at once do not call again at the same time.
func (f *Follower) jitteredHold() time.Duration {
	const spread = 0.2
	return time.Duration(float64(f.config.Hold) * (1 - spread*f.deps.Random()))
}

func (f *Follower) recordGrant(address string, callNumber uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.upstream = address
	f.calls.complete(callNumber)
}

// errUnusable is returned for a response whose plan or delta can't be applied.
var errUnusable = errors.New("the response can't be applied")

// apply applies a response: first the revision, then the lease, so that no work
// is admitted under the new lease with an older revision.
func (f *Follower) apply(sentAt time.Time, response *v1.SyncResponse) outcome {
	if response.GetLease().AsDuration() <= 0 {
		return outcome{verdict: lease.Empty, redirect: response.GetRedirect()}
	}
	f.mutex.Lock()
	current := f.holder.Current(response.GetTerm(), response.GetRevision())
	f.mutex.Unlock()
	if current {
		if err := f.install(response); err != nil {
			f.resync = true
			return outcome{err: err}
		}
	}
	verdict := f.applyLease(sentAt, response)
	if verdict == lease.Taken {
		f.deps.Sink.MergeRouters(routerChangesFromWire(response))
		f.deps.Sink.MergeMachines(machineChangesFromWire(response))
	}
	return outcome{verdict: verdict}
}

// install installs the revision of a response if it is higher than the
// installed one.
func (f *Follower) install(response *v1.SyncResponse) error {
	_, installed, _ := f.Lease()
	if response.GetRevision() <= installed {
		return nil
	}
	next, err := f.decode(installed, response)
	if err != nil {
		return err
	}
	f.deps.Sink.InstallPlan(response.GetRevision(), next)
	f.installed = next
	f.resync = false
	f.mutex.Lock()
	f.holder.Install(response.GetRevision())
	f.mutex.Unlock()
	f.metrics.revision.Set(float64(response.GetRevision()))
	return nil
}

func (f *Follower) decode(installed uint64, response *v1.SyncResponse) (*plan.Plan, error) {
	switch delta := response.GetDelta(); {
	case len(response.GetPackedPlan()) > 0:
		f.metrics.fullPlans.Inc()
		return plan.Unpack(response.GetPackedPlan())
	case response.GetPlan() != nil:
		f.metrics.fullPlans.Inc()
		return plan.FromProto(response.GetPlan())
	case delta == nil:
		return nil, errors.Wrapf(errUnusable, "revision %d without a plan", response.GetRevision())
	case delta.GetBaseRevision() != installed || f.installed == nil:
		return nil, errors.Wrapf(errUnusable, "delta on revision %d, installed %d", delta.GetBaseRevision(), installed)
	default:
		return plan.ApplyDelta(f.installed, delta)
	}
}

// applyLease applies the granted lease, unless the node has released its lease
// since the call was sent.
func (f *Follower) applyLease(sentAt time.Time, response *v1.SyncResponse) lease.Verdict {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.released {
		return lease.Empty
	}
	verdict := f.holder.Offer(lease.Grant{
		Term:     response.GetTerm(),
		Revision: response.GetRevision(),
		SentAt:   sentAt,
		Duration: response.GetLease().AsDuration(),
	})
	if verdict == lease.Taken {
		f.deps.Sink.ExtendLease(response.GetTerm(), f.holder.Until())
	}
	return verdict
}

// sendRelease releases the lease at the upstream.
func (f *Follower) sendRelease(ctx context.Context, upstream string) error {
	request := &v1.SyncRequest{Node: nodeToWire(f.config.Node), Leaving: true}
	if f.config.Node.Role == membership.RoleRelay {
		return errors.New("a relay can't release the leases of its followers")
	}
	_, err := f.deps.Dial(upstream).Sync(ctx, connect.NewRequest(request))
	return errors.Wrapf(err, "release the lease at %s", upstream)
}
