package rpc

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/keys"
)

// protocolHTTP2 is the ALPN name of HTTP/2 (RFC 9113, section 3.1).
const protocolHTTP2 = "h2"

// Security holds how a process authenticates itself and its peers. The zero
// value is not for use: plaintext must be chosen explicitly (Plaintext).
type Security struct {
	reloader *keys.Reloader
}

// SecuritySettings are the settings for NewSecurity.
type SecuritySettings struct {
	// Files are the key files; all are set, or none with InsecurePlaintext.
	Files keys.Files
	// InsecurePlaintext disables authentication and encryption.
	InsecurePlaintext bool
}

// SecurityOptions are the authentication settings of a process; the settings of
// each role embed them.
type SecurityOptions struct {
	Authority         string `long:"tls-authority" koanf:"tls-authority" description:"Certificate of the site's authority"`
	Certificate       string `long:"tls-certificate" koanf:"tls-certificate" description:"Certificate of this process"`
	Key               string `long:"tls-key" koanf:"tls-key" description:"Key of this process"`
	InsecurePlaintext bool   `long:"insecure-plaintext" koanf:"insecure-plaintext" description:"Run without keys: nobody is authenticated and nothing is encrypted"`
}

// Security converts the options to the settings for NewSecurity.
func (o *SecurityOptions) Security() SecuritySettings {
	return SecuritySettings{
		Files:             keys.Files{Authority: o.Authority, Certificate: o.Certificate, Key: o.Key},
		InsecurePlaintext: o.InsecurePlaintext,
	}
}

// ErrNoKeys is returned when neither keys nor plaintext are set.
var ErrNoKeys = errors.New("no keys are set (tls-authority, tls-certificate, tls-key); " +
	"without them --insecure-plaintext must be given")

// ErrKeysAndPlaintext is returned when both keys and plaintext are set.
var ErrKeysAndPlaintext = errors.New("keys are set together with --insecure-plaintext")

// NewSecurity reads the keys that the settings name.
func NewSecurity(settings SecuritySettings, logger logrus.FieldLogger) (*Security, error) {
	files := settings.Files
	anyFile := files.Authority != "" || files.Certificate != "" || files.Key != ""
	switch {
	case settings.InsecurePlaintext && anyFile:
		return nil, ErrKeysAndPlaintext
	case settings.InsecurePlaintext:
		return Plaintext(), nil
	case files.Authority == "" || files.Certificate == "" || files.Key == "":
		return nil, ErrNoKeys
	}
	reloader, err := keys.NewReloader(files, logger)
	if err != nil {
		return nil, err
	}
	return &Security{reloader: reloader}, nil
}

// Plaintext returns a Security without authentication or encryption.
func Plaintext() *Security { return &Security{} }

// IsPlaintext reports whether authentication and encryption are off.
func (s *Security) IsPlaintext() bool { return s.reloader == nil }

// Reloader returns the key reloader, which the caller runs; nil with plaintext.
func (s *Security) Reloader() *keys.Reloader { return s.reloader }

// Scheme returns the URL scheme of servers.
func (s *Security) Scheme() string {
	if s.IsPlaintext() {
		return "http"
	}
	return "https"
}

// serverTLS returns a configuration that reads the keys at each handshake.
func (s *Security) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolHTTP2},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := s.reloader.Current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{protocolHTTP2},
				Certificates: []tls.Certificate{current.Certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    current.Authorities,
				// Without this, resumed sessions would outlive replaced keys.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// clientTLS returns the configuration for one handshake with a server at a
// host.
func (s *Security) clientTLS(host string, roles []keys.Role) *tls.Config {
	current := s.reloader.Current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocolHTTP2},
		Certificates: []tls.Certificate{current.Certificate},
		RootCAs:      current.Authorities,
		ServerName:   host,
		VerifyConnection: func(state tls.ConnectionState) error {
			return checkRole(state.PeerCertificates, roles)
		},
	}
}

// ErrWrongRole is returned for a peer whose certificate is of another role.
var ErrWrongRole = errors.New("the peer's certificate is of another role")

func checkRole(chain []*x509.Certificate, roles []keys.Role) error {
	if len(chain) == 0 {
		return errors.Wrap(ErrWrongRole, "no certificate")
	}
	identity, err := keys.IdentityOf(chain[0])
	if err != nil {
		return err
	}
	if len(roles) > 0 && !slices.Contains(roles, identity.Role) {
		return errors.Wrapf(ErrWrongRole, "%s is a %s, not one of %v", identity.Name, identity.Role, roles)
	}
	return nil
}
