package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/follower"
	"github.com/gooseberrypass/gooseberrypass/forwarder"
	"github.com/gooseberrypass/gooseberrypass/listener"
	"github.com/gooseberrypass/gooseberrypass/platform"
	"github.com/gooseberrypass/gooseberrypass/relayer"
	"github.com/gooseberrypass/gooseberrypass/surveyor"
)

// defaultMaxBody bounds a caller's body before the first configuration, in
// bytes.
const defaultMaxBody = 1 << 20

// stopReserve is the part of the grace that a stop leaves unused, so that the
// process ends by itself.
const stopReserve = 400 * time.Millisecond

// A Gateway is an entry on a prepared machine.
type Gateway struct {
	*machine
	balancer *balancer.Balancer
	callers  *listener.Listener
	courier  *platform.Transport
	ready    *listener.Listener
	recall   forwarder.Recall
	stopping atomic.Bool
}

// NewGateway binds the addresses of a gateway and puts its parts together.
func NewGateway(ctx context.Context, settings *MachineSettings, d Dependencies) (*Gateway, error) {
	m, err := newMachine(ctx, settings, d)
	if err != nil {
		return nil, err
	}
	g := &Gateway{machine: m, courier: platform.NewTransport(settings.courier(), d.Clock)}
	g.recall = forwarder.Recall{
		Returns:  forwarder.NewReturns(m.clock, settings.forward("return-time")),
		Suspects: forwarder.NewSuspects(m.clock, settings.forwarder()),
	}
	g.balancer = balancer.New(m.clock, settings.region(), settings.regionOf, settings.balancer(), m.seed)
	m.surveyor = surveyor.New(platform.Decoder{}, settings.surveyor(), m.logger, g.balancer)
	relay := m.newRelayer(g.balancer, g.recall)
	m.loop.Add(m.surveyor, relayer.NewAnswerer(m.surveyor), g.balancer, relay)
	reads, err := follower.NewReads(m.registry)
	if err != nil {
		return nil, err
	}
	m.follow(reads, gooseberrypass.TopicOperator, follower.Settings{Known: m.known(gooseberrypass.TopicOperator), Turn: relay.Turn, Wait: longPoll})
	m.follow(reads, gooseberrypass.TopicProcesses, follower.Settings{Known: m.known(gooseberrypass.TopicProcesses), Pause: processesPause, Turn: relay.Turn, Wait: longPoll})
	m.follow(reads, gooseberrypass.TopicEndpoints, follower.Settings{Known: m.known(gooseberrypass.TopicEndpoints), Pause: settings.forward("servers-pause"), Turn: relay.Turn})
	return g, g.bind(ctx)
}

func (g *Gateway) bind(ctx context.Context) error {
	f, err := forwarder.New(g.clock, g.surveyor, g.balancer, g.courier, g.recall, g.settings.forwarder(), g.registry, g.logger)
	if err != nil {
		return errors.Wrap(err, "request path")
	}
	if err := g.listen(ctx); err != nil {
		return err
	}
	g.ready, err = listener.Listen(ctx, g.settings.address("ready-listen"), platform.NewReadinessHandler(g.isReady))
	if err != nil {
		return err
	}
	callers := platform.NewCallerHandler(f, g.clock, g.stopping.Load, g.maxBody)
	g.callers, err = listener.Listen(ctx, g.settings.address("callers-listen"), callers)
	return err
}

func (g *Gateway) maxBody() int64 {
	if d := g.surveyor.Deployment(); d != nil && d.Limits().Body > 0 {
		return d.Limits().Body
	}
	return defaultMaxBody
}

// isReady reports whether the process can serve callers.
func (g *Gateway) isReady() bool {
	snapshot := g.surveyor.Snapshot()
	return !g.stopping.Load() && snapshot.Deployment != nil && len(snapshot.Endpoints) > 0
}

// Run serves until ctx is done. Then the platform is told to send no one, and
// requests in progress end before Run returns.
func (g *Gateway) Run(ctx context.Context) error {
	serve := func(l *listener.Listener) service {
		return func(ctx context.Context) error { return l.Run(ctx, closeGrace) }
	}
	failed, stopParts := start(ctx, append(g.services(), serve(g.ready))...)
	grace := g.settings.duration(sectionBounds, "grace") - g.settings.forward("stop-delay") - stopReserve
	callersFailed, stopCallers := start(ctx, func(ctx context.Context) error {
		return g.callers.Run(ctx, max(grace, time.Second))
	})
	g.logger.WithField("callers", g.callers.Address()).WithField("system", g.system.Address()).Info("gateway started")
	var cause error
	select {
	case <-ctx.Done():
		g.drain()
	case cause = <-failed:
	case cause = <-callersFailed:
	}
	for _, stop := range []func() error{stopCallers, stopParts} {
		if err := stop(); cause == nil {
			cause = err
		}
	}
	g.courier.CloseIdle()
	g.logger.Info("gateway stopped")
	return cause
}

// drain lets the platform notice that the process is not ready before the
// address for callers closes.
func (g *Gateway) drain() {
	g.stopping.Store(true)
	g.logger.Info("gateway stops")
	timer := g.clock.NewTimer(g.settings.forward("stop-delay"))
	defer timer.Stop()
	<-timer.Chan()
}
