package quarantiner

import (
	"sync"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// holdTime is how long the copies of a suspect wait after one broke off, for
// the report of the crash to come.
const holdTime = 5 * time.Second

// maxTurns bounds the requests whose copies wait. Copies of others do not.
const maxTurns = 4096

// A turn is the run of one copy of a request, and the wait of the others.
type turn struct {
	done chan struct{} // closed when the next copy may run
	held bool          // broke off, and nothing finished since
	idle bool          // the copy that broke off did not run in its turn
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
	t.remove(digest, mine)
}

// remove ends a turn once. mu is held.
func (t *turns) remove(digest gooseberrypass.Digest, mine *turn) {
	if t.running[digest] != mine {
		return
	}
	delete(t.running, digest)
	close(mine.done)
}

// hold tells that a copy broke off. If it was not known for a suspect, and so had
// no turn, the others wait all the same until it is known whether it is one.
func (t *turns) hold(digest gooseberrypass.Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	running, ok := t.running[digest]
	switch {
	case ok:
		running.held = true
	case len(t.running) < maxTurns:
		mine := &turn{done: make(chan struct{}), held: true, idle: true}
		t.running[digest] = mine
		t.clock.AfterFunc(holdTime, func() { t.end(digest, mine) })
	}
}

// unhold tells that the copy that broke off finished after all.
func (t *turns) unhold(digest gooseberrypass.Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	running, ok := t.running[digest]
	if !ok {
		return
	}
	running.held = false
	if running.idle {
		t.remove(digest, running)
	}
}

// held returns the channel to wait on if a copy broke off a moment ago, nil if
// none did.
func (t *turns) held(digest gooseberrypass.Digest) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if running, ok := t.running[digest]; ok && running.held {
		return running.done
	}
	return nil
}
