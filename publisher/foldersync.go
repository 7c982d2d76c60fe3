package publisher

import (
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/parser"
	"github.com/gooseberrypass/gooseberrypass/replayer"
)

// bringIn makes the folder hold files, but for those that were changed since
// they were read, and writes the base that state is last.
func (e edit) bringIn(dir string, files map[string]string, state replayer.State, result *Result) error {
	for _, name := range e.differing(files) {
		if !parser.ValidFileName(name) {
			return errors.Errorf("the accepted file %q has a name that no folder can hold", name)
		}
		if !e.untouched(dir, name) {
			result.Kept = append(result.Kept, name)
			continue
		}
		if err := replaceFile(dir, name, files); err != nil {
			return err
		}
		if !slices.ContainsFunc(result.Pins, func(pin Pin) bool { return pin.File == name }) {
			result.Brought = append(result.Brought, name)
		}
	}
	return e.baseAfter(state, result.Kept).Write(dir)
}

// differing returns the names, sorted, of the files that are not as they were
// read.
func (e edit) differing(files map[string]string) []string {
	var names []string
	for name := range maps.Keys(e.files) {
		if _, ok := files[name]; !ok {
			names = append(names, name)
		}
	}
	for name, text := range files {
		if was, ok := e.files[name]; !ok || was != text {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// untouched reports whether a file is still as it was read.
func (e edit) untouched(dir, name string) bool {
	was, had := e.files[name]
	body, err := os.ReadFile(filepath.Join(dir, name)) //nolint:gosec // the operator names the folder
	if !had {
		return os.IsNotExist(err)
	}
	return err == nil && string(body) == was
}

// baseAfter returns the base that a state is. A file of others' that the
// operator was just editing keeps the base that the edit began from, so that
// publishing it is a conflict and reverts nothing.
func (e edit) baseAfter(state replayer.State, kept []string) Base {
	base := NewBase(state)
	for _, name := range kept {
		if slices.Contains(e.changed, name) {
			continue
		}
		delete(base.Files, name)
		if text, ok := e.files[name]; ok {
			base.Files[name] = gooseberrypass.DigestOf([]byte(text))
		}
	}
	return base
}

// replaceFile makes a folder's file what it is in files, or removes it.
func replaceFile(dir, name string, files map[string]string) error {
	if text, ok := files[name]; ok {
		return writeFile(dir, name, []byte(text))
	}
	return errors.Wrapf(os.Remove(filepath.Join(dir, name)), "remove %s", name)
}
