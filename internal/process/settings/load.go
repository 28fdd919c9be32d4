package settings

import (
	"errors"
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/daisytide/daisytide/api"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 64 << 10

// Load reads a settings file and applies overrides, which are flags such as
// "--store.timeout=2s" and take precedence. It returns every fault with its
// line.
func Load(path string, overrides ...string) (*Settings, []api.Fault) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []api.Fault{{Code: api.SettingsNoFile, Message: err.Error()}}
	}
	return Parse(string(text), overrides...)
}

// Parse reads settings in INI form, as Load does. It passes each line to
// go-flags separately, so that every fault is reported. Settings are returned
// only if there is no fault.
func Parse(text string, overrides ...string) (*Settings, []api.Fault) {
	var s Settings
	r := newINIReader(&s)
	if !r.parseText(text) {
		return nil, r.faults
	}
	r.applyFlags(overrides)
	r.faults = append(r.faults, r.dropKnownFaults(s.Check(r.lines))...)
	sort.SliceStable(r.faults, func(i, j int) bool { return r.faults[i].Line < r.faults[j].Line })
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return &s, nil
}

// lineNumbers maps each key (section.key) and each section to its line.
type lineNumbers map[string]int

// lineOf returns the line of a key, or of its section if the key is absent, or
// 0 if both are.
func (l lineNumbers) lineOf(path string) int {
	if line, ok := l[path]; ok {
		return line
	}
	section, _, _ := strings.Cut(path, ".")
	return l[section]
}

// ParseInto reads a text in INI form into the groups of go-flags options that
// dst points to, and returns every fault with its line.
func ParseInto(dst any, text string) []api.Fault {
	r := newINIReader(dst)
	if r.parseText(text) {
		r.applyFlags(nil)
	}
	return r.faults
}

// iniReader parses one file and records the line of each key and the faults.
type iniReader struct {
	parser *flags.Parser
	// section is the name in the last section header; empty before the first.
	section string
	// skipSection is set after a malformed header or one of an unknown section:
	// the keys that follow are ignored.
	skipSection bool
	lines       lineNumbers
	faults      []api.Fault
}

func newINIReader(dst any) *iniReader {
	return &iniReader{parser: flags.NewParser(dst, flags.PassDoubleDash), lines: lineNumbers{}}
}

// parseText parses all lines of a text. It returns false, with a fault, if the
// text is larger than maxFileBytes.
func (r *iniReader) parseText(text string) bool {
	if len(text) > maxFileBytes {
		r.addFault(api.SettingsSyntax, 0, "", fmt.Sprintf("the file is over %d bytes", maxFileBytes))
		return false
	}
	number := 0
	for line := range strings.Lines(text) {
		number++
		r.parseLine(number, strings.TrimSpace(line))
	}
	return true
}

func (r *iniReader) addFault(c api.Code, line int, path, message string) {
	r.faults = append(r.faults, api.Fault{Code: c, Line: line, Path: path, Message: message})
}

func (r *iniReader) parseLine(number int, text string) {
	switch {
	case text == "", text[0] == ';', text[0] == '#':
	case text[0] == '[':
		r.parseHeader(number, text)
	case r.skipSection:
	case r.section == "":
		r.addFault(api.SettingsSyntax, number, "", "the line is before the first section")
	default:
		r.parseKey(number, text)
	}
}

func (r *iniReader) parseHeader(number int, text string) {
	name, closed := strings.CutSuffix(text[1:], "]")
	name = strings.ToLower(strings.TrimSpace(name))
	r.section, r.skipSection = name, true
	switch {
	case !closed:
		r.addFault(api.SettingsSyntax, number, "", "the section header has no closing bracket")
	case r.parser.Group.Find(name) == nil:
		r.addFault(api.SettingsUnknownKey, number, name, "no such section")
	case r.lines[name] != 0:
		r.addFault(api.SettingsClash, number, name, fmt.Sprintf("the section appears twice, first on line %d", r.lines[name]))
		r.skipSection = false
	default:
		r.lines[name] = number
		r.skipSection = false
	}
}

func (r *iniReader) parseKey(number int, text string) {
	name, _, _ := strings.Cut(text, "=")
	path := r.section + "." + strings.ToLower(strings.TrimSpace(name))
	if first, ok := r.lines[path]; ok {
		r.addFault(api.SettingsClash, number, path, fmt.Sprintf("the key appears twice, first on line %d", first))
		return
	}
	err := flags.NewIniParser(r.parser).Parse(strings.NewReader("[" + r.section + "]\n" + text))
	if err == nil {
		r.lines[path] = number
		return
	}
	code, message := classifyError(err)
	if code == api.SettingsSyntax {
		path = r.section
	}
	r.lines[path] = number
	r.addFault(code, number, path, message)
}

// classifyError returns the result code and the message for an error of
// go-flags.
func classifyError(err error) (api.Code, string) {
	var ini *flags.IniError
	if !errors.As(err, &ini) {
		return api.SettingsBadValue, err.Error()
	}
	switch {
	case strings.HasPrefix(ini.Message, "unknown option"):
		return api.SettingsUnknownKey, "no such key"
	case strings.HasPrefix(ini.Message, "malformed"), ini.Message == "invalid syntax":
		return api.SettingsSyntax, ini.Message
	}
	return api.SettingsBadValue, ini.Message
}

// applyFlags applies the flags of the command line after the file, each parsed
// separately so that every fault is reported, and sets the defaults of options
// that neither names.
func (r *iniReader) applyFlags(overrides []string) {
	for len(overrides) > 0 {
		var one []string
		one, overrides = nextFlag(overrides)
		path, _, _ := strings.Cut(strings.TrimLeft(one[0], "-"), "=")
		rest, err := r.parser.ParseArgs(one)
		var wrong *flags.Error
		switch {
		case errors.As(err, &wrong) && wrong.Type == flags.ErrUnknownFlag:
			r.addFault(api.SettingsUnknownKey, 0, path, "no such flag")
		case err != nil:
			r.addFault(api.SettingsBadValue, 0, path, err.Error())
		case len(rest) > 0:
			r.addFault(api.SettingsUnknownKey, 0, path, "not a flag")
		default:
			r.lines[path] = 0
		}
	}
	_, _ = r.parser.ParseArgs(nil)
}

// nextFlag splits args after the first flag and its value.
func nextFlag(args []string) (one, rest []string) {
	n := 1
	if !strings.Contains(args[0], "=") && len(args) > 1 && !strings.HasPrefix(args[1], "-") {
		n = 2
	}
	return args[:n], args[n:]
}

// dropKnownFaults removes the faults of keys that already have one, such as a
// key whose value could not be parsed.
func (r *iniReader) dropKnownFaults(faults []api.Fault) []api.Fault {
	known := map[string]bool{}
	for _, f := range r.faults {
		known[f.Path] = true
	}
	var out []api.Fault
	for _, f := range faults {
		if !known[f.Path] {
			out = append(out, f)
		}
	}
	return out
}
