package emulator

import (
	"net/http"
	"strconv"

	"github.com/martenstage/martenstage/internal/backendapi"
)

// setEcho repeats in the reply what the query asked for.
func (r *run) setEcho(headers http.Header) {
	headers[backendapi.HeaderRequest] = []string{r.query.request}
	headers[backendapi.HeaderAttempt] = []string{r.query.attempt}
	headers[backendapi.HeaderShard] = []string{strconv.FormatUint(uint64(r.query.shard), 10)}
	headers[backendapi.HeaderGeneration] = []string{strconv.FormatUint(uint64(r.query.generation), 10)}
	headers[backendapi.HeaderVersion] = []string{strconv.FormatUint(r.query.version, 10)}
	headers[backendapi.HeaderRequestDigest] = []string{r.record.BodyDigest}
}

// falsifyEcho applies the FaultWrongEcho that hits the query, if any.
func (r *run) falsifyEcho(headers http.Header) {
	fault := r.active.hit(FaultWrongEcho, r.server.fleet.config.Model.Seed, r.query.attempt)
	if fault == nil {
		return
	}
	switch fault.Field {
	case EchoRequest:
		headers.Set(backendapi.HeaderRequest, r.query.request+"-wrong")
	case EchoAttempt:
		headers.Set(backendapi.HeaderAttempt, r.query.attempt+"-wrong")
	case EchoShard:
		headers.Set(backendapi.HeaderShard, strconv.FormatUint(uint64(r.query.shard)+1, 10))
	case EchoGeneration:
		headers.Set(backendapi.HeaderGeneration, strconv.FormatUint(uint64(r.query.generation)+1, 10))
	case EchoVersion:
		headers.Set(backendapi.HeaderVersion, strconv.FormatUint(r.query.version+1, 10))
	case EchoRequestDigest:
		headers.Set(backendapi.HeaderRequestDigest, backendapi.Digest([]byte("wrong")))
	case EchoDigest:
		headers.Set(backendapi.HeaderDigest, backendapi.Digest([]byte("wrong")))
	}
}

// setReport adds the server's state and load to a reply.
func (s *Server) setReport(headers http.Header) {
	health := s.reportedHealth(true)
	if health.State == backendapi.StateDraining {
		headers[backendapi.HeaderDraining] = []string{"1"}
	}
	headers[backendapi.HeaderLoad] = []string{formatLoad(health.Load)}
	headers[backendapi.HeaderHoldings] = []string{backendapi.HoldingsFingerprint(health.Shards)}
}

func formatLoad(load backendapi.Load) string {
	const sizeHint = 24
	text := make([]byte, 0, sizeHint)
	text = strconv.AppendInt(text, int64(load.InFlight), 10)
	text = append(text, '/')
	text = strconv.AppendInt(text, int64(load.Slots), 10)
	text = append(text, '/')
	text = strconv.AppendInt(text, int64(load.Queued), 10)
	return string(text)
}
