package checker

import (
	"fmt"
	"slices"
	"strings"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/merger"
	"github.com/gooseberrypass/gooseberrypass/parser"
	"github.com/gooseberrypass/gooseberrypass/resolver"
)

// A Check is a checked folder.
type Check struct {
	config   *gooseberrypass.Config
	findings []parser.Finding
	ignored  int
	merge    *merger.Merge
}

// Build checks the files of a folder and builds the configuration accepted at
// offset from them. It builds one from any files: what this release finds
// faulty is left out and counted, as a newer one may have accepted it.
func Build(folder *parser.Folder, offset gooseberrypass.Offset) *Check {
	files, findings := folder.Parse()
	c := &Check{findings: findings, merge: merger.New(files)}
	b := &builder{merge: c.merge, table: FolderTable()}
	for _, s := range c.merge.Sections() {
		b.addSection(s)
	}
	for _, s := range b.sections {
		b.checkRelations(s)
	}
	b.checkParts(files)
	sections := make([]gooseberrypass.Section, 0, len(b.sections)+1)
	for _, s := range b.sections {
		sections = append(sections, gooseberrypass.NewSection(s.merged.Kind(), s.merged.ID(), s.merged.Names(), s.values))
	}
	if !slices.ContainsFunc(b.sections, func(s builtSection) bool { return s.merged.Kind() == gooseberrypass.KindSystem }) {
		sections = append(sections, gooseberrypass.NewSection(gooseberrypass.KindSystem, "", nil, b.defaults(gooseberrypass.KindSystem)))
	}
	c.ignored = b.ignored
	c.findings = parser.SortFindings(slices.Concat(c.findings, c.merge.Findings(), b.findings))
	c.config = gooseberrypass.NewConfig(offset, c.merge.Resolver(), sections)
	return c
}

// Config returns the configuration that the folder stands for.
func (c *Check) Config() *gooseberrypass.Config { return c.config }

// Findings returns every fault in the order of files and lines.
func (c *Check) Findings() []parser.Finding { return slices.Clone(c.findings) }

// Ignored returns how many sections and values were left out of the Config.
func (c *Check) Ignored() int { return c.ignored }

// Merge returns the merged folder.
func (c *Check) Merge() *merger.Merge { return c.merge }

// A builtSection is a merged section and its parsed values.
type builtSection struct {
	merged *merger.Section
	values map[string]any
}

// A builder gathers sections and findings.
type builder struct {
	findings []parser.Finding
	ignored  int
	merge    *merger.Merge
	sections []builtSection
	table    *Table
}

func (b *builder) defaults(kind gooseberrypass.Kind) map[string]any {
	spec, _ := b.table.Section(kind)
	c := &sectionCheck{spec: spec}
	return c.values(nil)
}

func (b *builder) addSection(s *merger.Section) {
	spec, ok := b.table.Section(s.Kind())
	if !ok {
		b.ignored++
		return
	}
	c := &sectionCheck{place: s.Place(), spec: spec}
	given := make([]parser.Value, 0, len(s.Keys()))
	for _, key := range s.Keys() {
		v, _ := s.Value(key)
		given = append(given, v)
	}
	values := c.values(given)
	for _, v := range given {
		if ids := b.resolve(spec, v); len(ids) > 0 {
			values[v.Key] = ids[0]
		}
	}
	if s.Kind() == gooseberrypass.KindModel && values[keyOriginName] == nil {
		values[keyOriginName] = string(s.ID())
	}
	b.ignored += c.ignored
	b.findings = append(b.findings, c.findings...)
	b.sections = append(b.sections, builtSection{merged: s, values: values})
}

// resolve returns the identities of what a reference may mean, none if the
// value is no reference.
func (b *builder) resolve(spec SectionSpec, v parser.Value) []gooseberrypass.ID {
	key, _ := spec.Key(v.Key)
	var ids []gooseberrypass.ID
	for _, kind := range key.Type.kinds {
		if id, ok := b.merge.Resolver().Resolve(kind, gooseberrypass.Name(v.Text)); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

func (b *builder) names(kinds []gooseberrypass.Kind) []string {
	var names []string
	for _, s := range b.merge.Sections() {
		if !slices.Contains(kinds, s.Kind()) {
			continue
		}
		for _, name := range s.Names() {
			names = append(names, string(name))
		}
	}
	return names
}

// checkRelations checks what must hold between keys.
func (b *builder) checkRelations(s builtSection) {
	switch s.merged.Kind() {
	case gooseberrypass.KindModel:
		b.checkAdapter(s)
	case gooseberrypass.KindService:
		b.checkCalls(s)
	default:
	}
}

func (b *builder) checkAdapter(s builtSection) {
	id, _ := s.values[keyBase].(gooseberrypass.ID)
	i := slices.IndexFunc(b.sections, func(o builtSection) bool {
		return o.merged.Kind() == gooseberrypass.KindModel && o.merged.ID() == id
	})
	if id == "" || i < 0 {
		return
	}
	base := b.sections[i]
	switch {
	case id == s.merged.ID():
		b.find(s, keyBase, "a model cannot be its own base")
	case base.values[keyBase] != nil:
		b.find(s, keyBase, fmt.Sprintf("%q is an adapter itself", id))
	case base.values[keyPool] != s.values[keyPool]:
		b.find(s, keyPool, fmt.Sprintf("an adapter needs the pool of its base, %q", base.values[keyPool]))
	}
}

func (b *builder) checkCalls(s builtSection) {
	repeatable, _ := s.values[keyRepeatableCalls].([]string)
	unrepeatable, _ := s.values[keyUnrepeatableCalls].([]string)
	for _, call := range unrepeatable {
		if slices.Contains(repeatable, call) {
			b.find(s, keyUnrepeatableCalls, fmt.Sprintf("%q is in repeatable-calls too", call))
		}
	}
}

func (b *builder) find(s builtSection, key, message string) {
	v, ok := s.merged.Value(key)
	if !ok {
		v = s.merged.Place()
		v.Key = key
	}
	b.findings = append(b.findings, v.Finding(message))
}

// checkParts checks what each file says, also where a later one overrides it.
func (b *builder) checkParts(files []*parser.File) {
	for _, file := range files {
		for _, part := range file.Sections {
			if fault := b.titleFault(part.Title); fault != "" {
				b.findings = append(b.findings, part.Place().Finding(fault))
			}
			kind, _ := merger.SplitTitle(part.Title)
			if spec, ok := b.table.Section(kind); ok {
				b.checkValues(spec, part.Values)
			}
		}
	}
}

func (b *builder) checkValues(spec SectionSpec, values []parser.Value) {
	for _, v := range values {
		key, ok := spec.Key(v.Key)
		if !ok {
			b.findings = append(b.findings, v.Finding(spec.unknownKey(v.Key)))
			continue
		}
		if _, fault := key.parseValue(v.Text); fault != "" {
			b.findings = append(b.findings, v.Finding(fault))
			continue
		}
		if len(key.Type.kinds) > 0 && v.Text != "" {
			b.checkReference(spec, key, v)
		}
	}
}

func (b *builder) checkReference(spec SectionSpec, key Key, v parser.Value) {
	switch len(b.resolve(spec, v)) {
	case 0:
		b.findings = append(b.findings, v.Finding(fmt.Sprintf("no section has the name %q: want %s%s",
			v.Text, key.Type.Name(), suggestion(v.Text, b.names(key.Type.kinds)))))
	case 1:
	default:
		b.findings = append(b.findings, v.Finding(fmt.Sprintf("%q names a model and a service", v.Text)))
	}
}

func (b *builder) titleFault(title string) string {
	kind, name := merger.SplitTitle(title)
	spec, ok := b.table.Section(kind)
	switch {
	case !ok:
		return b.table.unknownKind(kind)
	case spec.Named && name == "":
		return fmt.Sprintf("the title lacks a name: want [%s NAME]", kind)
	case !spec.Named && name != "":
		return fmt.Sprintf("the title has a name: want [%s]", kind)
	case !spec.Named:
		return ""
	}
	if _, ok := resolver.SchemeOf(name); ok {
		return ""
	}
	shapes := make([]string, 0, len(resolver.Schemes()))
	for _, scheme := range resolver.Schemes() {
		shapes = append(shapes, resolver.Shape(scheme))
	}
	return fmt.Sprintf("the name %q fits no naming scheme: want %s", name, strings.Join(shapes, ", or "))
}
