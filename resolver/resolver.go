// Package resolver finds the one identity behind the names of three schemes.
package resolver

import (
	"cmp"

	"github.com/gooseberrypass/gooseberrypass"
)

// A reference is a name of a kind of thing; kinds do not share names.
type reference struct {
	kind gooseberrypass.Kind
	name gooseberrypass.Name
}

// A Resolver maps every name of every scheme to an identity. Names are added
// before it is shared; from then on it only reads.
type Resolver struct {
	ids map[reference]gooseberrypass.ID
}

// New returns a resolver that knows no names.
func New() *Resolver {
	return &Resolver{ids: map[reference]gooseberrypass.ID{}}
}

// Add makes names resolve to id. A name that resolves already stays as it is.
func (r *Resolver) Add(kind gooseberrypass.Kind, id gooseberrypass.ID, names ...gooseberrypass.Name) {
	for _, name := range names {
		key := reference{kind, name}
		r.ids[key] = cmp.Or(r.ids[key], id)
	}
}

// Resolve implements gooseberrypass.Resolver.
func (r *Resolver) Resolve(kind gooseberrypass.Kind, name gooseberrypass.Name) (gooseberrypass.ID, bool) {
	id, ok := r.ids[reference{kind, name}]
	return id, ok
}

// A Grouping finds which names belong to one thing. Names that were joined,
// directly or through others, share a group.
type Grouping struct {
	parents map[reference]reference
}

// NewGrouping returns a grouping in which each name is alone.
func NewGrouping() *Grouping {
	return &Grouping{parents: map[reference]reference{}}
}

// Join puts two names of a kind in one group.
func (g *Grouping) Join(kind gooseberrypass.Kind, a, b gooseberrypass.Name) {
	g.parents[g.root(reference{kind, b})] = g.root(reference{kind, a})
}

// Group returns the name that stands for the group of a name.
func (g *Grouping) Group(kind gooseberrypass.Kind, name gooseberrypass.Name) gooseberrypass.Name {
	return g.root(reference{kind, name}).name
}

func (g *Grouping) root(ref reference) reference {
	for {
		parent, ok := g.parents[ref]
		if !ok || parent == ref {
			return ref
		}
		ref = parent
	}
}

var _ gooseberrypass.Resolver = (*Resolver)(nil)
