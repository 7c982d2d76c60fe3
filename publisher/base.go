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

// BaseName is the file beside the operator's files that tells which accepted
// state they were pulled from.
const BaseName = ".gooseberrypass-base"

// ErrBadBase is returned for a base file that cannot be understood.
var ErrBadBase = errors.New("bad base file")

// A Base is the accepted state that a folder was pulled from.
type Base struct {
	Files  map[string]gooseberrypass.Digest `json:"files"`
	Offset gooseberrypass.Offset            `json:"offset"`
}

// NewBase returns the base that a state is.
func NewBase(s replayer.State) Base {
	b := Base{Files: map[string]gooseberrypass.Digest{}, Offset: s.LastAccepted()}
	for name, text := range s.Files() {
		b.Files[name] = gooseberrypass.DigestOf([]byte(text))
	}
	return b
}

// ReadBase reads the base beside a folder's files. A folder that was never
// pulled has an empty one.
func ReadBase(dir string) (Base, error) {
	path := filepath.Join(dir, BaseName)
	body, err := os.ReadFile(path) //nolint:gosec // the operator names the folder
	if os.IsNotExist(err) {
		return Base{}, nil
	}
	if err != nil {
		return Base{}, errors.Wrap(err, "read base")
	}
	var b Base
	if err := json.Unmarshal(body, &b); err != nil {
		return Base{}, errors.Wrapf(ErrBadBase, "%s: %v; remove it and pull anew", path, err)
	}
	return b, nil
}

// Write writes the base beside a folder's files.
func (b Base) Write(dir string) error {
	body, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode base")
	}
	return writeFile(dir, BaseName, append(body, '\n'))
}

// Differing returns the names, sorted, of the files that are not as in b.
func (b Base) Differing(files map[string]string) []string {
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

// writeFile replaces a file whole. A reader of the folder passes over the
// temporary file.
func writeFile(dir, name string, body []byte) error {
	f, err := os.CreateTemp(dir, ".gooseberrypass-*")
	if err != nil {
		return errors.Wrapf(err, "write %s", name)
	}
	defer os.Remove(f.Name()) //nolint:errcheck // it is gone after the rename
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
