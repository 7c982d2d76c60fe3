package reserver_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass/reserver"
)

// testSettings have 1,000 bytes, 200 of them for small bodies.
func testSettings() reserver.Settings {
	return reserver.Settings{Small: 200, SmallBody: 50, Stall: time.Second, Total: 1000, Wait: 2 * time.Second}
}

// mustReserve reserves memory that is available at once.
func mustReserve(t *testing.T, r *reserver.Reservation, n int64) {
	t.Helper()
	if err := r.Reserve(t.Context(), n); err != nil {
		t.Fatalf("reserve %d bytes: got %v, want none", n, err)
	}
}

// Large bodies must not take the memory that ordinary callers need.
func TestSmallBodiesHaveTheirOwnPart(t *testing.T) {
	b := reserver.New(clockwork.NewFakeClock(), testSettings(), nil)
	mustReserve(t, b.Open(nil), 800)
	if large := b.Open(nil); large.TryReserve(51) {
		t.Error("large body: got memory of the part for small ones, want none")
	}
	if b.Open(nil).TryReserve(50) {
		t.Error("answer: got memory of the part for small bodies, want none")
	}
	for range 4 {
		mustReserve(t, b.Open(nil), 50)
	}
	if got := b.Usage().Used; got != 1000 {
		t.Errorf("got %d bytes used, want 1000", got)
	}
}

// A body that stops short of its end must not keep its memory while others need it. The one
// that made no progress for longest is given up, and no more than needed.
func TestBodyWithoutProgressIsGivenUp(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := reserver.New(clock, testSettings(), nil)
	var gaveUp []int
	bodies := make([]*reserver.Reservation, 4)
	for i := range bodies {
		bodies[i] = b.Open(func() { gaveUp = append(gaveUp, i) })
		mustReserve(t, bodies[i], 200)
		clock.Advance(100 * time.Millisecond)
	}
	bodies[0].Progress(1 << 10) // later than the others
	bodies[1].Complete()        // may run
	clock.Advance(2 * time.Second)
	bodies[2].Progress(1) // too little to count
	done := make(chan error, 1)
	next := b.Open(func() {})
	go func() { done <- next.Reserve(t.Context(), 200) }()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil { // waits for the memory of the body that was given up
		t.Fatal(err)
	}
	if len(gaveUp) != 1 || gaveUp[0] != 2 {
		t.Fatalf("got bodies %v given up, want 2 alone", gaveUp)
	}
	if bodies[2].Complete() {
		t.Error("got a body that was given up complete, want its request refused")
	}
	bodies[2].Close()
	if err := <-done; err != nil {
		t.Errorf("got %v, want the memory of the body that was given up", err)
	}
}

// A caller must get its refusal after a bounded time if no body may be given up.
func TestReservationIsRefusedAfterItsWait(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var states []bool
	b := reserver.New(clock, testSettings(), func(short bool, _ reserver.Usage) { states = append(states, short) })
	held := b.Open(func() { t.Error("got a complete body given up, want none") })
	mustReserve(t, held, 800)
	held.Complete()
	done := make(chan error, 1)
	go func() { done <- b.Open(nil).Reserve(t.Context(), 100) }()
	for range 2 {
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(time.Second)
	}
	if err := <-done; !errors.Is(err, reserver.ErrShort) {
		t.Errorf("got %v, want %v", err, reserver.ErrShort)
	}
	if err := b.Open(nil).Reserve(t.Context(), 801); !errors.Is(err, reserver.ErrShort) {
		t.Errorf("more than there is: got %v, want %v at once", err, reserver.ErrShort)
	}
	clock.Advance(time.Minute)
	held.Close()
	if len(states) != 2 || !states[0] || states[1] {
		t.Errorf("got changes of state %v, want short and available, once each", states)
	}
}

// A connection that is needed for a new caller is taken from the body without progress.
func TestGiveUpStalledLeavesBodiesThatArrive(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := reserver.New(clock, testSettings(), nil)
	gaveUp := false
	r := b.Open(func() { gaveUp = true })
	if b.GiveUpStalled() || gaveUp {
		t.Error("got a new body given up, want none")
	}
	clock.Advance(time.Second)
	if !b.GiveUpStalled() || !r.GivenUp() || b.GiveUpStalled() {
		t.Error("want the stalled body given up, once")
	}
}

// The whole body must arrive whatever the pieces, and its memory must stay near its size.
func TestReadBody(t *testing.T) {
	const limit = 4 << 20
	for _, size := range []int{0, 1, 16 << 10, 16<<10 + 1, 100_000, limit} {
		for name, announced := range map[string]int64{"announced": int64(size), "chunked": -1} {
			b := reserver.New(clockwork.NewFakeClock(), reserver.SettingsFor(184<<20), nil)
			r := b.Open(nil)
			want := bytes.Repeat([]byte("x"), size)
			got, err := r.ReadBody(t.Context(), iotest.HalfReader(bytes.NewReader(want)), announced, limit)
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("%s %d: got %d bytes and %v", name, size, len(got), err)
			}
			if used := b.Usage().Used; used > 2*int64(size)+16<<10 || used < int64(size) {
				t.Errorf("%s %d: got %d bytes reserved", name, size, used)
			}
			r.Close()
			if used := b.Usage().Used; used != 0 {
				t.Errorf("%s %d: got %d bytes reserved after the end, want 0", name, size, used)
			}
		}
	}
}

// An oversized body must not be read if it is announced, nor beyond the limit if it is not.
func TestOversizedBodyIsNotRead(t *testing.T) {
	b := reserver.New(clockwork.NewFakeClock(), reserver.SettingsFor(184<<20), nil)
	body := strings.NewReader(strings.Repeat("x", 1<<20))
	if _, err := b.Open(nil).ReadBody(t.Context(), body, 1<<20, 1000); !errors.Is(err, reserver.ErrTooLarge) || body.Len() != 1<<20 {
		t.Errorf("announced: got %v and %d bytes left, want %v and all", err, body.Len(), reserver.ErrTooLarge)
	}
	if _, err := b.Open(nil).ReadBody(t.Context(), body, -1, 1000); !errors.Is(err, reserver.ErrTooLarge) || body.Len() < 1<<20-1001 {
		t.Errorf("chunked: got %v and %d bytes left, want %v and all but 1001", err, body.Len(), reserver.ErrTooLarge)
	}
	if _, err := b.Open(nil).ReadBody(t.Context(), iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("xy"))), 2, 1000); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("interrupted: got %v, want an error", err)
	}
}

// At the limit the connection of an ordinary caller, idle between requests, goes after those
// that are stuck, and one whose request is handled never.
func TestChooseConn(t *testing.T) {
	now := time.Now()
	ago := func(s int) time.Time { return now.Add(-time.Duration(s) * time.Second) }
	busy := reserver.ConnState{Busy: true, Since: ago(90)}
	idle := reserver.ConnState{Since: ago(9), Used: true}
	for name, tt := range map[string]struct {
		conns []reserver.ConnState
		want  int
	}{
		"all busy":             {[]reserver.ConnState{busy, busy}, -1},
		"idle for longest":     {[]reserver.ConnState{busy, {Since: ago(3), Used: true}, idle}, 2},
		"stuck before idle":    {[]reserver.ConnState{idle, {Since: ago(2)}, {Since: ago(4)}}, 2},
		"idle before just new": {[]reserver.ConnState{{Since: now}, idle}, 1},
		"just new":             {[]reserver.ConnState{busy, {Since: now}}, 1},
	} {
		if got := reserver.ChooseConn(now, tt.conns); got != tt.want {
			t.Errorf("%s: got %d, want %d", name, got, tt.want)
		}
	}
}

// Ordinary callers must not meet the limit of connections on any machine of the deployments.
func TestMaxConnections(t *testing.T) {
	for _, tt := range []struct {
		memory      int64
		files, want int
	}{{184 << 20, 4100, 981}, {536 << 20, 8192, 2858}, {424 << 20, 10250, 2261}, {424 << 20, 1000, 800}, {1 << 20, 10, 16}} {
		if got := reserver.MaxConnections(tt.memory, tt.files, 200); got != tt.want {
			t.Errorf("%d bytes, %d files: got %d, want %d", tt.memory, tt.files, got, tt.want)
		}
	}
}

// An attempt beside another one may still read its answer when the request has ended. What it
// reserved then was never given back.
func TestClosedReservationGetsNoMemory(t *testing.T) {
	b := reserver.New(clockwork.NewFakeClock(), testSettings(), nil)
	r := b.Open(nil)
	r.Close()
	if r.TryReserve(100) {
		t.Error("part of an answer: got memory after the end, want none")
	}
	if err := r.Reserve(t.Context(), 100); !errors.Is(err, reserver.ErrShort) {
		t.Errorf("body: got %v, want %v", err, reserver.ErrShort)
	}
	if got := b.Usage().Used; got != 0 {
		t.Errorf("got %d bytes used, want 0", got)
	}
}

// A timerClock counts its timers.
type timerClock struct {
	*clockwork.FakeClock
	timers atomic.Int32
}

func (c *timerClock) NewTimer(d time.Duration) clockwork.Timer {
	c.timers.Add(1)
	return c.FakeClock.NewTimer(d)
}

// Each request that ended woke up all that waited for memory, each of which looked at all
// bodies: a small machine with hundreds of them spent its time there.
func TestReleaseWakesOnlyAsManyAsFit(t *testing.T) {
	const waiting = 20
	clock := &timerClock{FakeClock: clockwork.NewFakeClock()}
	b := reserver.New(clock, testSettings(), nil)
	held := b.Open(nil)
	mustReserve(t, held, 800)
	granted := make(chan struct{}, waiting)
	for range waiting {
		go func() {
			if b.Open(nil).Reserve(t.Context(), 100) == nil {
				granted <- struct{}{}
			}
		}()
	}
	if err := clock.BlockUntilContext(t.Context(), waiting); err != nil {
		t.Fatal(err)
	}
	held.Shrink(99)
	held.Shrink(1)
	<-granted
	held.Shrink(100)
	<-granted
	if err := clock.BlockUntilContext(t.Context(), waiting-2); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // lets others that were woken up wait again
	if got := clock.timers.Load(); got != waiting {
		t.Errorf("got %d waits, want %d", got, waiting)
	}
}
