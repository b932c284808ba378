package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/policy"
)

// compileFile compiles a configuration file.
func compileFile(path string) (*plan.Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, exitcode.With(exitcode.Settings, errors.Wrap(err, "policy file"))
	}
	return policy.Compile(path, text)
}

// compileFiles compiles several configuration files.
func compileFiles(paths []string) ([]*plan.Plan, error) {
	plans := make([]*plan.Plan, 0, len(paths))
	for _, path := range paths {
		compiled, err := compileFile(path)
		if err != nil {
			return nil, err
		}
		plans = append(plans, compiled)
	}
	return plans, nil
}
