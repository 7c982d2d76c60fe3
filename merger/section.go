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

// NameKey returns the key that declares a section's name in a scheme.
func NameKey(scheme gooseberrypass.Scheme) string {
	return string(scheme) + nameKeySuffix
}

// SchemeOfKey returns the scheme in which a key declares a name, and false if it
// declares none.
func SchemeOfKey(key string) (gooseberrypass.Scheme, bool) {
	scheme := gooseberrypass.Scheme(strings.TrimSuffix(key, nameKeySuffix))
	return scheme, strings.HasSuffix(key, nameKeySuffix) && slices.Contains(resolver.Schemes(), scheme)
}

// SplitTitle splits a section's title at the first space into kind and name. The name
// is empty if there is none.
func SplitTitle(title string) (gooseberrypass.Kind, gooseberrypass.Name) {
	kind, name, _ := strings.Cut(title, " ")
	return gooseberrypass.Kind(kind), gooseberrypass.Name(name)
}

// A Declaration is a name of a section, with the position in a file that declares it.
// Scheme is "" if the name fits no scheme.
type Declaration struct {
	Name     gooseberrypass.Name
	Position parser.Value
	Scheme   gooseberrypass.Scheme
}

// A Section is the merged content of all sections about one object.
type Section struct {
	declarations []Declaration
	id           gooseberrypass.ID
	kind         gooseberrypass.Kind
	values       map[string]parser.Value
}

// Declaration returns the first declaration of the section's name in a scheme, and
// false if there is none.
func (s *Section) Declaration(scheme gooseberrypass.Scheme) (Declaration, bool) {
	i := slices.IndexFunc(s.declarations, func(d Declaration) bool { return d.Scheme == scheme })
	if i < 0 {
		return Declaration{}, false
	}
	return s.declarations[i], true
}

// ID returns the identity of the section's object: its catalogue name, else its
// inventory name, else its path name, else the name in its first title.
func (s *Section) ID() gooseberrypass.ID { return s.id }

// Keys returns the sorted keys that are set.
func (s *Section) Keys() []string { return slices.Sorted(maps.Keys(s.values)) }

// Kind returns the first word of the section's titles.
func (s *Section) Kind() gooseberrypass.Kind { return s.kind }

// Names returns the distinct names of the section in the order of files and lines.
func (s *Section) Names() []gooseberrypass.Name {
	names := make([]gooseberrypass.Name, 0, len(s.declarations))
	for _, d := range s.declarations {
		if !slices.Contains(names, d.Name) {
			names = append(names, d.Name)
		}
	}
	return names
}

// Position returns the position of the section's first title.
func (s *Section) Position() parser.Value { return s.declarations[0].Position }

// Title returns the section's title, made of its kind and ID.
func (s *Section) Title() string {
	return strings.TrimSpace(string(s.kind) + " " + string(s.id))
}

// Value returns the value of a key with its position, and false if the key is not set.
// If several files set the key, the last one counts.
func (s *Section) Value(key string) (parser.Value, bool) {
	v, ok := s.values[key]
	return v, ok
}
