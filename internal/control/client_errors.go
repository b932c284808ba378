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

// ErrCertificate says that no voter's certificate was accepted, or that none
// accepted the caller's. Waiting does not help, and what was asked had no effect.
var ErrCertificate = errors.New("no control voter could be trusted")

// failures are the last errors of a call by the index of the voter, nil for one
// that was not asked yet.
type failures []error

// note keeps what a voter said last. An attempt that was cut off, since the whole
// call's time was over, says nothing about the voter: it replaces no earlier word.
func (f failures) note(index int, err error, cutOff bool) {
	if cutOff && f[index] != nil {
		return
	}
	f[index] = err
}

// allCertificates reports whether every voter was asked and none was trusted.
func (f failures) allCertificates() bool {
	for _, err := range f {
		if err == nil || !isCertificateError(err) {
			return false
		}
	}
	return true
}

// describe names each voter with what it said last.
func (f failures) describe(voters []peers) string {
	var texts []string
	for index, err := range f {
		if err != nil {
			texts = append(texts, voters[index].address+": "+reasonOf(err))
		}
	}
	return strings.Join(texts, "; ")
}

// remoteAlert is the operation of the network error by which crypto/tls reports
// an alert of the other side.
const remoteAlert = "remote error"

// isCertificateError reports whether one side does not trust the other's
// certificate.
func isCertificateError(err error) bool {
	var unverified *tls.CertificateVerificationError
	if errors.As(err, &unverified) || errors.Is(err, rpc.ErrWrongRole) || errors.Is(err, keys.ErrNoIdentity) {
		return true
	}
	var network *net.OpError
	return errors.As(err, &network) && network.Op == remoteAlert && strings.Contains(network.Err.Error(), "certificate")
}

// reasonOf returns the innermost words that help, without the transport's.
func reasonOf(err error) string {
	var unverified *tls.CertificateVerificationError
	if errors.As(err, &unverified) {
		return "its certificate is not of this site (" + unverified.Err.Error() + ")"
	}
	if errors.Is(err, rpc.ErrWrongRole) || errors.Is(err, keys.ErrNoIdentity) {
		return "its certificate is of another role (" + err.Error() + ")"
	}
	var network *net.OpError
	if errors.As(err, &network) {
		if network.Op == remoteAlert {
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
