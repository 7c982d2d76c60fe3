// Package attempter runs the attempts that entries send to one endpoint. It is
// the only way to the engine or plain service beside the agent: each attempt
// runs at most once, an attempt that is refused never runs, and an answer is
// whole, its own and of one version, or fails with a typed error.
package attempter

import (
	"context"
	"math/rand/v2"
	"net/http"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/admitter"
	"github.com/gooseberrypass/gooseberrypass/supervisor"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

const (
	defaultQueueLimit      = 64
	defaultServiceCapacity = 64
)

// ErrNoEndpoint is returned for dependencies that name neither an engine nor a
// plain service, or both.
var ErrNoEndpoint = errors.New("want either an engine or a plain service with its probe")

// Dependencies are what an Attempter is made of. Either Engine or Service and
// Probe must be set.
type Dependencies struct {
	Clock      gooseberrypass.Clock
	Configs    gooseberrypass.ConfigSource
	Engine     gooseberrypass.Engine
	Instance   gooseberrypass.ListedInstance
	Log        logrus.FieldLogger
	Probe      func(ctx context.Context) error // tells whether the service is up
	Random     *rand.Rand                      // used on the control goroutine
	Registerer prometheus.Registerer
	Service    gooseberrypass.PlainService
	// ServiceCapacity is how many calls run at once, 0 for the default.
	ServiceCapacity int
	Targets         Targets
}

func (d *Dependencies) check() error {
	if (d.Engine == nil) == (d.Service == nil) || (d.Service != nil && d.Probe == nil) {
		return ErrNoEndpoint
	}
	if d.ServiceCapacity == 0 {
		d.ServiceCapacity = defaultServiceCapacity
	}
	return nil
}

// An Attempter is the request path of one agent.
type Attempter struct {
	clock       gooseberrypass.Clock
	controllers []gooseberrypass.Controller
	gauge       *gauge
	handler     http.Handler
	registry    *registry
	server      *server
	stopper     *stopper
}

// New returns the request path of an agent. Its controllers must run on the
// process's control goroutine.
func New(d Dependencies) (*Attempter, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	reg := newRegistry(maxKnown, reserved)
	queue, err := admitter.New(d.Clock, d.Registerer, admitter.NewQueue(defaultQueueLimit, 0))
	if err != nil {
		return nil, errors.Wrap(err, "admission queue")
	}
	watch, err := newSupervisor(d, reg)
	if err != nil {
		return nil, errors.Wrap(err, "endpoint")
	}
	counts, err := newMetrics(d.Registerer, reg)
	if err != nil {
		return nil, errors.Wrap(err, "attempts")
	}
	stop := newStopState()
	run := &runner{admitter: queue, clock: d.Clock, metrics: counts, registry: reg, stop: stop}
	a := &Attempter{clock: d.Clock, gauge: &gauge{}, handler: http.NotFoundHandler(), registry: reg}
	a.stopper = newStopper(d, queue, reg, stop)
	report := newReporter(d, queue, stop, watch)
	a.server = &server{clock: d.Clock, registry: reg, reporter: report}
	if d.Engine != nil {
		a.handler = &generator{
			bodies:  semaphore.NewWeighted(maxBodies),
			clock:   d.Clock,
			engine:  d.Engine,
			gate:    &gate{configs: d.Configs, instance: d.Instance, registry: reg, supervisor: watch, targets: d.Targets},
			gauge:   a.gauge,
			metrics: counts,
			runner:  run,
			stop:    stop,
		}
	} else {
		a.server.caller = &caller{
			configs:    d.Configs,
			instance:   d.Instance,
			runner:     run,
			service:    d.Service,
			supervisor: watch,
		}
	}
	a.controllers = []gooseberrypass.Controller{
		watch,
		&regulator{admitter: queue, registry: reg, serviceCapacity: d.ServiceCapacity, supervisor: watch},
		a.stopper,
		report,
	}
	return a, nil
}

// Controllers returns the controllers, in the order in which they must see an
// event.
func (a *Attempter) Controllers() []gooseberrypass.Controller { return a.controllers }

// Drained returns a channel that is closed when a planned stop was requested and
// no attempt is in progress any more.
func (a *Attempter) Drained() <-chan struct{} { return a.stopper.drained }

// Handler returns the handler of POST /attempts.
func (a *Attempter) Handler() http.Handler { return a.handler }

// InFlight returns how many attempts run on a model now.
func (a *Attempter) InFlight(model gooseberrypass.ID) int { return a.registry.running(model) }

// Pressure returns how far the latency of live requests is above its usual
// value, from 0 to 1.
func (a *Attempter) Pressure() float64 { return a.gauge.pressure(a.clock.Now()) }

// Server returns the server of the Agent protocol.
func (a *Attempter) Server() wire.Agent { return a.server }

// Status returns the status last published. Callers must not change it.
func (a *Attempter) Status() *gooseberrypass.AgentStatus {
	return a.server.reporter.published.Load().status
}

func newSupervisor(d Dependencies, flights supervisor.RunningRequests) (*supervisor.Supervisor, error) {
	if d.Engine != nil {
		return supervisor.New(d.Instance.ID, d.Engine.State, flights, d.Random, d.Registerer, d.Log,
			supervisor.WithCacheEvents(d.Engine.CacheEvents))
	}
	probe := func(ctx context.Context) (gooseberrypass.EngineState, error) {
		return gooseberrypass.EngineState{}, d.Probe(ctx)
	}
	return supervisor.New(d.Instance.ID, probe, flights, d.Random, d.Registerer, d.Log)
}
