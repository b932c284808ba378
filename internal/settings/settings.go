// Package settings loads the settings of a process. A settings struct is flat:
// every field is at once a key of the YAML file and a command-line option of
// the same name, so one struct tag set describes both:
//
//	Listen string `long:"listen" koanf:"listen" default:"127.0.0.1:0" validate:"ip_port" description:"…"`
//
// Precedence is default, then file, then command line.
package settings

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/jessevdk/go-flags"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/file"
	"github.com/knadh/koanf/v2"
)

const (
	keyTag     = "koanf"
	keyDivider = "\x00" // keys are flat; no character of a key divides it
)

// Load fills target, a pointer to a settings struct whose options were just
// parsed by command, from the YAML file at path. Options that were given on
// the command line win over the file. An empty path means no file. Unknown
// keys and invalid values are errors that name the key.
func Load(path string, command *flags.Command, target any) error {
	if path != "" {
		if err := loadFile(path, command, target); err != nil {
			return err
		}
	}
	return Validate(target)
}

func loadFile(path string, command *flags.Command, target any) error {
	store := koanf.New(keyDivider)
	if err := store.Load(file.Provider(path), yaml.Parser()); err != nil {
		if errors.Is(err, os.ErrNotExist) {
			return errors.Newf("settings file %s does not exist", path)
		}
		return errors.Wrapf(err, "settings file %s", path)
	}
	known := Keys(target)
	for _, key := range store.Keys() {
		if !slices.Contains(known, key) {
			return errors.Newf("settings file %s: unknown key %q%s", path, key, suggestion(key, known))
		}
	}
	for _, key := range givenOptions(command, known) {
		store.Delete(key)
	}
	err := store.UnmarshalWithConf("", target, koanf.UnmarshalConf{Tag: keyTag, FlatPaths: true})
	return errors.Wrapf(err, "settings file %s", path)
}

// givenOptions returns the keys that were set on the command line.
func givenOptions(command *flags.Command, known []string) []string {
	if command == nil {
		return nil
	}
	var given []string
	for _, key := range known {
		option := command.FindOptionByLongName(key)
		if option != nil && option.IsSet() && !option.IsSetDefault() {
			given = append(given, key)
		}
	}
	return given
}

// Keys returns the keys of a settings struct in field order.
func Keys(target any) []string {
	var keys []string
	for _, field := range reflect.VisibleFields(structType(target)) {
		if key := field.Tag.Get(keyTag); key != "" {
			keys = append(keys, key)
		}
	}
	return keys
}

// Option describes one setting for the reference page.
type Option struct {
	Key         string
	Default     string
	Description string
	Rule        string
}

// Options returns the description of every setting of a struct.
func Options(target any) []Option {
	var options []Option
	for _, field := range reflect.VisibleFields(structType(target)) {
		key := field.Tag.Get(keyTag)
		if key == "" {
			continue
		}
		options = append(options, Option{
			Key:         key,
			Default:     field.Tag.Get("default"),
			Description: field.Tag.Get("description"),
			Rule:        field.Tag.Get("validate"),
		})
	}
	return options
}

func structType(target any) reflect.Type {
	kind := reflect.TypeOf(target)
	for kind.Kind() == reflect.Pointer {
		kind = kind.Elem()
	}
	return kind
}

// Validate checks the validate tags of a settings struct. Besides the
// library's rules it knows ip_port (an IPv4 address with a port) and ip_ports
// (a list of them).
func Validate(target any) error {
	err := newValidator().Struct(target)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return err
	}
	problems := make([]string, 0, len(invalid))
	for _, field := range invalid {
		problems = append(problems, describe(field))
	}
	return errors.Newf("invalid settings: %s", strings.Join(problems, "; "))
}

func newValidator() *validator.Validate {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get(keyTag) })
	mustRegister(checker, "ip_port", func(level validator.FieldLevel) bool {
		_, err := ParseAddress(level.Field().String())
		return err == nil
	})
	return checker
}

func mustRegister(checker *validator.Validate, name string, rule validator.Func) {
	if err := checker.RegisterValidation(name, rule); err != nil {
		panic(err) // only for a malformed rule name, which is a programming error
	}
}

func describe(field validator.FieldError) string {
	value := fmt.Sprintf("%v", field.Value())
	if field.Tag() == "ip_port" {
		_, err := ParseAddress(value)
		return fmt.Sprintf("%s: %v", field.Field(), err)
	}
	rule := field.Tag()
	if field.Param() != "" {
		rule += "=" + field.Param()
	}
	return fmt.Sprintf("%s: %q does not satisfy %s", field.Field(), value, rule)
}
