package publisher

import (
	"slices"

	"github.com/gooseberrypass/gooseberrypass/replayer"
)

// An edit is an operator's changes of a folder since its base.
type edit struct {
	base    Base
	changed []string          // sorted names of the files that differ from base
	files   map[string]string // all files of the folder as read, contents by name
}

func newEdit(base Base, files map[string]string) edit {
	return edit{base: base, changed: base.Diff(files), files: files}
}

// conflicts returns the files that both the operator and others changed since the
// base, unless both made the same change.
func (e edit) conflicts(state replayer.State) []string {
	accepted := state.Files()
	var names []string
	for _, name := range intersect(e.changed, e.base.Diff(accepted)) {
		mine, inMine := e.files[name]
		theirs, inTheirs := accepted[name]
		if inMine != inTheirs || mine != theirs {
			names = append(names, name)
		}
	}
	return names
}

// apply returns the files of a state with the operator's changes applied.
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

// intersect returns the strings of a that are also in b.
func intersect(a, b []string) []string {
	var both []string
	for _, s := range a {
		if slices.Contains(b, s) {
			both = append(both, s)
		}
	}
	return both
}
