// Package verdict defines whether a request is known to have run on a back end.
// Every error on the request path carries a Verdict, from which the caller
// decides whether a retry is safe.
package verdict

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict states whether a request, or one attempt of it, may have run.
type Verdict uint8

// The verdicts. The zero value is not a verdict, so that a forgotten
// assignment shows up as an invalid value and not as a statement.
const (
	// NotRun is given only when it is provable: nothing was written to any
	// back end, or every attempt was refused before execution.
	NotRun Verdict = iota + 1
	// Ran means a back end confirmed the execution.
	Ran
	// MayHaveRun means that neither of the others is proved.
	MayHaveRun
)

const (
	notRunText     = "not_run"
	ranText        = "ran"
	mayHaveRunText = "may_have_run"
)

// String returns the wire form: not_run, ran or may_have_run.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return notRunText
	case Ran:
		return ranText
	case MayHaveRun:
		return mayHaveRunText
	default:
		return "invalid"
	}
}

// Parse reads the wire form of a verdict.
func Parse(text string) (Verdict, error) {
	switch text {
	case notRunText:
		return NotRun, nil
	case ranText:
		return Ran, nil
	case mayHaveRunText:
		return MayHaveRun, nil
	default:
		return 0, errors.Newf("unknown verdict %q", text)
	}
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}

// Combine returns the verdict of a request from those of all its attempts: Ran if
// any attempt ran, else NotRun if every attempt is NotRun, else MayHaveRun. A
// request without attempts is NotRun.
func Combine(attempts ...Verdict) Verdict {
	combined := NotRun
	for _, attempt := range attempts {
		switch attempt {
		case Ran:
			return Ran
		case NotRun:
		default:
			combined = MayHaveRun
		}
	}
	return combined
}

// Reason is the machine-readable cause of a refusal or failure. Reasons are
// part of the callers' API; see docs/CALLERS.md.
type Reason string

// Reasons of refusals and failures.
const (
	ReasonUnknownRoute      Reason = "unknown_route"
	ReasonBadRequest        Reason = "bad_request"
	ReasonBodyTooLarge      Reason = "body_too_large"
	ReasonHeaderTooLarge    Reason = "header_too_large"
	ReasonDeadlinePassed    Reason = "deadline_passed"
	ReasonDeadlineTooShort  Reason = "deadline_too_short"
	ReasonNoLease           Reason = "no_lease"
	ReasonStopping          Reason = "stopping"
	ReasonOverloaded        Reason = "overloaded"
	ReasonNoReplica         Reason = "no_replica"
	ReasonNoSnapshot        Reason = "no_snapshot"
	ReasonSnapshotGone      Reason = "snapshot_gone"
	ReasonDraining          Reason = "draining"
	ReasonTimeout           Reason = "timeout"
	ReasonConnection        Reason = "connection"
	ReasonBadEcho           Reason = "bad_echo"
	ReasonBackendError      Reason = "backend_error"
	ReasonCoverage          Reason = "coverage_too_low"
	ReasonCanceled          Reason = "canceled"
	ReasonClaimHeld         Reason = "claim_held"
	ReasonClaimExpired      Reason = "claim_expired"
	ReasonClaimMismatch     Reason = "claim_mismatch"
	ReasonClaimsUnavailable Reason = "claims_unavailable"
	// ReasonRegionUnreachable: no entry router of the region that owns the
	// route takes requests.
	ReasonRegionUnreachable Reason = "region_unreachable"
	// ReasonWrongRegion: the region that received the request does not own the route.
	ReasonWrongRegion Reason = "wrong_region"
	ReasonInternal    Reason = "internal"
	// ReasonQuarantined: the request brings down the servers that run it and is not sent to any.
	ReasonQuarantined Reason = "quarantined"
	// ReasonUnknownKey: the request carries no key of a known tenant.
	ReasonUnknownKey Reason = "unknown_key"
	// ReasonOverQuota: the tenant has used up its quota, which applies across all routers.
	ReasonOverQuota Reason = "over_quota"
	// ReasonOnTrial: the same request is running on a single server as a trial, since servers
	// terminated while running it.
	ReasonOnTrial Reason = "on_trial"
	// ReasonNoCapacity: the services of the route lack capacity for all requests, and this one is
	// not among those admitted.
	ReasonNoCapacity Reason = "no_capacity"
)

// Error is a refusal or failure with its verdict. RetryAfter, if positive, is how
// long the caller must wait before a retry.
type Error struct {
	Verdict    Verdict
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *Error) Error() string {
	text := string(e.Reason) + " (" + e.Verdict.String() + ")"
	if e.Detail == "" {
		return text
	}
	return text + ": " + e.Detail
}

// Refuse returns an error for a request of which nothing was sent.
func Refuse(reason Reason, detail string) *Error {
	return &Error{Verdict: NotRun, Reason: reason, Detail: detail}
}

// Of returns the verdict carried by err. An error without one is MayHaveRun,
// since nothing is known about the execution.
func Of(err error) Verdict {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Verdict
	}
	return MayHaveRun
}
