package follower_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/follower"
)

// A frozenLog answers the first short read at once or fails, which the process learns after gap.
// Further short reads return a record.
type frozenLog struct {
	silentLog
	err   error
	gap   time.Duration
	reads int
	short chan struct{}
}

func newFrozenLog(clock *clockwork.FakeClock, gap time.Duration) *frozenLog {
	return &frozenLog{silentLog: silentLog{clock: clock, polls: make(chan gooseberrypass.Offset, 1)}, gap: gap, short: make(chan struct{}, 1)}
}

func (l *frozenLog) Tail(ctx context.Context, topic gooseberrypass.Topic, from gooseberrypass.Offset, wait time.Duration) (gooseberrypass.KeyedBatch, error) {
	if wait > 0 {
		return l.silentLog.Tail(ctx, topic, from, wait)
	}
	l.reads++
	if l.reads > 1 {
		return batch(5, false, "b"), nil
	}
	timer := l.clock.NewTimer(l.gap)
	l.short <- struct{}{}
	<-timer.Chan()
	return batch(from, false), l.err
}

// readAfterStandstill lets a process stand still while its first check is answered, or fails with err. It returns
// the change that the next check brings, and when the first one began.
func readAfterStandstill(t *testing.T, err error) (gooseberrypass.TopicChanged, time.Time) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	clock := clockwork.NewFakeClock()
	start := clock.Now()
	l := newFrozenLog(clock, standstill)
	l.err = err
	changes := startFollower(ctx, t, clock, l, follower.Settings{CheckPeriod: checkPeriod, LongPoll: longPoll})
	<-l.polls
	if err := clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal("no check")
	}
	clock.Advance(checkPeriod)
	<-l.short
	clock.Advance(standstill)
	<-changes // the first read
	select {
	case change := <-changes:
		return change, start.Add(checkPeriod)
	case <-ctx.Done():
		t.Fatal("no records")
		return gooseberrypass.TopicChanged{}, start
	}
}

// A process stood still while the answer to a check was on its way. It counted the time at which
// it took that answer as the time at which the log had answered, and a record that was written
// meanwhile as new.
func TestAnswerThatWaitedIsNoLateAnswer(t *testing.T) {
	if got, want := readAfterStandstill(t, nil); got.ReadFrom.After(want) {
		t.Errorf("got %s, want at most %s: the log had answered by then", got.ReadFrom, want)
	}
}

// A process that takes over reading counted a record as written when it read it, and told others
// so. The reader before may have been silent or without answers for over a second.
func TestFirstReadAfterStandbyTellsAnAnswerBefore(t *testing.T) {
	checks := 0
	settings := follower.Settings{
		NextOffset: func() gooseberrypass.Offset { return 8 },
		ShouldRead: func() bool { checks++; return checks > 2 },
	}
	_, events := followWith(t, settings, read{batch: batch(3, true, "a")}, read{batch: batch(9, false, "b")})
	n := 0
	for _, e := range events {
		if e, ok := e.(gooseberrypass.TopicChanged); ok {
			if n++; n == 2 && e.ReadFrom.IsZero() {
				t.Error("got no time of an answer before, want one")
			}
		}
	}
	if n != 2 {
		t.Errorf("got %d changes, want 2", n)
	}
}
