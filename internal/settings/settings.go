// Package settings loads the settings of a process. A settings struct is flat,
// except for embedded structs (tagged koanf:",squash"). Each field is both a key
// of the YAML file and a command-line option of the same name, declared by one
// set of struct tags:
//
//	Listen string `long:"listen" koanf:"listen" default:"127.0.0.1:0" validate:"ip_port" description:"…"`
//
// The file overrides the defaults, and the command line overrides the file.
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
	keyTag       = "koanf"
	keyDelimiter = "\x00" // keys are flat, so the delimiter must not occur in a key
)

// Load reads the YAML file at path into target and validates it. Target is a
// pointer to a settings struct whose options command has already parsed; options
// set on the command line take precedence over the file. An empty path means no
// file. Unknown keys and invalid values are errors that name the key.
func Load(path string, command *flags.Command, target any) error {
	if path != "" {
		if err := loadFile(path, command, target); err != nil {
			return err
		}
	}
	return Validate(target)
}

func loadFile(path string, command *flags.Command, target any) error {
	store := koanf.New(keyDelimiter)
	if err := store.Load(file.Provider(path), yaml.Parser()); err != nil {
		if errors.Is(err, os.ErrNotExist) {
			return errors.Newf("settings file %s does not exist", path)
		}
		return errors.Wrapf(err, "settings file %s", path)
	}
	if err := rejectUnknownKeys(store, target); err != nil {
		return errors.Wrapf(err, "settings file %s", path)
	}
	for _, key := range commandLineKeys(command, Keys(target)) {
		store.Delete(key)
	}
	return errors.Wrapf(unmarshal(store, target), "settings file %s", path)
}

// Fill sets a settings struct to its defaults, applies the values, which are
// indexed by key, and validates the result. Unknown keys and invalid values are
// errors.
func Fill(values map[string]any, target any) error {
	if _, err := flags.NewParser(target, flags.None).ParseArgs(nil); err != nil {
		return errors.Wrap(err, "defaults")
	}
	store := koanf.New(keyDelimiter)
	if err := store.Load(confmap.Provider(values, keyDelimiter), nil); err != nil {
		return err
	}
	if err := rejectUnknownKeys(store, target); err != nil {
		return err
	}
	if err := unmarshal(store, target); err != nil {
		return err
	}
	return Validate(target)
}

// rejectUnknownKeys returns an error if the store has a key that the settings
// struct lacks.
func rejectUnknownKeys(store *koanf.Koanf, target any) error {
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

// commandLineKeys returns the keys that were set on the command line.
func commandLineKeys(command *flags.Command, known []string) []string {
	if command == nil {
		return nil
	}
	var set []string
	for _, key := range known {
		option := command.FindOptionByLongName(key)
		if option != nil && option.IsSet() && !option.IsSetDefault() {
			set = append(set, key)
		}
	}
	return set
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

// Option describes one setting for the reference documentation.
type Option struct {
	Key         string
	Type        string
	Default     string
	Description string
	Rule        string
}

// Options describes every setting of a settings struct.
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

// typeName returns the name that the reference documentation uses for a type.
func typeName(valueType reflect.Type) string {
	switch {
	case valueType == reflect.TypeFor[time.Duration]():
		return "duration"
	case valueType.Kind() == reflect.Slice:
		return "list of " + typeName(valueType.Elem())
	case valueType.Kind() == reflect.Bool:
		return "true or false"
	case valueType.Kind() == reflect.String:
		return "text"
	default:
		return "number"
	}
}

func structType(target any) reflect.Type {
	targetType := reflect.TypeOf(target)
	for targetType.Kind() == reflect.Pointer {
		targetType = targetType.Elem()
	}
	return targetType
}

// ErrInvalid marks the errors of Validate.
var ErrInvalid = errors.New("invalid settings")

// DescribeRule renders the validation rule of an Option as text for the
// reference documentation.
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

// Validate checks a settings struct against its validate tags. In addition to
// the library's rules it supports ip_port, an IPv4 address with a port; a list
// of them uses "dive,ip_port".
func Validate(target any) error {
	err := newValidator().Struct(target)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return err
	}
	problems := make([]string, 0, len(invalid))
	for _, fieldError := range invalid {
		problems = append(problems, describeFieldError(fieldError))
	}
	return errors.Mark(errors.Newf("invalid settings: %s", strings.Join(problems, "; ")), ErrInvalid)
}

func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get(keyTag) })
	mustRegister(validate, "ip_port", func(level validator.FieldLevel) bool {
		_, err := ParseAddress(level.Field().String())
		return err == nil
	})
	return validate
}

func mustRegister(validate *validator.Validate, name string, rule validator.Func) {
	if err := validate.RegisterValidation(name, rule); err != nil {
		panic(err) // only for a malformed rule name, which is a programming error
	}
}

func describeFieldError(fieldError validator.FieldError) string {
	value := fmt.Sprintf("%v", fieldError.Value())
	if fieldError.Tag() == "ip_port" {
		_, err := ParseAddress(value)
		return fmt.Sprintf("%s: %v", fieldError.Field(), err)
	}
	rule := fieldError.Tag()
	if fieldError.Param() != "" {
		rule += "=" + fieldError.Param()
	}
	return fmt.Sprintf("%s: %q does not satisfy %s", fieldError.Field(), value, rule)
}
