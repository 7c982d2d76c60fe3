package publisher

import (
	"slices"

	"github.com/gooseberrypass/gooseberrypass/replayer"
)

// An edit is what an operator changed since the base.
type edit struct {
	base    Base
	changed []string
	files   map[string]string
}

func newEdit(base Base, files map[string]string) edit {
	return edit{base: base, changed: base.Differing(files), files: files}
}

// conflicts returns the files that both the operator and others changed, and
// not to the same text.
func (e edit) conflicts(state replayer.State) []string {
	accepted := state.Files()
	var names []string
	for _, name := range intersect(e.changed, e.base.Differing(accepted)) {
		mine, have := e.files[name]
		theirs, has := accepted[name]
		if have != has || mine != theirs {
			names = append(names, name)
		}
	}
	return names
}

// apply returns the files of a state with the edit made to them.
func (e edit) apply(state replayer.State) map[string]string {
	files := state.Files()
	if files == nil {
		files = map[string]string{}
	}
	for _, name := range e.changed {
		if text, ok := e.files[name]; ok {
			files[name] = text
		} else {
			delete(files, name)
		}
	}
	return files
}

// intersect returns the strings of a that are in b.
func intersect(a, b []string) []string {
	var both []string
	for _, s := range a {
		if slices.Contains(b, s) {
			both = append(both, s)
		}
	}
	return both
}
