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

const (
	callTimeout = 2 * time.Second // of a read without a wait time
	checkPeriod = time.Second
	longPoll    = 25 * time.Second
	testLimit   = 20 * time.Second // time after which a test has failed
)

// A silentLog does not answer long polls, and answers short reads in order of checks; once
// these are used up, it returns no records.
type silentLog struct {
	checks chan read
	clock  gooseberrypass.Clock
	newest gooseberrypass.Offset      // after the first read
	polls  chan gooseberrypass.Offset // offsets of the long polls
	read   bool
}

func (l *silentLog) Newest(context.Context, gooseberrypass.Topic) (gooseberrypass.KeyedBatch, error) {
	if l.read {
		return batch(l.newest, true, "a"), nil
	}
	l.read = true
	return batch(3, true, "a"), nil
}

func (*silentLog) Put(context.Context, gooseberrypass.Topic, string, []byte) error { return nil }

func (l *silentLog) Tail(ctx context.Context, _ gooseberrypass.Topic, from gooseberrypass.Offset, wait time.Duration) (gooseberrypass.KeyedBatch, error) {
	if wait > 0 {
		select {
		case l.polls <- from:
			<-ctx.Done()
		case <-ctx.Done():
		}
		return gooseberrypass.KeyedBatch{}, ctx.Err()
	}
	select {
	case r := <-l.checks:
		if errors.Is(r.err, errLost) {
			<-l.clock.NewTimer(callTimeout).Chan()
		}
		return r.batch, r.err
	default:
		return batch(from, false), nil
	}
}

// errLost stands for a read whose answer is lost.
var errLost = errors.New("answer lost")

// The answer to a long poll is lost, and the connection returns nothing further. The process
// went on with the records before until the poll timed out.
func TestRecordBehindALostAnswerIsReadWithinACheckPeriod(t *testing.T) {
	unavailable := read{err: errors.New("unavailable")}
	records := read{batch: batch(5, false, "b")}
	for _, tt := range []struct {
		name   string
		checks []read
		next   gooseberrypass.Offset // of the poll that follows
		within time.Duration
	}{
		{name: "first check", checks: []read{records}, next: 5, within: checkPeriod},
		{name: "records come later", checks: []read{{batch: batch(3, false)}, {batch: batch(3, false)}, records}, next: 5, within: 3 * checkPeriod},
		{name: "a check fails", checks: []read{unavailable, records}, next: 5, within: 2 * checkPeriod},
		{name: "the answer to a check is lost too", checks: []read{{err: errLost}, records}, next: 5, within: checkPeriod + callTimeout},
		{name: "trimmed", checks: []read{{err: &gooseberrypass.TrimmedError{First: 9}}}, next: 9, within: checkPeriod},
		{name: "restored", checks: []read{{err: &gooseberrypass.RestoredError{Restores: 1}}}, next: gooseberrypass.NewOffset(1, 2), within: checkPeriod},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testLimit)
			defer cancel()
			clock := clockwork.NewFakeClock()
			l := &silentLog{checks: make(chan read, len(tt.checks)), clock: clock, newest: tt.next, polls: make(chan gooseberrypass.Offset, 1)}
			for _, r := range tt.checks {
				l.checks <- r
			}
			done := followSilent(ctx, t, clock, l)
			if got := <-l.polls; got != 3 {
				t.Fatalf("offset of the first poll: got %d, want 3", got)
			}
			for range tt.within / checkPeriod {
				if err := clock.BlockUntilContext(ctx, 1); err != nil {
					t.Fatal("no other read while a long poll waits")
				}
				clock.Advance(checkPeriod)
			}
			select {
			case got := <-l.polls:
				if got != tt.next {
					t.Errorf("offset of the next poll: got %d, want %d", got, tt.next)
				}
			case <-ctx.Done():
				t.Errorf("the long poll still waits after %s", tt.within)
			}
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

// followSilent runs a follower of l until ctx is done.
func followSilent(ctx context.Context, t *testing.T, clock gooseberrypass.Clock, l *silentLog) <-chan error {
	t.Helper()
	return followSilentTo(ctx, t, clock, l, func(gooseberrypass.Event) {})
}

// followSilentTo follows the topic and posts its events to post.
func followSilentTo(ctx context.Context, t *testing.T, clock gooseberrypass.Clock, l *silentLog, post func(gooseberrypass.Event)) <-chan error {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	counts, err := follower.NewReadCounter(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	f := follower.New(clock, l, "t", follower.Settings{CheckPeriod: checkPeriod, LongPoll: longPoll}, post, counts, logger)
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	return done
}

// Reads that find nothing leave the long poll alone.
func TestChecksWithoutRecordsKeepTheLongPoll(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	clock := clockwork.NewFakeClock()
	l := &silentLog{clock: clock, polls: make(chan gooseberrypass.Offset, 1)}
	done := followSilent(ctx, t, clock, l)
	<-l.polls
	for range longPoll / checkPeriod {
		if err := clock.BlockUntilContext(ctx, 1); err != nil {
			t.Fatal("no other read while a long poll waits")
		}
		clock.Advance(checkPeriod)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if got := len(l.polls); got != 0 {
		t.Errorf("got %d further polls, want none", got)
	}
}

// A process that stood still cannot tell a record that was written when it read it from one
// that is seconds old, unless a read tells when the log answered before.
func TestReadTellsTheLastAnswerBeforeIt(t *testing.T) {
	records := read{batch: batch(5, false, "b")}
	for _, tt := range []struct {
		name   string
		checks []read
		want   time.Duration // since the start, -1 for unknown
	}{
		{name: "records at the first check", checks: []read{records}, want: 0},
		{name: "records at the third check", checks: []read{{batch: batch(3, false)}, {batch: batch(3, false)}, records}, want: 2 * checkPeriod},
		{name: "the log was unavailable", checks: []read{{err: errors.New("unavailable")}, records}, want: -1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testLimit)
			defer cancel()
			clock := clockwork.NewFakeClock()
			start := clock.Now()
			l := &silentLog{checks: make(chan read, len(tt.checks)), clock: clock, polls: make(chan gooseberrypass.Offset, 1)}
			for _, r := range tt.checks {
				l.checks <- r
			}
			changes := make(chan gooseberrypass.TopicChanged, 2)
			done := followSilentTo(ctx, t, clock, l, func(e gooseberrypass.Event) {
				if e, ok := e.(gooseberrypass.TopicChanged); ok {
					changes <- e
				}
			})
			<-l.polls
			for range tt.checks {
				if err := clock.BlockUntilContext(ctx, 1); err != nil {
					t.Fatal("no check")
				}
				clock.Advance(checkPeriod)
			}
			if first := <-changes; !first.ReadFrom.IsZero() {
				t.Errorf("first read: got a read before it at %s, want none", first.ReadFrom)
			}
			got, want := (<-changes).ReadFrom, time.Time{}
			if tt.want >= 0 {
				want = start.Add(tt.want)
			}
			if !got.Equal(want) {
				t.Errorf("got %s, want %s", got, want)
			}
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}
