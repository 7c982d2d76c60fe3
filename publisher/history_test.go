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

// An operator has a folder and knows what it edited since the folder was last
// brought up to the accepted state, the base.
type operator struct {
	base   map[string]string
	dir    string
	edited map[string]string // by file, "" for removed
}

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

// rebase takes a new base, by which some edits may be none.
func (o *operator) rebase(base map[string]string) {
	o.base = base
	maps.DeleteFunc(o.edited, func(name, text string) bool { return base[name] == text })
}

// holds returns the files of the operator's folder.
func (o *operator) holds(t *testing.T) map[string]string {
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

// overlay returns files with edits made to them.
func overlay(files, edits map[string]string) map[string]string {
	files = maps.Clone(files)
	for name, text := range edits {
		files[name] = text
	}
	maps.DeleteFunc(files, func(_, text string) bool { return text == "" })
	return files
}

// Operators edit, pull and publish in any order while the log loses answers,
// loses requests and doubles appends. Whatever one publishes changes the files
// that this operator edited, and no other.
func TestNobodysAcceptedChangeIsReverted(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := newBench(t)
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
				if _, err := b.publisher(1).Pull(t.Context(), o.dir); err == nil {
					want := overlay(accepted, o.edited)
					if got := o.holds(t); !maps.Equal(got, want) {
						r.Fatalf("pull: got %v, want %v", got, want)
					}
					o.rebase(accepted)
				}
				continue
			}
			b.log.answersLost = rapid.IntRange(0, 2).Draw(r, "answers lost")
			b.log.requestLost = rapid.IntRange(0, 2).Draw(r, "requests lost")
			b.log.doubled = rapid.IntRange(0, 2).Draw(r, "doubled")
			_, err := b.publisher(1).Publish(t.Context(), o.dir)
			want := accepted
			if err == nil {
				want = overlay(accepted, o.edited)
			}
			if got := b.state().Files(); !maps.Equal(got, want) {
				r.Fatalf("publish (%v): got %v accepted, want %v", err, got, want)
			}
			checkOutcome(t, r, o, err, want)
			accepted = want
		}
	})
}

func checkOutcome(t *testing.T, r *rapid.T, o *operator, err error, accepted map[string]string) {
	t.Helper()
	var conflict *publisher.ConflictError
	var faulty *publisher.FindingsError
	switch {
	case err == nil:
		o.rebase(accepted)
		if got := o.holds(t); !maps.Equal(got, accepted) {
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
