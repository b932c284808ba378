package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/records"
	"github.com/martenstage/martenstage/internal/verdict"
)

// headerRequest carries the caller's request id.
const headerRequest = "Martenstage-Request"

// call is one request of a caller.
type call struct {
	arrival  Arrival
	intended time.Time
	// first is the index of the router that is tried first.
	first int
}

func (c *call) digest() string { return backendapi.Digest(c.arrival.Body) }

// document is what callers read of an answer or problem document.
type document struct {
	Verdict        string            `json:"verdict"`
	Reason         string            `json:"reason"`
	RetryAfterMs   int64             `json:"retry_after_ms"`
	Snapshot       documentSnapshot  `json:"snapshot"`
	Complete       bool              `json:"complete"`
	Late           bool              `json:"late"`
	Superseded     bool              `json:"superseded"`
	Covered        []documentShard   `json:"covered"`
	Missing        []documentShard   `json:"missing"`
	Items          []json.RawMessage `json:"items"`
	Attempts       documentAttempts  `json:"attempts"`
	Timings        documentTimings   `json:"timings"`
	ConfigRevision uint64            `json:"config_revision"`
}

type documentSnapshot struct {
	Generation uint32 `json:"generation"`
	Version    uint64 `json:"version"`
}

type documentShard struct {
	Shard uint32 `json:"shard"`
}

type documentAttempts struct {
	First   int `json:"first"`
	Hedges  int `json:"hedges"`
	Retries int `json:"retries"`
}

type documentTimings struct {
	DecidedUs int64 `json:"decided_us"`
}

// send sends a request once and records what the caller saw. It also returns
// the pause that the answer asks for.
func (c *Callers) send(ctx context.Context, request call, try int) (records.CallerAnswer, time.Duration) {
	index := c.ready.choose(request.first + try)
	router := c.config.Routers[index].String()
	record := c.begin(request, router, time.Now())
	response, err := c.client.Do(newRequest(ctx, router, &request.arrival))
	if err != nil {
		record.Received = time.Now()
		record.Error = err.Error()
		record.Verdict = transportVerdict(err).String()
		return record, 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	record.Received = time.Now()
	if err != nil {
		record.Error, record.Verdict = err.Error(), verdict.MayHaveRun.String()
		return record, 0
	}
	var read document
	if err := json.Unmarshal(body, &read); err != nil {
		record.Error, record.Verdict = "malformed answer: "+err.Error(), verdict.MayHaveRun.String()
		return record, 0
	}
	record.Status = response.StatusCode
	fill(&record, &read)
	c.ready.learn(index, &record)
	return record, time.Duration(read.RetryAfterMs) * time.Millisecond
}

func newRequest(ctx context.Context, router string, arrival *Arrival) *http.Request {
	target := "http://" + router + "/v1/routes/" + url.PathEscape(arrival.Route) + "/query?key=" + url.QueryEscape(arrival.Key)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(arrival.Body))
	if err != nil {
		panic(err) // the parts were checked before; a programming error
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerRequest, arrival.ID)
	return request
}

// transportVerdict is what a caller knows without an answer: a connection that
// was never made carried nothing.
func transportVerdict(err error) verdict.Verdict {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

func fill(record *records.CallerAnswer, read *document) {
	record.Verdict, record.Reason = read.Verdict, read.Reason
	record.Generation, record.Version = read.Snapshot.Generation, read.Snapshot.Version
	record.Covered, record.Missing = shardsOf(read.Covered), shardsOf(read.Missing)
	record.Complete, record.Late, record.Superseded = read.Complete, read.Late, read.Superseded
	record.Hedges, record.Retries = read.Attempts.Hedges, read.Attempts.Retries
	record.Attempts = read.Attempts.First + read.Attempts.Hedges + read.Attempts.Retries
	record.ElapsedMs = float64(read.Timings.DecidedUs) / float64(time.Millisecond/time.Microsecond)
	record.ConfigRevision = read.ConfigRevision
	record.ItemDigests = lo.Map(read.Items, func(item json.RawMessage, _ int) string { return backendapi.Digest(item) })
}

func shardsOf(shards []documentShard) []uint32 {
	return lo.Map(shards, func(shard documentShard, _ int) uint32 { return shard.Shard })
}
