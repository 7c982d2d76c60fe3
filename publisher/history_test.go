package publisher_test

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/gooseberrypass/gooseberrypass/publisher"
)

// An operator has a folder, and records its edits since the folder was last pulled
// or published.
type operator struct {
	base   map[string]string // accepted files at the last pull or publication
	dir    string
	edited map[string]string // text by file, "" for removed
}

// edit writes a file of the folder, or removes it if text is empty.
func (o *operator) edit(t *testing.T, name, text string) {
	t.Helper()
	o.edited[name] = text
	if text != "" {
		write(t, o.dir, name, text)
	} else if err := os.Remove(filepath.Join(o.dir, name)); err != nil && !os.IsNotExist(err) {
		t.Error(err)
	}
	o.rebase(o.base)
}

// rebase sets a new base and drops edits that it already contains.
func (o *operator) rebase(base map[string]string) {
	o.base = base
	maps.DeleteFunc(o.edited, func(name, text string) bool { return base[name] == text })
}

// readFolder returns the files of the operator's folder.
func (o *operator) readFolder(t *testing.T) map[string]string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(o.dir, "*.ini"))
	if err != nil {
		t.Error(err)
	}
	files := map[string]string{}
	for _, path := range paths {
		files[filepath.Base(path)] = read(t, o.dir, filepath.Base(path))
	}
	return files
}

// withEdits returns files with edits applied.
func withEdits(files, edits map[string]string) map[string]string {
	files = maps.Clone(files)
	for name, text := range edits {
		files[name] = text
	}
	maps.DeleteFunc(files, func(_, text string) bool { return text == "" })
	return files
}

// Operators edit, pull and publish in any order while the log loses answers, loses
// requests and duplicates appends. A publication must change exactly the files that
// its operator edited: it must not revert what others have published since the
// operator's last pull.
func TestNobodysAcceptedChangeIsReverted(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFixture(t)
		operators := make([]*operator, 3)
		for i := range operators {
			operators[i] = &operator{dir: t.TempDir(), edited: map[string]string{}}
		}
		accepted := map[string]string{}
		for i := range rapid.IntRange(1, 16).Draw(r, "steps") {
			o := operators[rapid.IntRange(0, len(operators)-1).Draw(r, "operator")]
			name := fmt.Sprintf("%d.ini", rapid.IntRange(0, 3).Draw(r, "file"))
			switch rapid.IntRange(0, 5).Draw(r, "action") {
			case 0, 1:
				o.edit(t, name, account("a"+name[:1], i+1))
				continue
			case 2:
				o.edit(t, name, "")
				continue
			case 3:
				if _, err := f.publisher(1).Pull(t.Context(), o.dir); err == nil {
					want := withEdits(accepted, o.edited)
					if got := o.readFolder(t); !maps.Equal(got, want) {
						r.Fatalf("pull: got %v, want %v", got, want)
					}
					o.rebase(accepted)
				}
				continue
			}
			f.log.answersLost = rapid.IntRange(0, 2).Draw(r, "answers lost")
			f.log.requestLost = rapid.IntRange(0, 2).Draw(r, "requests lost")
			f.log.doubled = rapid.IntRange(0, 2).Draw(r, "doubled")
			_, err := f.publisher(1).Publish(t.Context(), o.dir)
			want := accepted
			if err == nil {
				want = withEdits(accepted, o.edited)
			}
			if got := f.state().Files(); !maps.Equal(got, want) {
				r.Fatalf("publish (%v): got %v accepted, want %v", err, got, want)
			}
			checkOutcome(t, r, o, err, want)
			accepted = want
		}
	})
}

// checkOutcome checks the folder after a successful publication, and the error of a
// failed one: conflicts only of edited files, faults in the files, or no base.
func checkOutcome(t *testing.T, r *rapid.T, o *operator, err error, accepted map[string]string) {
	t.Helper()
	var conflict *publisher.ConflictError
	var faulty *publisher.FindingsError
	switch {
	case err == nil:
		o.rebase(accepted)
		if got := o.readFolder(t); !maps.Equal(got, accepted) {
			r.Fatalf("folder after publish: got %v, want %v", got, accepted)
		}
	case errors.As(err, &conflict):
		for _, name := range conflict.Files {
			if !slices.Contains(slices.Collect(maps.Keys(o.edited)), name) {
				r.Fatalf("got a conflict of %s, which the operator did not edit", name)
			}
		}
	case !errors.As(err, &faulty) && !errors.Is(err, publisher.ErrNoBase):
		r.Fatalf("got %v", err)
	}
}
