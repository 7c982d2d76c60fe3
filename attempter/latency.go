package attempter

import (
	"sync"
	"time"
)

const (
	// fastLife and slowLife are the time constants of the two means.
	fastLife = 2 * time.Second
	slowLife = 2 * time.Minute
	// fullPressure is the ratio to the usual latency at which pressure is 1.
	fullPressure = 2.0
	// freePressure is the ratio up to which there is none.
	freePressure = 1.1
	// minLatency keeps tiny differences from counting.
	minLatency = 5 * time.Millisecond
)

// A gauge compares the latency of live requests, queueing and time to the first
// token, with its usual value. It is safe for concurrent use.
type gauge struct {
	at   time.Time
	fast float64 // seconds
	mu   sync.Mutex
	slow float64 // seconds
}

// observe takes in the latency of one request.
func (g *gauge) observe(now time.Time, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	seconds := max(latency, minLatency).Seconds()
	if g.at.IsZero() {
		g.at, g.fast, g.slow = now, seconds, seconds
		return
	}
	elapsed := max(now.Sub(g.at), time.Millisecond)
	g.at = now
	g.fast += (seconds - g.fast) * weight(elapsed, fastLife)
	g.slow += (seconds - g.slow) * weight(elapsed, slowLife)
}

// pressure returns how far latency is above its usual value, from 0 to 1. It
// fades when no requests come.
func (g *gauge) pressure(now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.at.IsZero() || g.slow == 0 {
		return 0
	}
	ratio := (g.fast/g.slow - freePressure) / (fullPressure - freePressure)
	fresh := 1 - weight(max(now.Sub(g.at)-fastLife, 0), fastLife)
	return min(max(ratio, 0), 1) * fresh
}

func weight(elapsed, life time.Duration) float64 {
	return elapsed.Seconds() / (elapsed + life).Seconds()
}
