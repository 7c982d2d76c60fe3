package registrar_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/registrar"
)

// A log records the values that are put, and fails for the first few.
type log struct {
	gooseberrypass.KeyedLog
	failures int

	mu   sync.Mutex
	puts []string
}

func (l *log) Put(_ context.Context, _ gooseberrypass.Topic, key string, value []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.puts = append(l.puts, key+"="+string(value))
	if len(l.puts) <= l.failures {
		return errors.New("unavailable")
	}
	return nil
}

func (l *log) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.puts)
}

// records tells what the log has lost.
type records struct {
	lost     bool
	restores uint64
}

func (r *records) Lost(gooseberrypass.Topic, string) (uint64, bool) { return r.restores, r.lost }

// A fixture runs a registrar.
type fixture struct {
	clock     *clockwork.FakeClock
	log       *log
	records   *records
	registrar *registrar.Registrar
	stop      func()
}

func newFixture(t *testing.T, failures int) *fixture {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f := &fixture{clock: clockwork.NewFakeClock(), log: &log{failures: failures}, records: &records{}}
	f.registrar = registrar.New(f.clock, f.log, f.records, "key", []byte("body"), 1, logger)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- f.registrar.Run(ctx) }()
	f.stop = func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	return f
}

func (f *fixture) change() {
	f.registrar.Handle(f.clock.Now(), gooseberrypass.TopicChanged{Topic: gooseberrypass.TopicProcesses})
}

// pass lets the registrar's next delay pass.
func (f *fixture) pass(t *testing.T) {
	t.Helper()
	if err := f.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	f.clock.Advance(2 * time.Second)
}

// awaitPuts waits until a number of values have been put.
func (f *fixture) awaitPuts(n int) {
	for f.log.count() < n {
		time.Sleep(time.Millisecond)
	}
}

// A registration that the log lost when it came back from an older copy was never written
// again, so that processes that started later did not know the process.
func TestProcessRegistersAgainAfterTheLogLostIt(t *testing.T) {
	f := newFixture(t, 0)
	f.awaitPuts(1)
	f.change() // nothing is lost
	f.records.restores, f.records.lost = 1, true
	f.change()
	f.change() // the new record has not been read yet
	f.pass(t)
	f.awaitPuts(2)
	f.records.lost = false
	f.change()
	f.records.restores, f.records.lost = 2, true
	f.change()
	f.pass(t)
	f.awaitPuts(3)
	f.stop()
	want := []string{"key=body", "key=body", "key=body", "key="}
	if got := f.log.puts; len(got) != len(want) || got[3] != want[3] {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestRegistrationIsRetried(t *testing.T) {
	f := newFixture(t, 2)
	f.pass(t)
	f.pass(t)
	f.awaitPuts(3)
	f.stop()
	if got, want := f.log.count(), 4; got != want { // with the deregistration
		t.Errorf("got %d calls, want %d", got, want)
	}
}

// The deregistration of the process before may reach the log after the registration of the
// one that took its place. Other processes then sent it nothing for the rest of its life.
func TestProcessRegistersAgainAfterALateDeregistration(t *testing.T) {
	f := newFixture(t, 0)
	f.awaitPuts(1)
	f.registrar.Handle(f.clock.Now(), gooseberrypass.TopicChanged{
		Batch: gooseberrypass.KeyedBatch{Next: 2, Records: []gooseberrypass.KeyedRecord{{Key: "key", Offset: 1}}}, Topic: gooseberrypass.TopicProcesses,
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := f.clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal("the process does not register again")
	}
	f.clock.Advance(2 * time.Second)
	f.awaitPuts(2)
	f.stop()
	if got, want := f.log.puts[1], "key=body"; got != want {
		t.Errorf("second call: got %q, want %q", got, want)
	}
}
