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

// A skippingClock advances at once instead of waiting. beforeWait, if set, is called
// before each wait.
type skippingClock struct {
	*clockwork.FakeClock
	beforeWait func()
}

func (c *skippingClock) After(d time.Duration) <-chan time.Time {
	if c.beforeWait != nil {
		c.beforeWait()
	}
	c.Advance(d)
	ch := make(chan time.Time, 1)
	ch <- c.Now()
	return ch
}

// A fakeLog is an in-memory log with injected faults.
type fakeLog struct {
	clock gooseberrypass.Clock

	mu          sync.Mutex
	answersLost int // next appends that take effect but return an error
	barrier     int // first appends that block until all of them have started
	doubled     int // next appends that are applied twice
	downUntil   time.Time
	downAfter   bool // the next append takes effect, and then the log is down for an hour
	first       gooseberrypass.Offset
	records     []gooseberrypass.Record
	refused     int           // next appends that are refused for their rate
	requestLost int           // next appends that fail without effect
	unblocked   chan struct{} // closed once all appends of the barrier have started
}

func newFakeLog(clock gooseberrypass.Clock) *fakeLog {
	return &fakeLog{clock: clock, first: 1, unblocked: make(chan struct{})}
}

// consume decrements a count of faults and reports whether one was left.
func consume(n *int) bool {
	*n--
	return *n >= 0
}

// waitAtBarrier blocks the first appends until all of them have started.
func (l *fakeLog) waitAtBarrier() {
	l.mu.Lock()
	held := l.barrier > 0
	l.barrier--
	if l.barrier == 0 {
		close(l.unblocked)
	}
	l.mu.Unlock()
	if held {
		<-l.unblocked
	}
}

func (l *fakeLog) Append(_ context.Context, _ gooseberrypass.Stream, body []byte) (gooseberrypass.Offset, error) {
	l.waitAtBarrier()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.clock.Now().Before(l.downUntil), consume(&l.requestLost):
		return 0, errors.Wrap(gooseberrypass.ErrLogUnavailable, "down")
	case consume(&l.refused):
		return 0, errors.Wrap(gooseberrypass.ErrLogOverloaded, "busy")
	}
	times := 1
	if consume(&l.doubled) {
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
	if consume(&l.answersLost) {
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

// A fakeOrigin holds manifests by "MODEL VERSION". onRead, if set, is called before
// each read.
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
	return nil, errors.New("unexpected read of weights")
}

func manifest(model, version string, base gooseberrypass.Digest) *gooseberrypass.Manifest {
	chunk := gooseberrypass.Chunk{Digest: gooseberrypass.DigestOf([]byte(model + version)), Size: 1}
	m, err := gooseberrypass.NewManifest(model, version, base, []gooseberrypass.Chunk{chunk})
	if err != nil {
		panic(err)
	}
	return m
}

// A fixture is the environment of a publisher: a clock, a log and an origin that
// holds versions v1 and v2 of jingle-writer.
type fixture struct {
	clock  *skippingClock
	log    *fakeLog
	origin *fakeOrigin
	t      *testing.T
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	clock := &skippingClock{FakeClock: clockwork.NewFakeClock()}
	f := &fixture{clock: clock, log: newFakeLog(clock), origin: &fakeOrigin{manifests: map[string][]byte{}}, t: t}
	for _, version := range []string{"v1", "v2"} {
		f.origin.manifests["jingle-writer "+version] = manifest("jingle-writer", version, gooseberrypass.Digest{}).Encoded()
	}
	return f
}

func (f *fixture) publisher(seed uint64) *publisher.Publisher {
	return publisher.New(f.clock, testKey(), f.log, f.origin, publisher.WithSeed(seed))
}

// folder returns a new folder pulled from the log.
func (f *fixture) folder() string {
	f.t.Helper()
	dir := f.t.TempDir()
	if _, err := f.publisher(1).Pull(f.t.Context(), dir); err != nil {
		f.t.Fatal(err)
	}
	return dir
}

// publish publishes a folder and fails the test on an error.
func (f *fixture) publish(dir string) *publisher.Result {
	f.t.Helper()
	result, err := f.publisher(1).Publish(f.t.Context(), dir)
	if err != nil {
		f.t.Fatal(err)
	}
	return result
}

// state returns the accepted state of the log.
func (f *fixture) state() replayer.State {
	f.t.Helper()
	progress, err := replayer.New(testKey(), f.log).CatchUp(f.t.Context(), replayer.State{}, 0)
	if err != nil {
		f.t.Fatal(err)
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
