package gateway

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/message"
)

// sliceSettings are the part of a sliceRequest that is the same in all slices of a request, and
// encoded once.
type sliceSettings struct {
	// Request is the client's request.
	Request *message.Request `json:"request"`
	// The settings of the route that apply to the shards.
	Route       string  `json:"route"`
	MaxAttempts int     `json:"max_attempts"`
	Priority    int     `json:"priority"`
	TopRecords  int     `json:"top_records"`
	LeastShare  float64 `json:"least_share"`
	// Target is the target time of the route, from which the first hedging delays are derived.
	Target time.Duration `json:"target"`
	// Tried is set if a server has just answered a trial of the request, which was suspected
	// of crashing servers.
	Tried bool `json:"tried,omitempty"`
	// Caller is the address of the client.
	Caller string `json:"caller,omitempty"`
}

// encode returns the JSON encoding.
func (s sliceSettings) encode() []byte {
	encoded, err := json.Marshal(s)
	if err != nil {
		panic(errors.Wrap(err, "request could not be encoded"))
	}
	return encoded
}

// sliceRequest requests the parts of some shards.
type sliceRequest struct {
	sliceSettings
	Shards []string `json:"shards"`
	// CutLeft is when the parts received so far are to be sent, DeadlineLeft when the slice
	// ends. Both count from its arrival.
	CutLeft      time.Duration `json:"cut_left"`
	DeadlineLeft time.Duration `json:"deadline_left"`
	// Earlier is how many other routers may have sent attempts before.
	Earlier int `json:"earlier,omitempty"`
	// Claims is where to claim attempts beyond the first of a shard.
	Claims claimTarget `json:"claims"`
}

// Sizes of the parts of a slice besides its settings, for the first allocation.
const (
	sliceFieldBytes = 256
	shardNameBytes  = 24
)

// encode returns the JSON encoding, given that of the settings. It is that of json.Marshal, which
// would encode the settings again for each slice.
func (r *sliceRequest) encode(settings []byte) []byte {
	body := make([]byte, 0, len(settings)+sliceFieldBytes+shardNameBytes*len(r.Shards))
	// The settings end with a brace, which closes the whole here.
	body = append(body, settings[:len(settings)-1]...)
	body = append(body, `,"shards":[`...)
	for position, shard := range r.Shards {
		if position > 0 {
			body = append(body, ',')
		}
		body = appendText(body, shard)
	}
	body = strconv.AppendInt(append(body, `],"cut_left":`...), int64(r.CutLeft), decimal)
	body = strconv.AppendInt(append(body, `,"deadline_left":`...), int64(r.DeadlineLeft), decimal)
	if r.Earlier != 0 {
		body = strconv.AppendInt(append(body, `,"earlier":`...), int64(r.Earlier), decimal)
	}
	body = r.Claims.appendTo(append(body, `,"claims":`...))
	return append(body, '}')
}

const decimal = 10

// appendTo appends the JSON encoding.
func (t claimTarget) appendTo(body []byte) []byte {
	body = append(body, '{')
	if t.Address != "" {
		body = appendText(append(body, `"address":`...), t.Address)
	}
	if t.Address != "" && t.Token != 0 {
		body = append(body, ',')
	}
	if t.Token != 0 {
		body = strconv.AppendUint(append(body, `"token":`...), uint64(t.Token), decimal)
	}
	return append(body, '}')
}

// appendText appends the JSON encoding of a text.
func appendText(body []byte, text string) []byte {
	if isPlain(text) {
		return append(append(append(body, '"'), text...), '"')
	}
	// Texts are always encoded.
	encoded, _ := json.Marshal(text)
	return append(body, encoded...)
}

// isPlain reports whether a text has no character that json.Marshal escapes.
func isPlain(text string) bool {
	for _, char := range []byte(text) {
		switch {
		case char < ' ' || char >= 0x7f:
			return false
		case char == '"' || char == '\\' || char == '<' || char == '>' || char == '&':
			return false
		}
	}
	return true
}
