// Package attempter runs the attempts that entries send to one endpoint. It is
// the only path to the engine or plain service beside the agent. Each attempt
// runs at most once, a refused attempt never runs, and an answer is complete,
// belongs to its attempt and comes from one version, or fails with a typed
// error.
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
	"github.com/gooseberrypass/gooseberrypass/monitor"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

const (
	defaultQueueLimit      = 64 // attempts queued until a configuration sets the limit
	defaultServiceCapacity = 64 // concurrent calls to a plain service
)

// ErrInvalidEndpoint is returned by New unless the dependencies have exactly one
// of an engine and a plain service, and a probe with the service.
var ErrInvalidEndpoint = errors.New("exactly one of an engine or a plain service with a probe is required")

// Dependencies are the collaborators of an Attempter. Either Engine, or Service
// and Probe, must be set.
type Dependencies struct {
	Clock      gooseberrypass.Clock
	Configs    gooseberrypass.ConfigSource
	Engine     gooseberrypass.Engine
	Instance   gooseberrypass.ListedInstance
	Log        logrus.FieldLogger
	Probe      func(ctx context.Context) error // returns nil if the plain service is up
	Random     *rand.Rand                      // used only on the control goroutine
	Registerer prometheus.Registerer
	Service    gooseberrypass.PlainService
	// ServiceCapacity is the number of calls that the plain service runs
	// concurrently; 0 selects the default of 64.
	ServiceCapacity int
	Targets         Targets
}

func (d *Dependencies) check() error {
	if (d.Engine == nil) == (d.Service == nil) || (d.Service != nil && d.Probe == nil) {
		return ErrInvalidEndpoint
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
	handler     http.Handler
	latency     *latencyMonitor
	registry    *registry
	server      *server
	stopper     *stopController
}

// New returns the request path of an agent. Its controllers must run on the
// process's control goroutine.
func New(d Dependencies) (*Attempter, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	reg := newRegistry(maxAttempts, refusalReserve)
	queue, err := admitter.New(d.Clock, d.Registerer, admitter.NewQueue(defaultQueueLimit, 0))
	if err != nil {
		return nil, errors.Wrap(err, "admission queue")
	}
	mon, err := newMonitor(d, reg)
	if err != nil {
		return nil, errors.Wrap(err, "endpoint")
	}
	m, err := newMetrics(d.Registerer, reg)
	if err != nil {
		return nil, errors.Wrap(err, "attempts")
	}
	stop := newStopState()
	run := &runner{admitter: queue, clock: d.Clock, metrics: m, registry: reg, stop: stop}
	a := &Attempter{clock: d.Clock, handler: http.NotFoundHandler(), latency: &latencyMonitor{}, registry: reg}
	a.stopper = newStopController(d, queue, reg, stop)
	reporter := newStatusReporter(d, queue, stop, mon)
	a.server = &server{clock: d.Clock, registry: reg, reporter: reporter}
	if d.Engine != nil {
		a.handler = &attemptHandler{
			bodyBytes: semaphore.NewWeighted(maxBodyBytes),
			clock:     d.Clock,
			engine:    d.Engine,
			gate:      &versionGate{configs: d.Configs, instance: d.Instance, monitor: mon, registry: reg, targets: d.Targets},
			latency:   a.latency,
			metrics:   m,
			runner:    run,
			stop:      stop,
		}
	} else {
		a.server.caller = &serviceCaller{
			configs:  d.Configs,
			instance: d.Instance,
			monitor:  mon,
			runner:   run,
			service:  d.Service,
		}
	}
	a.controllers = []gooseberrypass.Controller{
		mon,
		&admissionController{admitter: queue, monitor: mon, registry: reg, serviceCapacity: d.ServiceCapacity},
		a.stopper,
		reporter,
	}
	return a, nil
}

// Controllers returns the controllers in the order in which they must handle
// each event.
func (a *Attempter) Controllers() []gooseberrypass.Controller { return a.controllers }

// Drained returns a channel that is closed once a planned stop has been
// requested and no attempt is queued or running.
func (a *Attempter) Drained() <-chan struct{} { return a.stopper.drained }

// Handler returns the handler of POST /attempts. Beside a plain service it
// answers 404.
func (a *Attempter) Handler() http.Handler { return a.handler }

// InFlight returns the number of attempts that are running on a model.
func (a *Attempter) InFlight(model gooseberrypass.ID) int { return a.registry.running(model) }

// Pressure returns how far the latency of live requests exceeds its usual value,
// from 0 (not at all) to 1.
func (a *Attempter) Pressure() float64 { return a.latency.pressure(a.clock.Now()) }

// Server returns the server of the Agent protocol.
func (a *Attempter) Server() wire.Agent { return a.server }

// Status returns the most recently published status. Callers must not change it.
func (a *Attempter) Status() *gooseberrypass.AgentStatus {
	return a.server.reporter.published.Load().status
}

// newMonitor returns the monitor of the engine or of the plain service.
func newMonitor(d Dependencies, requests monitor.RunningRequests) (*monitor.Monitor, error) {
	if d.Engine != nil {
		return monitor.New(d.Instance.ID, d.Engine.State, requests, d.Random, d.Registerer, d.Log,
			monitor.WithCacheEvents(d.Engine.CacheEvents))
	}
	probe := func(ctx context.Context) (gooseberrypass.EngineState, error) {
		return gooseberrypass.EngineState{}, d.Probe(ctx)
	}
	return monitor.New(d.Instance.ID, probe, requests, d.Random, d.Registerer, d.Log)
}
