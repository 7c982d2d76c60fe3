// Package checker holds the one table of the sections and keys that operators
// may write, checks files against it and builds configurations from them.
//
// A Table serves process settings as well: make one with NewTable, read a file
// with Table.Read and its values with Get.
package checker

import (
	"fmt"
	"slices"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/parser"
)

// A Key describes one key of a section. Default is text of the key's type; an
// empty Default stands for the zero value. A Required key must be set.
type Key struct {
	Default  string
	Doc      string
	Name     string
	Required bool
	Type     Type
}

// A SectionSpec describes the sections of one kind. The titles of Named ones
// carry a name after the kind.
type SectionSpec struct {
	Doc   string
	Keys  []Key
	Kind  gooseberrypass.Kind
	Named bool
}

// Key returns the description of a key.
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

// A Table lists the sections and keys that may be written.
type Table struct {
	sections []SectionSpec
}

// NewTable returns a table of sections.
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

// unknownKind tells that no sections are of a kind.
func (t *Table) unknownKind(kind gooseberrypass.Kind) string {
	return fmt.Sprintf("no section is called %q%s", kind, suggestion(string(kind), t.kinds()))
}

// unknownKey tells that sections have no such key.
func (s SectionSpec) unknownKey(name string) string {
	return fmt.Sprintf("[%s] has no such key%s", s.Kind, suggestion(name, s.keyNames()))
}

// parseValue parses the text of a key. The message is "" for a good value.
func (k Key) parseValue(text string) (any, string) {
	if text == "" {
		if k.Required {
			return nil, "the value is empty: want " + k.Type.Name()
		}
		return nil, ""
	}
	v, err := k.Type.Parse(text)
	if err != nil {
		return nil, fmt.Sprintf("bad value %q: want %s", text, k.Type.Name())
	}
	return v, ""
}

// Settings holds the values of a settings file, defaults filled in.
type Settings struct {
	values map[gooseberrypass.Kind]map[string]any
}

// Get returns the value of a key, the zero value of T if it has none or is of
// another type.
func Get[T any](s *Settings, section gooseberrypass.Kind, key string) T {
	v, _ := s.values[section][key].(T)
	return v
}

// Read checks a settings file, whose sections are titled by their kinds alone,
// and returns its values.
func (t *Table) Read(file *parser.File) (*Settings, []parser.Finding) {
	settings := &Settings{values: map[gooseberrypass.Kind]map[string]any{}}
	var findings []parser.Finding
	parts := map[string]*parser.Section{}
	for _, part := range file.Sections {
		parts[part.Title] = part
		if _, ok := t.Section(gooseberrypass.Kind(part.Title)); !ok {
			findings = append(findings, part.Place().Finding(t.unknownKind(gooseberrypass.Kind(part.Title))))
		}
	}
	for _, spec := range t.sections {
		part := parts[string(spec.Kind)]
		if part == nil {
			part = &parser.Section{File: file.Name, Line: 1, Title: string(spec.Kind)}
		}
		c := &sectionCheck{place: part.Place(), spec: spec}
		settings.values[spec.Kind] = c.values(part.Values)
		findings = append(findings, c.findings...)
	}
	return settings, parser.SortFindings(findings)
}

// A sectionCheck parses the values of one section.
type sectionCheck struct {
	findings []parser.Finding
	ignored  int
	place    parser.Value
	spec     SectionSpec
}

// values returns the section's values by key, defaults filled in.
func (c *sectionCheck) values(given []parser.Value) map[string]any {
	values := map[string]any{}
	for _, k := range c.spec.Keys {
		if v, fault := k.parseValue(k.Default); fault == "" && v != nil {
			values[k.Name] = v
		}
	}
	set := map[string]bool{}
	for _, v := range given {
		key, ok := c.spec.Key(v.Key)
		if !ok {
			c.ignored++
			c.findings = append(c.findings, v.Finding(c.spec.unknownKey(v.Key)))
			continue
		}
		set[v.Key] = true
		parsed, fault := key.parseValue(v.Text)
		if fault != "" {
			c.ignored++
			c.findings = append(c.findings, v.Finding(fault))
			continue
		}
		if parsed != nil {
			values[v.Key] = parsed
		}
	}
	for _, k := range c.spec.Keys {
		if k.Required && !set[k.Name] {
			place := c.place
			place.Key = k.Name
			c.findings = append(c.findings, place.Finding("the key is missing: want "+k.Type.Name()))
		}
	}
	return values
}
