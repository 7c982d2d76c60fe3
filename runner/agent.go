package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/attempter"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/dialer"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/keeper"
	"github.com/gooseberrypass/gooseberrypass/listener"
	"github.com/gooseberrypass/gooseberrypass/loader"
	"github.com/gooseberrypass/gooseberrypass/roller"
	"github.com/gooseberrypass/gooseberrypass/tracker"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// probeTimeout bounds one probe of a plain service.
const probeTimeout = 2 * time.Second

var errEndpointDown = errors.New("endpoint is down")

// noTargets reports the targets of an agent that has no weights.
type noTargets struct{}

// Targets implements attempter.Targets.
func (noTargets) Targets() []gooseberrypass.TargetStatus { return nil }

// A pressure tells how much live requests suffer.
type pressure func() float64

// Pressure implements keeper.Pressure.
func (p pressure) Pressure() float64 { return p() }

// A configHolder gives the configuration of a source that is made later, before
// the process runs.
type configHolder struct {
	source gooseberrypass.ConfigSource
}

// Config implements gooseberrypass.ConfigSource.
func (h *configHolder) Config() *gooseberrypass.Config { return h.source.Config() }

// An Agent is an agent process, beside an engine or a plain service.
type Agent struct {
	*process
	attempts *attempter.Attempter
	engine   *connector.Engine
	feed     *listener.Server // of weights to the engine, nil beside a service
	system   *listener.Server
	weights  *loader.Weights // nil beside a service
}

// NewAgent binds the addresses of an agent and puts its parts together. The
// address for other processes is the lock on the endpoint: NewAgent waits for
// it as long as another process has it.
func NewAgent(ctx context.Context, settings *Settings, d Dependencies) (*Agent, error) {
	var configs configHolder
	a := &Agent{}
	p, err := newProcess(settings, selectPeers(settings.self, &configs, a.loads), d, tracker.WithoutLoad())
	if err != nil {
		return nil, err
	}
	configs.source = p.spreader
	lis, err := loader.Listen(ctx, d.Clock, settings.listen.String())
	if err != nil {
		return nil, err
	}
	a.process = p
	if err := a.build(ctx, lis); err != nil {
		_ = lis.Close()
		return nil, err
	}
	return a, nil
}

// Address returns the address for other processes.
func (a *Agent) Address() string { return a.system.Address() }

// Status returns what the agent says of itself. Callers must not change it.
func (a *Agent) Status() *gooseberrypass.AgentStatus { return a.attempts.Status() }

// Run serves until ctx is done. Then new work is refused, and work and uploads
// in progress end before Run returns.
func (a *Agent) Run(ctx context.Context) error {
	services := []service{a.loop.Run, func(ctx context.Context) error {
		return a.system.Run(ctx, closeGrace)
	}}
	if a.feed != nil {
		services = append(services, func(ctx context.Context) error {
			return a.feed.Run(ctx, closeGrace)
		})
	}
	failed, stop := start(ctx, services...)
	a.logger.WithField("address", a.Address()).Info("agent started")
	var cause error
	select {
	case <-ctx.Done():
		a.drain(context.WithoutCancel(ctx))
	case cause = <-failed:
	}
	if err := stop(); cause == nil {
		cause = err
	}
	return cause
}

// Kill ends the agent at once, as the loss of its instance would.
func (a *Agent) Kill() {
	a.system.Kill()
	if a.feed != nil {
		a.feed.Kill()
	}
}

// loads reports whether a version is wanted that the engine does not serve.
func (a *Agent) loads() bool {
	return a.weights != nil && slices.ContainsFunc(a.weights.Targets(), func(t gooseberrypass.TargetStatus) bool {
		return t.Phase != gooseberrypass.PhaseServing
	})
}

func (a *Agent) drain(ctx context.Context) {
	a.logger.Info("agent stops")
	a.loop.Post(gooseberrypass.StopRequested{})
	ctx, cancel := context.WithTimeout(ctx, a.settings.grace)
	defer cancel()
	select {
	case <-a.attempts.Drained():
	case <-ctx.Done():
		a.logger.Warn("work in progress outlasts the grace")
	}
	if a.weights == nil {
		return
	}
	if err := a.weights.Stop(ctx); err != nil {
		a.logger.WithError(err).Warn("uploads in progress outlast the grace")
	}
}

func (a *Agent) build(ctx context.Context, lis net.Listener) error {
	d := attempter.Dependencies{
		Clock:      a.clock,
		Configs:    a.spreader,
		Instance:   a.settings.self,
		Log:        a.logger,
		Random:     rand.New(rand.NewPCG(a.seed, 0)),
		Registerer: a.registry,
		Targets:    noTargets{},
	}
	if a.settings.service != "" {
		if err := a.addService(&d); err != nil {
			return err
		}
	} else if err := a.addEngine(ctx, &d); err != nil {
		return err
	}
	var err error
	if a.attempts, err = attempter.New(d); err != nil {
		return errors.Wrap(err, "request path")
	}
	if a.weights != nil {
		a.loop.Add(a.weights.Controllers()...)
	}
	a.loop.Add(a.attempts.Controllers()...)
	a.system = listener.New(a.dialer.WrapListener(lis), a.systemHandler(a.endpointReady, a.routes()...))
	return nil
}

func (a *Agent) addService(d *attempter.Dependencies) error {
	u, err := url.Parse(a.settings.service)
	if err != nil {
		return errors.Wrap(err, "address of the service")
	}
	d.Service = connector.NewPlainService(a.dialer.Client(dialer.ClassEndpoint), a.settings.service)
	d.Probe = func(ctx context.Context) error {
		return probe(ctx, u.Host)
	}
	return nil
}

func (a *Agent) addEngine(ctx context.Context, d *attempter.Dependencies) error {
	a.engine = connector.NewEngine(a.dialer.Client(dialer.ClassEndpoint), a.settings.engine)
	var config net.ListenConfig
	feed, err := config.Listen(ctx, "tcp", a.settings.weightsFrom.String())
	if err != nil {
		return errors.Wrap(err, "listen for the engine")
	}
	a.weights, err = loader.NewWeights(loader.Dependencies{
		InFlight:   func(model gooseberrypass.ID) int { return a.attempts.InFlight(model) },
		Client:     a.dialer.Client(dialer.ClassBulk),
		Clock:      a.clock,
		Config:     a.spreader,
		Engine:     a.engine,
		Log:        a.logger,
		Origin:     connector.NewOrigin(a.platform, a.settings.originURL),
		Pressure:   pressure(func() float64 { return a.attempts.Pressure() }),
		Registerer: a.registry,
		Seed:       a.seed,
		Self:       a.settings.self,
		Settings:   fetcher.Settings{},
		Store:      a.store(),
		WeightsURL: "http://" + feed.Addr().String(),
	})
	if err != nil {
		_ = feed.Close()
		return errors.Wrap(err, "weights")
	}
	mux := http.NewServeMux()
	mux.Handle(keeper.WeightsPattern, a.weights.WeightsHandler())
	a.feed = listener.New(feed, mux)
	d.Engine = a.engine
	d.Targets = a.weights
	return nil
}

func (a *Agent) store() gooseberrypass.WeightStore {
	if a.settings.storeURL == "" {
		return nil
	}
	return connector.NewWeightStore(a.platform, a.settings.storeURL)
}

func (a *Agent) endpointReady() error {
	if err := a.ready(); err != nil {
		return err
	}
	if !a.attempts.Status().EndpointUp {
		return errEndpointDown
	}
	return nil
}

func (a *Agent) routes() []listener.Route {
	server := wire.NewAgentServer(a.attempts.Server())
	routes := []listener.Route{
		{Handler: server, Pattern: server.PathPrefix()},
		{Handler: a.attempts.Handler(), Pattern: "POST /attempts"},
	}
	if a.weights != nil {
		routes = append(routes, listener.Route{Handler: a.weights.ChunkHandler(), Pattern: keeper.Pattern})
	}
	return routes
}

// probe tells whether something listens at address.
func probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	return errors.Wrap(conn.Close(), "probe")
}

// selectPeers follows the agents whose progress decides when self may load, while
// it has something to load.
func selectPeers(self gooseberrypass.ListedInstance, configs gooseberrypass.ConfigSource, loads func() bool) tracker.Selector {
	pool := func(l gooseberrypass.ListedInstance) gooseberrypass.Pool {
		if config := configs.Config(); config != nil {
			return config.PoolOf(l)
		}
		return l.Pool
	}
	return func(listed []gooseberrypass.ListedInstance) []gooseberrypass.ID {
		if !loads() {
			return nil
		}
		return roller.Peers(self, listed, pool)
	}
}
