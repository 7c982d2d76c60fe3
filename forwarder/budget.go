package forwarder

import (
	"sync"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// A budget bounds the repeats of each service in a sliding window. Every entry
// takes an equal share of the slack.
type budget struct {
	settings Settings

	mu       sync.Mutex
	services map[gooseberrypass.ID]*window
}

// A window holds the times of requests and repeats of one service.
type window struct {
	repeats  []time.Time
	requests []time.Time
}

func newBudget(settings Settings) *budget {
	return &budget{services: map[gooseberrypass.ID]*window{}, settings: settings}
}

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

// after drops the times that are not after since.
func after(times []time.Time, since time.Time) []time.Time {
	for i, t := range times {
		if t.After(since) {
			return times[i:]
		}
	}
	return times[:0]
}

// count notes a request.
func (b *budget) count(now time.Time, service gooseberrypass.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests = append(w.requests, now)
}

// spend notes a repeat if one is allowed among so many entries.
func (b *budget) spend(now time.Time, service gooseberrypass.ID, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	share := max(float64(entries)*b.settings.RetryShare, 1)
	allowed := b.settings.RetryRatio*float64(len(w.requests)) + b.settings.RetrySlack/share
	if float64(len(w.repeats)+1) > allowed {
		return false
	}
	w.repeats = append(w.repeats, now)
	return true
}
