package keys

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// ReloadInterval is how often the files are checked for changes. Polling works
// the same for files that are replaced, linked or mounted.
const ReloadInterval = 2 * time.Second

// Files are the paths of a process's certificate, key and authority.
type Files struct {
	// Authority is the certificate of the site's authority. The file may hold
	// several, so that an authority can be replaced without downtime.
	Authority   string
	Certificate string
	Key         string
}

// Material is a certificate with its key and authorities, loaded together.
type Material struct {
	Certificate tls.Certificate
	Authorities *x509.CertPool
	Identity    Identity
}

// Reloader holds the most recent keys that were loaded successfully. Open
// connections keep the keys of their handshake; new handshakes use the new ones.
type Reloader struct {
	files   Files
	logger  logrus.FieldLogger
	current atomic.Pointer[Material]
	digest  []byte
}

// NewReloader loads the files. It returns an error if they are incomplete, not
// valid at this time, or not signed by the authority.
func NewReloader(files Files, logger logrus.FieldLogger) (*Reloader, error) {
	reloader := &Reloader{files: files, logger: logger}
	if err := reloader.Reload(); err != nil {
		return nil, err
	}
	return reloader, nil
}

// Current returns the keys to use for a new handshake.
func (r *Reloader) Current() *Material { return r.current.Load() }

// Run reloads changed files until the context is canceled. If they can't be used,
// it logs the first of consecutive failures and keeps the current keys.
func (r *Reloader) Run(ctx context.Context) {
	ticker := time.NewTicker(ReloadInterval)
	defer ticker.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		err := r.Reload()
		if err != nil && !failing {
			r.logger.WithField("reason", err).Warn("the keys can't be reloaded; the old ones stay in use")
		}
		failing = err != nil
	}
}

// Reload reads the files and, if they changed, replaces the current keys. It must
// not be called concurrently.
func (r *Reloader) Reload() error {
	files, err := r.files.read()
	if err != nil {
		return err
	}
	digest := files.digest()
	if bytes.Equal(digest, r.digest) {
		return nil
	}
	material, err := files.parse()
	if err != nil {
		return err
	}
	r.digest = digest
	r.current.Store(material)
	r.logger.WithFields(logrus.Fields{
		"name": material.Identity.Name, "role": material.Identity.Role,
		"not_after": material.Certificate.Leaf.NotAfter.Format(time.RFC3339),
	}).Info("keys loaded")
	return nil
}

type pemFiles struct{ authority, certificate, key []byte }

func (f Files) read() (pemFiles, error) {
	authority, err := os.ReadFile(f.Authority)
	if err != nil {
		return pemFiles{}, errors.Wrap(err, "read the authority's certificate")
	}
	certificate, err := os.ReadFile(f.Certificate)
	if err != nil {
		return pemFiles{}, errors.Wrap(err, "read the certificate")
	}
	key, err := os.ReadFile(f.Key)
	if err != nil {
		return pemFiles{}, errors.Wrap(err, "read the key")
	}
	return pemFiles{authority: authority, certificate: certificate, key: key}, nil
}

func (t pemFiles) digest() []byte {
	hash := sha256.New()
	for _, content := range [][]byte{t.authority, t.certificate, t.key} {
		sum := sha256.Sum256(content)
		hash.Write(sum[:])
	}
	return hash.Sum(nil)
}

func (t pemFiles) parse() (*Material, error) {
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(t.authority) {
		return nil, errors.New("the authority's file contains no certificate")
	}
	certificate, err := tls.X509KeyPair(t.certificate, t.key)
	if err != nil {
		return nil, errors.Wrap(err, "certificate and key")
	}
	_, err = certificate.Leaf.Verify(x509.VerifyOptions{
		Roots:     authorities,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return nil, errors.Wrap(err, "the certificate is not of this site")
	}
	identity, err := IdentityOf(certificate.Leaf)
	if err != nil {
		return nil, err
	}
	return &Material{Certificate: certificate, Authorities: authorities, Identity: identity}, nil
}
