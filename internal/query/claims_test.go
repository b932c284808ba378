package query

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/verdict"
)

// Guards against a wrong verdict for a refused claim. A refused claim sends nothing,
// and the verdict is about the caller's id: it is not_run only if no call with that
// id and body can have run.
func TestVerdictsOfRefusedClaims(t *testing.T) {
	cases := []struct {
		name     string
		decision ClaimDecision
		reason   verdict.Reason
		verdict  verdict.Verdict
	}{
		{"the id ran", ClaimHeldRan, verdict.ReasonClaimHeld, verdict.Ran},
		{"another call holds it", ClaimHeldMayHaveRun, verdict.ReasonClaimHeld, verdict.MayHaveRun},
		{"its outcome is forgotten", ClaimExpired, verdict.ReasonClaimExpired, verdict.MayHaveRun},
		{"it is another body's", ClaimDigestMismatch, verdict.ReasonClaimMismatch, verdict.NotRun},
		{"no quorum", ClaimUnavailable, verdict.ReasonClaimsUnavailable, verdict.NotRun},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			policy := testPolicy()
			policy.Once, policy.ClaimExpiry = true, time.Minute
			h := newHarness(t, Config{Zone: "a"}, testPlan(1, 1, policy))
			commands := h.arrive()
			require.Empty(t, commandsOf[Send](commands), "sent before its claim was decided")
			require.Len(t, commandsOf[Claim](commands), 1)
			commands = h.after(time.Millisecond, ClaimDecided{Request: h.next, Decision: test.decision})
			require.Empty(t, commandsOf[Send](commands))
			answer := commandsOf[Respond](commands)[0].Answer
			require.Equal(t, test.reason, answer.Err.Reason)
			require.Equal(t, test.verdict, answer.Verdict)
		})
	}
}
