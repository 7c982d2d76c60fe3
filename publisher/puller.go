package publisher

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/parser"
	"github.com/gooseberrypass/gooseberrypass/replayer"
)

// An EditedError is returned by a pull that would overwrite what an operator
// has written and not published.
type EditedError struct {
	Files []string
}

// Error implements error.
func (e *EditedError) Error() string {
	return fmt.Sprintf("edited since the last pull and not published: %s; publish or remove them first",
		strings.Join(e.Files, ", "))
}

// Pull writes the accepted files to a folder, which it makes if need be, and
// its base beside them. It returns the offset pulled.
func (p *Publisher) Pull(ctx context.Context, dir string) (gooseberrypass.Offset, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil { //nolint:gosec // operators share folders
		return 0, errors.Wrap(err, "make folder")
	}
	progress, err := p.catchUp(ctx, replayer.State{})
	if err != nil {
		return 0, err
	}
	folder, err := parser.ReadFolder(ctx, p.clock, dir)
	if err != nil {
		return 0, err
	}
	base, err := ReadBase(dir)
	if err != nil {
		return 0, err
	}
	state := progress.State
	target := NewBase(state)
	files := folder.Files()
	edited := intersect(base.Differing(files), target.Differing(files))
	// A file that the operator does not have yet, or that only others touched,
	// is no edit.
	edited = slices.DeleteFunc(edited, func(name string) bool {
		_, had := base.Files[name]
		_, has := files[name]
		return !has && !had
	})
	if len(edited) > 0 {
		return 0, &EditedError{Files: edited}
	}
	if err := writeState(dir, files, state); err != nil {
		return 0, err
	}
	return state.LastAccepted(), nil
}

// writeState makes a folder that holds files hold the files of a state, and
// writes the base last.
func writeState(dir string, files map[string]string, state replayer.State) error {
	accepted := state.Files()
	for name, text := range accepted {
		if !parser.PlainName(name) {
			return errors.Errorf("the accepted file %q has a name that no folder can hold", name)
		}
		if have, ok := files[name]; ok && have == text {
			continue
		}
		if err := writeFile(dir, name, []byte(text)); err != nil {
			return err
		}
	}
	for name := range files {
		if _, ok := accepted[name]; ok {
			continue
		}
		if err := os.Remove(filepath.Join(dir, name)); err != nil && !os.IsNotExist(err) {
			return errors.Wrapf(err, "remove %s", name)
		}
	}
	return NewBase(state).Write(dir)
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
