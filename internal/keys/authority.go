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

// Files of an authority's folder.
const (
	AuthorityCertificateFile = "authority.crt"
	AuthorityKeyFile         = "authority.key"
	certificateSuffix        = ".crt"
	keySuffix                = ".key"
)

const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
	folderMode       = 0o700
	keyMode          = 0o600
	certificateMode  = 0o644
	// serialBits is the size of serial numbers, which must not be guessable
	// (CA/Browser Forum baseline requirements, 7.1: at least 64 bits).
	serialBits = 127
	// clockTolerance dates certificates back, for machines whose clock is late.
	clockTolerance = 5 * time.Minute
)

// AuthorityLifetime is how long an authority's certificate is valid.
const AuthorityLifetime = 10 * 365 * 24 * time.Hour

// ErrExists is returned when a file that would be written is already there.
var ErrExists = errors.New("the file exists already")

// Init makes a new authority in a folder. It refuses to replace one.
func Init(folder string, now time.Time) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "make the folder of the authority")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "make the key of the authority")
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
		return errors.Wrap(err, "sign the authority")
	}
	return writePair(pair{
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
	// Addresses are the IP addresses that the holder serves at. Operators need
	// none.
	Addresses []netip.Addr
	Lifetime  time.Duration
	// Replace allows a certificate of the same name to be written over.
	Replace bool
}

// Issue signs a certificate with the authority of a folder and writes NAME.crt
// and NAME.key beside it.
func Issue(folder string, request Request, now time.Time) error {
	if err := request.check(); err != nil {
		return err
	}
	authority, err := readAuthority(folder)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "make a key")
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
	return writePair(pair{
		certificatePath: filepath.Join(folder, request.Name+certificateSuffix),
		keyPath:         filepath.Join(folder, request.Name+keySuffix),
		certificate:     encoded,
		key:             key,
		replace:         request.Replace,
	})
}

func (r Request) check() error {
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
		return nil, errors.Wrap(err, "draw a serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     now.Add(lifetime),
	}, nil
}

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func readAuthority(folder string) (*authority, error) {
	certificateBytes, err := readBlock(filepath.Join(folder, AuthorityCertificateFile), certificateBlock)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(certificateBytes)
	if err != nil {
		return nil, errors.Wrap(err, "parse the authority's certificate")
	}
	keyBytes, err := readBlock(filepath.Join(folder, AuthorityKeyFile), keyBlock)
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

func readBlock(path, kind string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the authority (made by `martenstage keys init`)")
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != kind {
		return nil, errors.Newf("%s holds no PEM block %q", path, kind)
	}
	return block.Bytes, nil
}

// pair is a certificate with its key and the files that they go to.
type pair struct {
	certificatePath, keyPath string
	certificate              []byte
	key                      *ecdsa.PrivateKey
	replace                  bool
}

func writePair(written pair) error {
	encodedKey, err := x509.MarshalPKCS8PrivateKey(written.key)
	if err != nil {
		return errors.Wrap(err, "encode a key")
	}
	if !written.replace {
		for _, path := range []string{written.keyPath, written.certificatePath} {
			if _, err := os.Lstat(path); err == nil {
				return errors.Wrap(ErrExists, path)
			}
		}
	}
	// The key goes first: a process that reloads between the two writes finds
	// a pair that does not match and keeps the one that it has.
	if err := writeFile(written.keyPath, keyBlock, encodedKey, keyMode); err != nil {
		return err
	}
	return writeFile(written.certificatePath, certificateBlock, written.certificate, certificateMode)
}

// writeFile replaces a file as a whole, so that no reader sees half of it.
func writeFile(path, kind string, content []byte, mode os.FileMode) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return errors.Wrap(err, "make a file")
	}
	defer func() { _ = os.Remove(temporary.Name()) }()
	err = errors.Join(
		temporary.Chmod(mode),
		pem.Encode(temporary, &pem.Block{Type: kind, Bytes: content}),
		temporary.Sync(),
		temporary.Close(),
	)
	if err != nil {
		return errors.Wrapf(err, "write %s", path)
	}
	return errors.Wrapf(os.Rename(temporary.Name(), path), "write %s", path)
}
