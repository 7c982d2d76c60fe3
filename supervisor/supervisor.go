// Package supervisor watches the endpoint beside an agent: whether it is up,
// what an engine has loaded and cached, and which requests were in flight when
// it crashed.
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
	// downAfter is how many readings in a row must fail before an endpoint
	// counts as down; one suffices once its connections were cut.
	downAfter = 3
)

// A Probe reads the state of an endpoint. A plain service has no state; its
// probe tells by the error alone whether it is up.
type Probe func(ctx context.Context) (gooseberrypass.EngineState, error)

// A Flight is a request that runs on the endpoint. Cut is when its connection was
// cut, zero if it was not.
type Flight struct {
	Cut     time.Time
	Request gooseberrypass.Digest
	Started time.Time
}

// Flights tells which requests run on the endpoint. It is safe for concurrent
// use.
type Flights interface {
	// Flying returns the requests that run now.
	Flying() []Flight
	// TakeCut returns the requests whose connections were cut since the last
	// call.
	TakeCut() []Flight
}

// A Snapshot is what the supervisor knows of the endpoint. It never changes.
type Snapshot struct {
	CachedPrefixes []uint64
	CacheEvent     uint64 // number of the last event taken in
	CacheReset     uint64 // number of the last event before the last gap
	Crashes        []gooseberrypass.Crash
	ObservedAt     time.Time // of the last successful reading, zero for none
	State          gooseberrypass.EngineState
	Up             bool
}

// A Supervisor is the controller that watches the endpoint.
type Supervisor struct {
	cache     *cache
	crashed   prometheus.Counter
	crashes   *crashes
	failures  int
	flights   Flights
	log       logrus.FieldLogger
	next      time.Time
	polling   bool
	pollStart time.Time
	probe     Probe
	random    *rand.Rand
	reads     *prometheus.CounterVec
	snapshot  atomic.Pointer[Snapshot]
	up        prometheus.Gauge
}

// An Option changes a new Supervisor.
type Option func(*Supervisor)

// WithCacheEvents makes the supervisor follow the cache events of an engine.
func WithCacheEvents(reader CacheReader) Option {
	return func(s *Supervisor) { s.cache = newCache(reader) }
}

// New returns a supervisor of the endpoint behind probe on the named instance.
func New(
	instance gooseberrypass.ID,
	probe Probe,
	flights Flights,
	random *rand.Rand,
	registerer prometheus.Registerer,
	log logrus.FieldLogger,
	options ...Option,
) (*Supervisor, error) {
	s := &Supervisor{
		crashed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gooseberrypass_endpoint_crashes_total",
			Help: "Crashes of the endpoint that were noticed.",
		}),
		crashes: newCrashes(instance),
		flights: flights,
		log:     log,
		probe:   probe,
		random:  random,
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_endpoint_reads_total",
			Help: "Readings of the endpoint's state, by result.",
		}, []string{"result"}),
		up: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gooseberrypass_endpoint_up",
			Help: "1 while the endpoint is up.",
		}),
	}
	for _, c := range []prometheus.Collector{s.crashed, s.reads, s.up} {
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
		s.takeCuts(now)
	case gooseberrypass.EngineObserved:
		s.takeCuts(now)
		s.observe(now, e)
	case cacheRead:
		s.cache.take(now, e)
	default:
		return nil
	}
	s.crashed.Add(float64(s.crashes.count - before))
	s.publish(now)
	return s.effects(now)
}

// Snapshot returns what is known of the endpoint. It is safe to be called on
// any goroutine; callers must not change what it returns.
func (s *Supervisor) Snapshot() *Snapshot { return s.snapshot.Load() }

func (s *Supervisor) effects(now time.Time) []gooseberrypass.Effect {
	var effects []gooseberrypass.Effect
	if !s.polling && !now.Before(s.next) {
		s.polling = true
		s.pollStart = now
		effects = append(effects, poll{probe: s.probe})
	}
	if s.cache != nil && s.snapshot.Load().Up {
		effects = append(effects, s.cache.effects(now)...)
	}
	return effects
}

func (s *Supervisor) observe(now time.Time, e gooseberrypass.EngineObserved) {
	s.polling = false
	if e.Err != nil {
		s.fail(now)
		return
	}
	s.reads.WithLabelValues("ok").Inc()
	s.failures = 0
	s.next = now.Add(s.jitter(pollPeriod))
	old := s.snapshot.Load()
	restarted := !old.ObservedAt.IsZero() && old.State.BootID != e.State.BootID
	if restarted {
		s.crashes.restart(now, old.State.BootID, begunBy(s.pollStart, s.flights.Flying()))
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
	s.change(old, &next, restarted)
}

func (s *Supervisor) change(old, next *Snapshot, restarted bool) {
	if restarted {
		s.log.WithField("boot", next.State.BootID).Warn("endpoint restarted")
	}
	if old.Up != next.Up {
		s.log.WithField("up", next.Up).Info("endpoint changed")
	}
	s.up.Set(0)
	if next.Up {
		s.up.Set(1)
	}
	s.snapshot.Store(next)
}

func (s *Supervisor) fail(now time.Time) {
	s.reads.WithLabelValues("failed").Inc()
	s.failures++
	backoff := min(pollPeriod<<min(s.failures, 10), maxPollBackoff)
	s.next = now.Add(s.jitter(backoff))
	if s.failures < downAfter && !s.crashes.cutting() {
		return
	}
	old := s.snapshot.Load()
	s.crashes.unreachable(now, old.State.BootID)
	next := *old
	next.Up = false
	s.change(old, &next, false)
}

// jitter returns d shortened by up to a quarter.
func (s *Supervisor) jitter(d time.Duration) time.Duration {
	return d - time.Duration(s.random.Int64N(int64(d)/4))
}

func (s *Supervisor) publish(now time.Time) {
	next := *s.snapshot.Load()
	next.Crashes = s.crashes.recent(now)
	if s.cache != nil {
		next.CachedPrefixes = s.cache.prefixes
		next.CacheEvent = s.cache.last
		next.CacheReset = s.cache.gap
	}
	s.snapshot.Store(&next)
}

func (s *Supervisor) takeCuts(now time.Time) {
	cut := s.flights.TakeCut()
	if len(cut) == 0 {
		return
	}
	s.crashes.cut(now, s.snapshot.Load().State.BootID, cut)
	s.next = now
}

// begunBy returns the flights that began by the start of the reading that found
// a new boot. They belong to the old one, as a new one has nothing loaded yet.
func begunBy(start time.Time, flights []Flight) []Flight {
	return slices.DeleteFunc(flights, func(f Flight) bool { return f.Started.After(start) })
}

// A poll reads the endpoint's state.
type poll struct {
	probe Probe
}

// EffectName implements gooseberrypass.Effect.
func (poll) EffectName() string { return "endpoint-poll" }

// Run implements gooseberrypass.Effect.
func (p poll) Run(ctx context.Context) gooseberrypass.Event {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	state, err := p.probe(ctx)
	return gooseberrypass.EngineObserved{Err: err, State: state}
}

var (
	_ gooseberrypass.Controller = (*Supervisor)(nil)
	_ gooseberrypass.Effect     = poll{}
)
