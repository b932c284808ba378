package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// File names in the folder of an authority.
const (
	AuthorityCertificateFile = "authority.crt"
	AuthorityKeyFile         = "authority.key"
	certificateSuffix        = ".crt"
	keySuffix                = ".key"
)

const (
	certificateBlockType = "CERTIFICATE"
	keyBlockType         = "PRIVATE KEY"
	folderMode           = 0o700
	keyMode              = 0o600
	certificateMode      = 0o644
	// serialBits is the size of serial numbers, which must be unpredictable
	// (CA/Browser Forum baseline requirements, 7.1: at least 64 bits).
	serialBits = 127
	// clockSkewTolerance is how far NotBefore is dated back, for machines whose
	// clock is behind.
	clockSkewTolerance = 5 * time.Minute
)

// AuthorityLifetime is how long an authority's certificate is valid.
const AuthorityLifetime = 10 * 365 * 24 * time.Hour

// ErrExists is returned if a file to be written exists already.
var ErrExists = errors.New("file exists already")

// Init creates a certificate authority in a folder. It returns ErrExists if the
// folder has one.
func Init(folder string, now time.Time) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "create the authority's folder")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate the authority's key")
	}
	template, err := newTemplate(now, AuthorityLifetime)
	if err != nil {
		return err
	}
	template.Subject = pkix.Name{CommonName: "martenstage authority"}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return errors.Wrap(err, "sign the authority's certificate")
	}
	return writeKeyPair(keyPair{
		certificatePath: filepath.Join(folder, AuthorityCertificateFile),
		keyPath:         filepath.Join(folder, AuthorityKeyFile),
		certificate:     encoded,
		key:             key,
	})
}

// Request describes a certificate to issue.
type Request struct {
	Name string
	Role Role
	// Addresses are the IP addresses that the holder listens on. Operators need
	// none.
	Addresses []netip.Addr
	Lifetime  time.Duration
	// Replace allows an existing certificate of the same name to be overwritten.
	Replace bool
}

// Issue signs a certificate with the authority in a folder and writes NAME.crt
// and NAME.key to the same folder.
func Issue(folder string, request Request, now time.Time) error {
	if err := request.validate(); err != nil {
		return err
	}
	authority, err := readAuthority(folder)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate a key")
	}
	template, err := newTemplate(now, request.Lifetime)
	if err != nil {
		return err
	}
	template.Subject = pkix.Name{CommonName: request.Name, OrganizationalUnit: []string{string(request.Role)}}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, address := range request.Addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(address.AsSlice()))
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	if err != nil {
		return errors.Wrap(err, "sign the certificate")
	}
	return writeKeyPair(keyPair{
		certificatePath: filepath.Join(folder, request.Name+certificateSuffix),
		keyPath:         filepath.Join(folder, request.Name+keySuffix),
		certificate:     encoded,
		key:             key,
		overwrite:       request.Replace,
	})
}

func (r Request) validate() error {
	switch {
	case r.Name == "" || filepath.Base(r.Name) != r.Name || r.Name+certificateSuffix == AuthorityCertificateFile:
		return errors.Newf("%q can't be the name of a certificate", r.Name)
	case !slices.Contains(Roles(), r.Role):
		return errors.Newf("%q is not a role; roles are %v", r.Role, Roles())
	case r.Lifetime <= 0:
		return errors.Newf("a lifetime of %s is not positive", r.Lifetime)
	}
	return nil
}

func newTemplate(now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		NotBefore:    now.Add(-clockSkewTolerance),
		NotAfter:     now.Add(lifetime),
	}, nil
}

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func readAuthority(folder string) (*authority, error) {
	certificateBytes, err := readPEMBlock(filepath.Join(folder, AuthorityCertificateFile), certificateBlockType)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(certificateBytes)
	if err != nil {
		return nil, errors.Wrap(err, "parse the authority's certificate")
	}
	keyBytes, err := readPEMBlock(filepath.Join(folder, AuthorityKeyFile), keyBlockType)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBytes)
	if err != nil {
		return nil, errors.Wrap(err, "parse the authority's key")
	}
	key, isECDSA := parsed.(*ecdsa.PrivateKey)
	if !isECDSA {
		return nil, errors.Newf("the authority's key is a %T, not an ECDSA key", parsed)
	}
	return &authority{certificate: certificate, key: key}, nil
}

func readPEMBlock(path, blockType string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the authority (created by `martenstage keys init`)")
	}
	block, _ := pem.Decode(content)
	if block == nil || block.Type != blockType {
		return nil, errors.Newf("%s contains no PEM block of type %q", path, blockType)
	}
	return block.Bytes, nil
}

// keyPair is a certificate with its key and the paths to write them to.
type keyPair struct {
	certificatePath, keyPath string
	certificate              []byte
	key                      *ecdsa.PrivateKey
	overwrite                bool
}

func writeKeyPair(pair keyPair) error {
	encodedKey, err := x509.MarshalPKCS8PrivateKey(pair.key)
	if err != nil {
		return errors.Wrap(err, "encode a key")
	}
	if !pair.overwrite {
		for _, path := range []string{pair.keyPath, pair.certificatePath} {
			if _, err := os.Lstat(path); err == nil {
				return errors.Wrap(ErrExists, path)
			}
		}
	}
	// The key is written first: a process that reloads between the two writes
	// reads a key that does not match the certificate and keeps its current pair.
	if err := writePEMFile(pair.keyPath, keyBlockType, encodedKey, keyMode); err != nil {
		return err
	}
	return writePEMFile(pair.certificatePath, certificateBlockType, pair.certificate, certificateMode)
}

// writePEMFile replaces a file atomically, so that readers never see a partial
// one.
func writePEMFile(path, blockType string, content []byte, mode os.FileMode) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return errors.Wrap(err, "create a temporary file")
	}
	defer func() { _ = os.Remove(temporary.Name()) }()
	err = errors.Join(
		temporary.Chmod(mode),
		pem.Encode(temporary, &pem.Block{Type: blockType, Bytes: content}),
		temporary.Sync(),
		temporary.Close(),
	)
	if err != nil {
		return errors.Wrapf(err, "write %s", path)
	}
	return errors.Wrapf(os.Rename(temporary.Name(), path), "write %s", path)
}
