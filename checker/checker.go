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

// A Result is the result of checking a folder: its configuration and findings.
type Result struct {
	config   *gooseberrypass.Config
	findings []parser.Finding
	ignored  int
	merge    *merger.Merge
}

// Build checks the files of a folder and builds a configuration from them. The
// offset is the log offset at which the files were accepted. Build always returns
// a configuration: sections and values that this release does not accept are left
// out and counted, as a newer release may have accepted them.
func Build(folder *parser.Folder, offset gooseberrypass.Offset) *Result {
	files, findings := folder.Parse()
	r := &Result{findings: findings, merge: merger.New(files)}
	b := &builder{merge: r.merge, table: FolderTable()}
	for _, s := range r.merge.Sections() {
		b.addSection(s)
	}
	for _, s := range b.sections {
		b.checkConstraints(s)
	}
	b.checkFiles(files)
	sections := make([]gooseberrypass.Section, 0, len(b.sections)+1)
	for _, s := range b.sections {
		sections = append(sections, gooseberrypass.NewSection(s.merged.Kind(), s.merged.ID(), s.merged.Names(), s.values))
	}
	if !slices.ContainsFunc(b.sections, func(s configSection) bool { return s.merged.Kind() == gooseberrypass.KindSystem }) {
		sections = append(sections, gooseberrypass.NewSection(gooseberrypass.KindSystem, "", nil, b.defaults(gooseberrypass.KindSystem)))
	}
	r.ignored = b.ignored
	r.findings = parser.SortFindings(slices.Concat(r.findings, r.merge.Findings(), b.findings))
	r.config = gooseberrypass.NewConfig(offset, r.merge.Resolver(), sections)
	return r
}

// Config returns the configuration built from the folder.
func (r *Result) Config() *gooseberrypass.Config { return r.config }

// Findings returns all findings, sorted by file and line.
func (r *Result) Findings() []parser.Finding { return slices.Clone(r.findings) }

// Ignored returns the number of sections and values left out of the configuration.
func (r *Result) Ignored() int { return r.ignored }

// Merge returns the merged folder.
func (r *Result) Merge() *merger.Merge { return r.merge }

// A configSection is a merged section with its parsed values, by key.
type configSection struct {
	merged *merger.Section
	values map[string]any
}

// A builder collects the sections and findings of a folder.
type builder struct {
	findings []parser.Finding
	ignored  int
	merge    *merger.Merge
	sections []configSection
	table    *Table
}

// defaults returns the default values of the keys of a kind.
func (b *builder) defaults(kind gooseberrypass.Kind) map[string]any {
	spec, _ := b.table.Section(kind)
	p := &sectionParser{spec: spec}
	return p.parse(nil)
}

// addSection parses a merged section and resolves its references. A model without
// an origin name gets its identity as origin name.
func (b *builder) addSection(s *merger.Section) {
	spec, ok := b.table.Section(s.Kind())
	if !ok {
		b.ignored++
		return
	}
	p := &sectionParser{position: s.Position(), spec: spec}
	values := make([]parser.Value, 0, len(s.Keys()))
	for _, key := range s.Keys() {
		v, _ := s.Value(key)
		values = append(values, v)
	}
	parsed := p.parse(values)
	for _, v := range values {
		if ids := b.resolve(spec, v); len(ids) > 0 {
			parsed[v.Key] = ids[0]
		}
	}
	if s.Kind() == gooseberrypass.KindModel && parsed[keyOriginName] == nil {
		parsed[keyOriginName] = string(s.ID())
	}
	b.ignored += p.ignored
	b.findings = append(b.findings, p.findings...)
	b.sections = append(b.sections, configSection{merged: s, values: parsed})
}

// resolve returns the identities that a reference may refer to, one at most per
// kind that its key accepts. It returns none if the key is not a reference.
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

// names returns the names of all sections of the given kinds.
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

// checkConstraints checks the rules that involve more than one key.
func (b *builder) checkConstraints(s configSection) {
	switch s.merged.Kind() {
	case gooseberrypass.KindModel:
		b.checkAdapter(s)
	case gooseberrypass.KindService:
		b.checkCalls(s)
	default:
	}
}

// checkAdapter checks the base of an adapter: it must be another model that is not
// an adapter, and both must be in the same pool.
func (b *builder) checkAdapter(s configSection) {
	id, _ := s.values[keyBase].(gooseberrypass.ID)
	i := slices.IndexFunc(b.sections, func(o configSection) bool {
		return o.merged.Kind() == gooseberrypass.KindModel && o.merged.ID() == id
	})
	if id == "" || i < 0 {
		return
	}
	base := b.sections[i]
	switch {
	case id == s.merged.ID():
		b.addFinding(s, keyBase, "a model cannot be its own base")
	case base.values[keyBase] != nil:
		b.addFinding(s, keyBase, fmt.Sprintf("%q is an adapter itself", id))
	case base.values[keyPool] != s.values[keyPool]:
		b.addFinding(s, keyPool, fmt.Sprintf("an adapter needs the pool of its base, %q", base.values[keyPool]))
	}
}

// checkCalls checks that no call is both repeatable and unrepeatable.
func (b *builder) checkCalls(s configSection) {
	repeatable, _ := s.values[keyRepeatableCalls].([]string)
	unrepeatable, _ := s.values[keyUnrepeatableCalls].([]string)
	for _, call := range unrepeatable {
		if slices.Contains(repeatable, call) {
			b.addFinding(s, keyUnrepeatableCalls, fmt.Sprintf("%q is in repeatable-calls too", call))
		}
	}
}

// addFinding adds a finding at the position of a key, or at the section's title if
// the key is not set.
func (b *builder) addFinding(s configSection, key, message string) {
	v, ok := s.merged.Value(key)
	if !ok {
		v = s.merged.Position()
		v.Key = key
	}
	b.findings = append(b.findings, v.Finding(message))
}

// checkFiles checks the titles and values in every file, including values that a
// later file overrides.
func (b *builder) checkFiles(files []*parser.File) {
	for _, file := range files {
		for _, section := range file.Sections {
			if message := b.titleError(section.Title); message != "" {
				b.findings = append(b.findings, section.Position().Finding(message))
			}
			kind, _ := merger.SplitTitle(section.Title)
			if spec, ok := b.table.Section(kind); ok {
				b.checkValues(spec, section.Values)
			}
		}
	}
}

func (b *builder) checkValues(spec SectionSpec, values []parser.Value) {
	for _, v := range values {
		key, ok := spec.Key(v.Key)
		if !ok {
			b.findings = append(b.findings, v.Finding(spec.unknownKeyError(v.Key)))
			continue
		}
		if _, message := key.parseValue(v.Text); message != "" {
			b.findings = append(b.findings, v.Finding(message))
			continue
		}
		if len(key.Type.kinds) > 0 && v.Text != "" {
			b.checkReference(spec, key, v)
		}
	}
}

// checkReference checks that a reference resolves to exactly one section. A key
// that accepts models and services is ambiguous if both have the name.
func (b *builder) checkReference(spec SectionSpec, key Key, v parser.Value) {
	switch len(b.resolve(spec, v)) {
	case 0:
		b.findings = append(b.findings, v.Finding(fmt.Sprintf("no section has the name %q: want %s%s",
			v.Text, key.Type.Description(), suggestion(v.Text, b.names(key.Type.kinds)))))
	case 1:
	default:
		b.findings = append(b.findings, v.Finding(fmt.Sprintf("%q names a model and a service", v.Text)))
	}
}

// titleError describes what is wrong with a section title. It returns "" for a
// valid one.
func (b *builder) titleError(title string) string {
	kind, name := merger.SplitTitle(title)
	spec, ok := b.table.Section(kind)
	switch {
	case !ok:
		return b.table.unknownKindError(kind)
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
	descriptions := make([]string, 0, len(resolver.Schemes()))
	for _, scheme := range resolver.Schemes() {
		descriptions = append(descriptions, resolver.SchemeDescription(scheme))
	}
	return fmt.Sprintf("the name %q fits no naming scheme: want %s", name, strings.Join(descriptions, ", or "))
}
