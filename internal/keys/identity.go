package keys

import (
	"crypto/x509"
	"slices"

	"github.com/cockroachdb/errors"
)

// Role determines what the holder of a certificate may call and serve.
type Role string

// Roles.
const (
	RoleControl  Role = "control"
	RoleRelay    Role = "relay"
	RoleRouter   Role = "router"
	RoleOperator Role = "operator"
	// RolePlatform is the role of the platform's machine list service.
	RolePlatform Role = "platform"
)

// Roles returns the roles that certificates are issued for.
func Roles() []Role {
	return []Role{RoleControl, RoleRelay, RoleRouter, RoleOperator, RolePlatform}
}

// Identity is the holder of a verified certificate.
type Identity struct {
	Name string
	Role Role
}

// ErrNoIdentity is returned for a certificate without a holder or a known role.
var ErrNoIdentity = errors.New("certificate has no common name or no known role")

// IdentityOf returns the holder and role in a certificate, which the caller must
// have verified.
func IdentityOf(certificate *x509.Certificate) (Identity, error) {
	units := certificate.Subject.OrganizationalUnit
	if certificate.Subject.CommonName == "" || len(units) != 1 || !slices.Contains(Roles(), Role(units[0])) {
		return Identity{}, errors.Wrapf(ErrNoIdentity, "subject %q", certificate.Subject)
	}
	return Identity{Name: certificate.Subject.CommonName, Role: Role(units[0])}, nil
}
