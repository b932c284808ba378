package virtual

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/proof/load"
	"github.com/martenstage/martenstage/internal/proof/virtualtime"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/records"
	"github.com/martenstage/martenstage/internal/verdict"
)

// callerRequest is a request as its caller follows it, over its resends.
type callerRequest struct {
	world   *World
	arrival load.Arrival
	sent    time.Duration
	resends int
}

// submit sends the request to a router; callers take the routers in turn, and
// pass by one that is away or refuses connections.
func (c *callerRequest) submit() {
	w := c.world
	c.sent = w.clock.Now()
	w.turn++
	for offset := range w.routers {
		chosen := w.routers[(w.turn+offset)%len(w.routers)]
		if !chosen.away {
			chosen.admit(c)
			return
		}
	}
	w.close(c.arrival.ID)
}

// answered takes the answer in and sends the request again if its kind of
// caller does so.
func (c *callerRequest) answered(router *router, answer query.Answer) {
	w := c.world
	w.recorder.Answer(c.record(router, answer))
	if answer.Err == nil || c.resends >= w.config.Resends {
		w.close(c.arrival.ID)
		return
	}
	c.resends++
	pause := w.config.ResendPause
	if w.config.HonorRetryAfter && answer.Err.RetryAfter > 0 {
		pause = answer.Err.RetryAfter
	}
	w.clock.After(pause, c.submit)
}

func (c *callerRequest) record(router *router, answer query.Answer) records.CallerAnswer {
	w := c.world
	record := records.CallerAnswer{
		Request: c.arrival.ID, Route: c.arrival.Route, Service: answer.Snapshot.Service, Router: router.name(),
		Intended: virtualtime.Epoch.Add(c.arrival.At), Sent: virtualtime.Epoch.Add(c.sent), Received: w.wall(),
		BodyDigest: backendapi.Digest(c.arrival.Body), Status: http.StatusOK, Verdict: answer.Verdict.String(),
		Generation: answer.Snapshot.Generation, Version: answer.Snapshot.Version,
		Covered:  lo.Map(answer.Covered, func(shard query.ShardCoverage, _ int) uint32 { return shard.Shard }),
		Missing:  lo.Map(answer.Missing, func(shard query.MissingShard, _ int) uint32 { return shard.Shard }),
		Complete: answer.Complete, Late: answer.Late, Superseded: answer.Superseded,
		Attempts: answer.Attempts.First + answer.Attempts.Hedges + answer.Attempts.Retries,
		Hedges:   answer.Attempts.Hedges, Retries: answer.Attempts.Retries,
		ElapsedMs: float64(answer.Elapsed) / float64(time.Millisecond), ConfigRevision: answer.ConfigRevision,
		ItemDigests: lo.Map(answer.Items, func(item json.RawMessage, _ int) string { return backendapi.Digest(item) }),
	}
	if route, ok := w.plan().RouteNamed(c.arrival.Route); ok {
		record.Service, record.Once = route.Service, route.Policy.Once
	}
	if answer.Err != nil {
		record.Status, record.Reason = http.StatusServiceUnavailable, string(answer.Err.Reason)
		record.Verdict = answer.Err.Verdict.String()
	}
	return record
}

// claimTable stands in for the claim registry of control.
type claimTable map[string]claim

type claim struct {
	digest string
	ran    bool
}

func (t claimTable) claim(command query.Claim) query.ClaimDecision {
	known, held := t[command.CallerID]
	switch {
	case !held:
		t[command.CallerID] = claim{digest: command.Digest}
		return query.ClaimGranted
	case known.digest != command.Digest:
		return query.ClaimDigestMismatch
	case known.ran:
		return query.ClaimHeldRan
	default:
		return query.ClaimHeldMayHaveRun
	}
}

func (t claimTable) settle(command query.SettleClaim) {
	switch command.Outcome {
	case verdict.NotRun:
		delete(t, command.CallerID)
	case verdict.Ran:
		t[command.CallerID] = claim{digest: t[command.CallerID].digest, ran: true}
	case verdict.MayHaveRun: // the claim stays as it is
	}
}
