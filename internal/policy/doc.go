// Package policy is the configuration language: it declares services with
// their groups and replicas, policies, and the routes that join the two.
//
// Text passes through four steps, each in its own files:
//
//	lexer.go, syntax.go, parse.go   text → syntax tree, on participle
//	check_*.go, values.go           syntax tree → plan.Plan, with every error found
//	reach.go                        which statements of a policy can ever decide
//	format.go                       syntax tree → canonical text
//
// Compile runs the first three and returns the plan, or Problems: all errors
// at once, each with its place in the text. Routers never see text; what
// travels is the plan. Explain and Lint work on a compiled plan alone.
//
// The grammar is written down in docs/operate/policies.md, the reasons for
// the language in docs/design/0001-policy-language.md.
package policy
