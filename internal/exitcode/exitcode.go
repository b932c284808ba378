// Package exitcode holds the exit codes of the commands, documented in
// docs/operate/exit-codes.md.
package exitcode

import "github.com/cockroachdb/errors"

// Exit codes.
const (
	OK = 0
	// Failure is any failure without a code of its own, and a failed check.
	Failure = 1
	// Usage is a wrong command line.
	Usage = 2
	// Settings is a settings file or value that was refused.
	Settings = 3
	// Unavailable means that no control server, or no quorum, answered.
	Unavailable = 4
	// Conflict means that another change won the expected revision.
	Conflict = 5
	// DataFolder is a data folder that is in use, damaged or not writable.
	DataFolder = 6
)

type codedError struct {
	error
	code int
}

// Unwrap returns the error without its code.
func (e *codedError) Unwrap() error { return e.error }

// With gives an error the exit code of the process that ends with it.
func With(code int, err error) error {
	if err == nil {
		return nil
	}
	return &codedError{error: err, code: code}
}

// Of returns the exit code for the error that ended a command.
func Of(err error) int {
	if err == nil {
		return OK
	}
	var coded *codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	return Failure
}
