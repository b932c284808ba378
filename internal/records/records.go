// Package records defines what back ends, callers, operators and followers
// write down during a run, so that the judge can tell from their records, not
// from the product's own word, whether the invariants held. Records are JSON
// lines in files, one document a line.
package records

import "time"

// Execution is one query as a back end saw it. It is written for refusals,
// too, with Executed false.
type Execution struct {
	Backend    string `json:"backend"`
	Service    string `json:"service"`
	Shard      uint32 `json:"shard"`
	Generation uint32 `json:"generation"`
	Version    uint64 `json:"version"`
	Request    string `json:"request"`
	Attempt    string `json:"attempt"`
	Once       bool   `json:"once"`
	// BodyDigest is that of the request body as read.
	BodyDigest string `json:"body_digest"`
	// Digests of the items produced, in order, for coverage checks.
	ItemDigests []string  `json:"item_digests,omitempty"`
	Arrived     time.Time `json:"arrived"`
	Started     time.Time `json:"started"`
	Finished    time.Time `json:"finished"`
	// Executed says that the query began to run; Refusal is set when it did not.
	Executed bool   `json:"executed"`
	Refusal  string `json:"refusal,omitempty"`
	// Canceled says that the run was cut short by a cancellation.
	Canceled bool `json:"canceled"`
	// Failed says that the run ended without a part for another reason: its
	// deadline came first, or it was answered with an error.
	Failed bool `json:"failed,omitempty"`
	// Replied says that the whole reply was handed to the socket.
	Replied bool `json:"replied"`
}

// Departure is the moment at which a back end began to leave.
type Departure struct {
	Backend string    `json:"backend"`
	Began   time.Time `json:"began"`
	// Returned is zero while the back end is away.
	Returned time.Time `json:"returned"`
}

// CallerAnswer is one request as its caller saw it.
type CallerAnswer struct {
	Request    string    `json:"request"`
	Route      string    `json:"route"`
	Service    string    `json:"service"`
	Once       bool      `json:"once"`
	Router     string    `json:"router"`
	Variant    string    `json:"variant,omitempty"`
	Intended   time.Time `json:"intended"`
	Sent       time.Time `json:"sent"`
	Received   time.Time `json:"received"`
	BodyDigest string    `json:"body_digest"`
	// Status is the HTTP status; 0 when the connection failed.
	Status  int    `json:"status"`
	Verdict string `json:"verdict"`
	Reason  string `json:"reason,omitempty"`
	// Error is the transport error when Status is 0.
	Error       string   `json:"error,omitempty"`
	Generation  uint32   `json:"generation"`
	Version     uint64   `json:"version"`
	Covered     []uint32 `json:"covered"`
	Missing     []uint32 `json:"missing"`
	Complete    bool     `json:"complete"`
	Late        bool     `json:"late"`
	Superseded  bool     `json:"superseded"`
	ItemDigests []string `json:"item_digests,omitempty"`
	// Attempts, Hedges and Retries are the router's counts.
	Attempts int `json:"attempts"`
	Hedges   int `json:"hedges"`
	Retries  int `json:"retries"`
	// DeadlineMs is what the caller asked for; 0 for the policy's.
	DeadlineMs int64 `json:"deadline_ms"`
	// ElapsedMs is the router's own time from arrival to decision.
	ElapsedMs float64 `json:"elapsed_ms,omitempty"`
	// CallerLagMs is how much of the time from Sent to Received passed while
	// the caller's process waited for its turn on a busy machine, as observed
	// by its timers.
	CallerLagMs float64 `json:"caller_lag_ms,omitempty"`
	// ConfigRevision is the revision that the router admitted the request
	// under; 0 when the answer does not say.
	ConfigRevision uint64 `json:"config_revision,omitempty"`
}

// PlannedStop is the time span in which a router was stopped as planned.
type PlannedStop struct {
	Router string    `json:"router"`
	Began  time.Time `json:"began"`
	Exited time.Time `json:"exited"`
}

// OperatorAnswer is a configuration change as its operator saw it.
type OperatorAnswer struct {
	ChangeID string    `json:"change_id"`
	Expected uint64    `json:"expected_revision"`
	Sent     time.Time `json:"sent"`
	Received time.Time `json:"received"`
	Accepted bool      `json:"accepted"`
	Revision uint64    `json:"revision"`
	TextHash string    `json:"text_hash"`
	Error    string    `json:"error,omitempty"`
	// InForce is when the operator was told that the revision is in force
	// everywhere; zero when the operator did not wait for it.
	InForce time.Time `json:"in_force,omitzero"`
}

// Admission is the configuration revision under which a router admitted work, at
// a moment or at several.
type Admission struct {
	Node     string `json:"node"`
	Revision uint64 `json:"revision"`
	// At is the first moment.
	At time.Time `json:"at"`
	// Until is the last moment; zero when there is one only.
	Until time.Time `json:"until,omitzero"`
	// Count is the number of requests; zero means one.
	Count int `json:"count,omitempty"`
}
