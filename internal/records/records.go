// Package records defines the records that back ends, callers, operators and
// followers write during a test run. The judge checks the invariants from these
// records and not from what the product reports. Records are files of JSON lines,
// one document per line.
package records

import "time"

// Execution is one query as observed by a back end. Refusals are recorded too,
// with Executed false.
type Execution struct {
	Backend    string `json:"backend"`
	Service    string `json:"service"`
	Shard      uint32 `json:"shard"`
	Generation uint32 `json:"generation"`
	Version    uint64 `json:"version"`
	Request    string `json:"request"`
	Attempt    string `json:"attempt"`
	Once       bool   `json:"once"`
	// BodyDigest is the digest of the request body as read.
	BodyDigest string `json:"body_digest"`
	// ItemDigests are the digests of the items produced, in order, for coverage checks.
	ItemDigests []string  `json:"item_digests,omitempty"`
	Arrived     time.Time `json:"arrived"`
	Started     time.Time `json:"started"`
	Finished    time.Time `json:"finished"`
	// Executed is true if the query started to run; otherwise Refusal is set.
	Executed bool   `json:"executed"`
	Refusal  string `json:"refusal,omitempty"`
	// Canceled is true if a cancellation aborted the execution.
	Canceled bool `json:"canceled"`
	// Failed is true if the execution produced no part for another reason: its
	// deadline expired, or the reply was an error.
	Failed bool `json:"failed,omitempty"`
	// Replied is true if the complete reply was written to the socket.
	Replied bool `json:"replied"`
}

// Departure is a period in which a back end drains or is out of service.
type Departure struct {
	Backend string    `json:"backend"`
	Began   time.Time `json:"began"`
	// Returned is zero until the back end returns to service.
	Returned time.Time `json:"returned"`
}

// CallerAnswer is one request as observed by its caller.
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
	// DeadlineMs is the deadline set by the caller; 0 for the policy's.
	DeadlineMs int64 `json:"deadline_ms"`
	// ElapsedMs is the time from arrival to decision as measured by the router.
	ElapsedMs float64 `json:"elapsed_ms,omitempty"`
	// CallerLagMs is the part of the time from Sent to Received in which the
	// caller's process waited for a CPU on a loaded machine, as measured by its
	// timers.
	CallerLagMs float64 `json:"caller_lag_ms,omitempty"`
	// ConfigRevision is the revision under which the router admitted the request;
	// 0 if the answer does not state it.
	ConfigRevision uint64 `json:"config_revision,omitempty"`
}

// PlannedStop is the period of a router's planned stop.
type PlannedStop struct {
	Router string    `json:"router"`
	Began  time.Time `json:"began"`
	Exited time.Time `json:"exited"`
}

// OperatorAnswer is a configuration change as observed by its operator.
type OperatorAnswer struct {
	ChangeID string    `json:"change_id"`
	Expected uint64    `json:"expected_revision"`
	Sent     time.Time `json:"sent"`
	Received time.Time `json:"received"`
	Accepted bool      `json:"accepted"`
	Revision uint64    `json:"revision"`
	TextHash string    `json:"text_hash"`
	Error    string    `json:"error,omitempty"`
	// InForce is when the operator was notified that the revision is in effect
	// everywhere; zero if the operator did not wait for it.
	InForce time.Time `json:"in_force,omitzero"`
}

// Admission is the configuration revision under which a router admitted one or
// more requests.
type Admission struct {
	Node     string `json:"node"`
	Revision uint64 `json:"revision"`
	// At is the time of the first request.
	At time.Time `json:"at"`
	// Until is the time of the last request; zero if there is only one.
	Until time.Time `json:"until,omitzero"`
	// Count is the number of requests; zero means one.
	Count int `json:"count,omitempty"`
}
