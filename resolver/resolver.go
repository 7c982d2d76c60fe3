// Package resolver maps the names of an object in three naming schemes to its
// identity.
package resolver

import (
	"cmp"

	"github.com/gooseberrypass/gooseberrypass"
)

// A qualifiedName is a name and its kind. Each kind is a namespace of its own.
type qualifiedName struct {
	kind gooseberrypass.Kind
	name gooseberrypass.Name
}

// A Resolver maps names of all naming schemes to identities. Add must not be called
// once the Resolver is shared between goroutines.
type Resolver struct {
	ids map[qualifiedName]gooseberrypass.ID
}

// New returns an empty resolver.
func New() *Resolver {
	return &Resolver{ids: map[qualifiedName]gooseberrypass.ID{}}
}

// Add makes names resolve to id. It does not change a name that already resolves.
func (r *Resolver) Add(kind gooseberrypass.Kind, id gooseberrypass.ID, names ...gooseberrypass.Name) {
	for _, name := range names {
		key := qualifiedName{kind, name}
		r.ids[key] = cmp.Or(r.ids[key], id)
	}
}

// Resolve implements gooseberrypass.Resolver.
func (r *Resolver) Resolve(kind gooseberrypass.Kind, name gooseberrypass.Name) (gooseberrypass.ID, bool) {
	id, ok := r.ids[qualifiedName{kind, name}]
	return id, ok
}

// NameGroups is a disjoint-set structure (union-find) of names. It finds the names
// that belong to the same object: joined names are in one group, as are names
// joined through others.
type NameGroups struct {
	parents map[qualifiedName]qualifiedName
}

// NewNameGroups returns groups in which each name is alone.
func NewNameGroups() *NameGroups {
	return &NameGroups{parents: map[qualifiedName]qualifiedName{}}
}

// Join merges the groups of two names of a kind.
func (g *NameGroups) Join(kind gooseberrypass.Kind, a, b gooseberrypass.Name) {
	g.parents[g.root(qualifiedName{kind, b})] = g.root(qualifiedName{kind, a})
}

// Representative returns the representative of the group of a name.
func (g *NameGroups) Representative(kind gooseberrypass.Kind, name gooseberrypass.Name) gooseberrypass.Name {
	return g.root(qualifiedName{kind, name}).name
}

// root returns the representative of a name; a name that was never joined is its
// own.
func (g *NameGroups) root(name qualifiedName) qualifiedName {
	for {
		parent, ok := g.parents[name]
		if !ok || parent == name {
			return name
		}
		name = parent
	}
}

var _ gooseberrypass.Resolver = (*Resolver)(nil)
