// Package checker defines the sections and keys of the operators' configuration,
// checks configuration folders against these definitions, and builds
// configurations from the folders.
//
// Process settings use tables as well: NewTable creates one, Table.Read reads a
// settings file, and Get returns a value.
package checker

import (
	"fmt"
	"slices"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/parser"
)

// A Key describes one key of a section. Default is parsed like a value from a
// file; an empty Default means the zero value. A Required key must be set.
type Key struct {
	Default  string
	Doc      string
	Name     string
	Required bool
	Type     Type
}

// A SectionSpec describes the sections of one kind. If Named is set, titles have
// the form [KIND NAME], otherwise [KIND].
type SectionSpec struct {
	Doc   string
	Keys  []Key
	Kind  gooseberrypass.Kind
	Named bool
}

// Key returns the description of the named key.
func (s SectionSpec) Key(name string) (Key, bool) {
	i := slices.IndexFunc(s.Keys, func(k Key) bool { return k.Name == name })
	if i < 0 {
		return Key{}, false
	}
	return s.Keys[i], true
}

func (s SectionSpec) keyNames() []string {
	names := make([]string, 0, len(s.Keys))
	for _, k := range s.Keys {
		names = append(names, k.Name)
	}
	return names
}

// A Table is the schema of INI files: their valid sections and keys.
type Table struct {
	sections []SectionSpec
}

// NewTable returns a table of the given sections.
func NewTable(sections ...SectionSpec) *Table { return &Table{sections: sections} }

// Sections returns the descriptions of all sections.
func (t *Table) Sections() []SectionSpec { return slices.Clone(t.sections) }

// Section returns the description of the sections of a kind.
func (t *Table) Section(kind gooseberrypass.Kind) (SectionSpec, bool) {
	i := slices.IndexFunc(t.sections, func(s SectionSpec) bool { return s.Kind == kind })
	if i < 0 {
		return SectionSpec{}, false
	}
	return t.sections[i], true
}

func (t *Table) kinds() []string {
	kinds := make([]string, 0, len(t.sections))
	for _, s := range t.sections {
		kinds = append(kinds, string(s.Kind))
	}
	return kinds
}

// unknownKindError returns the message for a section of an unknown kind.
func (t *Table) unknownKindError(kind gooseberrypass.Kind) string {
	return fmt.Sprintf("no section is called %q%s", kind, suggestion(string(kind), t.kinds()))
}

// unknownKeyError returns the message for an unknown key.
func (s SectionSpec) unknownKeyError(name string) string {
	return fmt.Sprintf("[%s] has no such key%s", s.Kind, suggestion(name, s.keyNames()))
}

// parseValue parses the value of a key. The second result is an error message, ""
// for a valid value. An empty text returns nil, which leaves the key unset.
func (k Key) parseValue(text string) (any, string) {
	if text == "" {
		if k.Required {
			return nil, "the value is empty: want " + k.Type.Description()
		}
		return nil, ""
	}
	v, err := k.Type.Parse(text)
	if err != nil {
		return nil, fmt.Sprintf("bad value %q: want %s", text, k.Type.Description())
	}
	return v, ""
}

// Settings holds the values of a settings file, including defaults.
type Settings struct {
	values map[gooseberrypass.Kind]map[string]any
}

// Get returns the value of a key. It returns the zero value of T if the key is not
// set or has a value of another type.
func Get[T any](s *Settings, section gooseberrypass.Kind, key string) T {
	v, _ := s.values[section][key].(T)
	return v
}

// Read checks a settings file and returns its values. The title of each section
// must be its kind, without a name.
func (t *Table) Read(file *parser.File) (*Settings, []parser.Finding) {
	settings := &Settings{values: map[gooseberrypass.Kind]map[string]any{}}
	var findings []parser.Finding
	sections := map[string]*parser.Section{}
	for _, section := range file.Sections {
		sections[section.Title] = section
		if _, ok := t.Section(gooseberrypass.Kind(section.Title)); !ok {
			findings = append(findings, section.Position().Finding(t.unknownKindError(gooseberrypass.Kind(section.Title))))
		}
	}
	for _, spec := range t.sections {
		section := sections[string(spec.Kind)]
		if section == nil {
			section = &parser.Section{File: file.Name, Line: 1, Title: string(spec.Kind)}
		}
		p := &sectionParser{position: section.Position(), spec: spec}
		settings.values[spec.Kind] = p.parse(section.Values)
		findings = append(findings, p.findings...)
	}
	return settings, parser.SortFindings(findings)
}

// A sectionParser parses the values of one section. The field ignored counts
// values with an unknown key or an invalid text.
type sectionParser struct {
	findings []parser.Finding
	ignored  int
	position parser.Value
	spec     SectionSpec
}

// parse returns the parsed values by key, including defaults. It adds a finding
// for each unknown key, invalid value and missing required key.
func (p *sectionParser) parse(values []parser.Value) map[string]any {
	result := map[string]any{}
	for _, k := range p.spec.Keys {
		if v, message := k.parseValue(k.Default); message == "" && v != nil {
			result[k.Name] = v
		}
	}
	set := map[string]bool{}
	for _, v := range values {
		key, ok := p.spec.Key(v.Key)
		if !ok {
			p.ignored++
			p.findings = append(p.findings, v.Finding(p.spec.unknownKeyError(v.Key)))
			continue
		}
		set[v.Key] = true
		parsed, message := key.parseValue(v.Text)
		if message != "" {
			p.ignored++
			p.findings = append(p.findings, v.Finding(message))
			continue
		}
		if parsed != nil {
			result[v.Key] = parsed
		}
	}
	for _, k := range p.spec.Keys {
		if k.Required && !set[k.Name] {
			position := p.position
			position.Key = k.Name
			p.findings = append(p.findings, position.Finding("the key is missing: want "+k.Type.Description()))
		}
	}
	return result
}
