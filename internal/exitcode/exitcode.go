// Package exitcode defines the exit codes of the commands, documented in
// docs/operate/exit-codes.md.
package exitcode

import "github.com/cockroachdb/errors"

// Exit codes.
const (
	OK = 0
	// Failure is any failure without a specific code, including a failed check.
	Failure = 1
	// Usage is an invalid command line.
	Usage = 2
	// Settings is an invalid settings file or value.
	Settings = 3
	// Unavailable means that no control server or no quorum responded.
	Unavailable = 4
	// Conflict means that a concurrent change took the expected revision.
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

// With attaches to an error the exit code for a process that fails with it.
func With(code int, err error) error {
	if err == nil {
		return nil
	}
	return &codedError{error: err, code: code}
}

// Of returns the exit code for the error of a command: OK for none and Failure
// for an error without a code.
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
