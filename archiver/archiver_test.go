package archiver_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/archiver"
)

// A log keeps the newest value of each key, nil for deleted ones.
type log struct {
	gooseberrypass.KeyedLog
	err    error
	keys   []string
	values map[string][]byte
}

func (l *log) Newest(context.Context, gooseberrypass.Topic) (gooseberrypass.KeyedBatch, error) {
	batch := gooseberrypass.KeyedBatch{Complete: true}
	for _, key := range l.keys {
		batch.Records = append(batch.Records, gooseberrypass.KeyedRecord{Key: key, Value: l.values[key]})
	}
	return batch, l.err
}

func (l *log) Put(_ context.Context, _ gooseberrypass.Topic, key string, value []byte) error {
	if l.values == nil {
		l.values = map[string][]byte{}
	}
	if _, known := l.values[key]; !known {
		l.keys = append(l.keys, key)
	}
	l.values[key] = value
	return l.err
}

func newArchiver(tb testing.TB, l *log) *archiver.Archiver {
	tb.Helper()
	a, err := archiver.New(l, prometheus.NewRegistry())
	if err != nil {
		tb.Fatal(err)
	}
	return a
}

func newManifest(tb testing.TB, version int, sizes ...int64) *gooseberrypass.Manifest {
	tb.Helper()
	chunks := make([]gooseberrypass.Chunk, 0, len(sizes))
	for i, size := range sizes {
		chunks = append(chunks, gooseberrypass.Chunk{Digest: gooseberrypass.DigestOf([]byte(fmt.Sprint(version, i))), Size: size})
	}
	m, err := gooseberrypass.NewManifest("m", strconv.Itoa(version), gooseberrypass.Digest{}, chunks)
	if err != nil {
		tb.Fatal(err)
	}
	return m
}

func TestArchivedManifestIsReadBack(t *testing.T) {
	for _, sizes := range [][]int64{{8}, {8, 8, 8}, {8, 8, 3}} {
		a, want := newArchiver(t, &log{}), newManifest(t, 7, sizes...)
		if err := a.Put(t.Context(), "m", 7, want); err != nil {
			t.Fatal(err)
		}
		got, err := a.Manifest(t.Context(), "m", 7)
		if err != nil {
			t.Fatalf("sizes %v: %v", sizes, err)
		}
		if !bytes.Equal(got.Encoded(), want.Encoded()) {
			t.Errorf("sizes %v: got %s, want %s", sizes, got.Encoded(), want.Encoded())
		}
		if _, err := a.Manifest(t.Context(), "m", 8); !errors.Is(err, archiver.ErrNotArchived) {
			t.Errorf("another version: got %v, want %v", err, archiver.ErrNotArchived)
		}
		if err := a.Remove(t.Context(), "m", 7); err != nil {
			t.Fatal(err)
		}
		if _, err := a.Manifest(t.Context(), "m", 7); !errors.Is(err, archiver.ErrNotArchived) {
			t.Errorf("removed: got %v, want %v", err, archiver.ErrNotArchived)
		}
	}
}

// A record of 96 chunks has to stay small: it is written for each version.
func TestRecordHasFewBytesForEachChunk(t *testing.T) {
	l := &log{}
	sizes := make([]int64, 96)
	for i := range sizes {
		sizes[i] = 24576
	}
	if err := newArchiver(t, l).Put(t.Context(), "m", 1, newManifest(t, 1, sizes...)); err != nil {
		t.Fatal(err)
	}
	if got, most := len(l.values["m/1"]), 96*44+200; got > most {
		t.Errorf("got %d bytes, want at most %d", got, most)
	}
}

// Guards against a manifest that is taken from a record that was cut, changed or written for
// another version.
func TestOddRecordIsNoManifest(t *testing.T) {
	l := &log{}
	a := newArchiver(t, l)
	if err := a.Put(t.Context(), "m", 1, newManifest(t, 1, 8, 8, 3)); err != nil {
		t.Fatal(err)
	}
	sound := l.values["m/1"]
	check := func(name string, value []byte) {
		l.values["m/1"] = value
		entries, err := a.Entries(t.Context(), "m")
		if err != nil || len(entries) != 1 || entries[0].Version != 1 || entries[0].Manifest != nil {
			t.Errorf("%s: got %+v, %v, want one entry without a manifest", name, entries, err)
		}
		if _, err := a.Manifest(t.Context(), "m", 1); !errors.Is(err, archiver.ErrNotArchived) {
			t.Errorf("%s: got %v, want %v", name, err, archiver.ErrNotArchived)
		}
	}
	for i := range sound {
		check(fmt.Sprint("cut after ", i, " bytes"), sound[:i])
		changed := bytes.Clone(sound)
		changed[i] = '0' + (changed[i]+1)%10
		if !bytes.Equal(changed, sound) {
			check(fmt.Sprint("changed at byte ", i), changed)
		}
	}
	check("twice", append(bytes.Clone(sound), sound...))
	if err := a.Put(t.Context(), "m", 2, newManifest(t, 2, 8, 8, 3)); err != nil {
		t.Fatal(err)
	}
	other := l.values["m/2"]
	l.keys = l.keys[:1]
	check("of another version", other)
	for _, value := range []string{"", "null", "[]", "{}", `{"size":-1}`, `{"digests":"AA=="}`, `{"sizes":[1e99]}`, `{"size":8,"sizes":[]}`} {
		check(value, []byte(value))
	}
}

func TestErrorsOfTheLogAreReturned(t *testing.T) {
	want := errors.New("down")
	a := newArchiver(t, &log{err: want})
	if _, err := a.Manifest(t.Context(), "m", 1); !errors.Is(err, want) {
		t.Errorf("read: got %v, want %v", err, want)
	}
	if err := a.Put(t.Context(), "m", 1, newManifest(t, 1, 8)); !errors.Is(err, want) {
		t.Errorf("put: got %v, want %v", err, want)
	}
	if err := a.Remove(t.Context(), "m", 1); !errors.Is(err, want) {
		t.Errorf("remove: got %v, want %v", err, want)
	}
}

func FuzzRecord(f *testing.F) {
	l := &log{}
	if err := newArchiver(f, l).Put(f.Context(), "m", 1, newManifest(f, 1, 8, 8)); err != nil {
		f.Fatal(err)
	}
	f.Add(l.values["m/1"])
	f.Fuzz(func(t *testing.T, value []byte) {
		l := &log{keys: []string{"m/1"}, values: map[string][]byte{"m/1": append([]byte{}, value...)}}
		if _, err := newArchiver(t, l).Entries(t.Context(), "m"); err != nil {
			t.Error(err)
		}
	})
}

var _ gooseberrypass.KeyedLog = (*log)(nil)
