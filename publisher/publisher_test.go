package publisher_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/authenticator"
	"github.com/gooseberrypass/gooseberrypass/publisher"
	"github.com/gooseberrypass/gooseberrypass/replayer"
)

// account returns the text of a client account's section.
func account(name string, burst int) string {
	return fmt.Sprintf("[client-account %s]\nburst = %d\n", name, burst)
}

// Operators who pulled the same state publish concurrently. Those with an even number
// change a file of their own and must all succeed. The others change one shared file:
// one must win, and the rest must get a conflict.
func TestRacingOperatorsMakeOneHistory(t *testing.T) {
	for _, operators := range []int{2, 10} {
		t.Run(strconv.Itoa(operators), func(t *testing.T) {
			f := newFixture(t)
			first := f.folder()
			write(t, first, "shared.ini", account("shared", 1))
			for i := range operators {
				write(t, first, fmt.Sprintf("%d.ini", i), account(fmt.Sprint("a", i), 1))
			}
			f.publish(first)
			dirs := make([]string, operators)
			for i := range dirs {
				dirs[i] = f.folder()
				if i%2 == 0 {
					write(t, dirs[i], fmt.Sprintf("%d.ini", i), account(fmt.Sprint("a", i), 100+i))
				} else {
					write(t, dirs[i], "shared.ini", account("shared", 100+i))
				}
			}
			outdated := read(t, dirs[operators-1], "0.ini")
			f.log.barrier = operators
			failures := make([]error, operators)
			var wg sync.WaitGroup
			for i := range dirs {
				wg.Go(func() { _, failures[i] = f.publisher(uint64(i)).Publish(t.Context(), dirs[i]) })
			}
			wg.Wait()
			files := f.state().Files()
			winners := 0
			for i, err := range failures {
				var conflict *publisher.ConflictError
				switch {
				case i%2 == 0 && err != nil:
					t.Errorf("operator %d: got %v, want it accepted", i, err)
				case i%2 == 0:
					if got, want := files[fmt.Sprintf("%d.ini", i)], account(fmt.Sprint("a", i), 100+i); got != want {
						t.Errorf("operator %d: got %q in force, want %q", i, got, want)
					}
				case err == nil:
					winners++
					if got, want := files["shared.ini"], account("shared", 100+i); got != want {
						t.Errorf("winner %d: got %q in force, want %q", i, got, want)
					}
				case !errors.As(err, &conflict) || !slices.Equal(conflict.Files, []string{"shared.ini"}):
					t.Errorf("operator %d: got %v, want it to lose shared.ini", i, err)
				}
			}
			if winners != 1 {
				t.Errorf("got %d winners of shared.ini, want 1", winners)
			}
			// Publishing the whole folder instead of the changes would revert the files of
			// others: the folder of the last operator holds an outdated 0.ini.
			if outdated == files["0.ini"] {
				t.Errorf("publishing whole folders: got %q kept, want it reverted", outdated)
			}
		})
	}
}

// A folder without a base, with an old base or from another log must not revert
// accepted changes.
func TestStaleCopyIsRefused(t *testing.T) {
	f := newFixture(t)
	dir := f.folder()
	write(t, dir, "a.ini", account("a", 1))
	stale := t.TempDir()
	write(t, stale, "a.ini", account("a", 1))
	f.publish(dir)
	old := f.folder()
	write(t, dir, "a.ini", account("a", 2))
	f.publish(dir)
	before := f.state()

	if _, err := f.publisher(1).Publish(t.Context(), stale); !errors.Is(err, publisher.ErrNoBase) {
		t.Errorf("copy without base: got %v, want %v", err, publisher.ErrNoBase)
	}
	write(t, old, "a.ini", account("a", 3))
	var conflict *publisher.ConflictError
	if _, err := f.publisher(1).Publish(t.Context(), old); !errors.As(err, &conflict) {
		t.Errorf("copy with an old base: got %v, want a conflict", err)
	}
	if _, err := f.publisher(1).Pull(t.Context(), old); !errors.As(err, &conflict) {
		t.Errorf("pull over an edit: got %v, want a refusal", err)
	}
	write(t, old, "a.ini", account("a", 1))
	result, err := f.publisher(1).Publish(t.Context(), old)
	if err != nil || len(result.Changed) != 0 {
		t.Errorf("unedited old copy: got %+v, %v, want nothing published", result, err)
	}
	if got, want := read(t, old, "a.ini"), account("a", 2); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := f.state().Digest(), before.Digest(); got != want {
		t.Errorf("the accepted state changed")
	}
	elsewhere := newFixture(t)
	if _, err := elsewhere.publisher(1).Publish(t.Context(), dir); !errors.Is(err, publisher.ErrOtherLog) {
		t.Errorf("another log: got %v, want %v", err, publisher.ErrOtherLog)
	}
}

// A change must be accepted exactly once, even if the answers to its appends or the
// appends themselves are lost, duplicated or refused.
func TestAppendFaultsPublishOnce(t *testing.T) {
	for name, fault := range map[string]func(*fakeLog){
		"answer lost":   func(l *fakeLog) { l.answersLost = 1 },
		"answers lost":  func(l *fakeLog) { l.answersLost = 5 },
		"request lost":  func(l *fakeLog) { l.requestLost = 2 },
		"applied twice": func(l *fakeLog) { l.doubled = 1 },
		"both":          func(l *fakeLog) { l.doubled, l.answersLost = 1, 1 },
		"overloaded":    func(l *fakeLog) { l.refused = 3 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			dir := f.folder()
			write(t, dir, "a.ini", account("a", 1))
			fault(f.log)
			result := f.publish(dir)
			state, accepted, err := replayer.Fold(testKey(), replayer.State{}, f.log.records)
			if err != nil || len(accepted) != 1 || result.Offset != state.LastAccepted() {
				t.Errorf("got %d accepted, offset %d, %v, want 1 at %d", len(accepted), result.Offset, err, state.LastAccepted())
			}
			if again := f.publish(dir); len(again.Changed) != 0 {
				t.Errorf("second publish: got %v changed, want nothing", again.Changed)
			}
		})
	}
}

// The log goes down for an hour right after it took a change, so the outcome is
// unknown. Publishing again later must not append that change a second time.
func TestChangeIsAcceptedOnceAfterLogOutage(t *testing.T) {
	f := newFixture(t)
	dir := f.folder()
	write(t, dir, "a.ini", account("a", 1))
	f.publish(dir)
	write(t, dir, "a.ini", account("a", 2))
	f.log.downAfter = true
	if _, err := f.publisher(1).Publish(t.Context(), dir); !errors.Is(err, publisher.ErrOutcomeUnknown) {
		t.Fatalf("got %v, want %v", err, publisher.ErrOutcomeUnknown)
	}
	if _, err := f.publisher(1).Publish(t.Context(), dir); !errors.Is(err, gooseberrypass.ErrLogUnavailable) {
		t.Errorf("log down: got %v, want %v", err, gooseberrypass.ErrLogUnavailable)
	}
	f.clock.Advance(time.Hour)
	// The folder's base is older than the accepted change, which is the operator's own.
	write(t, dir, "b.ini", account("b", 1))
	if result := f.publish(dir); result.Offset != 3 || !slices.Equal(result.Changed, []string{"b.ini"}) {
		t.Errorf("got %v at %d, want b.ini at 3", result.Changed, result.Offset)
	}
}

// An operator edits a file while a publication is about to update it to the change
// of others. The edit must stay on disk, and publishing it must be a conflict instead
// of reverting that change.
func TestFileEditedDuringPublishIsNotReverted(t *testing.T) {
	f := newFixture(t)
	dir := f.folder()
	write(t, dir, "a.ini", account("a", 1))
	f.publish(dir)
	other := f.folder()
	write(t, other, "a.ini", account("a", 2))
	f.publish(other)
	write(t, dir, "b.ini", account("b", 1))
	f.origin.onRead = func() { write(t, dir, "a.ini", account("a", 3)) }
	write(t, dir, "m.ini", fmt.Sprintf(modelText, "v1", ""))
	if result := f.publish(dir); !slices.Equal(result.Kept, []string{"a.ini"}) {
		t.Errorf("got %v kept, want a.ini", result.Kept)
	}
	f.origin.onRead = nil
	var conflict *publisher.ConflictError
	if _, err := f.publisher(1).Publish(t.Context(), dir); !errors.As(err, &conflict) {
		t.Errorf("got %v, want a conflict", err)
	}
	if got, want := f.state().Files()["a.ini"], account("a", 2); got != want {
		t.Errorf("got %q in force, want %q", got, want)
	}
}

const modelText = "[model jingle-writer]\npool = scripts\nversion = %s\n%s"

// Publishing pins a new version, replaces the pin of an old one, and keeps an accepted
// pin when the origin's manifest changes under the same name.
func TestPublishPinsManifests(t *testing.T) {
	f := newFixture(t)
	dir := f.folder()
	write(t, dir, "models.ini", fmt.Sprintf(modelText, "v1", "priority = 5\n"))
	one := manifest("jingle-writer", "v1", gooseberrypass.Digest{}).Digest()
	result := f.publish(dir)
	if len(result.Pins) != 1 || result.Pins[0].Digest != one {
		t.Errorf("got pins %+v, want %s", result.Pins, one)
	}
	want := fmt.Sprintf(modelText, "v1", "manifest = "+one.String()+"\npriority = 5\n")
	if got := read(t, dir, "models.ini"); got != want || f.state().Files()["models.ini"] != want {
		t.Errorf("got %q, want %q", got, want)
	}
	// A change of the version replaces the pin.
	write(t, dir, "models.ini", strings.Replace(want, "= v1", "= v2", 1))
	f.publish(dir)
	two := manifest("jingle-writer", "v2", gooseberrypass.Digest{}).Digest()
	want = fmt.Sprintf(modelText, "v2", "manifest = "+two.String()+"\npriority = 5\n")
	if got := read(t, dir, "models.ini"); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	// The origin's manifest changes under the accepted name: the pin stays.
	f.origin.manifests["jingle-writer v2"] = manifest("other", "v2", gooseberrypass.Digest{}).Encoded()
	write(t, dir, "a.ini", account("a", 1))
	if result := f.publish(dir); len(result.Notes) != 1 || read(t, dir, "models.ini") != want {
		t.Errorf("got notes %q and %q, want one note and %q", result.Notes, read(t, dir, "models.ini"), want)
	}
}

func TestPublishFindsWrongPins(t *testing.T) {
	digest := gooseberrypass.DigestOf([]byte("x")).String()
	base := manifest("jingle-writer", "v1", gooseberrypass.Digest{}).Digest()
	adapter := "[model adapter]\npool = scripts\nversion = %s\n"
	for name, test := range map[string]struct{ text, want string }{
		"pin differs":         {fmt.Sprintf(modelText, "v1", "manifest = "+digest+"\n"), "m.ini:4: [model jingle-writer] manifest: the origin holds"},
		"no such version":     {fmt.Sprintf(modelText, "v9", ""), "m.ini:3: [model jingle-writer] version: the origin gives no manifest"},
		"base missing":        {fmt.Sprintf(adapter, "right"), "m.ini:1: [model adapter] base: version right is an adapter"},
		"no adapter":          {fmt.Sprintf(modelText, "v1", "") + fmt.Sprintf(adapter, "none") + "base = jingle-writer\n", "m.ini:7: [model adapter] base: version none is no adapter"},
		"adapter of another":  {fmt.Sprintf(modelText, "v2", "") + fmt.Sprintf(adapter, "right") + "base = jingle-writer\n", "m.ini:7: [model adapter] base: version right was made for"},
		"checked before that": {fmt.Sprintf(modelText, "v1", "pol = x\n"), "m.ini:4: [model jingle-writer] pol: [model] has no such key"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.origin.manifests["adapter right"] = manifest("adapter", "right", base).Encoded()
			f.origin.manifests["adapter none"] = manifest("adapter", "none", gooseberrypass.Digest{}).Encoded()
			dir := f.folder()
			write(t, dir, "m.ini", test.text)
			_, err := f.publisher(1).Publish(t.Context(), dir)
			var faulty *publisher.FindingsError
			if !errors.As(err, &faulty) || !strings.HasPrefix(faulty.Findings[0].String(), test.want) {
				t.Errorf("got %v, want %q", err, test.want)
			}
			if got := len(f.log.records); got != 0 {
				t.Errorf("got %d records, want none", got)
			}
		})
	}
}

func TestRecordsOfStrangersAreNotAccepted(t *testing.T) {
	f := newFixture(t)
	dir := t.TempDir()
	write(t, dir, "a.ini", account("a", 1))
	unauthorized := publisher.New(f.clock, authenticator.NewKey("other"), f.log, f.origin)
	if _, err := unauthorized.Publish(t.Context(), dir); err != nil {
		t.Fatal(err)
	}
	if got := f.state().LastAccepted(); got != 0 {
		t.Errorf("got last accepted %d, want 0", got)
	}
}

// An editor rewrites a file in several steps while the folder is read. Publishing must
// wait until the folder is stable: a single read would get half of the file.
func TestHalfWrittenFileIsNeverPublished(t *testing.T) {
	f := newFixture(t)
	dir := f.folder()
	whole := account("a", 1) + account("b", 2)
	write(t, dir, "a.ini", whole[:len(account("a", 1))])
	half := read(t, dir, "a.ini") // what a single read returns
	steps := []func(){
		func() { write(t, dir, "a.ini", whole[:len(whole)-4]) },
		func() {
			write(t, dir, ".a.ini.swp", whole)
			if err := os.Rename(filepath.Join(dir, ".a.ini.swp"), filepath.Join(dir, "a.ini")); err != nil {
				t.Error(err)
			}
		},
	}
	f.clock.beforeWait = func() {
		if len(steps) > 0 {
			steps[0]()
			steps = steps[1:]
		}
	}
	f.publish(dir)
	if got := f.state().Files()["a.ini"]; got != whole || half == whole {
		t.Errorf("got %q, by a single read %q, want %q", got, half, whole)
	}
}

// All records of the log were trimmed and there is no snapshot. Publishing must fail,
// and restoring from an operator's folder must make it the accepted state, also for
// processes that hold an older state.
func TestRestoreAfterLogLostEverything(t *testing.T) {
	f := newFixture(t)
	dir := f.folder()
	write(t, dir, "a.ini", account("a", 1))
	f.publish(dir)
	if _, err := f.publisher(1).Restore(t.Context(), dir); !errors.Is(err, publisher.ErrStateNotLost) {
		t.Errorf("got %v, want %v", err, publisher.ErrStateNotLost)
	}
	held := f.state()
	f.log.records, f.log.first = nil, 4
	if _, err := f.publisher(1).Publish(t.Context(), dir); !errors.Is(err, replayer.ErrGap) {
		t.Errorf("got %v, want %v", err, replayer.ErrGap)
	}
	if _, err := f.publisher(1).Restore(t.Context(), dir); err != nil {
		t.Fatal(err)
	}
	if got := f.state(); got.LastAccepted() != 3 || got.Files()["a.ini"] != account("a", 1) {
		t.Errorf("got %v at %d, want a.ini at 3", got.Files(), got.LastAccepted())
	}
	progress, err := replayer.New(testKey(), f.log).CatchUp(t.Context(), held, 0)
	if err != nil || progress.State.LastAccepted() != 3 {
		t.Errorf("process that held the old state: got %d, %v, want 3", progress.State.LastAccepted(), err)
	}
	write(t, dir, "b.ini", account("b", 1))
	if result := f.publish(dir); result.Offset != 5 {
		t.Errorf("got offset %d, want 5", result.Offset)
	}
}
