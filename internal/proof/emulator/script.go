package emulator

import (
	"bytes"
	"io"
	"maps"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"github.com/martenstage/martenstage/internal/proof/servicetime"
)

// Script is what a run does to its back ends, as read from a YAML file. Parts
// that are left out leave the configuration as it is.
type Script struct {
	// ServiceTimes gives distributions by service; the entry "default" holds
	// for the others.
	ServiceTimes map[string]servicetime.Distribution `yaml:"service_times"`
	Stragglers   *servicetime.Stragglers             `yaml:"stragglers"`
	// ZoneDelays is keyed by two zones with a slash between them.
	ZoneDelays map[string]time.Duration `yaml:"zone_delays"`
	// Rolls are index versions that appear during the run; with Every, again
	// and again.
	Rolls  []RollDocument  `yaml:"rolls"`
	Faults []FaultDocument `yaml:"faults"`

	faults     []Fault
	zoneDelays map[ZonePair]time.Duration
}

// RollDocument is the text form of one or more rolls.
type RollDocument struct {
	Roll `yaml:",inline"`
	// Every repeats the roll until Until, since the start; 0 for once.
	Every time.Duration `yaml:"every"`
	Until time.Duration `yaml:"until"`
}

// defaultService is the key of Script.ServiceTimes for all other services.
const defaultService = "default"

// ReadScript reads a script file. Unknown keys and wrong values are errors
// that name the file and the key or fault.
func ReadScript(path string) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "script")
	}
	script, err := ParseScript(text)
	return script, errors.Wrapf(err, "script %s", path)
}

// ParseScript reads a script from YAML.
func ParseScript(text []byte) (*Script, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	script := &Script{}
	if err := decoder.Decode(script); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	for index := range script.Faults {
		fault, err := script.Faults[index].Fault()
		if err != nil {
			return nil, errors.Wrapf(err, "fault %d", index+1)
		}
		script.faults = append(script.faults, fault)
	}
	script.zoneDelays = map[ZonePair]time.Duration{}
	for pair, delay := range script.ZoneDelays {
		one, other, found := strings.Cut(pair, "/")
		if !found || delay < 0 {
			return nil, errors.Newf("zone delay %q: want two zones with a slash between and a delay that is not negative", pair)
		}
		script.zoneDelays[PairOf(one, other)] = delay
	}
	return script, script.validate()
}

func (s *Script) validate() error {
	for service, distribution := range s.ServiceTimes {
		if distribution.Median <= 0 || distribution.Sigma < 0 {
			return errors.Newf("service time of %s: the median must be positive and sigma not negative", service)
		}
	}
	if s.Stragglers != nil && (!isShare(s.Stragglers.Fraction) || s.Stragglers.Factor <= 0 || s.Stragglers.Period <= 0) {
		return errors.New("stragglers: want a fraction within [0,1], a positive factor and a positive period")
	}
	for index, roll := range s.Rolls {
		if roll.Service == "" || roll.At < 0 || roll.Stagger < 0 || roll.Keep < 0 || roll.Every < 0 {
			return errors.Newf("roll %d: want a service and times that are not negative", index+1)
		}
		if roll.Every > 0 && roll.Until < roll.At {
			return errors.Newf("roll %d: a repeated roll needs until", index+1)
		}
	}
	return nil
}

// Apply returns a configuration with the script in it.
func (s *Script) Apply(config Config) Config {
	config.Model.Services = maps.Clone(config.Model.Services)
	if config.Model.Services == nil {
		config.Model.Services = map[string]servicetime.Distribution{}
	}
	for service, distribution := range s.ServiceTimes {
		if service == defaultService {
			config.Model.Default = distribution
			continue
		}
		config.Model.Services[service] = distribution
	}
	if s.Stragglers != nil {
		config.Model.Stragglers = *s.Stragglers
	}
	if len(s.zoneDelays) > 0 {
		config.ZoneDelays = s.zoneDelays
	}
	for _, document := range s.Rolls {
		config.Rolls = append(config.Rolls, document.expand()...)
	}
	config.Script = append(config.Script, s.faults...)
	return config
}

// expand returns the rolls of a repeated roll.
func (d RollDocument) expand() []Roll {
	rolls := []Roll{d.Roll}
	if d.Every <= 0 {
		return rolls
	}
	for next := d.At + d.Every; next <= d.Until; next += d.Every {
		repeated := d.Roll
		repeated.At = next
		rolls = append(rolls, repeated)
	}
	return rolls
}
