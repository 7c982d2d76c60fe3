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

// syncFolder updates the folder to files, and then writes the base of state. It
// skips files that were modified on disk since they were read and lists them in
// result.Kept.
func (e edit) syncFolder(dir string, files map[string]string, state replayer.State, result *Result) error {
	for _, name := range e.outdated(files) {
		if !parser.ValidFileName(name) {
			return errors.Errorf("the accepted file %q has a name that is not allowed in a folder", name)
		}
		if !e.unmodified(dir, name) {
			result.Kept = append(result.Kept, name)
			continue
		}
		if err := replaceFile(dir, name, files); err != nil {
			return err
		}
		if !slices.ContainsFunc(result.Pins, func(pin Pin) bool { return pin.File == name }) {
			result.Applied = append(result.Applied, name)
		}
	}
	return e.baseAfter(state, result.Kept).Write(dir)
}

// outdated returns the sorted names of the files whose contents as read differ from
// those in files.
func (e edit) outdated(files map[string]string) []string {
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

// unmodified reports whether a file on disk still has the contents that were read,
// or is still absent.
func (e edit) unmodified(dir, name string) bool {
	was, had := e.files[name]
	body, err := os.ReadFile(filepath.Join(dir, name)) //nolint:gosec // the operator names the folder
	if !had {
		return os.IsNotExist(err)
	}
	return err == nil && string(body) == was
}

// baseAfter returns the base of state. For a file in kept that the operator began
// to edit during the sync, it records the contents as they were read: publishing
// the edit is then a conflict and does not revert the change of others.
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

// replaceFile writes the file as it is in files, or removes it if it is not there.
func replaceFile(dir, name string, files map[string]string) error {
	if text, ok := files[name]; ok {
		return writeFile(dir, name, []byte(text))
	}
	return errors.Wrapf(os.Remove(filepath.Join(dir, name)), "remove %s", name)
}
