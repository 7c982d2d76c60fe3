package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attributor"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/checker"
	"github.com/gooseberrypass/gooseberrypass/drainer"
	"github.com/gooseberrypass/gooseberrypass/follower"
	"github.com/gooseberrypass/gooseberrypass/forwarder"
	"github.com/gooseberrypass/gooseberrypass/listener"
	"github.com/gooseberrypass/gooseberrypass/materializer"
	"github.com/gooseberrypass/gooseberrypass/platform"
	"github.com/gooseberrypass/gooseberrypass/replicator"
	"github.com/gooseberrypass/gooseberrypass/scheduler"
)

// defaultMaxBody is the size limit of a request body in bytes, used if no
// configuration sets one.
const defaultMaxBody = 1 << 20

// A Gateway is an entry on a machine that the platform prepares.
type Gateway struct {
	*machineProcess
	balancer  *balancer.Balancer
	callers   *listener.Server // serves callers
	drainer   *drainer.Drainer
	history   forwarder.RequestTracker // history of requests, exchanged with other entries
	scheduler *scheduler.Scheduler
	ready     *listener.Server // serves the platform's readiness checks
	transport *platform.Transport
}

// NewGateway binds the addresses of a gateway and creates its parts.
func NewGateway(ctx context.Context, settings *MachineSettings, d Dependencies) (*Gateway, error) {
	m, err := newMachineProcess(ctx, settings, d)
	if err != nil {
		return nil, err
	}
	g := &Gateway{machineProcess: m, transport: platform.NewTransport(settings.transportLimits(), d.Clock)}
	g.history = forwarder.RequestTracker{
		RefusalTracker: forwarder.NewRefusalTracker(m.clock, settings.forwardDuration("return-time")),
		CrashTracker:   forwarder.NewCrashTracker(m.clock, settings.forwarderSettings(), m.startID()),
	}
	if g.history.Attributor, err = attributor.New(m.clock, settings.attributorSettings(), m.seed, m.registry, m.logger); err != nil {
		return nil, err
	}
	self := balancer.Self{ID: m.self.ID, Region: m.self.Region}
	g.balancer = balancer.New(m.clock, self, settings.regionOf, settings.balancerSettings(), m.seed, m.logger)
	if g.scheduler, err = scheduler.New(m.clock, g.balancer, settings.schedulerSettings(), m.seed, m.registry, m.logger); err != nil {
		return nil, err
	}
	g.balancer.OnCapacity(g.scheduler.Serve)
	for _, gauge := range g.endpointGauges() {
		if err := m.registry.Register(gauge); err != nil {
			return nil, errors.Wrap(err, "register balancer metrics")
		}
	}
	m.materializer = materializer.New(platform.Decoder{}, settings.materializerSettings(), m.logger, g.balancer)
	if err := m.materializer.RegisterMetrics(m.registry, m.clock); err != nil {
		return nil, err
	}
	m.metricsMux.Handle("GET "+StatusPath, NewStatusHandler(self, m.materializer, g.balancer, m.logger))
	repl := m.newReplicator(g.balancer, g.scheduler, g.history)
	if m.registrar, err = m.newRegistrar(); err != nil {
		return nil, err
	}
	m.loop.Add(m.materializer, replicator.NewResponder(m.materializer), g.balancer, g.scheduler, repl, m.registrar)
	reads, err := follower.NewReadCounter(m.registry)
	if err != nil {
		return nil, err
	}
	m.follow(reads, gooseberrypass.TopicOperator, follower.Settings{NextOffset: m.nextOffset(gooseberrypass.TopicOperator), ShouldRead: repl.ReadsLog, Handover: maxListAge + readerTimeout, LongPoll: longPoll, CheckPeriod: settings.topicCheckPeriod()})
	m.follow(reads, gooseberrypass.TopicProcesses, follower.Settings{NextOffset: m.nextOffset(gooseberrypass.TopicProcesses), Pause: processesReadPause, ShouldRead: repl.ReadsLog, LongPoll: longPoll, CheckPeriod: settings.topicCheckPeriod()})
	m.follow(reads, gooseberrypass.TopicEndpoints, follower.Settings{NextOffset: m.nextOffset(gooseberrypass.TopicEndpoints), Pause: settings.forwardDuration("servers-pause"), ShouldRead: repl.ReadsLog})
	return g, g.bind(ctx)
}

// endpointGauges returns the gauges of what endpoints report beside their load.
func (g *Gateway) endpointGauges() []prometheus.Collector {
	gauge := func(name, help string, count func() int) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return float64(count()) })
	}
	return []prometheus.Collector{
		gauge("gooseberrypass_cold_endpoints", "Endpoints that get few requests because they are cold.", g.balancer.ColdEndpoints),
		gauge("gooseberrypass_evacuated_endpoints", "Endpoints in failure domains that are evacuated.", g.balancer.EvacuatedEndpoints),
		gauge("gooseberrypass_limited_endpoints", "Endpoints that limit the rate of their requests.", g.balancer.LimitedEndpoints),
		gauge("gooseberrypass_paced_endpoints", "Endpoints whose pace is known and recent.", g.balancer.PacedEndpoints),
	}
}

func (g *Gateway) bind(ctx context.Context) error {
	f, err := forwarder.New(g.clock, g.materializer, g.balancer, g.scheduler, g.transport, g.history, g.settings.forwarderSettings(), g.registry, g.logger)
	if err != nil {
		return errors.Wrap(err, "create request path")
	}
	schedule := drainer.NewSchedule(g.settings.duration(sectionBounds, "grace"), g.settings.forwardDuration("stop-delay"))
	if g.drainer, err = drainer.New(g.clock, g.materializer, f, schedule, g.registry, g.logger); err != nil {
		return errors.Wrap(err, "create request path")
	}
	if err := g.listen(ctx); err != nil {
		return err
	}
	g.ready, err = listener.Listen(ctx, g.settings.address("ready-listen"), platform.NewReadinessHandler(g.isReady))
	if err != nil {
		return err
	}
	guard, err := newCallerGuard(g.clock, g.settings.Memory(), checker.Get[int](g.settings.values, sectionMachine, "max-files"), g.registry, g.logger)
	if err != nil {
		return err
	}
	callers := platform.NewCallerHandler(g.drainer, g.clock, g.drainer, g.maxBody)
	callers.LimitMemory(guard.budget, guard.count)
	g.callers, err = listener.ListenLimited(ctx, g.settings.address("callers-listen"), callers, guard.limits(g.headLimits))
	return err
}

// headLimits returns the limits of the head of a request.
func (g *Gateway) headLimits() listener.HeadLimits {
	d := g.materializer.Deployment()
	if d == nil {
		return listener.HeadLimits{}
	}
	return listener.HeadLimits{Bytes: d.Limits().Headers, Time: d.Limits().HeaderTime}
}

func (g *Gateway) maxBody() int64 {
	if d := g.materializer.Deployment(); d != nil && d.Limits().Body > 0 {
		return d.Limits().Body
	}
	return defaultMaxBody
}

// isReady reports whether the process can serve callers.
func (g *Gateway) isReady() bool {
	snapshot := g.materializer.Snapshot()
	return !g.drainer.Draining() && snapshot.Deployment != nil && len(snapshot.Endpoints) > 0
}

// Run serves until ctx is done. It then reports to the platform that it is not
// ready, waits for the stop delay, accepts no new connections and returns when the
// requests in progress have ended or the grace period is over.
func (g *Gateway) Run(ctx context.Context) error {
	serve := func(l *listener.Server) runFunc {
		return func(ctx context.Context) error { return l.Run(ctx, closeTimeout) }
	}
	failed, stopParts := start(ctx, append(g.runFuncs(), serve(g.ready))...)
	schedule := g.drainer.Schedule()
	callersFailed, stopCallers := start(ctx, func(ctx context.Context) error {
		return g.callers.Run(ctx, schedule.Close-schedule.Listen)
	})
	g.logger.WithField("callers", g.callers.Address()).WithField("system", g.internal.Address()).Info("gateway started")
	var cause error
	select {
	case <-ctx.Done():
		g.drain(schedule.Listen)
	case cause = <-failed:
	case cause = <-callersFailed:
	}
	for _, stop := range []func() error{stopCallers, stopParts} {
		if err := stop(); cause == nil {
			cause = err
		}
	}
	g.transport.CloseIdle()
	g.logger.Info("gateway stopped")
	return cause
}

// drain begins a planned stop and gives the platform time to notice that the process is
// not ready before the address for callers closes.
func (g *Gateway) drain(listen time.Duration) {
	g.drainer.Begin()
	g.scheduler.Stop()
	g.logger.Info("gateway stopping")
	timer := g.clock.NewTimer(listen)
	defer timer.Stop()
	<-timer.Chan()
}
