package publisher

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/replayer"
)

// BaseFileName is the name of the file in an operator's folder that records the
// accepted state from which the folder was pulled.
const BaseFileName = ".gooseberrypass-base"

// ErrBadBase is returned for a base file that cannot be parsed.
var ErrBadBase = errors.New("bad base file")

// A Base identifies the accepted state from which a folder was pulled. The zero
// Base stands for a folder that was never pulled.
type Base struct {
	Files  map[string]gooseberrypass.Digest `json:"files"`
	Offset gooseberrypass.Offset            `json:"offset"`
}

// NewBase returns the base of a folder that was pulled from a state.
func NewBase(s replayer.State) Base {
	b := Base{Files: map[string]gooseberrypass.Digest{}, Offset: s.LastAccepted()}
	for name, text := range s.Files() {
		b.Files[name] = gooseberrypass.DigestOf([]byte(text))
	}
	return b
}

// ReadBase reads the base file in dir. It returns the zero Base if there is none.
func ReadBase(dir string) (Base, error) {
	path := filepath.Join(dir, BaseFileName)
	body, err := os.ReadFile(path) //nolint:gosec // the operator names the folder
	if os.IsNotExist(err) {
		return Base{}, nil
	}
	if err != nil {
		return Base{}, errors.Wrap(err, "read base")
	}
	var b Base
	if err := json.Unmarshal(body, &b); err != nil {
		return Base{}, errors.Wrapf(ErrBadBase, "%s: %v; remove the file and pull again", path, err)
	}
	return b, nil
}

// Write writes the base file to dir.
func (b Base) Write(dir string) error {
	body, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode base")
	}
	return writeFile(dir, BaseFileName, append(body, '\n'))
}

// Diff returns the sorted names of the files that were added, changed or removed
// since b. files holds contents by name.
func (b Base) Diff(files map[string]string) []string {
	var names []string
	for name, text := range files {
		if digest, ok := b.Files[name]; !ok || digest != gooseberrypass.DigestOf([]byte(text)) {
			names = append(names, name)
		}
	}
	for name := range maps.Keys(b.Files) {
		if _, ok := files[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// writeFile replaces a file atomically. The name of the temporary file begins with
// a dot, so readers of the folder skip it.
func writeFile(dir, name string, body []byte) error {
	f, err := os.CreateTemp(dir, ".gooseberrypass-*")
	if err != nil {
		return errors.Wrapf(err, "write %s", name)
	}
	defer os.Remove(f.Name()) //nolint:errcheck // after the rename, the file no longer exists
	_, err = f.Write(body)
	if err == nil {
		err = f.Chmod(0o644)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(dir, name))
	}
	return errors.Wrapf(err, "write %s", name)
}
