package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/plan"
)

// smallText uses every construct of the language once.
const smallText = `service s {
	slots 2
	connections 70
	hedge budget 5% burst 20
	retry budget 10%
	cell routers 3
	cold start 20s
	generation 1 {
		group g1 {
			replica 127.0.0.1:7000 zone a
			replica 127.0.0.2:7000 zone b slots 3 connections 80
		}
	}
	generation 2 {
		group g1 {
			replica 127.0.0.1:7000 zone a
		}
		group g2 {
			replica 127.0.0.3:7000 zone a shared
		}
	}
}

service t {
	slots 2
	connections 70
	generation 1 {
		group all {
			replica 127.0.0.3:7000 zone a shared
		}
	}
}

policy quick {
	deadline 100ms
	priority interactive
	repeatable
	snapshot coverage 99.5%
	hedge at p99.9 between 2ms and 30ms at most 1
	retry at most 1 backoff 5ms
	merge top 10 by distance descending
	answer when coverage >= 99% and elapsed >= 60ms
	answer when covered(g1) and (settled or elapsed < 20ms)
	fail when settled and not coverage >= 50%
	at 90ms answer
}

policy claim {
	deadline 1s
	once for 24h
	at 900ms fail
}

route r {
	service s
	policy quick
	target all
}

route k {
	service t
	policy claim
	target key
}

region north {
	router 10.0.0.2:8081
	router 10.0.0.1:8081
}

route far {
	region north
	deadline 2s
	repeatable
}
`

// TestCompileSmallText checks that every construct means what it says.
func TestCompileSmallText(t *testing.T) {
	compiled, err := Compile("small", []byte(smallText))
	require.NoError(t, err)
	require.NoError(t, plan.Validate(compiled))
	service := compiled.Services[0]
	require.Equal(t, plan.Budget{Ratio: 0.05, Burst: 20}, service.HedgeBudget)
	require.Equal(t, plan.Budget{Ratio: 0.1, Burst: defaultBurst}, service.RetryBudget)
	require.Equal(t, 3, service.CellRouters)
	require.Equal(t, 20*time.Second, service.ColdStart)
	require.Equal(t, []uint32{1, 2}, []uint32{service.Generations[0].Number, service.Generations[1].Number})
	require.Equal(t, 3, service.Generations[0].Shards[0].Replicas[1].Slots)
	require.Equal(t, 70, service.Generations[0].Shards[0].Replicas[0].Connections)

	require.Equal(t, []string{"k", "r"}, []string{compiled.Routes[0].Name, compiled.Routes[1].Name})
	require.Equal(t, []plan.RemoteRoute{{Name: "far", Region: "north", Deadline: 2 * time.Second, Repeatable: true}}, compiled.RemoteRoutes)
	require.Equal(t, "[10.0.0.1:8081 10.0.0.2:8081]", fmt.Sprint(compiled.Regions[0].Entries))
	claim, quick := compiled.Routes[0].Policy, compiled.Routes[1].Policy
	require.Equal(t, plan.TargetKey, compiled.Routes[0].Target)
	require.True(t, claim.Once)
	require.Equal(t, 24*time.Hour, claim.ClaimExpiry)
	require.Equal(t, plan.PriorityNormal, claim.Priority)
	require.Equal(t, 0.995, quick.SnapshotCoverage)
	require.Equal(t, plan.Hedge{Quantile: 0.999, MinDelay: 2 * time.Millisecond, MaxDelay: 30 * time.Millisecond, MaxPerShard: 1}, quick.Hedge)
	require.Equal(t, plan.Retry{MaxPerShard: 1, Backoff: 5 * time.Millisecond}, quick.Retry)
	require.Equal(t, plan.Merge{Kind: plan.MergeTop, Limit: 10, Field: "distance", Descending: true}, quick.Merge)
	require.Equal(t, []string{
		"answer when coverage >= 99% and elapsed >= 60ms",
		"answer when covered(g1) and (settled or elapsed < 20ms)",
		"fail when settled and coverage < 50%",
		"at 90ms answer",
	}, []string{quick.Statements[0].String(), quick.Statements[1].String(), quick.Statements[2].String(), quick.Statements[3].String()})
	require.Equal(t, strings.Count(smallText[:strings.Index(smallText, "at 90ms")], "\n")+1, quick.Statements[3].Line)
}

// TestErrorsPointAtTheirCause changes one place of a correct text and expects
// one error: at the line and column of the mark ^, with the message. The mark
// stands before the replacement and is not part of the text.
func TestErrorsPointAtTheirCause(t *testing.T) {
	cases := []struct{ old, replacement, want string }{
		// units and bounds
		{"deadline 100ms", "deadline ^100", `deadline: "100" has no unit; write 100ms, 100s, 100m or 100h`},
		{"deadline 100ms", "deadline ^100us", `deadline: "100us" has the unknown unit "us"`},
		{"deadline 100ms", "deadline ^11m", "deadline: 11m is not between 1ms and 10m"},
		{"deadline 100ms", "deadline ^1.2.3ms", `unexpected "1.2.3ms" after "deadline", expected a number`},
		{"once for 24h", "once for ^721h", "once: 721h is not between 1s and 720h"},
		{"^once for 24h", "^once for 1s", "the claim expires after 1s, before the request's deadline of 1s"},
		{"cold start 20s", "cold start ^2h", "cold start: 2h is not between 1ms and 1h"},
		{"slots 2\n\tconnections 70\n\thedge", "slots ^0\n\tconnections 70\n\thedge", "slots: 0 is not between 1 and 10000"},
		{"slots 3", "slots ^3ms", `slots: "3ms" is not a whole number`},
		{"slots 3", "slots ^-3", `slots: "-3" is not a whole number`},
		{"connections 80", "connections ^2000000", "connections: 2000000 is not between 1 and 1000000"},
		{"hedge budget 5%", "hedge budget ^5", `hedge budget: "5" is not a percentage; write 5%`},
		{"hedge budget 5%", "hedge budget ^105%", "hedge budget: 105% is not between 0% and 100%"},
		{"snapshot coverage 99.5%", "snapshot coverage ^0%", "snapshot coverage: 0% is not above 0% and at most 100%"},
		{"p99.9", "^p100", `hedge: "p100" is not a quantile such as p95 or p99.9`},
		{"2ms and 30ms", "^40ms and 30ms", "hedge: the least delay 40ms is above the longest, 30ms"},
		{"^hedge at p99.9 between 2ms and 30ms", "^hedge at p95 between 100ms and 200ms", "the hedge is sent after 100ms at the earliest, but the deadline is 100ms"},
		{"^retry at most 1 backoff 5ms", "^retry at most 1 backoff 1s", "the retry is sent after 1s at the earliest, but the deadline is 100ms"},
		{"retry at most 1", "retry at most ^9", "retry at most: 9 is not between 1 and 5"},
		{"generation 1 {\n\t\tgroup g1", "generation ^0 {\n\t\tgroup g1", "generation: 0 is not between 1 and 4294967295"},
		// names
		{"policy quick\n", "policy ^quikc\n", `unknown policy "quikc"; did you mean quick?`},
		{"service s\n", "service ^zz\n", `unknown service "zz"`},
		{"covered(g1)", "covered(^g12)", `service s of route r has no group "g12" in generation 1; did you mean g1?`},
		{"covered(g1)", "covered(^g2)", `service s of route r has no group "g2" in generation 1; did you mean g1?`},
		{"covered(g1)", "covered(g1, ^g1)", "group g1 is named twice"},
		{"target all", "target ^some", `target is "some"; it must be all or key`},
		{"target all", "target key\n# ", `route r asks one group by key, so its policy can't wait for a group by name`},
		{"priority interactive", "priority ^interctive", `priority is "interctive"; it must be interactive, normal or batch; did you mean interactive?`},
		{"policy claim {", "service ^s {}\n\npolicy claim {", "service s is declared twice; the first is on line 1"},
		{"policy claim {", "policy ^quick {}\n\npolicy claim {", "policy quick is declared twice; the first is on line 34"},
		{"route k {", "route ^r {", "route r is declared twice"},
		{"group g2", "group ^g1", "group g1 is declared twice in generation 2"},
		{"group all", "group ^" + strings.Repeat("a", 64), "has 64 characters; the limit is 63"},
		{"priority interactive", "priority interactive\n\t^priority batch", "priority is given twice; the first is on line 36"},
		// addresses
		{"127.0.0.2:7000", "^127.0.0.1:7000", "address 127.0.0.1:7000 is used twice in generation 1 of service s; the first is on line 10"},
		{"replica 127.0.0.3:7000 zone a shared\n\t\t}\n\t}\n}\n\npolicy", "replica ^127.0.0.3:7000 zone a\n\t\t}\n\t}\n}\n\npolicy", "address 127.0.0.3:7000 is already used by service s on line 19; mark both replicas shared"},
		{"replica 127.0.0.1:7000 zone a\n\t\t}\n\t\tgroup g2", "replica ^127.0.0.1:7000 zone b\n\t\t}\n\t\tgroup g2", "has zone b, 2 slots and 70 connections here and zone a, 2 slots and 70 connections on line 10"},
		{"127.0.0.2:7000", "^localhost:7000", `"localhost:7000" is a host name; back ends are named by IPv4 address and port`},
		{"127.0.0.2:7000", "^db.example.com", `"db.example.com" is a host name`},
		{"127.0.0.2:7000", "^localhost", `unexpected "localhost" after "replica", expected an IPv4 address with a port`},
		{"127.0.0.2:7000", "^[::1]:7000", `"[::1]:7000" is an IPv6 address; only IPv4 addresses are accepted`},
		{"127.0.0.2:7000", "^fe80::1", `"fe80::1" is an IPv6 address`},
		{"127.0.0.2:7000", "^127.0.0.2", `"127.0.0.2" has no port; write 127.0.0.2:7000`},
		{"127.0.0.2:7000", "^127.0.0.2:0", "has port 0"},
		{"127.0.0.2:7000", "^0.0.0.0:7000", "is not the address of one machine"},
		{"127.0.0.2:7000", "^127.0.0.256:7000", `"127.0.0.256:7000" is not an IPv4 address with a port`},
		// generations and groups
		{"generation 2", "generation ^1", "generation 1 must be higher than the one before it, 1"},
		{"generation 2 {", "generation 2 { group g1 { replica 127.0.0.7:1 zone a } }\n\tgeneration ^3 {", "service s has more than 2 live generations"},
		{"\t\tgroup all {\n\t\t\treplica 127.0.0.3:7000 zone a shared\n", "\t\tgroup ^all {\n", "group all has no replica"},
		{"generation 1 {\n\t\tgroup all {\n\t\t\treplica 127.0.0.3:7000 zone a shared\n\t\t}", "generation ^1 {", "generation 1 has no group"},
		{"service t {\n\tslots 2", "service t {", "the replica has no slots; give slots here or in the service"},
		// policies
		{"policy claim {\n\tdeadline 1s", "policy ^claim {", "policy claim has no deadline"},
		{"policy claim {\n\tdeadline 1s\n\tonce for 24h", "policy ^claim {\n\tdeadline 1s", "policy claim must say repeatable, or once for a time"},
		{"once for 24h", "^once for 24h repeatable", "policy claim is repeatable on line 50 and can't be once as well"},
		{"once for 24h", "once for 24h\n\t^hedge at p95 between 2ms and 3ms at most 1", "a request that runs at most once can't be hedged"},
		{"\tat 900ms fail\n", "", "policy claim never answers; end it with a statement such as: at 900ms answer"},
		{"at 900ms fail", "^answer when settled", "policy claim might not answer before its deadline"},
		{"at 900ms fail", "at ^1s fail", "1s is never reached: the deadline is 1s"},
		{"at 900ms fail", "answer when elapsed >= ^950ms\n\tat 900ms fail", "950ms is never reached: the last statement decides at 900ms"},
		{"at 900ms fail", "^answer when coverage < 50% and coverage >= 60%\n\tat 900ms fail", "the condition can never hold"},
		{"at 900ms fail", "answer when coverage >= 50%\n\t^fail when coverage >= 60%\n\tat 900ms fail", "the statement is unreachable: line 51 decides first whenever it holds"},
		{"at 900ms fail", "at 500ms answer\n\t^at 900ms fail", "the statement is unreachable: line 51 decides first whenever it holds"},
		{"at 900ms fail", "answer when settled or not settled\n\t^at 900ms fail", "the statement is unreachable"},
		// regions
		{"region north\n\tdeadline", "region ^nroth\n\tdeadline", `unknown region "nroth"; did you mean north?`},
		{"router 10.0.0.1:8081", "router ^10.0.0.2:8081", "router 10.0.0.2:8081 is given twice; the first is on line 67"},
		{"\trouter 10.0.0.2:8081\n\trouter 10.0.0.1:8081\n", "", "region north has no router"},
		{"router 10.0.0.2:8081", "router ^[::1]:8081", "only IPv4 addresses are accepted"},
		{"router 10.0.0.2:8081", "router ^north.example:8081", "is a host name"},
		{"route far {", "region ^north { router 10.0.0.3:1 }\n\nroute far {", "region north is declared twice"},
		{"route far {", "route ^r {", "route r is declared twice"},
		{"\tdeadline 2s\n", "", "route far names no deadline"},
		{"deadline 2s", "deadline ^2ms", "deadline: 2ms is not between 10ms and 10m"},
		{"region north\n\tdeadline 2s", "region north\n\t^policy quick\n\tdeadline 2s", "route far is owned by another region, whose configuration gives its policy"},
		{"target all", "target all\n\t^repeatable", "repeatable is for routes that another region owns"},
		{"router 10.0.0.2:8081", "^ruter 10.0.0.2:8081", `unexpected "ruter" after "{"; did you mean router?`},
		// syntax
		{"deadline 100ms", "^deadlin 100ms", `unexpected "deadlin" after "{"; did you mean deadline?`},
		{"deadline 100ms\n\tpriority", "deadline\n\t^priority", `unexpected "priority" after "deadline", expected a number`},
		{"between 2ms and 30ms", "between 2ms ^30ms", `unexpected "30ms" after "2ms", expected and`},
		{"service s\n", "service s ^;\n", `unexpected character ";"`},
		{"at 900ms fail\n}", "at 900ms fail\n", `unexpected "route" after "fail"`},
	}
	for _, test := range cases {
		t.Run(test.replacement, func(t *testing.T) { checkError(t, test.old, test.replacement, test.want) })
	}
}

func checkError(t *testing.T, old, replacement, want string) {
	t.Helper()
	old = strings.ReplaceAll(old, "^", "")
	require.Equal(t, 1, strings.Count(smallText, old), "%q must stand once in the text", old)
	marked := strings.Replace(smallText, old, replacement, 1)
	before, _, found := strings.Cut(marked, "^")
	_, err := Compile("x.policy", []byte(strings.Replace(marked, "^", "", 1)))
	var problems Problems
	require.True(t, errors.As(err, &problems), "no errors")
	require.Contains(t, problems[0].Message, want)
	require.Len(t, problems, 1, "%v", err)
	if found {
		line := strings.Count(before, "\n") + 1
		column := len(before) - strings.LastIndex(before, "\n")
		require.Equal(t, fmt.Sprintf("%d:%d", line, column), fmt.Sprintf("%d:%d", problems[0].Line, problems[0].Column))
	}
}

// TestAllErrorsAtOnce mixes errors of every kind, syntax errors among them.
func TestAllErrorsAtOnce(t *testing.T) {
	_, err := Compile("x.policy", []byte("service s {\n\tslots five\n\tgeneration 1 {\n\t\tgroup g {\n\t\t\treplica é zone a\n\t\t}\n\t}\n}\n"))
	require.ErrorContains(t, err, `x.policy:5:12: unexpected character "é"`)
	_, err = Compile("x.policy", []byte("service s {\n\tslots five\n\tconnections 0\n\tgeneration 1 {\n\t\tgroup g {\n\t\t\treplica [::1]:80 zone a\n\t\t}\n\t}\n}\n"+
		"policy p {\n\tdeadline 1s\n\trepeatabel\n\tat 2s answer\n}\nroute r {\n\tservice q\n\tpolicy p\n}\n"))
	require.Equal(t, `x.policy:2:8: unexpected "five" after "slots", expected a number
    	slots five
    	      ^
x.policy:3:14: connections: 0 is not between 1 and 1000000
    	connections 0
    	            ^
x.policy:6:12: "[::1]:80" is an IPv6 address; only IPv4 addresses are accepted
    			replica [::1]:80 zone a
    			        ^
x.policy:12:2: unexpected "repeatabel" after "1s"; did you mean repeatable?
    	repeatabel
    	^
x.policy:13:5: 2s is never reached: the deadline is 1s
    	at 2s answer
    	   ^
x.policy:16:10: unknown service "q"; did you mean s?
    	service q
    	        ^`, err.Error())
}

func TestHostileTextIsRefused(t *testing.T) {
	cases := map[string]string{
		"the limit is 8388608": strings.Repeat("# filler\n", MaxTextBytes/9+1),
		"nested more than 32 deep": "policy p { deadline 1s repeatable answer when " +
			strings.Repeat("(", 100_000) + "settled" + strings.Repeat(")", 100_000) + " at 1ms fail }",
		"is nested more than 32":  "policy p { answer when " + strings.Repeat("not ", 100_000) + "settled }",
		"is not valid UTF-8":      "service \xff {}",
		"more than 50 errors":     "service s { slots 1 connections 1 generation 1 {" + strings.Repeat("\ngroup g {}", 200) + "}}",
		"limit is 256":            "policy p { deadline 1s repeatable answer when " + strings.Repeat("settled and ", 300) + "settled at 1ms fail }",
		"more than 1000000 words": strings.Repeat("{\n", 1_000_001),
		"more than 64 statements": "policy p { deadline 1s repeatable" +
			strings.Repeat("\nanswer when settled", 65) + "\nat 1ms fail }",
	}
	for want, text := range cases {
		_, err := Compile("x.policy", []byte(text))
		require.ErrorContains(t, err, want)
	}
}

// TestGeneratedProgramsRoundTrip draws programs of statements, and expects the
// text of the compiled conditions to compile to the same conditions. A program
// with statements that can't decide is refused, and so is its round trip.
func TestGeneratedProgramsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		statements := rapid.SliceOfN(rapid.Custom(drawStatement), 0, 4).Draw(t, "statements")
		compiled, err := Compile("drawn", programText(statements))
		if err != nil {
			require.Regexp(t, "can never hold|unreachable", err.Error())
			return
		}
		var again []string
		program := compiled.Routes[0].Policy.Statements
		for _, statement := range program[:len(program)-1] {
			again = append(again, statement.String())
		}
		recompiled, err := Compile("again", programText(again))
		require.NoError(t, err)
		require.True(t, plan.Equal(compiled, recompiled))
	})
}

func programText(statements []string) []byte {
	return []byte("service s { slots 1 connections 1 generation 1 { group g { replica 127.0.0.1:1 zone z } } }\n" +
		"policy p { deadline 1s repeatable\n" + strings.Join(statements, "\n") + "\nat 900ms fail }\n" +
		"route r { service s policy p }")
}

func drawStatement(t *rapid.T) string {
	action := rapid.SampledFrom([]string{"answer", "fail"}).Draw(t, "action")
	return action + " when " + drawCondition(t, 3)
}

func drawCondition(t *rapid.T, depth int) string {
	shape := rapid.IntRange(0, 4).Draw(t, "shape")
	if depth == 0 {
		shape = 0
	}
	switch shape {
	case 0, 1:
		return rapid.SampledFrom([]string{
			"settled", "covered(g)", "coverage >= 7%", "coverage < 99.9%", "elapsed >= 40ms", "elapsed < 1.5ms",
		}).Draw(t, "term")
	case 2:
		return "not (" + drawCondition(t, depth-1) + ")"
	case 3:
		return "(" + drawCondition(t, depth-1) + " or " + drawCondition(t, depth-1) + ")"
	default:
		return "(" + drawCondition(t, depth-1) + " and " + drawCondition(t, depth-1) + ")"
	}
}

func TestATextThatDeclaresNothingIsRefused(t *testing.T) {
	for _, text := range []string{"", "\n\n", "# only a comment\n"} {
		_, err := Compile("x.policy", []byte(text))
		require.ErrorContains(t, err, "x.policy:1:1: the configuration declares nothing")
	}
}
