package merger

import (
	"maps"
	"slices"
	"strings"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/parser"
	"github.com/gooseberrypass/gooseberrypass/resolver"
)

const nameKeySuffix = "-name"

// NameKey returns the key that declares a section's name of a scheme.
func NameKey(scheme gooseberrypass.Scheme) string {
	return string(scheme) + nameKeySuffix
}

// SchemeOfKey returns the scheme whose names a key declares.
func SchemeOfKey(key string) (gooseberrypass.Scheme, bool) {
	scheme := gooseberrypass.Scheme(strings.TrimSuffix(key, nameKeySuffix))
	return scheme, strings.HasSuffix(key, nameKeySuffix) && slices.Contains(resolver.Schemes(), scheme)
}

// SplitTitle returns the kind and the name in a section's title.
func SplitTitle(title string) (gooseberrypass.Kind, gooseberrypass.Name) {
	kind, name, _ := strings.Cut(title, " ")
	return gooseberrypass.Kind(kind), gooseberrypass.Name(name)
}

// A Declaration is a name of a section and the place that gave it. Its scheme
// is "" if it fits none.
type Declaration struct {
	Name   gooseberrypass.Name
	Place  parser.Value
	Scheme gooseberrypass.Scheme
}

// A Section is what all files say of one thing.
type Section struct {
	declarations []Declaration
	id           gooseberrypass.ID
	kind         gooseberrypass.Kind
	values       map[string]parser.Value
}

// Declaration returns the section's name of a scheme and where it was given.
func (s *Section) Declaration(scheme gooseberrypass.Scheme) (Declaration, bool) {
	i := slices.IndexFunc(s.declarations, func(d Declaration) bool { return d.Scheme == scheme })
	if i < 0 {
		return Declaration{}, false
	}
	return s.declarations[i], true
}

// ID returns the identity of the thing: its catalogue name, else its inventory
// name, else its path name, else the title.
func (s *Section) ID() gooseberrypass.ID { return s.id }

// Keys returns the keys that are set, sorted.
func (s *Section) Keys() []string { return slices.Sorted(maps.Keys(s.values)) }

// Kind returns the first word of the section's titles.
func (s *Section) Kind() gooseberrypass.Kind { return s.kind }

// Names returns every name of the section.
func (s *Section) Names() []gooseberrypass.Name {
	names := make([]gooseberrypass.Name, 0, len(s.declarations))
	for _, d := range s.declarations {
		if !slices.Contains(names, d.Name) {
			names = append(names, d.Name)
		}
	}
	return names
}

// Place returns where the section was first titled.
func (s *Section) Place() parser.Value { return s.declarations[0].Place }

// Title returns the section's title under its identity.
func (s *Section) Title() string {
	return strings.TrimSpace(string(s.kind) + " " + string(s.id))
}

// Value returns the value of a key that is in force and its place.
func (s *Section) Value(key string) (parser.Value, bool) {
	v, ok := s.values[key]
	return v, ok
}
