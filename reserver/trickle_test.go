package reserver_test

import (
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass/reserver"
)

// A pacedBody arrives in pieces, one after each pause of a fake clock.
type pacedBody struct {
	before func() // runs before each piece
	came   int    // bytes that have arrived and were not read
	clock  *clockwork.FakeClock
	gone   bool // given up
	left   int  // bytes
	pause  time.Duration
	piece  int
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.came == 0 && b.left > 0 {
		b.clock.Advance(b.pause)
		b.before()
		b.came = min(b.piece, b.left)
		b.left -= b.came
	}
	switch {
	case b.gone:
		return 0, errors.New("read ended")
	case b.came == 0:
		return 0, io.EOF
	}
	n := min(len(p), b.came)
	b.came -= n
	return n, nil
}

// needConn is a new connection at the limit of connections.
func needConn(_ context.Context, b *reserver.Budget) { b.GiveUpStalled() }

// needMemory is a new small body that needs more memory than is free.
func needMemory(ctx context.Context, b *reserver.Budget) {
	r := b.Open(nil)
	defer r.Close()
	_ = r.Reserve(ctx, 64<<10)
}

// fillMemory takes the memory but for 16 KiB, the first buffer of a body, and less than 64 KiB.
func fillMemory(t *testing.T, b *reserver.Budget) {
	t.Helper()
	total := b.Usage().Total
	mustReserve(t, b.Open(nil), total-total/4-b.Usage().Used)
	for b.Usage().Used+80<<10 <= total {
		mustReserve(t, b.Open(nil), 64<<10)
	}
}

// A crowd of callers held all connections, or all memory, with legal bodies that trickle: each
// made progress in time, however long it would need.
func TestBodyThatTricklesMakesRoom(t *testing.T) {
	const maxBody = 4 << 20
	ended, cancel := context.WithCancel(t.Context())
	cancel() // nobody waits for memory
	for name, tt := range map[string]struct {
		announced int64
		size      int
		need      func(ctx context.Context, b *reserver.Budget)
	}{
		"connection, large":   {maxBody - 1024, maxBody - 1024, needConn},
		"connection, small":   {40 << 10, 40 << 10, needConn},
		"connection, chunked": {-1, maxBody - 1024, needConn},
		"memory, large":       {maxBody - 1024, maxBody - 1024, needMemory},
		"memory, small":       {40 << 10, 40 << 10, needMemory},
		"memory, chunked":     {-1, maxBody - 1024, needMemory},
	} {
		clock := clockwork.NewFakeClock()
		b := reserver.New(clock, reserver.SettingsFor(284<<20), nil)
		if strings.HasPrefix(name, "memory") {
			fillMemory(t, b)
		}
		begin := clock.Now()
		body := &pacedBody{clock: clock, left: tt.size, pause: 200 * time.Millisecond, piece: 1200}
		body.before = func() {
			if clock.Since(begin) >= 2*time.Second {
				tt.need(ended, b)
			}
		}
		r := b.Open(func() { body.gone = true })
		if _, err := r.ReadBody(ended, body, tt.announced, maxBody); !errors.Is(err, reserver.ErrGivenUp) {
			t.Errorf("%s: got %v after %s, want the body given up", name, err, clock.Since(begin))
		}
	}
}

// A body that has most of its time left, or whose pace is not known yet, must not be given up: it
// would never end at the limit, as callers that come again at once would push it out.
func TestBodyThatEndsInTimeKeepsItsPlace(t *testing.T) {
	for name, tt := range map[string]struct {
		announced int64
		size      int
		pause     time.Duration
		piece     int
	}{
		"large":          {4 << 20, 4 << 20, 100 * time.Millisecond, 512 << 10},
		"chunked":        {-1, 4 << 20, 100 * time.Millisecond, 512 << 10},
		"small in parts": {3000, 3000, 200 * time.Millisecond, 1200},
		"just begun":     {4 << 20, 1200, 200 * time.Millisecond, 1200},
	} {
		clock := clockwork.NewFakeClock()
		b := reserver.New(clock, reserver.SettingsFor(284<<20), nil)
		body := &pacedBody{clock: clock, left: tt.size, pause: tt.pause, piece: tt.piece}
		body.before = func() { needConn(t.Context(), b) }
		r := b.Open(func() { body.gone = true })
		if _, err := r.ReadBody(t.Context(), body, tt.announced, 4<<20); err != nil {
			t.Errorf("%s: got %v, want the body", name, err)
		}
	}
}

// A body that was fast, and trickles once it holds much memory, must not count by its average.
func TestBodyThatBeginsToTrickleMakesRoom(t *testing.T) {
	const size = 4 << 20
	clock := clockwork.NewFakeClock()
	b := reserver.New(clock, reserver.SettingsFor(284<<20), nil)
	body := &pacedBody{clock: clock, left: size, pause: 100 * time.Millisecond, piece: size - 100<<10}
	begin := clock.Now()
	body.before = func() {
		if body.left < size {
			body.pause, body.piece = 200*time.Millisecond, 1200
		}
		needConn(t.Context(), b)
	}
	r := b.Open(func() { body.gone = true })
	_, err := r.ReadBody(t.Context(), body, size, size)
	if got := clock.Since(begin); !errors.Is(err, reserver.ErrGivenUp) || got > 4*time.Second {
		t.Errorf("got %v after %s, want the body given up within 4s", err, got)
	}
}

// openPaced opens bodies of the given lengths of which n bytes have arrived in each of 10 steps
// of 200 ms. It returns the indexes of those that are given up, in order.
func openPaced(t *testing.T, clock *clockwork.FakeClock, b *reserver.Budget, n int64, lengths ...int64) *[]int {
	t.Helper()
	gaveUp := &[]int{}
	bodies := make([]*reserver.Reservation, len(lengths))
	for i, length := range lengths {
		bodies[i] = b.Open(func() { *gaveUp = append(*gaveUp, i) })
		mustReserve(t, bodies[i], 16<<10)
		// Records the length, and reads nothing.
		_, _ = bodies[i].ReadBody(t.Context(), iotest.ErrReader(io.ErrNoProgress), length, 4<<20)
	}
	for range 10 {
		clock.Advance(200 * time.Millisecond)
		for _, r := range bodies {
			r.Progress(n)
		}
	}
	return gaveUp
}

// The bodies that need longest go first, those that cannot end in their time before others, and
// those that end soon stay.
func TestBodyThatNeedsLongestIsGivenUpFirst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := reserver.New(clock, reserver.SettingsFor(284<<20), nil)
	gaveUp := openPaced(t, clock, b, 1200, 30<<10, 4<<20, 13000, 1<<20, 60<<10)
	for b.GiveUpLate() {
	}
	if got, want := *gaveUp, []int{1, 3}; !slices.Equal(got, want) {
		t.Fatalf("got bodies %v given up as late, want %v", got, want)
	}
	for b.GiveUpStalled() {
	}
	if got, want := *gaveUp, []int{1, 3, 4, 0}; !slices.Equal(got, want) {
		t.Errorf("got bodies %v given up, want %v", got, want)
	}
}

// A large body must not push out those that end before it, and a small one only those that need
// long.
func TestMemoryIsTakenFromBodiesThatNeedLonger(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel() // nobody waits for memory
	for name, tt := range map[string]struct {
		need int64
		want []int
	}{
		"small": {64 << 10, []int{1, 0}},
		"large": {128 << 10, []int{1}},
	} {
		clock := clockwork.NewFakeClock()
		b := reserver.New(clock, reserver.SettingsFor(284<<20), nil)
		gaveUp := openPaced(t, clock, b, 1200, 30<<10, 4<<20, 13000)
		fillMemory(t, b)
		for b.Usage().Total-b.Usage().Used >= 1<<10 {
			mustReserve(t, b.Open(nil), 1<<10)
		}
		if err := b.Open(nil).Reserve(ended, tt.need); err == nil {
			t.Errorf("%s: got memory, want none yet", name)
		}
		if !slices.Equal(*gaveUp, tt.want) {
			t.Errorf("%s: got bodies %v given up, want %v", name, *gaveUp, tt.want)
		}
	}
}

// A caller that waited for memory is not to blame for the time that its body took.
func TestWaitForMemoryIsNoPartOfThePace(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := reserver.New(clock, reserver.SettingsFor(284<<20), nil)
	total := b.Usage().Total
	held := b.Open(nil)
	mustReserve(t, held, total-total/4)
	r := b.Open(func() { t.Error("got the body given up, want none") })
	_, _ = r.ReadBody(t.Context(), iotest.ErrReader(io.ErrNoProgress), 1<<20, 4<<20) // records the length, and reads nothing
	r.Progress(100 << 10)
	done := make(chan error, 1)
	go func() { done <- r.Reserve(t.Context(), 128<<10) }()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(240 * time.Millisecond)
	held.Close()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	clock.Advance(200 * time.Millisecond)
	if b.GiveUpStalled() {
		t.Error("got a body given up, want none")
	}
}

// The memory of a head with many fields that trickles was held as that of a body.
func TestHeadThatTricklesMakesRoom(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := reserver.New(clock, reserver.SettingsFor(284<<20), nil)
	r := b.Open(func() {})
	for range 10 {
		clock.Advance(200 * time.Millisecond)
		r.Progress(16 << 10)
	}
	if !b.GiveUpStalled() || !r.GivenUp() {
		t.Error("got no head given up, want the one that trickles")
	}
}
