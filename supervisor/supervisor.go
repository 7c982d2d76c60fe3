// Package supervisor monitors the endpoint on the agent's instance: whether it is
// up, what an engine has loaded and cached, and which requests were in flight
// when it crashed.
package supervisor

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

// A Supervisor is the controller that monitors the endpoint.
type Supervisor struct {
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

// An Option configures a new Supervisor.
type Option func(*Supervisor)

// WithCacheEvents makes the supervisor track the prefix cache of an engine.
func WithCacheEvents(reader CacheReader) Option {
	return func(s *Supervisor) { s.cache = newPrefixCache(reader) }
}

// New returns a supervisor of the endpoint on the given instance, which it polls
// with probe.
func New(
	instance gooseberrypass.ID,
	probe Probe,
	requests RunningRequests,
	random *rand.Rand,
	registerer prometheus.Registerer,
	log logrus.FieldLogger,
	options ...Option,
) (*Supervisor, error) {
	s := &Supervisor{
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
	for _, c := range []prometheus.Collector{s.crashCounter, s.pollResults, s.upGauge} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	for _, o := range options {
		o(s)
	}
	s.snapshot.Store(&Snapshot{})
	return s, nil
}

// Handle implements gooseberrypass.Controller.
func (s *Supervisor) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	before := s.crashes.count
	switch e := event.(type) {
	case gooseberrypass.Tick:
		s.takeDisconnected(now)
	case gooseberrypass.EngineObserved:
		s.takeDisconnected(now)
		s.observe(now, e)
	case cacheEventsRead:
		s.cache.handleRead(now, e)
	default:
		return nil
	}
	s.crashCounter.Add(float64(s.crashes.count - before))
	s.publish(now)
	return s.effects(now)
}

// Snapshot returns the current state of the endpoint. It is safe for concurrent
// use. Callers must not modify the result.
func (s *Supervisor) Snapshot() *Snapshot { return s.snapshot.Load() }

func (s *Supervisor) effects(now time.Time) []gooseberrypass.Effect {
	var effects []gooseberrypass.Effect
	if !s.polling && !now.Before(s.nextPoll) {
		s.polling = true
		s.pollStart = now
		effects = append(effects, pollEffect{probe: s.probe})
	}
	if s.cache != nil && s.snapshot.Load().Up {
		effects = append(effects, s.cache.effects(now)...)
	}
	return effects
}

func (s *Supervisor) observe(now time.Time, e gooseberrypass.EngineObserved) {
	s.polling = false
	if e.Err != nil {
		s.observeFailure(now)
		return
	}
	s.pollResults.WithLabelValues("ok").Inc()
	s.failedPolls = 0
	s.nextPoll = now.Add(s.jitter(pollPeriod))
	old := s.snapshot.Load()
	restarted := !old.ObservedAt.IsZero() && old.State.BootID != e.State.BootID
	if restarted {
		s.crashes.restarted(now, old.State.BootID, startedBy(s.pollStart, s.requests.Running()))
		if s.cache != nil {
			s.cache.reset(0)
		}
	} else {
		s.crashes.alive(s.pollStart, e.State.BootID)
	}
	next := *old
	next.ObservedAt = now
	next.State = e.State
	next.Up = true
	s.storeSnapshot(old, &next, restarted)
}

// storeSnapshot replaces the snapshot and logs the changes.
func (s *Supervisor) storeSnapshot(old, next *Snapshot, restarted bool) {
	if restarted {
		s.log.WithField("boot", next.State.BootID).Warn("endpoint restarted")
	}
	if old.Up != next.Up {
		s.log.WithField("up", next.Up).Info("endpoint availability changed")
	}
	s.upGauge.Set(0)
	if next.Up {
		s.upGauge.Set(1)
	}
	s.snapshot.Store(next)
}

func (s *Supervisor) observeFailure(now time.Time) {
	s.pollResults.WithLabelValues("failed").Inc()
	s.failedPolls++
	backoff := min(pollPeriod<<min(s.failedPolls, 10), maxPollBackoff)
	s.nextPoll = now.Add(s.jitter(backoff))
	if s.failedPolls < downThreshold && !s.crashes.hasSuspects() {
		return
	}
	old := s.snapshot.Load()
	s.crashes.unreachable(now, old.State.BootID)
	next := *old
	next.Up = false
	s.storeSnapshot(old, &next, false)
}

// jitter returns a random duration between three quarters of d and d.
func (s *Supervisor) jitter(d time.Duration) time.Duration {
	return d - time.Duration(s.random.Int64N(int64(d)/4))
}

// publish copies the crashes and cached prefixes to the snapshot.
func (s *Supervisor) publish(now time.Time) {
	next := *s.snapshot.Load()
	next.Crashes = s.crashes.recent(now)
	if s.cache != nil {
		next.CachedPrefixes = s.cache.prefixes
		next.CacheEvent = s.cache.lastEvent
		next.CacheReset = s.cache.lastBeforeReset
	}
	s.snapshot.Store(&next)
}

// takeDisconnected passes requests with lost connections to the crash tracker. It
// then polls at once, as the endpoint may have crashed.
func (s *Supervisor) takeDisconnected(now time.Time) {
	lost := s.requests.TakeDisconnected()
	if len(lost) == 0 {
		return
	}
	s.crashes.disconnected(now, s.snapshot.Load().State.BootID, lost)
	s.nextPoll = now
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
	_ gooseberrypass.Controller = (*Supervisor)(nil)
	_ gooseberrypass.Effect     = pollEffect{}
)
