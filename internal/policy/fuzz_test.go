package policy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/plan"
)

// FuzzCompile checks on any text that nothing panics, that canonical text is
// stable and compiles to the same plan, and that a compiled plan passes the
// checks of its receivers.
func FuzzCompile(f *testing.F) {
	f.Add(smallText)
	f.Add("service s { generation 1 { group g { replica [::1]:80 zone z } } } # comment")
	f.Add("policy p { answer when not (covered(a, b) or coverage < 5% and not settled) at 1ms fail")
	f.Add("route r { service x policy } policy p { deadline -5ms hedge at p99.9 between 1 and 2")
	f.Add("service service { slots 99999999999999999999 generation 1 { group group { } } }\r\n\x00é")
	f.Add("region n { router 10.0.0.1:1 router 10.0.0.1:1 } route r { region m deadline 1 repeatable service s } region {")
	f.Fuzz(func(t *testing.T, text string) {
		compiled, err := Compile("fuzz", []byte(text))
		formatted, formatErr := Format("text", text)
		if err == nil {
			require.NoError(t, formatErr)
			require.NoError(t, plan.Validate(compiled))
		}
		if formatErr != nil {
			return
		}
		again, formatErr := Format("text", formatted)
		require.NoError(t, formatErr)
		require.Equal(t, formatted, again)
		recompiled, againErr := Compile("fuzz", []byte(formatted))
		require.Equal(t, err == nil, againErr == nil)
		if err == nil {
			require.True(t, plan.Equal(compiled, recompiled))
		}
	})
}
