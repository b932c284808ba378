package callers

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/verdict"
)

// Answer is the JSON document of an answered query.
type Answer struct {
	AnswerHead
	Items []json.RawMessage `json:"items" nullable:"false" doc:"Merged items of the covered shards"`
}

// AnswerHead holds all fields but the items, which are written without being
// encoded again.
type AnswerHead struct {
	Request        string    `json:"request" doc:"Request id, the caller's or a generated one"`
	Route          string    `json:"route"`
	Snapshot       Snapshot  `json:"snapshot" doc:"The one index snapshot that the answer is drawn from"`
	Verdict        string    `json:"verdict" enum:"not_run,ran,may_have_run"`
	Complete       bool      `json:"complete" doc:"No shard is missing"`
	Late           bool      `json:"late" doc:"Decided after the deadline"`
	Superseded     bool      `json:"superseded" doc:"A newer snapshot was already live"`
	Covered        []Covered `json:"covered" nullable:"false" doc:"Shards whose part is in the answer"`
	Missing        []Missing `json:"missing" nullable:"false" doc:"Shards whose part is not in the answer"`
	Warnings       []string  `json:"warnings" nullable:"false" doc:"What a reader of the items must know"`
	Attempts       Attempts  `json:"attempts"`
	Restarts       int       `json:"restarts" doc:"Whole restarts on another snapshot"`
	Timings        Timings   `json:"timings"`
	ConfigRevision uint64    `json:"config_revision"`
}

// Snapshot identifies one state of an index.
type Snapshot struct {
	Service    string `json:"service"`
	Generation uint32 `json:"generation" doc:"Shard map"`
	Version    uint64 `json:"version" doc:"Index version"`
}

// Covered describes a shard whose part is in the answer.
type Covered struct {
	Shard     uint32 `json:"shard"`
	Name      string `json:"name"`
	Items     int    `json:"items" doc:"Items of the part before merging"`
	ElapsedUs int64  `json:"elapsed_us" doc:"Time until the part came, microseconds"`
}

// Missing describes a shard whose part is not in the answer.
type Missing struct {
	Shard  uint32         `json:"shard"`
	Name   string         `json:"name"`
	Reason verdict.Reason `json:"reason"`
}

// Attempts counts the attempts that the request sent to back ends.
type Attempts struct {
	First   int `json:"first"`
	Hedges  int `json:"hedges"`
	Retries int `json:"retries"`
}

// Timings holds the durations of the request, in microseconds.
type Timings struct {
	DecidedUs int64 `json:"decided_us" doc:"From arrival at the engine to the decision"`
	TotalUs   int64 `json:"total_us" doc:"From the end of the request's headers to the writing of the answer"`
}

func newAnswerHead(request router.Request, answer query.Answer, total time.Duration) AnswerHead {
	return AnswerHead{
		Request:    request.CallerID,
		Route:      request.Route,
		Snapshot:   Snapshot(answer.Snapshot),
		Verdict:    answer.Verdict.String(),
		Complete:   answer.Complete,
		Late:       answer.Late,
		Superseded: answer.Superseded,
		Covered: lo.Map(answer.Covered, func(shard query.ShardCoverage, _ int) Covered {
			return Covered{Shard: shard.Shard, Name: shard.Name, Items: shard.Items,
				ElapsedUs: shard.Elapsed.Microseconds()}
		}),
		Missing:        missingShards(answer),
		Warnings:       answerWarnings(answer),
		Attempts:       Attempts(answer.Attempts),
		Restarts:       answer.Restarts,
		Timings:        Timings{DecidedUs: answer.Elapsed.Microseconds(), TotalUs: total.Microseconds()},
		ConfigRevision: answer.ConfigRevision,
	}
}

func missingShards(answer query.Answer) []Missing {
	return lo.Map(answer.Missing, func(shard query.MissingShard, _ int) Missing {
		return Missing{Shard: shard.Shard, Name: shard.Name, Reason: shard.Reason}
	})
}

// answerWarnings describes why an answer is partial, late or outdated.
func answerWarnings(answer query.Answer) []string {
	warnings := []string{}
	if !answer.Complete {
		names := lo.Map(answer.Missing, func(shard query.MissingShard, _ int) string { return shard.Name })
		warnings = append(warnings, fmt.Sprintf("partial: %d of %d shards are missing: %v",
			len(answer.Missing), len(answer.Missing)+len(answer.Covered), names))
	}
	if answer.Late {
		warnings = append(warnings, "late: decided after the deadline")
	}
	if answer.Superseded {
		warnings = append(warnings, "superseded: a newer snapshot was already live")
	}
	return warnings
}

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBuffer is the largest buffer that returns to the pool, so that a
// single large answer doesn't stay in memory.
const maxPooledBuffer = 1 << 20

// writeAnswer sends an answer. The items were validated when they arrived, so
// they are copied verbatim.
func writeAnswer(writer http.ResponseWriter, head AnswerHead, items []json.RawMessage) error {
	document, err := json.Marshal(head)
	if err != nil {
		return err
	}
	buffer := bufferPool.Get().(*bytes.Buffer)
	defer func() {
		if buffer.Cap() <= maxPooledBuffer {
			buffer.Reset()
			bufferPool.Put(buffer)
		}
	}()
	buffer.Write(document[:len(document)-1])
	buffer.WriteString(`,"items":[`)
	for index, item := range items {
		if index > 0 {
			buffer.WriteByte(',')
		}
		buffer.Write(item)
	}
	buffer.WriteString("]}\n")
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(buffer.Len()))
	writer.WriteHeader(http.StatusOK)
	return writeInChunks(writer, buffer.Bytes())
}
