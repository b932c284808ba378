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

// ReloadInterval is how often files are looked at for changes. Polling works
// alike for files that are replaced, linked or mounted.
const ReloadInterval = 2 * time.Second

// Files names the files of a process's keys.
type Files struct {
	// Authority is the certificate of the site's authority. It may hold
	// several, so that an authority can be replaced without a stop.
	Authority   string
	Certificate string
	Key         string
}

// Material is a set of keys that was read together.
type Material struct {
	Certificate tls.Certificate
	Authorities *x509.CertPool
	Identity    Identity
}

// Reloader holds the newest keys that could be read. Connections keep the keys
// that they were opened with; only new handshakes use new ones.
type Reloader struct {
	files   Files
	logger  logrus.FieldLogger
	current atomic.Pointer[Material]
	digest  []byte
}

// NewReloader reads the files. It returns an error if they are not whole, not
// valid now, or not signed by the authority.
func NewReloader(files Files, logger logrus.FieldLogger) (*Reloader, error) {
	reloader := &Reloader{files: files, logger: logger}
	if err := reloader.Reload(); err != nil {
		return nil, err
	}
	return reloader, nil
}

// Current returns the keys to use for a new handshake.
func (r *Reloader) Current() *Material { return r.current.Load() }

// Run looks at the files until the context ends. Files that can't be used are
// logged and the keys in use are kept.
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

// Reload reads the files again if they changed. It must not be called
// concurrently with itself.
func (r *Reloader) Reload() error {
	texts, err := r.files.read()
	if err != nil {
		return err
	}
	digest := texts.digest()
	if bytes.Equal(digest, r.digest) {
		return nil
	}
	material, err := texts.parse()
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

type texts struct{ authority, certificate, key []byte }

func (f Files) read() (texts, error) {
	authority, err := os.ReadFile(f.Authority)
	if err != nil {
		return texts{}, errors.Wrap(err, "read the authority's certificate")
	}
	certificate, err := os.ReadFile(f.Certificate)
	if err != nil {
		return texts{}, errors.Wrap(err, "read the certificate")
	}
	key, err := os.ReadFile(f.Key)
	if err != nil {
		return texts{}, errors.Wrap(err, "read the key")
	}
	return texts{authority: authority, certificate: certificate, key: key}, nil
}

func (t texts) digest() []byte {
	hash := sha256.New()
	for _, text := range [][]byte{t.authority, t.certificate, t.key} {
		sum := sha256.Sum256(text)
		hash.Write(sum[:])
	}
	return hash.Sum(nil)
}

func (t texts) parse() (*Material, error) {
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(t.authority) {
		return nil, errors.New("the authority's file holds no certificate")
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
