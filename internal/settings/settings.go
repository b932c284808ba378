// Package settings loads the settings of a process. A settings struct is flat,
// but for structs that it embeds (tagged koanf:",squash"): every field is at once a key of the YAML file and a command-line option of
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
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/jessevdk/go-flags"
	"github.com/knadh/koanf/parsers/yaml"
	"github.com/knadh/koanf/providers/confmap"
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
	if err := checkKeys(store, target); err != nil {
		return errors.Wrapf(err, "settings file %s", path)
	}
	for _, key := range givenOptions(command, Keys(target)) {
		store.Delete(key)
	}
	return errors.Wrapf(unmarshal(store, target), "settings file %s", path)
}

// Fill sets a settings struct to its defaults and then to the values, by key,
// and validates it. Unknown keys and invalid values are errors.
func Fill(values map[string]any, target any) error {
	if _, err := flags.NewParser(target, flags.None).ParseArgs(nil); err != nil {
		return errors.Wrap(err, "defaults")
	}
	store := koanf.New(keyDivider)
	if err := store.Load(confmap.Provider(values, keyDivider), nil); err != nil {
		return err
	}
	if err := checkKeys(store, target); err != nil {
		return err
	}
	if err := unmarshal(store, target); err != nil {
		return err
	}
	return Validate(target)
}

// checkKeys refuses keys that the settings struct does not have.
func checkKeys(store *koanf.Koanf, target any) error {
	known := Keys(target)
	for _, key := range store.Keys() {
		if !slices.Contains(known, key) {
			return errors.Newf("unknown key %q%s", key, suggestion(key, known))
		}
	}
	return nil
}

func unmarshal(store *koanf.Koanf, target any) error {
	return store.UnmarshalWithConf("", target, koanf.UnmarshalConf{Tag: keyTag, FlatPaths: true})
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
		if key := field.Tag.Get(keyTag); key != "" && !field.Anonymous {
			keys = append(keys, key)
		}
	}
	return keys
}

// Option describes one setting for the reference page.
type Option struct {
	Key         string
	Type        string
	Default     string
	Description string
	Rule        string
}

// Options returns the description of every setting of a struct.
func Options(target any) []Option {
	var options []Option
	for _, field := range reflect.VisibleFields(structType(target)) {
		key := field.Tag.Get(keyTag)
		if key == "" || field.Anonymous {
			continue
		}
		options = append(options, Option{
			Key:         key,
			Type:        typeName(field.Type),
			Default:     field.Tag.Get("default"),
			Description: field.Tag.Get("description"),
			Rule:        field.Tag.Get("validate"),
		})
	}
	return options
}

// typeName names a type as a reader of a settings file would.
func typeName(kind reflect.Type) string {
	switch {
	case kind == reflect.TypeFor[time.Duration]():
		return "duration"
	case kind.Kind() == reflect.Slice:
		return "list of " + typeName(kind.Elem())
	case kind.Kind() == reflect.Bool:
		return "true or false"
	case kind.Kind() == reflect.String:
		return "text"
	default:
		return "number"
	}
}

func structType(target any) reflect.Type {
	kind := reflect.TypeOf(target)
	for kind.Kind() == reflect.Pointer {
		kind = kind.Elem()
	}
	return kind
}

// ErrInvalid marks the errors of Validate.
var ErrInvalid = errors.New("invalid settings")

// DescribeRule words the rule of an Option for the reference page.
func DescribeRule(rule string) string {
	words := map[string]string{
		"required": "required", "ip_port": "IP address with port", "min": "at least ", "max": "at most ", "oneof": "one of ",
	}
	var parts []string
	for _, part := range strings.Split(rule, ",") {
		name, parameter, _ := strings.Cut(part, "=")
		if word, known := words[name]; known {
			parts = append(parts, word+parameter)
		}
	}
	return strings.Join(parts, "; ")
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
	return errors.Mark(errors.Newf("invalid settings: %s", strings.Join(problems, "; ")), ErrInvalid)
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
