package forwarder

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
)

// A watchdog calls a function once if it is not reset or stopped in time.
type watchdog struct {
	clock     gooseberrypass.Clock
	onTimeout func()
	mu        sync.Mutex
	timer     clockwork.Timer
}

// newWatchdog returns a watchdog that starts with the first reset.
func newWatchdog(clock gooseberrypass.Clock, fire func()) *watchdog {
	return &watchdog{clock: clock, onTimeout: fire}
}

// reset restarts the timeout.
func (w *watchdog) reset(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		w.timer = w.clock.AfterFunc(max(d, 0), w.onTimeout)
		return
	}
	w.timer.Reset(max(d, 0))
}

// stop ends the watchdog.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}
