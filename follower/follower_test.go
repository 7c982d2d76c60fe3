package follower_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/follower"
)

// A read is the response to one read.
type read struct {
	batch gooseberrypass.KeyedBatch
	err   error
}

// A log returns reads in order and cancels the follower after the last one. It
// records the calls.
type log struct {
	calls  []string
	cancel context.CancelFunc
	reads  []read
}

func (l *log) respond(call string) (gooseberrypass.KeyedBatch, error) {
	l.calls = append(l.calls, call)
	if len(l.calls) > len(l.reads) {
		l.cancel()
		return gooseberrypass.KeyedBatch{}, context.Canceled
	}
	r := l.reads[len(l.calls)-1]
	return r.batch, r.err
}

func (l *log) Newest(context.Context, gooseberrypass.Topic) (gooseberrypass.KeyedBatch, error) {
	return l.respond("newest")
}

func (*log) Put(context.Context, gooseberrypass.Topic, string, []byte) error { return nil }

func (l *log) Tail(_ context.Context, _ gooseberrypass.Topic, from gooseberrypass.Offset, _ time.Duration) (gooseberrypass.KeyedBatch, error) {
	return l.respond("tail " + string(rune('0'+from)))
}

func follow(t *testing.T, reads ...read) ([]string, []gooseberrypass.Event) {
	t.Helper()
	return followWith(t, follower.Settings{}, reads...)
}

func followWith(t *testing.T, settings follower.Settings, reads ...read) ([]string, []gooseberrypass.Event) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := &log{cancel: cancel, reads: reads}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	counts, err := follower.NewReadCounter(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	var events []gooseberrypass.Event
	f := follower.New(clockwork.NewRealClock(), l, "t", settings, func(e gooseberrypass.Event) { events = append(events, e) }, counts, logger)
	if err := f.Run(ctx); err != nil {
		t.Fatal(err)
	}
	return l.calls, events
}

func wantCalls(t *testing.T, got []string, want ...string) {
	t.Helper()
	for i := range want {
		if i >= len(got) || got[i] != want[i] {
			t.Fatalf("calls: got %v, want %v", got, want)
		}
	}
}

func batch(next gooseberrypass.Offset, whole bool, keys ...string) gooseberrypass.KeyedBatch {
	b := gooseberrypass.KeyedBatch{Next: next, Complete: whole}
	for _, key := range keys {
		b.Records = append(b.Records, gooseberrypass.KeyedRecord{Key: key, Offset: next - 1, Value: []byte("v")})
	}
	return b
}

func TestReadsEveryKeyThenWhatFollows(t *testing.T) {
	calls, events := follow(t, read{batch: batch(3, true, "a")}, read{batch: batch(5, false, "b")}, read{batch: batch(5, false)})
	wantCalls(t, calls, "newest", "tail 3", "tail 5", "tail 5")
	first, ok := events[0].(gooseberrypass.TopicChanged)
	if !ok || !first.FirstRead || !first.Batch.Complete {
		t.Errorf("first event: got %+v, want the first read of every key", events[0])
	}
	second, ok := events[2].(gooseberrypass.TopicChanged)
	if !ok || second.FirstRead {
		t.Errorf("third event: got %+v, want a change", events[2])
	}
}

func TestReadsEveryKeyAgainAfterATrim(t *testing.T) {
	calls, events := follow(t, read{batch: batch(3, true, "a")}, read{err: &gooseberrypass.TrimmedError{First: 9}}, read{batch: batch(9, true, "a")})
	wantCalls(t, calls, "newest", "tail 3", "newest", "tail 9")
	for _, e := range events {
		if r, ok := e.(gooseberrypass.TopicRead); ok && r.Err != nil && !errors.Is(r.Err, context.Canceled) {
			t.Errorf("a trim was reported as a failed read: %v", r.Err)
		}
	}
}

func TestResumesAtItsOffsetAfterAnOutage(t *testing.T) {
	down := errors.New("down")
	calls, events := follow(t, read{batch: batch(3, true, "a")}, read{err: down}, read{batch: batch(4, false, "b")})
	wantCalls(t, calls, "newest", "tail 3", "tail 3", "tail 4")
	reported := false
	for _, e := range events {
		r, ok := e.(gooseberrypass.TopicRead)
		reported = reported || ok && errors.Is(r.Err, down)
	}
	if !reported {
		t.Error("the failed read was not reported")
	}
}

func TestLeavesTheTopicToAnotherProcessAndTakesItOver(t *testing.T) {
	checks := 0
	settings := follower.Settings{
		NextOffset: func() gooseberrypass.Offset { return 8 },
		ShouldRead: func() bool { checks++; return checks > 2 }, // another process reads during the first two checks
	}
	calls, events := followWith(t, settings, read{batch: batch(3, true, "a")}, read{batch: batch(9, false, "b")})
	wantCalls(t, calls, "newest", "tail 8", "tail 9")
	if r, ok := events[2].(gooseberrypass.TopicRead); !ok || r.Err != nil {
		t.Errorf("third event: got %+v, want a read without an error", events[2])
	}
}

func TestReadsNothingThatAnotherProcessHandsOver(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &log{cancel: cancel}
	counts, err := follower.NewReadCounter(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	settings := follower.Settings{NextOffset: func() gooseberrypass.Offset { cancel(); return 5 }, Once: true}
	f := follower.New(clockwork.NewRealClock(), l, "t", settings, func(gooseberrypass.Event) {}, counts, logrus.New())
	if err := f.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if len(l.calls) != 0 {
		t.Errorf("calls: got %v, want none", l.calls)
	}
}

// Processes that the store turns away must not fill its rate with their retries.
func TestRetriesOfFailedReadsSlowDown(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	clock := clockwork.NewFakeClock()
	down := make([]read, 100)
	for i := range down {
		down[i].err = errors.New("down")
	}
	l := &log{cancel: cancel, reads: down}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	counts, err := follower.NewReadCounter(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	f := follower.New(clock, l, "t", follower.Settings{RetryDelay: 250 * time.Millisecond}, func(gooseberrypass.Event) {}, counts, logger)
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	for range 36 { // 9 s
		if err := clock.BlockUntilContext(ctx, 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(250 * time.Millisecond)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	// After 0, 0.25 and 0.75 s, and each second from 1.75 s on.
	if got, most := len(l.calls), 12; got > most {
		t.Errorf("got %d calls in 9 s, want at most %d", got, most)
	}
}

// A process that the store turned away from its start on leaves the topic to the one
// that passes on its records.
func TestTurnedAwayProcessStandsByOnceItHasRecords(t *testing.T) {
	checks := 0
	settings := follower.Settings{
		NextOffset: func() gooseberrypass.Offset { return 8 },
		ShouldRead: func() bool { checks++; return checks > 2 },
	}
	calls, _ := followWith(t, settings, read{err: errors.New("turned away")}, read{batch: batch(9, true, "b")})
	wantCalls(t, calls, "newest", "newest", "tail 9")
	if checks < 3 {
		t.Errorf("got %d checks for another reader, want at least 3", checks)
	}
}

// A slowLog takes a while to fail.
type slowLog struct {
	log
	clock *clockwork.FakeClock
	takes time.Duration
}

func (l *slowLog) Newest(ctx context.Context, topic gooseberrypass.Topic) (gooseberrypass.KeyedBatch, error) {
	l.clock.Advance(l.takes)
	return l.log.Newest(ctx, topic)
}

// What a failed read shows of an outage holds from its start on.
func TestStartOfAFailedReadIsReported(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	clock := clockwork.NewFakeClock()
	began := clock.Now()
	l := &slowLog{clock: clock, log: log{cancel: cancel, reads: []read{{err: errors.New("no answer")}}}, takes: 2 * time.Second}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	counts, err := follower.NewReadCounter(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	var reads []gooseberrypass.TopicRead
	post := func(e gooseberrypass.Event) {
		if r, ok := e.(gooseberrypass.TopicRead); ok {
			reads = append(reads, r)
		}
	}
	if err := follower.New(clock, l, "t", follower.Settings{}, post, counts, logger).Run(ctx); err != nil {
		t.Fatal(err)
	}
	if len(reads) != 1 || reads[0].Err == nil || !reads[0].Started.Equal(began) {
		t.Errorf("reads: got %+v, want a failed one that began at %s", reads, began)
	}
}
