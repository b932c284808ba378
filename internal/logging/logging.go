// Package logging provides the logger of a process, which writes one line of
// key=value pairs per event, and its output.
package logging

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// Field names shared by all processes.
const (
	FieldRole    = "role"
	FieldNode    = "node"
	FieldService = "service"
	FieldRoute   = "route"
	FieldAddress = "address"
	FieldRequest = "request"
	FieldReason  = "reason"
	FieldVerdict = "verdict"
)

// New returns a logger with a minimum level (debug, info, warning or error).
func New(output io.Writer, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Newf("log level %q is not one of debug, info, warning, error", level)
	}
	logger := logrus.New()
	logger.SetOutput(output)
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: time.RFC3339Nano,
	})
	return logger, nil
}
