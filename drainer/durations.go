package drainer

import (
	"math"
	"sync"
	"time"
)

const (
	averageWindow   = 64   // requests after which older ones count little
	deviationFactor = 4    // deviations above the mean within which almost all requests end
	maxRoutes       = 4096 // routes measured; configurations rename and remove routes
	minMeasured     = 16   // requests before a measurement is used
)

// durations measures how long the requests of each route take.
type durations struct {
	mu     sync.Mutex
	routes map[string]*average
}

// An average is a moving mean and the mean deviation from it, in seconds.
type average struct {
	count     int
	deviation float64
	mean      float64
}

func newDurations() *durations { return &durations{routes: map[string]*average{}} }

// record adds the duration of a request.
func (d *durations) record(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.routes[route]
	if !ok {
		if len(d.routes) >= maxRoutes {
			clear(d.routes)
		}
		a = &average{}
		d.routes[route] = a
	}
	a.count = min(a.count+1, averageWindow)
	weight, off := 1/float64(a.count), took.Seconds()-a.mean
	if a.count == 1 {
		off = 0
		a.mean = took.Seconds()
	}
	a.mean += weight * off
	a.deviation += weight * (math.Abs(off) - a.deviation)
}

// upper returns a duration within which almost all requests of a route end, false if too
// few were measured.
func (d *durations) upper(route string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.routes[route]
	if !ok || a.count < minMeasured {
		return 0, false
	}
	return time.Duration((a.mean + deviationFactor*a.deviation) * float64(time.Second)), true
}
