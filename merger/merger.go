// Package merger merges the files of a folder key by key; a later file overrides an
// earlier one. A model or other object may have several names, one in each naming
// scheme. Sections titled with different names of the same object are merged into
// one.
package merger

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/parser"
	"github.com/gooseberrypass/gooseberrypass/resolver"
)

// A Merge is the result of merging files.
type Merge struct {
	findings []parser.Finding
	resolver *resolver.Resolver
	sections []*Section
}

// New merges files in the order given. It reports as findings an object with two
// names of one scheme, and a key that one file sets twice under different names of an
// object.
func New(files []*parser.File) *Merge {
	m := &Merge{resolver: resolver.New()}
	groups := groupNames(files)
	byGroup := map[string]*Section{}
	for _, file := range files {
		for _, part := range file.Sections {
			kind, name := SplitTitle(part.Title)
			key := string(kind) + " " + string(groups.Representative(kind, name))
			if byGroup[key] == nil {
				byGroup[key] = &Section{kind: kind, values: map[string]parser.Value{}}
				m.sections = append(m.sections, byGroup[key])
			}
			m.addPart(byGroup[key], part)
		}
	}
	for _, s := range m.sections {
		m.declareNames(s)
	}
	return m
}

// Findings returns the faults that were found, in no particular order.
func (m *Merge) Findings() []parser.Finding { return m.findings }

// Resolver returns a resolver of the names of all sections.
func (m *Merge) Resolver() *resolver.Resolver { return m.resolver }

// Sections returns the merged sections in the order in which they first appear.
func (m *Merge) Sections() []*Section { return m.sections }

// groupNames groups the names of each object: the title of each section and the names
// that its keys declare.
func groupNames(files []*parser.File) *resolver.NameGroups {
	groups := resolver.NewNameGroups()
	for _, file := range files {
		for _, part := range file.Sections {
			kind, name := SplitTitle(part.Title)
			for _, v := range part.Values {
				if _, ok := SchemeOfKey(v.Key); ok && name != "" && v.Text != "" {
					groups.Join(kind, name, gooseberrypass.Name(v.Text))
				}
			}
		}
	}
	return groups
}

// addPart merges the part of a section that one file holds. Its values override those
// of earlier files.
func (m *Merge) addPart(s *Section, part *parser.Section) {
	_, name := SplitTitle(part.Title)
	scheme, _ := resolver.SchemeOf(name)
	s.declarations = append(s.declarations, Declaration{
		Name:     name,
		Position: parser.Value{File: part.File, Line: part.Line, Section: part.Title, Text: string(name)},
		Scheme:   scheme,
	})
	for _, v := range part.Values {
		if first, ok := s.values[v.Key]; ok && first.File == v.File {
			m.findings = append(m.findings, v.Finding(fmt.Sprintf(
				"the key stands in line %d already, under [%s]", first.Line, first.Section)))
			continue
		}
		s.values[v.Key] = v
	}
}

// declareNames adds the names declared by keys to a section, reports collisions, and
// sets the section's ID. It runs after all files are merged, as a later file may
// override a declared name.
func (m *Merge) declareNames(s *Section) {
	for _, scheme := range resolver.Schemes() {
		key := NameKey(scheme)
		if v, ok := s.values[key]; ok && v.Text != "" {
			s.declarations = append(s.declarations, Declaration{
				Name: gooseberrypass.Name(v.Text), Position: v, Scheme: scheme,
			})
		}
	}
	slices.SortStableFunc(s.declarations, func(a, b Declaration) int {
		return cmp.Or(cmp.Compare(a.Position.File, b.Position.File), cmp.Compare(a.Position.Line, b.Position.Line))
	})
	for _, scheme := range resolver.Schemes() {
		m.findCollisions(s, scheme)
	}
	s.id = gooseberrypass.ID(s.declarations[0].Name)
	for _, scheme := range resolver.Schemes() {
		if d, ok := s.Declaration(scheme); ok {
			s.id = gooseberrypass.ID(d.Name)
			break
		}
	}
	m.resolver.Add(s.kind, s.id, s.Names()...)
}

// findCollisions adds a finding for each name of a section that differs from another
// name of the same scheme.
func (m *Merge) findCollisions(s *Section, scheme gooseberrypass.Scheme) {
	first, ok := s.Declaration(scheme)
	if !ok {
		return
	}
	for _, d := range s.declarations {
		if d.Scheme == scheme && d.Name != first.Name {
			m.findings = append(m.findings, d.Position.Finding(fmt.Sprintf(
				"names collide: %q and %q (%s:%d, [%s]) are %s names of one %s, as their sections share a name",
				d.Name, first.Name, first.Position.File, first.Position.Line, first.Position.Section, scheme, s.kind)))
		}
	}
}
