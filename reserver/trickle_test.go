package reserver_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
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
	mustReserve(t, b.Open(nil), total-total/4)
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
