package forwarder

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
)

// A watch calls a function once when a wait that is set anew passes.
type watch struct {
	clock gooseberrypass.Clock
	fire  func()
	mu    sync.Mutex
	timer clockwork.Timer
}

func newWatch(clock gooseberrypass.Clock, fire func()) *watch {
	return &watch{clock: clock, fire: fire}
}

// set starts the wait anew.
func (w *watch) set(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		w.timer = w.clock.AfterFunc(max(d, 0), w.fire)
		return
	}
	w.timer.Reset(max(d, 0))
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}
