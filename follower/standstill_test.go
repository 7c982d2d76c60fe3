package follower_test

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/follower"
)

// standstill is longer than any time in which a process that runs has no answer.
const standstill = 4 * time.Second

// startFollower runs a follower of l until the test ends, and returns its changes.
func startFollower(ctx context.Context, t *testing.T, clock gooseberrypass.Clock, l gooseberrypass.KeyedLog, settings follower.Settings) <-chan gooseberrypass.TopicChanged {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	counts, err := follower.NewReadCounter(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	changes := make(chan gooseberrypass.TopicChanged, 2)
	f := follower.New(clock, l, "t", settings, func(e gooseberrypass.Event) {
		if e, ok := e.(gooseberrypass.TopicChanged); ok {
			changes <- e
		}
	}, counts, logger)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return changes
}

// A process stood still while a check was on its way, which timed out. It forgot when the log had last
// answered, and counted a record that was written meanwhile as new.
func TestCheckThatTimedOutInAStandstillKeepsTheTimeOfTheLastAnswer(t *testing.T) {
	if got, want := readAfterStandstill(t, errors.New("timed out")); got.ReadFrom.IsZero() || got.ReadFrom.After(want) {
		t.Errorf("got %s, want a time up to %s: no answer came since", got.ReadFrom, want)
	}
}

// A process that left the reads to another one stood still, and that one ended meanwhile. It counted a
// record that was written meanwhile from shortly before its end of the standstill.
func TestStandstillOnStandbyIsNoTimeWithAnswers(t *testing.T) {
	const handover = 1550 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	defer cancel()
	clock := clockwork.NewFakeClock()
	start := clock.Now()
	var reads atomic.Bool
	l := &silentLog{clock: clock, checks: make(chan read, 1), polls: make(chan gooseberrypass.Offset, 1)}
	l.checks <- read{batch: batch(5, false, "b")}
	changes := startFollower(ctx, t, clock, l, follower.Settings{
		Handover: handover, NextOffset: func() gooseberrypass.Offset { return 3 }, ShouldRead: reads.Load,
	})
	<-changes // the first read
	if err := clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal("no standby")
	}
	reads.Store(true)
	clock.Advance(standstill)
	select {
	case got := <-changes:
		if want := start.Add(-handover); got.ReadFrom.IsZero() || got.ReadFrom.After(want) {
			t.Errorf("got %s after the start, want at most %s: the reader before was not heard since", got.ReadFrom.Sub(start), want.Sub(start))
		}
	case <-ctx.Done():
		t.Error("no records")
	}
}
