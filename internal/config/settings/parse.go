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
	// EnvironmentPrefix is the prefix of every environment variable that
	// is a setting.
	EnvironmentPrefix = "BURDOCKWOOD_"

	flagPrefix    = "--"
	endOfFlags    = "--"
	sourceDefault = "default"
	sourceFlag    = "flag"
)

type (
	// Problem describes an unknown, missing or invalid setting.
	Problem struct {
		// Setting is the flag or environment variable.
		Setting string
		// Text says what is wrong.
		Text string
		// Fix says how to correct it; it may be empty.
		Fix string
	}

	// Problems lists all problems that were found in the settings.
	Problems []Problem

	// Value is one setting after parsing.
	Value struct {
		Name string
		Text string
		// Source is "flag", "default" or the name of an environment
		// variable.
		Source string
	}

	// Parsed is the result of Parse.
	Parsed struct {
		// Values are the settings in the order of the struct's fields.
		Values []Value
		// Arguments are the positional arguments.
		Arguments []string
	}

	// optionParser reads flags and environment variables into one options
	// struct.
	optionParser struct {
		parser   *flags.Parser
		problems Problems
		// validArgs holds the flags and values that parsed without a problem,
		// with environment variables rewritten as flags.
		validArgs []string
		// setBy maps the long name of an option to the source that set it:
		// "flag" or the name of an environment variable.
		setBy      map[string]string
		positional []string
	}
)

// String returns the problem on one line.
func (p Problem) String() string {
	text := p.Setting + ": " + p.Text
	if p.Fix != "" {
		text += " (" + p.Fix + ")"
	}
	return text
}

// Error returns all problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// With returns these problems followed by those of further whose setting doesn't
// have a problem yet.
func (p Problems) With(further Problems) Problems {
	all := slices.Clone(p)
	for _, problem := range further {
		isReported := slices.ContainsFunc(p, func(existing Problem) bool { return existing.Setting == problem.Setting })
		if !isReported {
			all = append(all, problem)
		}
	}
	return all
}

// Parse fills options, a pointer to a struct with go-flags tags, from arguments
// and from environment variables of the form "NAME=value". It reports unknown
// flags, unknown variables that start with EnvironmentPrefix, and malformed
// values.
func Parse(options any, args, environment []string) (*Parsed, Problems) {
	p := newOptionParser(options)
	p.parseArguments(options, args)
	p.parseEnvironment(options, environment)
	if _, err := p.parser.ParseArgs(p.validArgs); err != nil {
		p.problems = append(p.problems, Problem{Setting: "arguments", Text: err.Error()})
	}
	return &Parsed{Values: p.values(), Arguments: p.positional}, p.problems
}

// Print writes the name, value and source of each setting, separated by tabs, one
// setting per line.
func Print(w io.Writer, parsed *Parsed) error {
	for _, v := range parsed.Values {
		if _, err := fmt.Fprintf(w, "%s\t%s\t%s\n", v.Name, v.Text, v.Source); err != nil {
			return err
		}
	}
	return nil
}

// Options returns the options that a struct with go-flags tags defines, including
// those of embedded structs and groups. The argument is a pointer to the struct.
func Options(options any) []*flags.Option {
	parser := flags.NewParser(options, flags.None)
	return parserOptions(parser)
}

func newOptionParser(options any) *optionParser {
	parser := flags.NewParser(options, flags.PassDoubleDash|flags.AllowBoolValues)
	for _, option := range parserOptions(parser) {
		// parseEnvironment reads the variables instead of go-flags, so that
		// Parse can be given variables other than those of the process.
		option.EnvDefaultKey = ""
	}
	return &optionParser{parser: parser, setBy: make(map[string]string)}
}

// parseArguments splits args into flags and positional arguments and keeps the
// flags that parse without a problem.
func (p *optionParser) parseArguments(options any, args []string) {
	for len(args) > 0 {
		if args[0] == endOfFlags {
			p.positional = append(p.positional, args[1:]...)
			return
		}
		if len(args[0]) < 2 || args[0][0] != '-' {
			p.positional = append(p.positional, args[0])
			args = args[1:]
			continue
		}
		option := p.findOption(args[0])
		if option == nil {
			p.addUnknownFlag(args[0])
			args = args[1:]
			continue
		}
		optionArgs := args[:min(len(args), argumentCount(option, args[0]))]
		args = args[len(optionArgs):]
		if p.validate(options, flagPrefix+option.LongName, optionArgs) {
			p.validArgs = append(p.validArgs, optionArgs...)
		}
		p.setBy[option.LongName] = sourceFlag
	}
}

// parseEnvironment adds the environment variables of options that no flag has
// set.
func (p *optionParser) parseEnvironment(options any, environment []string) {
	byVariable := optionsByVariable(options)
	known := knownVariables(options)
	for _, entry := range environment {
		name, value, _ := strings.Cut(entry, "=")
		// An empty variable counts as unset.
		if !strings.HasPrefix(name, EnvironmentPrefix) || value == "" {
			continue
		}
		if !slices.Contains(known, name) {
			p.problems = append(p.problems, Problem{Setting: name, Text: "is not a known environment variable", Fix: didYouMean(name, known)})
			continue
		}
		option, ok := byVariable[name]
		if !ok || p.setBy[option.LongName] != "" {
			continue
		}
		optionArgs := variableArguments(option, value)
		if p.validate(options, name, optionArgs) {
			p.validArgs = append(p.validArgs, optionArgs...)
		}
		p.setBy[option.LongName] = name
	}
}

// validate parses the arguments of one option into a scratch struct and reports
// whether that succeeded. If not, it adds a problem for the setting.
func (p *optionParser) validate(options any, setting string, optionArgs []string) bool {
	scratch := reflect.New(reflect.TypeOf(options).Elem()).Interface()
	_, err := newOptionParser(scratch).parser.ParseArgs(optionArgs)
	if err == nil {
		return true
	}
	p.problems = append(p.problems, Problem{Setting: setting, Text: parseErrorText(err), Fix: fixForValue(scratch, optionArgs[0])})
	return false
}

func (p *optionParser) findOption(arg string) *flags.Option {
	if name, ok := strings.CutPrefix(arg, flagPrefix); ok {
		name, _, _ = strings.Cut(name, "=")
		return p.parser.FindOptionByLongName(name)
	}
	return p.parser.FindOptionByShortName(rune(arg[1]))
}

func (p *optionParser) addUnknownFlag(arg string) {
	name, _, _ := strings.Cut(arg, "=")
	var known []string
	for _, option := range parserOptions(p.parser) {
		known = append(known, flagPrefix+option.LongName)
	}
	p.problems = append(p.problems, Problem{Setting: name, Text: "is not a known flag", Fix: didYouMean(name, known)})
}

// values returns the settings after parsing.
func (p *optionParser) values() []Value {
	var values []Value
	for _, option := range parserOptions(p.parser) {
		source := p.setBy[option.LongName]
		if source == "" {
			source = sourceDefault
		}
		values = append(values, Value{Name: option.LongName, Text: formatValue(option), Source: source})
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

// argumentCount returns how many arguments the option uses, itself included.
func argumentCount(option *flags.Option, arg string) int {
	isShort := !strings.HasPrefix(arg, flagPrefix)
	if isBool(option) || strings.Contains(arg, "=") || isShort && len(arg) > 2 {
		return 1
	}
	return 2
}

// variableArguments converts the value of an environment variable to flags: one, or
// one for each element of a list.
func variableArguments(option *flags.Option, value string) []string {
	values := []string{value}
	if option.EnvDefaultDelim != "" {
		values = strings.Split(value, option.EnvDefaultDelim)
	}
	arguments := make([]string, 0, len(values))
	for _, v := range values {
		arguments = append(arguments, flagPrefix+option.LongName+"="+strings.TrimSpace(v))
	}
	return arguments
}

// optionsByVariable maps the environment variables of an options struct to its
// options.
func optionsByVariable(options any) map[string]*flags.Option {
	byVariable := make(map[string]*flags.Option)
	for _, option := range Options(options) {
		if option.EnvDefaultKey != "" {
			byVariable[option.EnvDefaultKey] = option
		}
	}
	return byVariable
}

// knownVariables returns the environment variables of all roles and of options:
// a variable of another role is ignored, not reported as unknown.
func knownVariables(options any) []string {
	var known []string
	for _, role := range []any{options, &Proxy{}, &Control{}, &Client{}, &Author{}} {
		for name := range optionsByVariable(role) {
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

func parseErrorText(err error) string {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrExpectedArgument {
		return "needs a value"
	}
	return strings.ReplaceAll(err.Error(), "\n", " ")
}

// fixForValue says how to write the value of the option that arg names.
func fixForValue(scratch any, arg string) string {
	option := newOptionParser(scratch).findOption(arg)
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

func formatValue(option *flags.Option) string {
	if list, ok := option.Value().([]string); ok {
		return strings.Join(list, ",")
	}
	return fmt.Sprint(option.Value())
}

func isBool(option *flags.Option) bool { return option.Field().Type.Kind() == reflect.Bool }
