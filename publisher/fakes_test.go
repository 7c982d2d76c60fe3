package publisher_test

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/authenticator"
	"github.com/gooseberrypass/gooseberrypass/publisher"
	"github.com/gooseberrypass/gooseberrypass/replayer"
)

func testKey() authenticator.Key { return authenticator.NewKey("secret") }

// A hastyClock jumps ahead instead of waiting. onWait, if set, is called before.
type hastyClock struct {
	*clockwork.FakeClock
	onWait func()
}

func (c *hastyClock) After(d time.Duration) <-chan time.Time {
	if c.onWait != nil {
		c.onWait()
	}
	c.Advance(d)
	ch := make(chan time.Time, 1)
	ch <- c.Now()
	return ch
}

// A fakeLog is the log with the faults that a publisher must bear.
type fakeLog struct {
	clock gooseberrypass.Clock

	mu          sync.Mutex
	answersLost int // appends to come whose answer is lost after the effect
	barrier     int // appends that wait for each other
	doubled     int // appends to come that are applied twice
	downUntil   time.Time
	downAfter   bool // the log goes down for an hour with its next append
	first       gooseberrypass.Offset
	records     []gooseberrypass.Record
	refused     int // appends to come that are refused for their rate
	requestLost int // appends to come that are lost before the effect
	waiting     chan struct{}
}

func newFakeLog(clock gooseberrypass.Clock) *fakeLog {
	return &fakeLog{clock: clock, first: 1, waiting: make(chan struct{})}
}

func take(n *int) bool {
	*n--
	return *n >= 0
}

// meet holds up the first appends until all have come.
func (l *fakeLog) meet() {
	l.mu.Lock()
	held := l.barrier > 0
	l.barrier--
	if l.barrier == 0 {
		close(l.waiting)
	}
	l.mu.Unlock()
	if held {
		<-l.waiting
	}
}

func (l *fakeLog) Append(_ context.Context, _ gooseberrypass.Stream, body []byte) (gooseberrypass.Offset, error) {
	l.meet()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.clock.Now().Before(l.downUntil), take(&l.requestLost):
		return 0, errors.Wrap(gooseberrypass.ErrLogUnavailable, "down")
	case take(&l.refused):
		return 0, errors.Wrap(gooseberrypass.ErrLogOverloaded, "busy")
	}
	times := 1
	if take(&l.doubled) {
		times = 2
	}
	offset := l.first + gooseberrypass.Offset(len(l.records))
	for i := range times {
		l.records = append(l.records, gooseberrypass.Record{
			Body: body, Offset: offset + gooseberrypass.Offset(i), Time: l.clock.Now(),
		})
	}
	if l.downAfter {
		l.downAfter = false
		l.downUntil = l.clock.Now().Add(time.Hour)
		return 0, errors.Wrap(gooseberrypass.ErrLogUnavailable, "went down")
	}
	if take(&l.answersLost) {
		return 0, errors.Wrap(gooseberrypass.ErrLogUnavailable, "answer lost")
	}
	return offset, nil
}

func (l *fakeLog) Read(
	_ context.Context, _ gooseberrypass.Stream, from gooseberrypass.Offset, _ time.Duration,
) (gooseberrypass.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.first + gooseberrypass.Offset(len(l.records))
	switch {
	case l.clock.Now().Before(l.downUntil):
		return gooseberrypass.Batch{}, errors.Wrap(gooseberrypass.ErrLogUnavailable, "down")
	case from < l.first:
		return gooseberrypass.Batch{}, &gooseberrypass.TrimmedError{First: l.first, Next: next}
	}
	return gooseberrypass.Batch{First: l.first, Next: next, Records: l.records[min(from, next)-l.first:]}, nil
}

// A fakeOrigin holds manifests by model and version.
type fakeOrigin struct {
	manifests map[string][]byte
	onRead    func()
}

func (o *fakeOrigin) Manifest(_ context.Context, model, version string) ([]byte, error) {
	if o.onRead != nil {
		o.onRead()
	}
	if m, ok := o.manifests[model+" "+version]; ok {
		return m, nil
	}
	return nil, errors.New("not found")
}

func (*fakeOrigin) ReadRange(context.Context, string, string, int64, int64) ([]byte, error) {
	return nil, errors.New("not to be read")
}

func manifest(model, version string, base gooseberrypass.Digest) *gooseberrypass.Manifest {
	chunk := gooseberrypass.Chunk{Digest: gooseberrypass.DigestOf([]byte(model + version)), Size: 1}
	m, err := gooseberrypass.NewManifest(model, version, base, []gooseberrypass.Chunk{chunk})
	if err != nil {
		panic(err)
	}
	return m
}

// A bench is a log, an origin and a clock.
type bench struct {
	clock  *hastyClock
	log    *fakeLog
	origin *fakeOrigin
	t      *testing.T
}

func newBench(t *testing.T) *bench {
	t.Helper()
	clock := &hastyClock{FakeClock: clockwork.NewFakeClock()}
	b := &bench{clock: clock, log: newFakeLog(clock), origin: &fakeOrigin{manifests: map[string][]byte{}}, t: t}
	for _, version := range []string{"v1", "v2"} {
		b.origin.manifests["jingle-writer "+version] = manifest("jingle-writer", version, gooseberrypass.Digest{}).Encoded()
	}
	return b
}

func (b *bench) publisher(seed uint64) *publisher.Publisher {
	return publisher.New(b.clock, testKey(), b.log, b.origin, publisher.WithSeed(seed))
}

// folder returns a new folder that was pulled.
func (b *bench) folder() string {
	b.t.Helper()
	dir := b.t.TempDir()
	if _, err := b.publisher(1).Pull(b.t.Context(), dir); err != nil {
		b.t.Fatal(err)
	}
	return dir
}

// publish publishes a folder and fails the test if that fails.
func (b *bench) publish(dir string) *publisher.Result {
	b.t.Helper()
	result, err := b.publisher(1).Publish(b.t.Context(), dir)
	if err != nil {
		b.t.Fatal(err)
	}
	return result
}

// state returns the fold of the log.
func (b *bench) state() replayer.State {
	b.t.Helper()
	progress, err := replayer.New(testKey(), b.log).CatchUp(b.t.Context(), replayer.State{}, 0)
	if err != nil {
		b.t.Fatal(err)
	}
	return progress.State
}

func write(t *testing.T, dir, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func read(t *testing.T, dir, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var (
	_ gooseberrypass.Log    = (*fakeLog)(nil)
	_ gooseberrypass.Origin = (*fakeOrigin)(nil)
)
