// Package monitor observes the endpoint on the agent's instance: whether it is
// up, what an engine has loaded and cached, and which requests were in flight
// when it crashed.
package monitor

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

const (
	pollPeriod     = 250 * time.Millisecond
	pollTimeout    = 2 * time.Second
	maxPollBackoff = 4 * time.Second
	// downThreshold is the number of consecutive failed polls after which an
	// endpoint counts as down. One is enough if it lost connections.
	downThreshold = 3
)

// A Probe reads the state of an endpoint and returns an error if the endpoint is
// not up. The state of a plain service is always the zero value.
type Probe func(ctx context.Context) (gooseberrypass.EngineState, error)

// A RunningRequest is a request in flight on the endpoint.
type RunningRequest struct {
	DisconnectedAt time.Time // time at which its connection was lost, zero if it was not
	Request        gooseberrypass.Digest
	StartedAt      time.Time
}

// RunningRequests provides the requests in flight on the endpoint. It is safe for
// concurrent use.
type RunningRequests interface {
	// Running returns the requests in flight.
	Running() []RunningRequest
	// TakeDisconnected returns the requests whose connections were lost since the last
	// call.
	TakeDisconnected() []RunningRequest
}

// A Snapshot is the observed state of the endpoint. It is immutable.
type Snapshot struct {
	CachedPrefixes []uint64 // prefixes in the engine's cache as of CacheEvent, oldest first
	CacheEvent     uint64   // number of the last cache event applied
	CacheReset     uint64   // number of the last cache event before the last gap or restart
	Crashes        []gooseberrypass.Crash
	ObservedAt     time.Time // time of the last successful poll, zero if there was none
	State          gooseberrypass.EngineState
	Up             bool
}

// A Monitor is the controller that polls the endpoint and tracks its state.
type Monitor struct {
	cache        *prefixCache // nil without WithCacheEvents
	crashCounter prometheus.Counter
	crashes      *crashTracker
	failedPolls  int // consecutive
	log          logrus.FieldLogger
	nextPoll     time.Time
	polling      bool
	pollResults  *prometheus.CounterVec
	pollStart    time.Time
	probe        Probe
	random       *rand.Rand
	requests     RunningRequests
	snapshot     atomic.Pointer[Snapshot]
	upGauge      prometheus.Gauge
}

// An Option configures a new Monitor.
type Option func(*Monitor)

// WithCacheEvents makes the monitor track the prefix cache of an engine.
func WithCacheEvents(reader CacheReader) Option {
	return func(m *Monitor) { m.cache = newPrefixCache(reader) }
}

// New returns a monitor of the endpoint on the given instance, which it polls
// with probe.
func New(
	instance gooseberrypass.ID,
	probe Probe,
	requests RunningRequests,
	random *rand.Rand,
	registerer prometheus.Registerer,
	log logrus.FieldLogger,
	options ...Option,
) (*Monitor, error) {
	m := &Monitor{
		crashCounter: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypass_endpoint_crashes_total",
			Help: "Crashes of the endpoint that were noticed.",
		}),
		crashes: newCrashTracker(instance),
		log:     log,
		pollResults: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_endpoint_reads_total",
			Help: "Readings of the endpoint's state, by result.",
		}, []string{"result"}),
		probe:    probe,
		random:   random,
		requests: requests,
		upGauge: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gooseberrypass_endpoint_up",
			Help: "1 while the endpoint is up.",
		}),
	}
	for _, c := range []prometheus.Collector{m.crashCounter, m.pollResults, m.upGauge} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	for _, o := range options {
		o(m)
	}
	m.snapshot.Store(&Snapshot{})
	return m, nil
}

// Handle implements gooseberrypass.Controller.
func (m *Monitor) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	before := m.crashes.count
	switch e := event.(type) {
	case gooseberrypass.Tick:
		m.takeDisconnected(now)
	case gooseberrypass.EngineObserved:
		m.takeDisconnected(now)
		m.observe(now, e)
	case cacheEventsRead:
		m.cache.handleRead(now, e)
	default:
		return nil
	}
	m.crashCounter.Add(float64(m.crashes.count - before))
	m.publish(now)
	return m.effects(now)
}

// Snapshot returns the current state of the endpoint. It is safe for concurrent
// use. Callers must not modify the result.
func (m *Monitor) Snapshot() *Snapshot { return m.snapshot.Load() }

func (m *Monitor) effects(now time.Time) []gooseberrypass.Effect {
	var effects []gooseberrypass.Effect
	if !m.polling && !now.Before(m.nextPoll) {
		m.polling = true
		m.pollStart = now
		effects = append(effects, pollEffect{probe: m.probe})
	}
	if m.cache != nil && m.snapshot.Load().Up {
		effects = append(effects, m.cache.effects(now)...)
	}
	return effects
}

func (m *Monitor) observe(now time.Time, e gooseberrypass.EngineObserved) {
	m.polling = false
	if e.Err != nil {
		m.observeFailure(now)
		return
	}
	m.pollResults.WithLabelValues("ok").Inc()
	m.failedPolls = 0
	m.nextPoll = now.Add(m.jitter(pollPeriod))
	old := m.snapshot.Load()
	restarted := !old.ObservedAt.IsZero() && old.State.BootID != e.State.BootID
	if restarted {
		m.crashes.restarted(now, old.State.BootID, startedBy(m.pollStart, m.requests.Running()))
		if m.cache != nil {
			m.cache.reset(0)
		}
	} else {
		m.crashes.alive(m.pollStart, e.State.BootID)
	}
	next := *old
	next.ObservedAt = now
	next.State = e.State
	next.Up = true
	m.storeSnapshot(old, &next, restarted)
}

// storeSnapshot replaces the snapshot and logs the changes.
func (m *Monitor) storeSnapshot(old, next *Snapshot, restarted bool) {
	if restarted {
		m.log.WithField("boot", next.State.BootID).Warn("endpoint restarted")
	}
	if old.Up != next.Up {
		m.log.WithField("up", next.Up).Info("endpoint availability changed")
	}
	m.upGauge.Set(0)
	if next.Up {
		m.upGauge.Set(1)
	}
	m.snapshot.Store(next)
}

func (m *Monitor) observeFailure(now time.Time) {
	m.pollResults.WithLabelValues("failed").Inc()
	m.failedPolls++
	backoff := min(pollPeriod<<min(m.failedPolls, 10), maxPollBackoff)
	m.nextPoll = now.Add(m.jitter(backoff))
	if m.failedPolls < downThreshold && !m.crashes.hasSuspects() {
		return
	}
	old := m.snapshot.Load()
	m.crashes.unreachable(now, old.State.BootID)
	next := *old
	next.Up = false
	m.storeSnapshot(old, &next, false)
}

// jitter returns a random duration between three quarters of d and d.
func (m *Monitor) jitter(d time.Duration) time.Duration {
	return d - time.Duration(m.random.Int64N(int64(d)/4))
}

// publish copies the crashes and cached prefixes to the snapshot.
func (m *Monitor) publish(now time.Time) {
	next := *m.snapshot.Load()
	next.Crashes = m.crashes.recent(now)
	if m.cache != nil {
		next.CachedPrefixes = m.cache.prefixes
		next.CacheEvent = m.cache.lastEvent
		next.CacheReset = m.cache.lastBeforeReset
	}
	m.snapshot.Store(&next)
}

// takeDisconnected passes requests with lost connections to the crash tracker. It
// then polls at once, as the endpoint may have crashed.
func (m *Monitor) takeDisconnected(now time.Time) {
	lost := m.requests.TakeDisconnected()
	if len(lost) == 0 {
		return
	}
	m.crashes.disconnected(now, m.snapshot.Load().State.BootID, lost)
	m.nextPoll = now
}

// startedBy returns the requests that started no later than start, when the poll
// that found a new boot ID started. They ran on the old boot, as the new one has
// nothing loaded yet.
func startedBy(start time.Time, requests []RunningRequest) []RunningRequest {
	return slices.DeleteFunc(requests, func(r RunningRequest) bool { return r.StartedAt.After(start) })
}

// A pollEffect is the effect that reads the endpoint's state.
type pollEffect struct {
	probe Probe
}

// EffectName implements gooseberrypass.Effect.
func (pollEffect) EffectName() string { return "endpoint-poll" }

// Run implements gooseberrypass.Effect.
func (p pollEffect) Run(ctx context.Context) gooseberrypass.Event {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	state, err := p.probe(ctx)
	return gooseberrypass.EngineObserved{Err: err, State: state}
}

var (
	_ gooseberrypass.Controller = (*Monitor)(nil)
	_ gooseberrypass.Effect     = pollEffect{}
)
