package machinelist

import (
	"bytes"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"github.com/martenstage/martenstage/internal/settings"
)

// scriptDocument is a script in YAML:
//
//	lag: 5s
//	changes:
//	  - {at: 10s, address: "127.1.1.1:7000", state: leaving}
type scriptDocument struct {
	Lag     time.Duration `yaml:"lag"`
	Changes []struct {
		At      time.Duration `yaml:"at"`
		Address string        `yaml:"address"`
		State   State         `yaml:"state"`
	} `yaml:"changes"`
}

// ReadScript reads the lag and the changes of a fake platform from a YAML file.
func ReadScript(path string) (FakePlatformConfig, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return FakePlatformConfig{}, errors.Wrap(err, "script")
	}
	config, err := parseScript(text)
	return config, errors.Wrapf(err, "script %s", path)
}

func parseScript(text []byte) (FakePlatformConfig, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	var document scriptDocument
	if err := decoder.Decode(&document); err != nil && !errors.Is(err, io.EOF) {
		return FakePlatformConfig{}, err
	}
	if document.Lag < 0 {
		return FakePlatformConfig{}, errors.New("lag: must not be negative")
	}
	config := FakePlatformConfig{Lag: document.Lag}
	for index, entry := range document.Changes {
		address, err := settings.ParseAddress(entry.Address)
		if err != nil {
			return FakePlatformConfig{}, errors.Wrapf(err, "change %d", index+1)
		}
		if entry.State != StateLive && entry.State != StateLeaving && entry.State != StateGone {
			return FakePlatformConfig{}, errors.Newf("change %d: unknown state %q", index+1, entry.State)
		}
		if entry.At < 0 {
			return FakePlatformConfig{}, errors.Newf("change %d: at must not be negative", index+1)
		}
		config.Changes = append(config.Changes, Change{At: entry.At, Address: address, State: entry.State})
	}
	return config, nil
}
