package attempter

import (
	"sync"
	"time"
)

const (
	// Time constants of the short-term and the long-term mean.
	fastTimeConstant = 2 * time.Second
	slowTimeConstant = 2 * time.Minute
	// fullPressureRatio is the ratio of the short-term to the long-term mean at
	// which the pressure reaches 1.
	fullPressureRatio = 2.0
	// zeroPressureRatio is the ratio up to which the pressure is 0.
	zeroPressureRatio = 1.1
	// minLatency is the lowest latency that is recorded, so that small
	// differences between very short latencies do not count.
	minLatency = 5 * time.Millisecond
)

// A latencyMonitor compares the latency of live requests (queueing time plus
// time to the first token) with its usual value. It is safe for concurrent use.
type latencyMonitor struct {
	fastMean  float64 // seconds
	mu        sync.Mutex
	slowMean  float64   // seconds
	updatedAt time.Time // time of the last observation, zero before the first
}

// observe records the latency of one request.
func (m *latencyMonitor) observe(now time.Time, latency time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seconds := max(latency, minLatency).Seconds()
	if m.updatedAt.IsZero() {
		m.updatedAt, m.fastMean, m.slowMean = now, seconds, seconds
		return
	}
	elapsed := max(now.Sub(m.updatedAt), time.Millisecond)
	m.updatedAt = now
	m.fastMean += (seconds - m.fastMean) * smoothingFactor(elapsed, fastTimeConstant)
	m.slowMean += (seconds - m.slowMean) * smoothingFactor(elapsed, slowTimeConstant)
}

// pressure returns how far the latency exceeds its usual value, from 0 to 1. It
// decays while there are no requests.
func (m *latencyMonitor) pressure(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.updatedAt.IsZero() || m.slowMean == 0 {
		return 0
	}
	ratio := (m.fastMean/m.slowMean - zeroPressureRatio) / (fullPressureRatio - zeroPressureRatio)
	fresh := 1 - smoothingFactor(max(now.Sub(m.updatedAt)-fastTimeConstant, 0), fastTimeConstant)
	return min(max(ratio, 0), 1) * fresh
}

// smoothingFactor returns the weight, from 0 to 1, of an observation that comes
// elapsed after the previous one.
func smoothingFactor(elapsed, timeConstant time.Duration) float64 {
	return elapsed.Seconds() / (elapsed + timeConstant).Seconds()
}
