package emulator

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/settings"
)

// FaultDocument is the text form of a Fault, in scripts and on the
// administration listener. Times are written as in 500ms or 2s.
type FaultDocument struct {
	ID          string           `yaml:"id" json:"id,omitempty" doc:"Name of the fault; given when empty"`
	What        string           `yaml:"what" json:"what" doc:"Kind of fault" enum:"slow,pause,crash,drain,cold,shed,error,reset_reply,reset_request,wrong_echo,health_lag,health_frozen,health_lie,connection_limit"`
	Servers     SelectorDocument `yaml:"servers" json:"servers,omitempty" doc:"The servers it hits; all when empty"`
	At          string           `yaml:"at" json:"at,omitempty" doc:"When it begins, since the start of the fleet; scripts only"`
	For         string           `yaml:"for" json:"for,omitempty" doc:"How long it lasts; until it is cleared when empty"`
	Fraction    float64          `yaml:"fraction" json:"fraction,omitempty" minimum:"0" maximum:"1" doc:"Share of the queries that are hit; all when 0"`
	Factor      float64          `yaml:"factor" json:"factor,omitempty" doc:"slow: multiplies service times"`
	Byte        int              `yaml:"byte" json:"byte,omitempty" doc:"reset_reply, reset_request: bytes before the reset"`
	Field       string           `yaml:"field" json:"field,omitempty" doc:"wrong_echo: what is falsified"`
	Delay       string           `yaml:"delay" json:"delay,omitempty" doc:"health_lag: age of the report"`
	State       string           `yaml:"state" json:"state,omitempty" doc:"health_lie: the state claimed"`
	Connections int              `yaml:"connections" json:"connections,omitempty" doc:"connection_limit: the limit"`
}

// SelectorDocument is the text form of a Selector.
type SelectorDocument struct {
	Service  string  `yaml:"service" json:"service,omitempty"`
	Group    string  `yaml:"group" json:"group,omitempty"`
	Zone     string  `yaml:"zone" json:"zone,omitempty"`
	Address  string  `yaml:"address" json:"address,omitempty"`
	Fraction float64 `yaml:"fraction" json:"fraction,omitempty" minimum:"0" maximum:"1" doc:"Share of the servers chosen so far"`
}

// Fault returns the fault that the document describes.
func (d *FaultDocument) Fault() (Fault, error) {
	fault := Fault{
		ID: d.ID, Kind: FaultKind(d.What), Fraction: d.Fraction, Factor: d.Factor, Byte: d.Byte,
		Field: EchoField(d.Field), State: backendapi.ReadyState(d.State), Connections: d.Connections,
		Servers: Selector{Service: d.Servers.Service, Group: d.Servers.Group, Zone: d.Servers.Zone,
			Fraction: d.Servers.Fraction},
	}
	var err error
	if d.Servers.Address != "" {
		if fault.Servers.Address, err = settings.ParseAddress(d.Servers.Address); err != nil {
			return fault, errors.Wrap(err, "address")
		}
	}
	for _, entry := range []struct {
		name, text string
		target     *time.Duration
	}{{"at", d.At, &fault.At}, {"for", d.For, &fault.For}, {"delay", d.Delay, &fault.Delay}} {
		if *entry.target, err = parseDuration(entry.name, entry.text); err != nil {
			return fault, err
		}
	}
	return fault, fault.validate()
}

// documentOf returns the text form of a fault.
func documentOf(fault *Fault) FaultDocument {
	return FaultDocument{
		ID: fault.ID, What: string(fault.Kind), Fraction: fault.Fraction, Factor: fault.Factor,
		Byte: fault.Byte, Field: string(fault.Field), State: string(fault.State),
		Connections: fault.Connections, For: durationText(fault.For), Delay: durationText(fault.Delay),
		Servers: SelectorDocument{Service: fault.Servers.Service, Group: fault.Servers.Group,
			Zone: fault.Servers.Zone, Address: addressText(fault.Servers.Address), Fraction: fault.Servers.Fraction},
	}
}

// parseDuration reads a duration; no text is no duration.
func parseDuration(name, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < 0 {
		return 0, errors.Newf("%s: %q is not a duration such as 500ms", name, text)
	}
	return duration, nil
}

func durationText(duration time.Duration) string {
	if duration == 0 {
		return ""
	}
	return duration.String()
}

func addressText(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}
