package state

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

const (
	accepted = v1.ApplyResult_APPLY_RESULT_ACCEPTED
	refused  = v1.ApplyResult_APPLY_RESULT_CONFLICT
	reused   = v1.ApplyResult_APPLY_RESULT_CHANGE_ID_REUSED
	invalid  = v1.ApplyResult_APPLY_RESULT_INVALID
)

// smallLimits returns limits small enough that a short test reaches every bound.
func smallLimits() Limits {
	return Limits{
		Revisions: 6, Texts: 3, TextBytes: 40,
		Changes: 1000, ChangeBytes: 1 << 20, ChangeAge: time.Hour,
		ClaimBytes: 480, ClaimExpiry: time.Minute, ClaimRetention: time.Minute, ClaimIDs: 8,
		Events: 10, EventBytes: 2000, RoutineEvents: 10, RoutineEventBytes: 2000,
	}
}

// harness applies commands to a machine that is replaced by a copy restored from its
// snapshot at random points, as after a restart or a log compaction.
type harness struct {
	t       require.TestingT
	machine *Machine
	now     time.Time
}

func newHarness(t require.TestingT, limits Limits) *harness {
	return &harness{t: t, machine: New(limits), now: time.Unix(1_700_000_000, 0)}
}

func (h *harness) apply(command *v1.StateCommand) Result {
	data, err := Encode(h.now, command)
	require.NoError(h.t, err)
	result, err := h.machine.Apply(data)
	require.NoError(h.t, err)
	return result
}

func (h *harness) advanceTime(t *rapid.T) {
	h.now = h.now.Add(time.Duration(rapid.IntRange(-2000, 30_000).Draw(t, "ms")) * time.Millisecond)
}

func (h *harness) restart(*rapid.T) { h.reload() }

// reload restores the machine from its snapshot, which must not change the state.
func (h *harness) reload() {
	before, err := h.machine.Snapshot()
	require.NoError(h.t, err)
	restored := New(h.machine.limits)
	require.NoError(h.t, restored.Restore(before))
	after, err := restored.Snapshot()
	require.NoError(h.t, err)
	require.Equal(h.t, before, after)
	h.machine = restored
}

// TestChangesMatchModel checks compare-and-set and resent change ids against a
// model without bounds.
func TestChangesMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, smallLimits())
		type decision struct {
			text string
			ChangeResult
		}
		first := map[string]decision{}
		var texts []string // by accepted revision
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				id := fmt.Sprint("change-", rapid.IntRange(0, 30).Draw(t, "id"))
				text := fmt.Sprint("text-", rapid.IntRange(0, 3).Draw(t, "text"))
				expected := max(0, len(texts)-rapid.IntRange(0, 1).Draw(t, "behind"))
				problem := rapid.SampledFrom([]string{"", "", "", "bad"}).Draw(t, "problem")
				got := h.apply(&v1.StateCommand{Body: &v1.StateCommand_Change{Change: &v1.ChangeCommand{
					ChangeId: id, ExpectedRevision: uint64(expected), RequestHash: ApplyHash(text, 0),
					CompressedText: []byte(text), CompressedPlan: []byte(text), Author: id, Invalid: problem,
				}}}).Change
				if known, seen := first[id]; seen {
					if known.text != text {
						require.Equal(t, reused, got.Result)
						return
					}
					require.Equal(t, known.ChangeResult, got)
					return
				}
				first[id] = decision{text, got}
				switch {
				case problem != "":
					require.Equal(t, invalid, got.Result)
				case expected != len(texts):
					require.Equal(t, refused, got.Result)
					require.Equal(t, uint64(len(texts)), got.Revision)
					require.Equal(t, h.machine.Latest().Author, got.WinnerAuthor)
				default:
					texts = append(texts, text)
					require.Equal(t, accepted, got.Result)
					require.Equal(t, uint64(len(texts)), got.Revision)
				}
			},
			"pass":    h.advanceTime,
			"restart": h.restart,
			"": func(t *rapid.T) {
				require.Equal(t, uint64(len(texts)), h.machine.Latest().Number)
				require.LessOrEqual(t, len(h.machine.History(100)), h.machine.limits.Revisions)
				if len(texts) > 0 {
					require.Equal(t, texts[len(texts)-1], string(h.machine.Latest().CompressedText))
					require.Equal(t, texts[len(texts)-1], string(h.machine.CompressedPlan()))
				}
			},
		})
	})
}

// TestClaimIsGrantedToOneCall checks that an id is granted to a second call only if
// the first one settled as not run or ClaimRetention has passed, and that each
// refusal states the right reason.
func TestClaimIsGrantedToOneCall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, smallLimits())
		type grant struct {
			call    uint64
			at      time.Time
			settled v1.ClaimOutcome
		}
		grants := map[string]*grant{}
		id := func(t *rapid.T) string { return fmt.Sprint("id-", rapid.IntRange(0, 9).Draw(t, "id")) }
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				id, call := id(t), uint64(rapid.IntRange(0, 3).Draw(t, "call"))
				expiry := time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second
				result := h.claim(&v1.ClaimOperation{
					RequestId: id, Holder: "router", Call: call, Digest: "body", ExpiryMs: expiry.Milliseconds(),
				})
				held := grants[id]
				switch result {
				case ClaimGranted:
					if held != nil && (held.call != call || call == 0) {
						free := held.settled == v1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN ||
							h.machine.Now().Sub(held.at) >= h.machine.limits.ClaimRetention
						require.True(t, free, "granted to calls %d and %d", held.call, call)
					}
					if held == nil || held.call != call || call == 0 || held.settled != 0 {
						grants[id] = &grant{call: call, at: h.machine.Now()}
					}
				case ClaimRan:
					require.Equal(t, v1.ClaimOutcome_CLAIM_OUTCOME_RAN, held.settled)
				case ClaimMayHaveRun:
					// The call may have settled as not run before its claim arrived.
				case ClaimExpired:
					require.NotNil(t, held)
				case ClaimsFull:
					live, expired := h.machine.ClaimCounts()
					bytes := h.machine.claims.liveBytes + claimOverhead
					require.True(t, bytes > h.machine.limits.ClaimBytes-20 || live+expired == h.machine.limits.ClaimIDs)
				default:
					t.Fatalf("unexpected result %d", result)
				}
			},
			"settle": func(t *rapid.T) {
				id, call := id(t), uint64(rapid.IntRange(1, 3).Draw(t, "call"))
				outcome := rapid.SampledFrom([]v1.ClaimOutcome{
					v1.ClaimOutcome_CLAIM_OUTCOME_RAN, v1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN,
				}).Draw(t, "outcome")
				h.claim(&v1.ClaimOperation{RequestId: id, Holder: "router", Call: call, Settle: outcome})
				if held := grants[id]; held != nil && held.call == call && held.settled == 0 {
					held.settled = outcome
				}
			},
			"pass":    h.advanceTime,
			"restart": h.restart,
			"": func(t *rapid.T) {
				live, expired := h.machine.ClaimCounts()
				require.LessOrEqual(t, h.machine.claims.liveBytes, h.machine.limits.ClaimBytes)
				require.LessOrEqual(t, live+expired, h.machine.limits.ClaimIDs)
			},
		})
	})
}

func (h *harness) claim(operation *v1.ClaimOperation) ClaimResult {
	batch := &v1.ClaimBatch{Operations: []*v1.ClaimOperation{operation}}
	return h.apply(&v1.StateCommand{Body: &v1.StateCommand_Claims{Claims: batch}}).Claims[0]
}

// TestClaimResults checks the results of successive claims and settlements of one id.
func TestClaimResults(t *testing.T) {
	machine := New(smallLimits())
	start := time.Unix(1_700_000_000, 0)
	const ran, notRun = v1.ClaimOutcome_CLAIM_OUTCOME_RAN, v1.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN
	const minute = 60_000
	steps := []struct {
		name   string
		after  time.Duration
		call   uint64
		digest string
		settle v1.ClaimOutcome
		want   ClaimResult
	}{
		{"the first call", 0, 1, "a", 0, ClaimGranted},
		{"the first call resent", time.Second, 1, "a", 0, ClaimGranted},
		{"another call", time.Second, 2, "a", 0, ClaimMayHaveRun},
		{"another body", time.Second, 2, "b", 0, ClaimDigestMismatch},
		{"a settlement by another call", time.Second, 2, "", notRun, ClaimNone},
		{"the claim is still held", time.Second, 2, "a", 0, ClaimMayHaveRun},
		{"the holder's release", time.Second, 1, "", notRun, ClaimNone},
		{"a late copy of the released call", time.Second, 1, "a", 0, ClaimMayHaveRun},
		{"a new call", time.Second, 3, "a", 0, ClaimGranted},
		{"the settlement of the new call", time.Second, 3, "", ran, ClaimNone},
		{"a call after the run", time.Second, 4, "a", 0, ClaimRan},
		{"a late release", time.Second, 3, "", notRun, ClaimNone},
		{"the outcome is unchanged", time.Second, 4, "a", 0, ClaimRan},
		{"a call after the expiry", time.Minute + time.Second, 5, "a", 0, ClaimExpired},
		{"a call after the tombstone is removed", 3 * time.Minute, 6, "a", 0, ClaimGranted},
	}
	for _, step := range steps {
		data, err := Encode(start.Add(step.after), &v1.StateCommand{Body: &v1.StateCommand_Claims{Claims: &v1.ClaimBatch{
			Operations: []*v1.ClaimOperation{{
				RequestId: "id", Holder: "router", Call: step.call, Digest: step.digest, Settle: step.settle, ExpiryMs: minute,
			}},
		}}})
		require.NoError(t, err)
		result, err := machine.Apply(data)
		require.NoError(t, err)
		require.Equal(t, step.want, result.Claims[0], step.name)
	}
}

// TestAbsoluteExpiryNeedsNoTombstone checks that a claim that repeats its expired
// absolute expiry is refused even after its tombstone is removed.
func TestAbsoluteExpiryNeedsNoTombstone(t *testing.T) {
	machine := New(smallLimits())
	start := time.Unix(1_700_000_000, 0)
	claim := func(at time.Time) ClaimResult {
		data, err := Encode(at, &v1.StateCommand{Body: &v1.StateCommand_Claims{Claims: &v1.ClaimBatch{
			Operations: []*v1.ClaimOperation{{
				RequestId: "id", Holder: "router", Call: 1, Digest: "a", NotAfterUnixMs: start.Add(time.Second).UnixMilli(),
			}},
		}}})
		require.NoError(t, err)
		result, err := machine.Apply(data)
		require.NoError(t, err)
		return result.Claims[0]
	}
	require.Equal(t, ClaimGranted, claim(start))
	require.Equal(t, ClaimExpired, claim(start.Add(24*time.Hour)))
	live, expired := machine.ClaimCounts()
	require.Zero(t, live+expired)
	// A leader whose clock is behind must not make the id valid again.
	require.Equal(t, ClaimExpired, claim(start))
}

// TestJournalKeepsTheNewestOnce checks that the journal keeps the newest events
// within its bound, counts dropped ones and stores each event once.
func TestJournalKeepsTheNewestOnce(t *testing.T) {
	machine := New(smallLimits())
	for index := range 15 {
		event := &v1.Event{Id: fmt.Sprint(index), Kind: "lease_lost", Service: fmt.Sprint("service-", index%2)}
		data, err := Encode(time.Unix(1, 0), &v1.StateCommand{Body: &v1.StateCommand_Events{Events: &v1.EventsCommand{
			Events: []*v1.Event{event, event},
		}}})
		require.NoError(t, err)
		_, err = machine.Apply(data)
		require.NoError(t, err)
	}
	require.Equal(t, uint64(5), machine.EventsDropped())
	events := machine.Events(EventFilter{Service: "service-1", Limit: 3})
	require.Len(t, events, 3)
	require.Equal(t, "9", events[0].GetId())
	require.Equal(t, "13", events[2].GetId())
}

// TestRefusedChangesOfOneAuthorAreCounted submits refused changes in a loop. The
// refusals of one author within a minute must be one event, separate from those of
// other authors.
func TestRefusedChangesOfOneAuthorAreCounted(t *testing.T) {
	machine := New(DefaultLimits())
	begun := time.Unix(1_700_000_000, 0).UTC()
	submit := func(after time.Duration, id, author string) {
		data, err := Encode(begun.Add(after), &v1.StateCommand{Body: &v1.StateCommand_Change{Change: &v1.ChangeCommand{
			ChangeId: id, Author: author, ExpectedRevision: 7,
		}}})
		require.NoError(t, err)
		_, err = machine.Apply(data)
		require.NoError(t, err)
	}
	for second := range 50 {
		submit(time.Duration(second)*time.Second, fmt.Sprint("loop-", second), "malee")
	}
	submit(50*time.Second, "other", "anong")
	submit(51*time.Second, "loop-50", "malee")
	submit(51*time.Second, "loop-50", "malee") // a resent change is not counted again
	submit(61*time.Second, "loop-61", "malee")
	events := machine.Events(EventFilter{Limit: 100})
	require.Len(t, events, 3)
	require.EqualValues(t, 51, events[0].GetCount())
	require.Equal(t, begun.Add(51*time.Second), events[0].GetLastTime().AsTime())
	require.Contains(t, events[1].GetDetail(), "by anong: ")
	require.EqualValues(t, 1, events[2].GetCount())
}

// TestUnknownCommandFails checks that a command of an unknown kind is an error and
// is not skipped.
func TestUnknownCommandFails(t *testing.T) {
	data, err := Encode(time.Unix(1, 0), &v1.StateCommand{})
	require.NoError(t, err)
	_, err = New(smallLimits()).Apply(data)
	require.Error(t, err)
}

// TestApplyHashIsStable checks that request hashes equal those in stored states, so
// that a change that is resent after an upgrade is recognized.
func TestApplyHashIsStable(t *testing.T) {
	sum := func(request string) []byte {
		hash := sha256.Sum256([]byte(request))
		return hash[:]
	}
	long := strings.Repeat("0123456789", 10_000)
	for _, text := range []string{"", "one", long, long[:64<<10]} {
		require.Equal(t, sum("text "+text), ApplyHash(text, 0))
	}
	require.Equal(t, sum("rollback 17"), ApplyHash("", 17))
}
