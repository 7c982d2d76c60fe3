package forwarder

import (
	"sync"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// A budget limits the repeats of each service in a sliding window. Each entry
// takes an equal share of RetrySlack.
type budget struct {
	settings Settings

	mu       sync.Mutex
	services map[gooseberrypass.ID]*window
}

// A window has the times of the requests and repeats of one service within
// RetryWindow.
type window struct {
	repeats  []time.Time
	requests []time.Time
}

func newBudget(settings Settings) *budget {
	return &budget{services: map[gooseberrypass.ID]*window{}, settings: settings}
}

// window returns the window of a service without the times that have left it. The
// caller holds mu.
func (b *budget) window(now time.Time, service gooseberrypass.ID) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	since := now.Add(-b.settings.RetryWindow)
	w.repeats, w.requests = after(w.repeats, since), after(w.requests, since)
	return w
}

// after returns the times after since. The times are in order.
func after(times []time.Time, since time.Time) []time.Time {
	for i, t := range times {
		if t.After(since) {
			return times[i:]
		}
	}
	return times[:0]
}

// recordRequest counts a request.
func (b *budget) recordRequest(now time.Time, service gooseberrypass.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests = append(w.requests, now)
}

// allowRepeat reports whether a repeat is allowed, and counts it if so. entries
// is the number of known entries.
func (b *budget) allowRepeat(now time.Time, service gooseberrypass.ID, entries int) bool {
	return b.take(now, service, entries, 1)
}

// allowMove reports whether a stream may be moved, and counts that as a repeat if
// so. Moves use only a share of the budget, so that the rest is left for repeats
// after failures.
func (b *budget) allowMove(now time.Time, service gooseberrypass.ID, entries int) bool {
	return b.take(now, service, entries, b.settings.MoveShare)
}

// take counts a repeat if it fits into a share of the budget.
func (b *budget) take(now time.Time, service gooseberrypass.ID, entries int, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	if !b.fits(w, entries, share) {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}

// hasRoom reports whether a repeat would fit into a share of the budget.
func (b *budget) hasRoom(now time.Time, service gooseberrypass.ID, entries int, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fits(b.window(now, service), entries, share)
}

// fits reports whether one more repeat fits into a share of the budget of a service.
func (b *budget) fits(w *window, entries int, share float64) bool {
	sharers := max(float64(entries)*b.settings.RetryEntryFactor, 1)
	allowed := b.settings.RetryRatio*float64(len(w.requests)) + b.settings.RetrySlack/sharers
	return float64(len(w.repeats)+1) <= allowed*share
}
