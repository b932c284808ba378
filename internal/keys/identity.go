package keys

import (
	"crypto/x509"
	"slices"

	"github.com/cockroachdb/errors"
)

// Role says what the holder of a certificate may call and serve.
type Role string

// Roles.
const (
	RoleControl  Role = "control"
	RoleRelay    Role = "relay"
	RoleRouter   Role = "router"
	RoleOperator Role = "operator"
	// RolePlatform is the platform's list of machines.
	RolePlatform Role = "platform"
)

// Roles lists the roles that certificates are issued for.
func Roles() []Role {
	return []Role{RoleControl, RoleRelay, RoleRouter, RoleOperator, RolePlatform}
}

// Identity is who a verified certificate belongs to.
type Identity struct {
	Name string
	Role Role
}

// ErrNoIdentity is returned for a certificate that names no holder or role.
var ErrNoIdentity = errors.New("the certificate names no holder or no known role")

// IdentityOf reads the holder and role of a certificate. The caller must have
// verified the certificate.
func IdentityOf(certificate *x509.Certificate) (Identity, error) {
	units := certificate.Subject.OrganizationalUnit
	if certificate.Subject.CommonName == "" || len(units) != 1 || !slices.Contains(Roles(), Role(units[0])) {
		return Identity{}, errors.Wrapf(ErrNoIdentity, "subject %q", certificate.Subject)
	}
	return Identity{Name: certificate.Subject.CommonName, Role: Role(units[0])}, nil
}
