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

// A process read on from an offset of before a restore and missed what had been written at
// lower ones since.
func TestReadsEveryKeyAgainAfterARestore(t *testing.T) {
	calls, events := follow(t, read{batch: batch(3, true, "a")}, read{err: &gooseberrypass.RestoredError{Restores: 1}}, read{batch: batch(gooseberrypass.NewOffset(1, 2), true, "a")})
	wantCalls(t, calls, "newest", "tail 3", "newest")
	last, ok := events[2].(gooseberrypass.TopicChanged)
	if !ok || last.FirstRead || last.Batch.Next != gooseberrypass.NewOffset(1, 2) {
		t.Errorf("got %+v, want every key after the restore", events[2])
	}
}

// An answer that is older than what the process knows is a failed read.
func TestAnswerFromBeforeARestoreIsAFailedRead(t *testing.T) {
	next := gooseberrypass.NewOffset(2, 3)
	calls, events := follow(t, read{batch: batch(next, true, "a")}, read{err: &gooseberrypass.RestoredError{Restores: 1}})
	if len(calls) > 2 && calls[2] == "newest" {
		t.Errorf("calls: got %v, want no other read of every key", calls)
	}
	if r, ok := events[2].(gooseberrypass.TopicRead); !ok || r.Err == nil {
		t.Errorf("got %+v, want a failed read", events[2])
	}
}

// A pollingLog holds reads of topic "slow" until they are withdrawn, as a log does whose
// end is again at the offset of the read. Reads of topic "quick" see a restore.
type pollingLog struct {
	polling chan struct{} // a read of "slow" waits
	reread  chan struct{} // "slow" was read anew
	reads   map[gooseberrypass.Topic]int
}

func (l *pollingLog) Newest(_ context.Context, topic gooseberrypass.Topic) (gooseberrypass.KeyedBatch, error) {
	if topic == "quick" {
		<-l.polling
		return batch(gooseberrypass.NewOffset(1, 1), true, "a"), nil
	}
	l.reads[topic]++
	if l.reads[topic] == 2 {
		close(l.reread)
		return batch(gooseberrypass.NewOffset(1, 4), true, "a"), nil
	}
	return batch(4, true, "a"), nil
}

func (*pollingLog) Put(context.Context, gooseberrypass.Topic, string, []byte) error { return nil }

func (l *pollingLog) Tail(ctx context.Context, topic gooseberrypass.Topic, from gooseberrypass.Offset, _ time.Duration) (gooseberrypass.KeyedBatch, error) {
	if topic == "slow" && from.Restores() == 0 {
		close(l.polling)
	}
	<-ctx.Done()
	return gooseberrypass.KeyedBatch{}, ctx.Err()
}

// The end of a topic may be where it was before a restore, so that a read waits there while
// the records before it are others. It ends when another topic shows the restore.
func TestLongPollEndsWhenAnotherTopicShowsARestore(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	counts, err := follower.NewReadCounter(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	l := &pollingLog{polling: make(chan struct{}), reads: map[gooseberrypass.Topic]int{}, reread: make(chan struct{})}
	settings := follower.Settings{LongPoll: time.Hour, Restores: follower.NewRestores()}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 2)
	for _, topic := range []gooseberrypass.Topic{"slow", "quick"} {
		f := follower.New(clockwork.NewRealClock(), l, topic, settings, func(gooseberrypass.Event) {}, counts, logger)
		go func() { done <- f.Run(ctx) }()
	}
	<-l.reread
	cancel()
	for range 2 {
		if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}
}
