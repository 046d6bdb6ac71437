package settings

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/burdockwood/burdockwood/internal/config/suggest"
)

const (
	// EnvironmentPrefix starts the name of each environment variable that
	// is a setting.
	EnvironmentPrefix = "BURDOCKWOOD_"

	flagPrefix    = "--"
	endOfFlags    = "--"
	sourceDefault = "default"
	sourceFlag    = "flag"
)

type (
	// Problem is one mistake in the settings.
	Problem struct {
		// Setting is the flag or environment variable at fault.
		Setting string
		Text    string
		Fix     string
	}

	// Problems are all mistakes that were found.
	Problems []Problem

	// Value is one setting after parsing.
	Value struct {
		Name string
		Text string
		// Source is "flag", "default" or the name of an environment
		// variable.
		Source string
	}

	// Parsed tells what was read.
	Parsed struct {
		// Values are the settings in the order of the struct.
		Values []Value
		// Arguments are those that are not flags.
		Arguments []string
	}

	// source reads flags and variables into one options struct.
	source struct {
		parser *flags.Parser
		faults Problems
		// kept holds the arguments without fault.
		kept []string
		// from tells where an option was set, by its long name.
		from map[string]string
		rest []string
	}
)

// String returns the fault on one line.
func (f Problem) String() string {
	text := f.Setting + ": " + f.Text
	if f.Fix != "" {
		text += " (" + f.Fix + ")"
	}
	return text
}

// Error returns all faults, one a line.
func (f Problems) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error; nil if there are none.
func (f Problems) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// With returns the faults and those of further that are about other settings.
func (f Problems) With(further Problems) Problems {
	all := slices.Clone(f)
	for _, fault := range further {
		isKnown := slices.ContainsFunc(f, func(known Problem) bool { return known.Setting == fault.Setting })
		if !isKnown {
			all = append(all, fault)
		}
	}
	return all
}

// Parse fills options, a pointer to a struct with go-flags' tags, from
// arguments and from environment variables written "NAME=value". It reports
// unknown flags, unknown variables with EnvironmentPrefix and malformed
// values.
func Parse(options any, args, environment []string) (*Parsed, Problems) {
	s := newSource(options)
	s.arguments(options, args)
	s.environment(options, environment)
	if _, err := s.parser.ParseArgs(s.kept); err != nil {
		s.faults = append(s.faults, Problem{Setting: "arguments", Text: err.Error()})
	}
	return &Parsed{Values: s.values(), Arguments: s.rest}, s.faults
}

// Print writes the settings with their sources, tab-separated.
func Print(w io.Writer, parsed *Parsed) error {
	for _, v := range parsed.Values {
		if _, err := fmt.Fprintf(w, "%s\t%s\t%s\n", v.Name, v.Text, v.Source); err != nil {
			return err
		}
	}
	return nil
}

// Options returns the options of a struct with go-flags' tags.
func Options(options any) []*flags.Option {
	parser := flags.NewParser(options, flags.None)
	return parserOptions(parser)
}

func newSource(options any) *source {
	parser := flags.NewParser(options, flags.PassDoubleDash|flags.AllowBoolValues)
	for _, option := range parserOptions(parser) {
		// Variables are read by this package, which can be given others
		// than those of the process.
		option.EnvDefaultKey = ""
	}
	return &source{parser: parser, from: make(map[string]string)}
}

// arguments takes the arguments apart and keeps those without fault.
func (s *source) arguments(options any, args []string) {
	for len(args) > 0 {
		if args[0] == endOfFlags {
			s.rest = append(s.rest, args[1:]...)
			return
		}
		if len(args[0]) < 2 || args[0][0] != '-' {
			s.rest = append(s.rest, args[0])
			args = args[1:]
			continue
		}
		option := s.find(args[0])
		if option == nil {
			s.unknownFlag(args[0])
			args = args[1:]
			continue
		}
		unit := args[:min(len(args), unitLength(option, args[0]))]
		args = args[len(unit):]
		if s.try(options, flagPrefix+option.LongName, unit) {
			s.kept = append(s.kept, unit...)
		}
		s.from[option.LongName] = sourceFlag
	}
}

// environment adds the variables of options that no flag sets.
func (s *source) environment(options any, environment []string) {
	keys := environmentKeys(options)
	known := knownVariables(options)
	for _, entry := range environment {
		name, value, _ := strings.Cut(entry, "=")
		// An empty variable counts as not set.
		if !strings.HasPrefix(name, EnvironmentPrefix) || value == "" {
			continue
		}
		if !slices.Contains(known, name) {
			s.faults = append(s.faults, Problem{Setting: name, Text: "is not a known environment variable", Fix: didYouMean(name, known)})
			continue
		}
		option, ok := keys[name]
		if !ok || s.from[option.LongName] != "" {
			continue
		}
		unit := variableUnit(option, value)
		if s.try(options, name, unit) {
			s.kept = append(s.kept, unit...)
		}
		s.from[option.LongName] = name
	}
}

// try parses some arguments into a scratch struct and notes a fault.
func (s *source) try(options any, setting string, unit []string) bool {
	scratch := reflect.New(reflect.TypeOf(options).Elem()).Interface()
	_, err := newSource(scratch).parser.ParseArgs(unit)
	if err == nil {
		return true
	}
	s.faults = append(s.faults, Problem{Setting: setting, Text: valueText(err), Fix: valueFix(scratch, unit[0])})
	return false
}

func (s *source) find(arg string) *flags.Option {
	if name, ok := strings.CutPrefix(arg, flagPrefix); ok {
		name, _, _ = strings.Cut(name, "=")
		return s.parser.FindOptionByLongName(name)
	}
	return s.parser.FindOptionByShortName(rune(arg[1]))
}

func (s *source) unknownFlag(arg string) {
	name, _, _ := strings.Cut(arg, "=")
	var known []string
	for _, option := range parserOptions(s.parser) {
		known = append(known, flagPrefix+option.LongName)
	}
	s.faults = append(s.faults, Problem{Setting: name, Text: "is not a known flag", Fix: didYouMean(name, known)})
}

// values lists the settings after parsing.
func (s *source) values() []Value {
	var values []Value
	for _, option := range parserOptions(s.parser) {
		from := s.from[option.LongName]
		if from == "" {
			from = sourceDefault
		}
		values = append(values, Value{Name: option.LongName, Text: valueOf(option), Source: from})
	}
	return values
}

func parserOptions(parser *flags.Parser) []*flags.Option {
	var options []*flags.Option
	for _, group := range parser.Groups() {
		options = append(options, groupOptions(group)...)
	}
	return options
}

func groupOptions(group *flags.Group) []*flags.Option {
	options := group.Options()
	for _, inner := range group.Groups() {
		options = append(options, groupOptions(inner)...)
	}
	return options
}

// unitLength returns the number of arguments that an option takes up.
func unitLength(option *flags.Option, arg string) int {
	isShort := !strings.HasPrefix(arg, flagPrefix)
	if isBool(option) || strings.Contains(arg, "=") || isShort && len(arg) > 2 {
		return 1
	}
	return 2
}

func variableUnit(option *flags.Option, value string) []string {
	values := []string{value}
	if option.EnvDefaultDelim != "" {
		values = strings.Split(value, option.EnvDefaultDelim)
	}
	unit := make([]string, 0, len(values))
	for _, v := range values {
		unit = append(unit, flagPrefix+option.LongName+"="+strings.TrimSpace(v))
	}
	return unit
}

// environmentKeys maps the variables of a struct to its options.
func environmentKeys(options any) map[string]*flags.Option {
	keys := make(map[string]*flags.Option)
	for _, option := range Options(options) {
		if option.EnvDefaultKey != "" {
			keys[option.EnvDefaultKey] = option
		}
	}
	return keys
}

// knownVariables returns the variables of every role and of options.
func knownVariables(options any) []string {
	var known []string
	for _, role := range []any{options, &Proxy{}, &Control{}, &Client{}, &Author{}} {
		for name := range environmentKeys(role) {
			if !slices.Contains(known, name) {
				known = append(known, name)
			}
		}
	}
	slices.Sort(known)
	return known
}

func didYouMean(name string, known []string) string {
	if near, ok := suggest.Closest(name, known); ok {
		return "did you mean " + near + "?"
	}
	return "known: " + strings.Join(known, ", ")
}

func valueText(err error) string {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrExpectedArgument {
		return "needs a value"
	}
	return strings.ReplaceAll(err.Error(), "\n", " ")
}

func valueFix(scratch any, arg string) string {
	option := newSource(scratch).find(arg)
	switch {
	case option == nil:
		return ""
	case option.Field().Type.String() == "time.Duration":
		return `write a number with a unit, such as "2s" or "500ms"`
	case isBool(option):
		return "write true or false"
	case option.Field().Type.Kind() == reflect.Int:
		return "write a whole number"
	default:
		return option.Description
	}
}

func valueOf(option *flags.Option) string {
	if list, ok := option.Value().([]string); ok {
		return strings.Join(list, ",")
	}
	return fmt.Sprint(option.Value())
}

func isBool(option *flags.Option) bool { return option.Field().Type.Kind() == reflect.Bool }
