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
	"github.com/gooseberrypass/gooseberrypass/cacher"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/dialer"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/listener"
	"github.com/gooseberrypass/gooseberrypass/loader"
	"github.com/gooseberrypass/gooseberrypass/roller"
	"github.com/gooseberrypass/gooseberrypass/tracker"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// probeTimeout bounds one probe of a plain service.
const probeTimeout = 2 * time.Second

var errEndpointDown = errors.New("endpoint is down")

// noTargets reports no targets, for an agent beside a plain service.
type noTargets struct{}

// Targets implements attempter.Targets.
func (noTargets) Targets() []gooseberrypass.TargetStatus { return nil }

// A pressureFunc returns the load pressure on live requests: 0 for none, 1 if bulk
// transfers should almost stop.
type pressureFunc func() float64

// Pressure implements cacher.Pressure.
func (p pressureFunc) Pressure() float64 { return p() }

// A deferredConfigSource returns the configuration of a source that is set after
// its creation and before the process runs.
type deferredConfigSource struct {
	source gooseberrypass.ConfigSource
}

// Config implements gooseberrypass.ConfigSource.
func (s *deferredConfigSource) Config() *gooseberrypass.Config { return s.source.Config() }

// An Agent is the process beside an engine or a plain service.
type Agent struct {
	*process
	attempts        *attempter.Attempter
	engine          *connector.Engine // nil beside a plain service
	internal        *listener.Server  // serves other processes
	weights         *loader.Weights   // nil beside a plain service
	weightsListener *listener.Server  // serves weights to the engine; nil beside a plain service
}

// NewAgent binds the addresses of an agent and creates its parts. The address
// for other processes serves as the lock on the endpoint: NewAgent waits for it
// while another process has it.
func NewAgent(ctx context.Context, settings *Settings, d Dependencies) (*Agent, error) {
	var configs deferredConfigSource
	a := &Agent{}
	p, err := newProcess(settings, selectPeers(settings.self, &configs, a.needsLoad), d, tracker.WithoutLoad())
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
func (a *Agent) Address() string { return a.internal.Address() }

// Status returns the status that the agent reports. Callers must not change it.
func (a *Agent) Status() *gooseberrypass.AgentStatus { return a.attempts.Status() }

// Run serves until ctx is done. It then refuses new work and returns when work
// and uploads in progress have ended or the grace period is over.
func (a *Agent) Run(ctx context.Context) error {
	funcs := []runFunc{a.loop.Run, func(ctx context.Context) error {
		return a.internal.Run(ctx, closeTimeout)
	}}
	if a.weightsListener != nil {
		funcs = append(funcs, func(ctx context.Context) error {
			return a.weightsListener.Run(ctx, closeTimeout)
		})
	}
	failed, stop := start(ctx, funcs...)
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

// Kill closes the listeners and connections of the agent at once, to simulate
// the loss of its instance.
func (a *Agent) Kill() {
	a.internal.Kill()
	if a.weightsListener != nil {
		a.weightsListener.Kill()
	}
}

// needsLoad reports whether a target version exists that the engine does not
// serve yet.
func (a *Agent) needsLoad() bool {
	return a.weights != nil && slices.ContainsFunc(a.weights.Targets(), func(t gooseberrypass.TargetStatus) bool {
		return t.Phase != gooseberrypass.PhaseServing
	})
}

func (a *Agent) drain(ctx context.Context) {
	a.logger.Info("agent stopping")
	a.loop.Post(gooseberrypass.StopRequested{})
	ctx, cancel := context.WithTimeout(ctx, a.settings.grace)
	defer cancel()
	select {
	case <-a.attempts.Drained():
	case <-ctx.Done():
		a.logger.Warn("grace period ended with work in progress")
	}
	if a.weights == nil {
		return
	}
	if err := a.weights.Stop(ctx); err != nil {
		a.logger.WithError(err).Warn("grace period ended with uploads in progress")
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
	if a.settings.serviceURL != "" {
		if err := a.addService(&d); err != nil {
			return err
		}
	} else if err := a.addEngine(ctx, &d); err != nil {
		return err
	}
	var err error
	if a.attempts, err = attempter.New(d); err != nil {
		return errors.Wrap(err, "create request path")
	}
	if a.weights != nil {
		a.loop.Add(a.weights.Controllers()...)
	}
	a.loop.Add(a.attempts.Controllers()...)
	a.internal = listener.New(a.dialer.WrapListener(lis), a.internalHandler(a.endpointReady, a.routes()...))
	return nil
}

func (a *Agent) addService(d *attempter.Dependencies) error {
	u, err := url.Parse(a.settings.serviceURL)
	if err != nil {
		return errors.Wrap(err, "parse service URL")
	}
	d.Service = connector.NewPlainService(a.dialer.Client(dialer.ClassEndpoint), a.settings.serviceURL)
	d.Probe = func(ctx context.Context) error {
		return probe(ctx, u.Host)
	}
	return nil
}

func (a *Agent) addEngine(ctx context.Context, d *attempter.Dependencies) error {
	a.engine = connector.NewEngine(a.dialer.Client(dialer.ClassEndpoint), a.settings.engineURL)
	var config net.ListenConfig
	lis, err := config.Listen(ctx, "tcp", a.settings.weightsListen.String())
	if err != nil {
		return errors.Wrap(err, "listen for weight reads of the engine")
	}
	a.weights, err = loader.NewWeights(loader.Dependencies{
		InFlight:   func(model gooseberrypass.ID) int { return a.attempts.InFlight(model) },
		Client:     a.dialer.Client(dialer.ClassBulk),
		Clock:      a.clock,
		Config:     a.spreader,
		Engine:     a.engine,
		Log:        a.logger,
		Origin:     connector.NewOrigin(a.platformClient, a.settings.originURL),
		Pressure:   pressureFunc(func() float64 { return a.attempts.Pressure() }),
		Registerer: a.registry,
		Seed:       a.seed,
		Self:       a.settings.self,
		Settings:   fetcher.Settings{},
		Store:      a.store(),
		WeightsURL: "http://" + lis.Addr().String(),
	})
	if err != nil {
		_ = lis.Close()
		return errors.Wrap(err, "weights")
	}
	mux := http.NewServeMux()
	mux.Handle(cacher.WeightsPattern, a.weights.WeightsHandler())
	a.weightsListener = listener.New(lis, mux)
	d.Engine = a.engine
	d.Targets = a.weights
	return nil
}

func (a *Agent) store() gooseberrypass.WeightStore {
	if a.settings.storeURL == "" {
		return nil
	}
	return connector.NewWeightStore(a.platformClient, a.settings.storeURL)
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
		routes = append(routes, listener.Route{Handler: a.weights.ChunkHandler(), Pattern: cacher.Pattern})
	}
	return routes
}

// probe checks whether a process listens at address.
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

// selectPeers returns a selector of the agents whose progress decides when self
// may load. It selects none while self has nothing to load.
func selectPeers(self gooseberrypass.ListedInstance, configs gooseberrypass.ConfigSource, needsLoad func() bool) tracker.Selector {
	pool := func(l gooseberrypass.ListedInstance) gooseberrypass.Pool {
		if config := configs.Config(); config != nil {
			return config.PoolOf(l)
		}
		return l.Pool
	}
	return func(listed []gooseberrypass.ListedInstance) []gooseberrypass.ID {
		if !needsLoad() {
			return nil
		}
		return roller.Peers(self, listed, pool)
	}
}
