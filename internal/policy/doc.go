// Package policy is the configuration language: it declares services with
// their groups and replicas, policies, and the routes that join the two.
//
// The parts, each in its own files:
//
//	lexer.go, syntax.go, parse.go   text → syntax tree, on participle
//	check_*.go, values.go           syntax tree → plan.Plan, with every error found
//	reach.go                        which statements of a policy can ever decide
//	format.go                       syntax tree → canonical text
//	incremental.go, patch.go        which declarations changed since the last text
//	assemble.go, server_table.go    kept declarations → plan.Plan
//
// Compile runs the first three and returns the plan, or Problems: all errors
// at once, each with its place in the text. A Compiler does the same for one
// text after the other and parses only what changed. Routers never see text; what
// travels is the plan. Explain and Lint work on a compiled plan alone.
//
// The grammar is written down in docs/operate/policies.md, the reasons for
// the language in docs/design/0001-policy-language.md.
package policy
