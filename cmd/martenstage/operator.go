package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"os"
	"os/user"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/cli"
	"github.com/martenstage/martenstage/internal/control"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/settings"
	"github.com/martenstage/martenstage/internal/voter"
)

// operatorOptions are common to all commands that call control.
type operatorOptions struct {
	Control []string      `long:"control" env:"MARTENSTAGE_CONTROL" env-delim:"," required:"yes" value-name:"IP:PORT" description:"Address of a control voter; repeat it to name several, which are tried in turn"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"Longest wait for a definite answer"`

	Authority         string `long:"tls-authority" env:"MARTENSTAGE_TLS_AUTHORITY" description:"Certificate of the site's authority"`
	Certificate       string `long:"tls-certificate" env:"MARTENSTAGE_TLS_CERTIFICATE" description:"The operator's certificate, which names the author of changes"`
	Key               string `long:"tls-key" env:"MARTENSTAGE_TLS_KEY" description:"The operator's key"`
	InsecurePlaintext bool   `long:"insecure-plaintext" env:"MARTENSTAGE_INSECURE_PLAINTEXT" description:"Call control without keys"`
}

// widestReason bounds what is shown of the reason for waiting, so that the line
// fits a terminal and can be written over.
const widestReason = 48

// call runs a function with a client of control, within the timeout.
func (o *operatorOptions) call(function func(context.Context, *control.Client) error) error {
	for _, address := range o.Control {
		if _, err := settings.ParseAddress(address); err != nil {
			return exitcode.With(exitcode.Usage, errors.Wrap(err, "control"))
		}
	}
	logger, err := logging.New(os.Stderr, "warning")
	if err != nil {
		return err
	}
	security, err := rpc.NewSecurity(rpc.SecuritySettings{
		Files:             keys.Files{Authority: o.Authority, Certificate: o.Certificate, Key: o.Key},
		InsecurePlaintext: o.InsecurePlaintext,
	}, logger)
	if err != nil {
		return exitcode.With(exitcode.Settings, err)
	}
	client := rpc.NewClient(security, rpc.ClientConfig{ServerRoles: []keys.Role{keys.RoleControl}})
	defer client.CloseIdle()
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	caller := control.NewClient(o.Control, client)
	progress := cli.NewProgress(os.Stderr)
	caller.OnRetry(func(why string) { progress.Show("waiting for control: " + lo.Ellipsis(why, widestReason)) })
	err = function(ctx, caller)
	progress.Done()
	return withExitCode(err)
}

// withExitCode gives errors of the client their exit codes.
func withExitCode(err error) error {
	if errors.Is(err, control.ErrCertificate) {
		return exitcode.With(exitcode.Settings, err)
	}
	if errors.Is(err, control.ErrUnavailable) || errors.Is(err, voter.ErrOutcomeUnknown) {
		return exitcode.With(exitcode.Unavailable, err)
	}
	return err
}

// author is the name that is recorded when no keys are in use. With keys, the
// server takes the name from the certificate.
func author() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

// newChangeID returns an id that no other change has.
func newChangeID() string { return rand.Text() }

// unknownOutcome explains how to find out what became of a change.
func unknownOutcome(err error, changeID string) error {
	if !errors.Is(err, voter.ErrOutcomeUnknown) {
		return err
	}
	return errors.Mark(errors.Newf(
		"it is not known whether the change was accepted (%v); to find out, run the same command again with --change-id %s",
		err, changeID), voter.ErrOutcomeUnknown)
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
