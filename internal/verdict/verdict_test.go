package verdict

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestCombineIsSound checks the guarantee that callers rely on: a request is
// reported as not run only if every attempt is proved not run.
func TestCombineIsSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempts := rapid.SliceOf(rapid.SampledFrom([]Verdict{0, NotRun, Ran, MayHaveRun})).Draw(t, "attempts")
		combined := Combine(attempts...)
		allNotRun, anyRan := true, false
		for _, attempt := range attempts {
			allNotRun = allNotRun && attempt == NotRun
			anyRan = anyRan || attempt == Ran
		}
		if (combined == NotRun) != allNotRun {
			t.Fatalf("%v combined to %v", attempts, combined)
		}
		if (combined == Ran) != anyRan {
			t.Fatalf("%v combined to %v", attempts, combined)
		}
	})
}

func TestTextRoundTrip(t *testing.T) {
	for _, known := range []Verdict{NotRun, Ran, MayHaveRun} {
		text, err := known.MarshalText()
		require.NoError(t, err)
		var read Verdict
		require.NoError(t, read.UnmarshalText(text))
		require.Equal(t, known, read)
	}
	var read Verdict
	require.ErrorContains(t, read.UnmarshalText([]byte("perhaps")), `"perhaps"`)
}

func TestOfUnknownErrorProvesNothing(t *testing.T) {
	require.Equal(t, MayHaveRun, Of(errors.New("broken pipe")))
	require.Equal(t, NotRun, Of(errors.Wrap(Refuse(ReasonStopping, ""), "router")))
}
