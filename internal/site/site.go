// Package site generates, from the description of a deployment (a file that
// lists its machines and their roles), the settings file of every process and
// the script that issues the keys.
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
	// Platform is the address of the platform's machine list. Empty means none.
	Platform string    `koanf:"platform" validate:"omitempty,hostname_port"`
	Machines []Machine `koanf:"machines" validate:"min=1,dive"`
	// Plaintext makes the processes run without TLS keys.
	Plaintext bool `koanf:"insecure-plaintext"`
	// Settings are additional settings by role, applied to every process of it.
	Settings map[string]map[string]any `koanf:"settings" validate:"dive,keys,oneof=control relay router,endkeys"`
}

// Folders are paths on the machines of the site.
type Folders struct {
	// Keys holds the authority's certificate and those of the processes.
	Keys string `koanf:"keys" validate:"required"`
	// Data holds one folder for each process.
	Data string `koanf:"data" validate:"required"`
}

// Ports are the listening ports, the same on every machine.
type Ports struct {
	Control        uint16 `koanf:"control" validate:"min=1"`
	ControlStatus  uint16 `koanf:"control-status" validate:"min=1"`
	ControlMetrics uint16 `koanf:"control-metrics" validate:"min=1"`
	Relay          uint16 `koanf:"relay" validate:"min=1"`
	RelayMetrics   uint16 `koanf:"relay-metrics" validate:"min=1"`
	RouterCallers  uint16 `koanf:"router-callers" validate:"min=1"`
	RouterPeers    uint16 `koanf:"router-peers" validate:"min=1"`
}

// defaultPorts are used for ports that the description does not set.
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
	// Join marks a voter that joins a running group to replace a failed voter.
	Join bool `koanf:"join"`
}

// hasRole reports whether the machine runs a role.
func (m Machine) hasRole(role string) bool { return slices.Contains(m.Roles, role) }

// addressWithPort returns the machine's address with a port.
func (m Machine) addressWithPort(port uint16) string {
	return netip.AddrPortFrom(netip.MustParseAddr(m.Address), port).String()
}

// processName returns the name of the process of a role, as in its certificate.
func (m Machine) processName(role string) string { return m.Name + "-" + role }

// Read reads and validates a site description. Unknown keys are errors.
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
		err = site.validate()
	}
	return site, errors.Wrapf(err, "site description %s", path)
}

// validate returns an error for a description that would not work.
func (s *Site) validate() error {
	err := validator.New(validator.WithRequiredStructEnabled()).Struct(s)
	var invalid validator.ValidationErrors
	if errors.As(err, &invalid) {
		return errors.New(strings.Join(lo.Map(invalid, func(fieldError validator.FieldError, _ int) string {
			return fmt.Sprintf("%s: %v does not satisfy %s", strings.TrimPrefix(fieldError.Namespace(), "Site."), fieldError.Value(), ruleText(fieldError))
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
	return s.validateVoters()
}

func ruleText(fieldError validator.FieldError) string {
	if fieldError.Param() == "" {
		return fieldError.Tag()
	}
	return fieldError.Tag() + "=" + fieldError.Param()
}

// validateVoters requires an id for every control voter and an odd number of
// voters: adding one to an odd number does not let the group survive one more
// failure.
func (s *Site) validateVoters() error {
	for _, machine := range s.Machines {
		if machine.hasRole(RoleControl) != (machine.Voter > 0) {
			return errors.Newf("machine %s: voter, an id from 1, belongs to machines with the role control and to no others", machine.Name)
		}
	}
	controls := s.machinesWithRole(RoleControl)
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

// machinesWithRole returns the machines that run a role.
func (s *Site) machinesWithRole(role string) []Machine {
	return lo.Filter(s.Machines, func(machine Machine, _ int) bool { return machine.hasRole(role) })
}

// listenAddresses returns the addresses of the machines with a port.
func listenAddresses(machines []Machine, port uint16) []string {
	return lo.Map(machines, func(machine Machine, _ int) string { return machine.addressWithPort(port) })
}
