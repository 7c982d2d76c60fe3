package quarantiner

import (
	"sync"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// holdTime is how long the copies of a suspect wait after one broke off, for
// the report of the crash to come.
const holdTime = 5 * time.Second

// A turn is the run of one copy of a suspect.
type turn struct {
	done chan struct{} // closed when the next copy may run
	held bool          // broke off, and nothing finished since
}

// A turns lets the copies of a suspect run one after the other.
type turns struct {
	clock   gooseberrypass.Clock
	mu      sync.Mutex // guards running
	running map[gooseberrypass.Digest]*turn
}

func newTurns(clock gooseberrypass.Clock) *turns {
	return &turns{clock: clock, running: map[gooseberrypass.Digest]*turn{}}
}

// enter takes the turn of a suspect and returns the function that ends it, or
// the channel to wait on if another copy has it.
func (t *turns) enter(digest gooseberrypass.Digest) (func(), <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if running, ok := t.running[digest]; ok {
		return nil, running.done
	}
	mine := &turn{done: make(chan struct{})}
	t.running[digest] = mine
	return func() { t.leave(digest, mine) }, nil
}

// leave ends a turn, after a while if the copy broke off.
func (t *turns) leave(digest gooseberrypass.Digest, mine *turn) {
	t.mu.Lock()
	held := mine.held
	t.mu.Unlock()
	if held {
		t.clock.AfterFunc(holdTime, func() { t.end(digest, mine) })
		return
	}
	t.end(digest, mine)
}

func (t *turns) end(digest gooseberrypass.Digest, mine *turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, digest)
	close(mine.done)
}

// hold tells that the copy which has its turn broke off.
func (t *turns) hold(digest gooseberrypass.Digest) { t.setHeld(digest, true) }

// unhold tells that it finished after all.
func (t *turns) unhold(digest gooseberrypass.Digest) { t.setHeld(digest, false) }

func (t *turns) setHeld(digest gooseberrypass.Digest, held bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if running, ok := t.running[digest]; ok {
		running.held = held
	}
}
