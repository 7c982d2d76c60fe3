package replayer_test

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/authenticator"
	"github.com/gooseberrypass/gooseberrypass/replayer"
)

func testKey() authenticator.Key { return authenticator.NewKey("secret") }

// A fakeLog is a log whose reads return at most page records.
type fakeLog struct {
	first   gooseberrypass.Offset   // first record that is still kept
	page    int                     // records that a read returns at most
	records []gooseberrypass.Record // all that were ever appended
}

func (l *fakeLog) Append(_ context.Context, _ gooseberrypass.Stream, body []byte) (gooseberrypass.Offset, error) {
	offset := gooseberrypass.Offset(len(l.records) + 1)
	l.records = append(l.records, gooseberrypass.Record{Offset: offset, Body: body})
	return offset, nil
}

func (l *fakeLog) Read(
	_ context.Context, _ gooseberrypass.Stream, from gooseberrypass.Offset, _ time.Duration,
) (gooseberrypass.Batch, error) {
	next := gooseberrypass.Offset(len(l.records) + 1)
	if from < l.first {
		return gooseberrypass.Batch{}, &gooseberrypass.TrimmedError{First: l.first, Next: next}
	}
	start := min(int(from-1), len(l.records))
	end := min(start+l.page, len(l.records))
	return gooseberrypass.Batch{First: l.first, Next: next, Records: l.records[start:end]}, nil
}

// naiveFold is a reference implementation of the fold: it collects all accepted
// changes and applies them in order.
func naiveFold(t *rapid.T, records []gooseberrypass.Record) (map[string]string, gooseberrypass.Offset) {
	var accepted []replayer.Change
	last := gooseberrypass.Offset(0)
	for _, r := range records {
		decoded, err := replayer.Decode(testKey(), r.Body)
		if err == nil && decoded.Snapshot == nil && decoded.Change.Base == last {
			last = r.Offset
			accepted = append(accepted, decoded.Change)
		}
	}
	files := map[string]string{}
	for _, c := range accepted {
		for _, name := range c.Removed {
			delete(files, name)
		}
		maps.Copy(files, c.Files)
	}
	if len(accepted) == 0 && last != 0 {
		t.Fatalf("naive fold: an accepted offset without an accepted change")
	}
	return files, last
}

// newerRecord returns a change as a future release may write it, with a higher
// schema and unknown fields.
func newerRecord(base gooseberrypass.Offset, files map[string]string) []byte {
	payload, err := json.Marshal(map[string]any{
		"schema": 9, "base": base, "files": files, "id": "newer", "waves": []int{1, 2}, "kind": "new",
	})
	if err != nil {
		panic(err)
	}
	const domain = "gooseberrypass configuration record"
	body, err := json.Marshal(map[string]any{"payload": json.RawMessage(payload), "code": testKey().Sign(domain, payload), "extra": 1})
	if err != nil {
		panic(err)
	}
	return body
}

func mustEncode(body []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return body
}

// drawLog draws a log with changes on current and outdated bases, duplicated
// appends, snapshots of current and old states, records of newer releases and
// records signed with another key.
func drawLog(t *rapid.T) *fakeLog {
	log := &fakeLog{first: 1, page: rapid.IntRange(1, 7).Draw(t, "page")}
	state := replayer.State{}
	n := rapid.IntRange(1, 40).Draw(t, "records")
	states := append(make([]replayer.State, 0, n+1), state)
	for i := range n {
		base := state.LastAccepted()
		if rapid.IntRange(0, 2).Draw(t, "stale") == 0 {
			base = gooseberrypass.Offset(rapid.IntRange(0, i+2).Draw(t, "base"))
		}
		files := map[string]string{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "file"): strconv.Itoa(i)}
		var body []byte
		switch rapid.IntRange(0, 8).Draw(t, "kind") {
		case 0: // a duplicated append
			if len(log.records) > 0 {
				body = rapid.SampledFrom(log.records).Draw(t, "again").Body
			}
		case 1: // a snapshot, possibly of an old state
			body = mustEncode(replayer.EncodeSnapshot(testKey(), rapid.SampledFrom(states).Draw(t, "state").Snapshot()))
		case 2:
			body = mustEncode(replayer.EncodeChange(authenticator.NewKey("stranger"), replayer.Change{Base: base, Files: files}))
		case 3:
			body = newerRecord(base, files)
		case 4:
			body = mustEncode(replayer.EncodeChange(testKey(), replayer.Change{Base: base, Removed: slices.Collect(maps.Keys(files))}))
		default:
			body = mustEncode(replayer.EncodeChange(testKey(), replayer.Change{Base: base, Files: files}))
		}
		offset, _ := log.Append(context.Background(), "", body)
		next, _, err := replayer.Fold(testKey(), state, log.records[offset-1:])
		if err != nil {
			t.Fatal(err)
		}
		if next.LastAccepted() < state.LastAccepted() {
			t.Fatalf("offset %d: got last accepted %d, had %d", offset, next.LastAccepted(), state.LastAccepted())
		}
		state = next
		states = append(states, state)
	}
	return log
}

func TestFoldAgreesWithNaiveFoldOnEveryPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		for n := range log.records {
			state, _, err := replayer.Fold(testKey(), replayer.State{}, log.records[:n+1])
			if err != nil {
				t.Fatal(err)
			}
			files, last := naiveFold(t, log.records[:n+1])
			if got := state.Files(); state.LastAccepted() != last || !maps.Equal(got, files) {
				t.Fatalf("prefix %d: got %v at %d, want %v at %d", n+1, got, state.LastAccepted(), files, last)
			}
		}
	})
}

// canRestore reports whether a log holds a snapshot and all records that follow
// what was folded into it.
func canRestore(log *fakeLog) bool {
	return slices.ContainsFunc(log.records[log.first-1:], func(r gooseberrypass.Record) bool {
		decoded, err := replayer.Decode(testKey(), r.Body)
		return err == nil && decoded.Snapshot != nil && decoded.Snapshot.FoldedThrough+1 >= log.first
	})
}

// A reader may read at any time, fall behind the log's retention, and restart
// without any state. It must come to the naive fold's state of the untrimmed log, or
// return ErrGap if the log cannot restore that.
func TestReplayAgreesWithNaiveFoldWhateverWasTrimmed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := drawLog(t)
		log := &fakeLog{first: 1, page: whole.page}
		r := replayer.New(testKey(), log)
		state := replayer.State{}
		for len(log.records) < len(whole.records) {
			log.records = whole.records[:rapid.IntRange(len(log.records)+1, len(whole.records)).Draw(t, "appended")]
			log.first = max(log.first, gooseberrypass.Offset(rapid.IntRange(1, len(log.records)+1).Draw(t, "first")))
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				state = replayer.State{}
			}
			progress, err := r.CatchUp(context.Background(), state, 0)
			if progress.State.LastAccepted() < state.LastAccepted() {
				t.Fatalf("got last accepted %d, had %d", progress.State.LastAccepted(), state.LastAccepted())
			}
			if errors.Is(err, replayer.ErrGap) {
				if state.FoldedThrough()+1 >= log.first || canRestore(log) {
					t.Fatalf("got %v, though the log can be folded from %d", err, log.first)
				}
				state = progress.State
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			state = progress.State
			files, last := naiveFold(t, log.records)
			if got := state.Files(); state.LastAccepted() != last || !maps.Equal(got, files) {
				t.Fatalf("got %v at %d, want %v at %d", got, state.LastAccepted(), files, last)
			}
		}
	})
}

// The newest snapshot in the log may have been taken before changes that are trimmed
// by now. Starting from it without checking FoldedThrough would lose these changes.
func TestStaleSnapshotIsNotUsed(t *testing.T) {
	log := &fakeLog{first: 1, page: 10}
	change := func(base gooseberrypass.Offset, file string) {
		_, _ = log.Append(context.Background(), "", mustEncode(replayer.EncodeChange(testKey(), replayer.Change{Base: base, Files: map[string]string{file: "x"}})))
	}
	change(0, "a")
	old, _, _ := replayer.Fold(testKey(), replayer.State{}, log.records)
	change(1, "b")
	_, _ = log.Append(context.Background(), "", mustEncode(replayer.EncodeSnapshot(testKey(), old.Snapshot())))
	unchecked := old // the state of a reader that does not check FoldedThrough
	log.first = 3
	_, err := replayer.New(testKey(), log).CatchUp(context.Background(), replayer.State{}, 0)
	if !errors.Is(err, replayer.ErrGap) {
		t.Errorf("got error %v, want %v", err, replayer.ErrGap)
	}
	if got, want := unchecked.LastAccepted(), gooseberrypass.Offset(2); got >= want {
		t.Errorf("reader without the check: got last accepted %d, want it below %d", got, want)
	}
	log.first = 2
	progress, err := replayer.New(testKey(), log).CatchUp(context.Background(), replayer.State{}, 0)
	if err != nil || progress.State.LastAccepted() != 2 || len(progress.State.Files()) != 2 {
		t.Errorf("got %v at %d, %v, want two files at 2", progress.State.Files(), progress.State.LastAccepted(), err)
	}
}

// Entries that skipped a gap in the log append snapshots of their own states, which
// may differ. A reader must take the one with the highest accepted offset, and never
// one lower than its own.
func TestReaderTakesTheHighestSnapshotAndNeverALowerOne(t *testing.T) {
	log := &fakeLog{first: 7, page: 1, records: make([]gooseberrypass.Record, 6)}
	// The first snapshot is not usable: the record after offset 5 is trimmed.
	for _, s := range []replayer.Snapshot{
		{FoldedThrough: 5, LastAccepted: 5},
		{FoldedThrough: 6, LastAccepted: 3},
		{FoldedThrough: 6, LastAccepted: 5},
		{FoldedThrough: 6, LastAccepted: 4},
	} {
		s.Files = map[string]string{"a": strconv.Itoa(int(s.LastAccepted))}
		_, _ = log.Append(context.Background(), "", mustEncode(replayer.EncodeSnapshot(testKey(), s)))
	}
	r := replayer.New(testKey(), log)
	progress, err := r.CatchUp(context.Background(), replayer.State{}, 0)
	if err != nil || progress.State.LastAccepted() != 5 || progress.State.Files()["a"] != "5" {
		t.Errorf("got %v at %d, %v, want the snapshot of 5", progress.State.Files(), progress.State.LastAccepted(), err)
	}
	held := replayer.NewState(replayer.Snapshot{Files: map[string]string{"a": "x"}, FoldedThrough: 5, LastAccepted: 5})
	if log.records = log.records[:8]; held.LastAccepted() != 5 {
		t.Fatal("bad state")
	}
	progress, err = r.CatchUp(context.Background(), held, 0)
	if !errors.Is(err, replayer.ErrGap) || progress.State.Digest() != held.Digest() {
		t.Errorf("got %d, %v, want %d kept", progress.State.LastAccepted(), err, held.LastAccepted())
	}
}

func TestDecodeRefuses(t *testing.T) {
	good := mustEncode(replayer.EncodeChange(testKey(), replayer.Change{Base: 3, Files: map[string]string{"a": "x"}, ID: "1"}))
	for name, body := range map[string][]byte{
		"nothing":       nil,
		"no payload":    []byte(`{"code":""}`),
		"another key":   mustEncode(replayer.EncodeChange(authenticator.NewKey("other"), replayer.Change{})),
		"changed bytes": []byte(strings.Replace(string(good), `"base":3`, `"base":4`, 1)),
		"too long":      append(slices.Clone(good), make([]byte, replayer.MaxRecordSize)...),
	} {
		if _, err := replayer.Decode(testKey(), body); !errors.Is(err, replayer.ErrBadRecord) {
			t.Errorf("%s: got error %v, want %v", name, err, replayer.ErrBadRecord)
		}
	}
	if _, err := replayer.EncodeChange(testKey(), replayer.Change{Files: map[string]string{"a": "\xff"}}); !errors.Is(err, replayer.ErrBadRecord) {
		t.Errorf("bad UTF-8: got error %v, want %v", err, replayer.ErrBadRecord)
	}
}

// FuzzDecode checks that any bytes fold without error or wrong offsets, and that an
// encoded change decodes to itself.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"payload":{"base":1,"files":{"a":"b"}}}`), uint64(1), "a", "b")
	f.Add(newerRecord(0, map[string]string{"a": "b"}), uint64(0), "", "[model x]\n")
	f.Fuzz(func(t *testing.T, body []byte, base uint64, name, text string) {
		// The zero key accepts every signature.
		records := []gooseberrypass.Record{{Offset: 1, Body: body}}
		state, _, err := replayer.Fold(authenticator.Key{}, replayer.State{}, records)
		if err != nil || state.FoldedThrough() != 1 || state.LastAccepted() > 1 {
			t.Errorf("got state %d through %d, %v", state.LastAccepted(), state.FoldedThrough(), err)
		}
		want := replayer.Change{Base: gooseberrypass.Offset(base), Files: map[string]string{name: text}, ID: "1"}
		encoded, err := replayer.EncodeChange(testKey(), want)
		if err != nil {
			return
		}
		got, err := replayer.Decode(testKey(), encoded)
		if err != nil || got.Change.Base != want.Base || !maps.Equal(got.Change.Files, want.Files) {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
	})
}

var _ gooseberrypass.Log = (*fakeLog)(nil)
