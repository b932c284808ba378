// Package site turns the description of a deployment, one file that names its
// machines and what runs on each, into the settings file of every process and
// the commands that issue their keys.
package site

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/go-viper/mapstructure/v2"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/v2"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/keys"
)

// Roles that a machine of a site can have.
const (
	RoleControl = string(keys.RoleControl)
	RoleRelay   = string(keys.RoleRelay)
	RoleRouter  = string(keys.RoleRouter)
)

// Site describes a deployment.
type Site struct {
	Name    string  `koanf:"name" validate:"required"`
	Folders Folders `koanf:"folders" validate:"required"`
	Ports   Ports   `koanf:"ports"`
	// Platform is the address of the platform's list of machines; none when
	// empty.
	Platform string    `koanf:"platform" validate:"omitempty,hostname_port"`
	Machines []Machine `koanf:"machines" validate:"min=1,dive"`
	// Plaintext makes processes run without keys.
	Plaintext bool `koanf:"insecure-plaintext"`
	// Settings are further settings by role, for every process of the role.
	Settings map[string]map[string]any `koanf:"settings" validate:"dive,keys,oneof=control relay router,endkeys"`
}

// Folders are paths on the machines of the site.
type Folders struct {
	// Keys holds the authority's certificate and those of the processes.
	Keys string `koanf:"keys" validate:"required"`
	// Data holds one folder for each process.
	Data string `koanf:"data" validate:"required"`
}

// Ports are those of every process of a role.
type Ports struct {
	Control        uint16 `koanf:"control" validate:"min=1"`
	ControlStatus  uint16 `koanf:"control-status" validate:"min=1"`
	ControlMetrics uint16 `koanf:"control-metrics" validate:"min=1"`
	Relay          uint16 `koanf:"relay" validate:"min=1"`
	RelayMetrics   uint16 `koanf:"relay-metrics" validate:"min=1"`
	RouterCallers  uint16 `koanf:"router-callers" validate:"min=1"`
	RouterPeers    uint16 `koanf:"router-peers" validate:"min=1"`
}

// defaultPorts are used where a description names no other.
var defaultPorts = Ports{
	Control: 7100, ControlStatus: 7101, ControlMetrics: 7102,
	Relay: 7110, RelayMetrics: 7112,
	RouterCallers: 8080, RouterPeers: 8081,
}

// Machine is a machine of the site with the roles that run on it.
type Machine struct {
	Name    string   `koanf:"name" validate:"required,excludesall=/ "`
	Zone    string   `koanf:"zone" validate:"required"`
	Address string   `koanf:"address" validate:"required,ipv4"`
	Roles   []string `koanf:"roles" validate:"min=1,unique,dive,oneof=control relay router"`
	// Voter is the id of the control voter. An id is never reused.
	Voter uint64 `koanf:"voter"`
	// Join marks a voter that joins a group that runs already, in the place of
	// a lost one.
	Join bool `koanf:"join"`
}

// has reports whether a role runs on the machine.
func (m Machine) has(role string) bool { return slices.Contains(m.Roles, role) }

// at returns the machine's address with a port.
func (m Machine) at(port uint16) string {
	return netip.AddrPortFrom(netip.MustParseAddr(m.Address), port).String()
}

// process is the name of the process of a role, as in its certificate.
func (m Machine) process(role string) string { return m.Name + "-" + role }

// Read reads and checks a description. Unknown keys are errors.
func Read(path string) (*Site, error) {
	store := koanf.New(".")
	if err := store.Load(file.Provider(path), yaml.Parser()); err != nil {
		return nil, errors.Wrapf(err, "site description %s", path)
	}
	site := &Site{Ports: defaultPorts}
	err := store.UnmarshalWithConf("", site, koanf.UnmarshalConf{DecoderConfig: &mapstructure.DecoderConfig{
		TagName: "koanf", Result: site, ErrorUnused: true,
	}})
	if err == nil {
		err = site.check()
	}
	return site, errors.Wrapf(err, "site description %s", path)
}

// check refuses a description that can't work.
func (s *Site) check() error {
	err := validator.New(validator.WithRequiredStructEnabled()).Struct(s)
	var invalid validator.ValidationErrors
	if errors.As(err, &invalid) {
		return errors.New(strings.Join(lo.Map(invalid, func(field validator.FieldError, _ int) string {
			return fmt.Sprintf("%s: %v does not satisfy %s", strings.TrimPrefix(field.Namespace(), "Site."), field.Value(), rule(field))
		}), "; "))
	}
	if err != nil {
		return err
	}
	if name := firstDuplicate(s.Machines, func(machine Machine) string { return machine.Name }); name != "" {
		return errors.Newf("two machines are named %s", name)
	}
	if address := firstDuplicate(s.Machines, func(machine Machine) string { return machine.Address }); address != "" {
		return errors.Newf("two machines have the address %s", address)
	}
	return s.checkVoters()
}

func rule(field validator.FieldError) string {
	if field.Param() == "" {
		return field.Tag()
	}
	return field.Tag() + "=" + field.Param()
}

// checkVoters wants an id for every control and an odd number of them: one
// more voter than an odd number adds no failure that the group survives.
func (s *Site) checkVoters() error {
	for _, machine := range s.Machines {
		if machine.has(RoleControl) != (machine.Voter > 0) {
			return errors.Newf("machine %s: voter, an id from 1, belongs to machines with the role control and to no others", machine.Name)
		}
	}
	controls := s.with(RoleControl)
	if len(controls)%2 == 0 {
		return errors.Newf("%d machines have the role control; there must be an odd number, 3 as a rule", len(controls))
	}
	if lo.EveryBy(controls, func(machine Machine) bool { return machine.Join }) {
		return errors.New("every control joins, so there is no group to join")
	}
	if id := firstDuplicate(controls, func(machine Machine) string { return fmt.Sprint(machine.Voter) }); id != "" {
		return errors.Newf("two machines have the voter id %s", id)
	}
	return nil
}

func firstDuplicate(machines []Machine, property func(Machine) string) string {
	values := lo.Map(machines, func(machine Machine, _ int) string { return property(machine) })
	return lo.FirstOrEmpty(lo.FindDuplicates(values))
}

// with returns the machines that have a role.
func (s *Site) with(role string) []Machine {
	return lo.Filter(s.Machines, func(machine Machine, _ int) bool { return machine.has(role) })
}

// addresses returns where the processes of a role listen.
func addresses(machines []Machine, port uint16) []string {
	return lo.Map(machines, func(machine Machine, _ int) string { return machine.at(port) })
}
