// Package merger merges the files of a folder key by key, the later file
// winning. Sections under names of any scheme that share a name are one.
package merger

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/parser"
	"github.com/gooseberrypass/gooseberrypass/resolver"
)

// A Merge is the outcome of merging files.
type Merge struct {
	findings []parser.Finding
	resolver *resolver.Resolver
	sections []*Section
}

// New merges files in the order given. Collisions of names and keys that one
// file sets twice under different names of a thing are findings.
func New(files []*parser.File) *Merge {
	m := &Merge{resolver: resolver.New()}
	groups := group(files)
	byGroup := map[string]*Section{}
	for _, file := range files {
		for _, part := range file.Sections {
			kind, name := SplitTitle(part.Title)
			key := string(kind) + " " + string(groups.Representative(kind, name))
			if byGroup[key] == nil {
				byGroup[key] = &Section{kind: kind, values: map[string]parser.Value{}}
				m.sections = append(m.sections, byGroup[key])
			}
			m.add(byGroup[key], part)
		}
	}
	for _, s := range m.sections {
		m.settle(s)
	}
	return m
}

// Findings returns what was wrong, in no order.
func (m *Merge) Findings() []parser.Finding { return m.findings }

// Resolver returns the names of all sections.
func (m *Merge) Resolver() *resolver.Resolver { return m.resolver }

// Sections returns the merged sections in the order of their first titles.
func (m *Merge) Sections() []*Section { return m.sections }

// group joins each section's title with the names that its keys declare.
func group(files []*parser.File) *resolver.NameGroups {
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

// add lays one file's part over a section.
func (m *Merge) add(s *Section, part *parser.Section) {
	_, name := SplitTitle(part.Title)
	scheme, _ := resolver.SchemeOf(name)
	s.declarations = append(s.declarations, Declaration{
		Name:   name,
		Place:  parser.Value{File: part.File, Line: part.Line, Section: part.Title, Text: string(name)},
		Scheme: scheme,
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

// settle adds the names that keys declare, now that it is known which values
// are in force, and names the section.
func (m *Merge) settle(s *Section) {
	for _, scheme := range resolver.Schemes() {
		key := NameKey(scheme)
		if v, ok := s.values[key]; ok && v.Text != "" {
			s.declarations = append(s.declarations, Declaration{
				Name: gooseberrypass.Name(v.Text), Place: v, Scheme: scheme,
			})
		}
	}
	slices.SortStableFunc(s.declarations, func(a, b Declaration) int {
		return cmp.Or(cmp.Compare(a.Place.File, b.Place.File), cmp.Compare(a.Place.Line, b.Place.Line))
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

// findCollisions tells of names of one scheme that differ though they belong to
// one section.
func (m *Merge) findCollisions(s *Section, scheme gooseberrypass.Scheme) {
	first, ok := s.Declaration(scheme)
	if !ok {
		return
	}
	for _, d := range s.declarations {
		if d.Scheme == scheme && d.Name != first.Name {
			m.findings = append(m.findings, d.Place.Finding(fmt.Sprintf(
				"names collide: %q and %q (%s:%d, [%s]) are %s names of one %s, as their sections share a name",
				d.Name, first.Name, first.Place.File, first.Place.Line, first.Place.Section, scheme, s.kind)))
		}
	}
}
