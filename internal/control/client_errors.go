package control

import (
	"crypto/tls"
	"net"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/rpc"
)

// ErrCertificate means that no voter's certificate was accepted, or that no voter
// accepted the caller's. A retry does not help, and the request had no effect.
var ErrCertificate = errors.New("no control voter could be trusted")

// voterErrors holds the last error of each voter by index; nil for a voter that
// has not been called.
type voterErrors []error

// record stores a voter's last error. An attempt that was canceled because the
// whole call's context ended says nothing about the voter, so it does not replace
// an earlier error.
func (e voterErrors) record(index int, err error, contextEnded bool) {
	if contextEnded && e[index] != nil {
		return
	}
	e[index] = err
}

// allCertificateErrors reports whether every voter was called and each call failed
// on a certificate.
func (e voterErrors) allCertificateErrors() bool {
	for _, err := range e {
		if err == nil || !isCertificateError(err) {
			return false
		}
	}
	return true
}

// describe lists each voter's address with its last error.
func (e voterErrors) describe(voters []voterClients) string {
	var texts []string
	for index, err := range e {
		if err != nil {
			texts = append(texts, voters[index].address+": "+describeError(err))
		}
	}
	return strings.Join(texts, "; ")
}

// remoteAlertOp is the Op of the net.OpError by which crypto/tls reports an alert
// sent by the peer.
const remoteAlertOp = "remote error"

// isCertificateError reports whether one side rejected the other's certificate.
func isCertificateError(err error) bool {
	var unverified *tls.CertificateVerificationError
	if errors.As(err, &unverified) || errors.Is(err, rpc.ErrWrongRole) || errors.Is(err, keys.ErrNoIdentity) {
		return true
	}
	var network *net.OpError
	return errors.As(err, &network) && network.Op == remoteAlertOp && strings.Contains(network.Err.Error(), "certificate")
}

// describeError returns the innermost useful message, without the transport's
// wrapping.
func describeError(err error) string {
	var unverified *tls.CertificateVerificationError
	if errors.As(err, &unverified) {
		return "its certificate is not of this site (" + unverified.Err.Error() + ")"
	}
	if errors.Is(err, rpc.ErrWrongRole) || errors.Is(err, keys.ErrNoIdentity) {
		return "its certificate is of another role (" + err.Error() + ")"
	}
	var network *net.OpError
	if errors.As(err, &network) {
		if network.Op == remoteAlertOp {
			return "it refuses this program's certificate (" + network.Err.Error() + ")"
		}
		return network.Err.Error()
	}
	var coded *connect.Error
	if errors.As(err, &coded) {
		return coded.Message()
	}
	return err.Error()
}
