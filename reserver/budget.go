// Package reserver bounds the memory that a process holds for the bodies of requests and
// answers, over all its callers, and decides which bodies and connections are given up
// when the bound is reached.
package reserver

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
)

// ErrShort is returned when memory did not become available in time.
var ErrShort = errors.New("no memory for the body")

// ErrGivenUp is returned for a body that was given up, because it made no progress or too little
// while others needed its memory or its connection.
var ErrGivenUp = errors.New("body arrived too slowly and its place was needed")

// BodyTimeout bounds the time to receive the body of a request.
const BodyTimeout = 30 * time.Second

// ErrTooLarge is returned for a body above its limit.
var ErrTooLarge = errors.New("body too large")

// Reasons for which requests are refused while their bodies are read.
const (
	ReasonBodyMemory   = "body_memory"
	ReasonBodyStalled  = "body_stalled"
	ReasonBodyTooLarge = "body_too_large"
)

// Settings configure a Budget.
type Settings struct {
	Small     int64         // bytes of Total that only small bodies get
	SmallBody int64         // most bytes that a small body holds, while its buffer grows too
	Stall     time.Duration // time without progress after which a body may be given up, and for which a pace is watched
	Time      time.Duration // longest time of a body, 0 for no limit
	Total     int64         // bytes for all bodies
	Wait      time.Duration // longest wait for memory; a body that needs longer to its end is slow
}

// The shares and limits of SettingsFor.
const (
	memoryShare    = 5        // one part of so many is for bodies; the Go runtime needs as much again until a collection
	minTotal       = 16 << 20 // bytes; a single body of 4 MiB needs 6 MiB while its buffer grows
	smallShare     = 4        // one part of so many of the total is for small bodies
	smallBody      = 64 << 10 // bytes; a body of 32 KiB while its buffer grows, as ordinary prompts have a few thousand tokens
	stallTime      = time.Second / 4
	waitTime       = time.Second
	connShare      = 4        // one part of so many of the memory is for connections
	connBytes      = 48 << 10 // bytes; two goroutines, buffers, a head of 16 KiB
	minConnections = 16
)

// SettingsFor returns the settings for a process that may use so much memory, in bytes.
func SettingsFor(memory int64) Settings {
	total := max(memory/memoryShare, minTotal)
	return Settings{Small: total / smallShare, SmallBody: smallBody, Stall: stallTime, Time: BodyTimeout, Total: total, Wait: waitTime}
}

// Unlimited returns settings that limit nothing.
func Unlimited() Settings { return Settings{Total: math.MaxInt64 / 2} }

// MaxConnections returns how many connections of callers a process may keep that has so
// much memory, in bytes, and so many file descriptors, of which some are reserved.
func MaxConnections(memory int64, files, reserved int) int {
	byFiles := max(files-reserved, files/4)
	return max(min(byFiles, int(memory/connShare/connBytes)), minConnections)
}

// An Observer is told of the changes of state of a Budget. It is called with the lock of
// the budget held.
type Observer func(short bool, usage Usage)

// Usage says what the memory of a Budget is used for.
type Usage struct {
	Bodies  int   // reservations
	GivenUp int64 // bodies given up so far
	Refused int64 // reservations refused so far
	Total   int64 // bytes
	Used    int64 // bytes
}

// calmTime is the time without a shortage after which the state is no longer short. It
// bounds the changes of state that are reported.
const calmTime = 5 * time.Second

// A Budget bounds the bytes of all bodies. It is safe for concurrent use.
type Budget struct {
	clock    gooseberrypass.Clock
	observer Observer
	settings Settings

	mu      sync.Mutex
	ledger  ledger
	short   bool
	shortAt time.Time // last shortage
	waiters []*waiter // in the order in which they began to wait
}

// A waiter waits for memory.
type waiter struct {
	bytes int64
	entry *entry
	ready chan struct{} // closed when the memory may be available
}

// New returns a budget. observer may be nil.
func New(clock gooseberrypass.Clock, settings Settings, observer Observer) *Budget {
	return &Budget{clock: clock, ledger: newLedger(settings), observer: observer, settings: settings}
}

// Open returns a reservation without memory. giveUp makes reads of the body fail; it is
// called at most once, while the body is incomplete, and must not block. It is nil if the
// body cannot be given up.
func (b *Budget) Open(giveUp func()) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	r := &Reservation{budget: b, entry: entry{giveUp: giveUp, pace: newPace(now, b.settings.Time), progressAt: now}}
	b.ledger.add(&r.entry)
	return r
}

// contextKey is the key of the reservation of a request in its context.
type contextKey struct{}

// NewContext returns a context for a request whose head holds memory.
func NewContext(ctx context.Context, head *Reservation) context.Context {
	return context.WithValue(ctx, contextKey{}, head)
}

// OpenBody is Open for the body of a request. The body shares the reservation of its head, if
// there is one, so that both are given up together.
func (b *Budget) OpenBody(ctx context.Context, giveUp func()) *Reservation {
	head, ok := ctx.Value(contextKey{}).(*Reservation)
	if !ok || head.budget != b {
		return b.Open(giveUp)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	head.entry.complete, head.entry.giveUp, head.entry.progressAt = false, giveUp, now
	head.entry.pace = newPace(now, b.settings.Time)
	return head
}

// Usage returns what the memory is used for.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.usage()
}

// GiveUpLate gives up the body that needs longest of those that will not end in their time. It
// returns false if there is none.
func (b *Budget) GiveUpLate() bool { return b.giveUp(gradeLate) }

// GiveUpStalled gives up a body that will not end in its time, is stalled or is slow. It returns
// false if there is none.
func (b *Budget) GiveUpStalled() bool { return b.giveUp(gradeSlow) }

// giveUp gives up the worst body, if it has the grade least or a worse one.
func (b *Budget) giveUp(least grade) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	victim := b.ledger.choose(now, nil, least)
	if victim == nil {
		return false
	}
	b.ledger.giveUp(victim)
	b.observe(now, true)
	return true
}

// observe reports a change of state. shortage says that a body was refused or given up.
func (b *Budget) observe(now time.Time, shortage bool) {
	if shortage {
		b.shortAt = now
	}
	short := shortage || b.short && now.Sub(b.shortAt) < calmTime
	if short != b.short {
		b.short = short
		if b.observer != nil {
			b.observer(short, b.ledger.usage())
		}
	}
}

// A Reservation is the memory of one request: its body, and what is buffered of its answer.
type Reservation struct {
	budget *Budget
	entry  entry // guarded by the budget's lock
}

// Reserve reserves n bytes. It gives up bodies that made no progress, and waits for memory
// if there is none.
func (r *Reservation) Reserve(ctx context.Context, n int64) error {
	b := r.budget
	until := b.clock.Now().Add(b.settings.Wait)
	for {
		wait, w, err := r.tryReserve(n, until)
		if wait <= 0 {
			return err
		}
		timer := b.clock.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-w.ready:
		case <-timer.Chan():
		}
		timer.Stop()
		b.stopWaiting(w)
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "wait for memory")
		}
	}
}

// tryReserve reserves n bytes or returns how long to wait before the next try.
func (r *Reservation) tryReserve(n int64, until time.Time) (time.Duration, *waiter, error) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if r.entry.givenUp {
		return 0, nil, ErrGivenUp
	}
	d := b.ledger.reserve(now, &r.entry, n, until)
	switch {
	case d.granted:
		if r.entry.waiting {
			r.entry.waiting, r.entry.progressAt = false, now
			r.entry.pace.resume(now, now.Sub(r.entry.waitingAt))
		}
		b.observe(now, false)
		return 0, nil, nil
	case d.wait <= 0:
		r.entry.waiting = false
		b.ledger.refused++
		b.observe(now, true)
		return 0, nil, ErrShort
	default:
		if !r.entry.waiting {
			r.entry.waiting, r.entry.waitingAt = true, now
		}
		b.observe(now, d.gaveUp > 0)
		w := &waiter{bytes: n, entry: &r.entry, ready: make(chan struct{})}
		b.waiters = append(b.waiters, w)
		return d.wait, w, nil
	}
}

// TryReserve reserves n bytes for a part of an answer if they are available at once. It gives up
// no body and leaves the part for small bodies: an answer can be delivered without a buffer.
func (r *Reservation) TryReserve(n int64) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.tryReserve(&r.entry, n, b.settings.Total-b.settings.Small)
}

// Shrink gives back n bytes.
func (r *Reservation) Shrink(n int64) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.shrink(&r.entry, n)
	b.wake()
}

// SetDeadline sets the time at which the caller no longer waits for its answer.
func (r *Reservation) SetDeadline(t time.Time) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if due := &r.entry.pace.due; due.IsZero() || t.Before(*due) {
		*due = t
	}
}

// expect records the length of the body, -1 if it is unknown, and its limit.
func (r *Reservation) expect(announced, limit int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.entry.pace.announced, r.entry.pace.limit = announced, limit
}

// Progress records that n bytes of the body have arrived.
func (r *Reservation) Progress(n int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.entry.progress(r.budget.clock.Now(), n)
}

// Complete records that the whole body has arrived. It returns false if it was given up
// before.
func (r *Reservation) Complete() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.entry.complete = !r.entry.givenUp
	return r.entry.complete
}

// GivenUp reports whether the body was given up.
func (r *Reservation) GivenUp() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.entry.givenUp
}

// Close gives back all memory.
func (r *Reservation) Close() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.remove(&r.entry)
	b.observe(b.clock.Now(), false)
	b.wake()
}

// wake wakes up as many of those who wait for memory as there is memory for. To wake all of
// them would cost a machine with many waiting bodies much of its processor time.
func (b *Budget) wake() {
	used := b.ledger.used
	b.waiters = slices.DeleteFunc(b.waiters, func(w *waiter) bool {
		if used+w.bytes > b.ledger.limitFor(w.entry, w.bytes) {
			return false
		}
		used += w.bytes
		close(w.ready)
		return true
	})
}

// stopWaiting removes a waiter that may have been woken up.
func (b *Budget) stopWaiting(stopped *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters = slices.DeleteFunc(b.waiters, func(w *waiter) bool { return w == stopped })
}
