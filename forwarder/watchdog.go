package forwarder

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
)

// A watchdog calls a function once if it is not reset or stopped in time.
type watchdog struct {
	cause     error // of the timeout that runs
	clock     gooseberrypass.Clock
	onTimeout func(cause error)
	mu        sync.Mutex
	timer     clockwork.Timer
}

// newWatchdog returns a watchdog that starts with the first reset.
func newWatchdog(clock gooseberrypass.Clock, fire func(cause error)) *watchdog {
	return &watchdog{clock: clock, onTimeout: fire}
}

// reset restarts the timeout. cause is passed to the function if it passes.
func (w *watchdog) reset(d time.Duration, cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cause = cause
	if w.timer == nil {
		w.timer = w.clock.AfterFunc(max(d, 0), w.expire)
		return
	}
	w.timer.Reset(max(d, 0))
}

func (w *watchdog) expire() {
	w.mu.Lock()
	cause := w.cause
	w.mu.Unlock()
	w.onTimeout(cause)
}

// stop ends the watchdog.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}
