package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/dialer"
	"github.com/gooseberrypass/gooseberrypass/listener"
	"github.com/gooseberrypass/gooseberrypass/looper"
	"github.com/gooseberrypass/gooseberrypass/spreader"
	"github.com/gooseberrypass/gooseberrypass/tracker"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// tickPeriod is the period of the control loop.
const tickPeriod = 100 * time.Millisecond

// closeGrace bounds the wait for the calls of other processes at the end of a
// stop, when no work is in progress any more.
const closeGrace = 2 * time.Second

// errNoConfig tells why a process is not ready.
var errNoConfig = errors.New("no configuration yet")

// Dependencies are what a process takes from its surroundings.
type Dependencies struct {
	Clock    gooseberrypass.Clock
	Logger   *logrus.Logger
	Registry *prometheus.Registry
}

// A process is what entries and agents have in common.
type process struct {
	clock    gooseberrypass.Clock
	dialer   *dialer.Dialer
	log      *connector.Log
	logger   logrus.FieldLogger
	loop     *looper.Loop
	platform *http.Client
	registry *prometheus.Registry
	seed     uint64
	settings *Settings
	spreader *spreader.Spreader
	tracker  *tracker.Tracker
}

func newProcess(settings *Settings, selector tracker.Selector, d Dependencies, options ...tracker.Option) (*process, error) {
	p := &process{
		clock:    d.Clock,
		logger:   d.Logger.WithField("instance", settings.self.ID),
		registry: d.Registry,
		seed:     settings.seed,
		settings: settings,
	}
	if p.seed == 0 {
		p.seed = uint64(d.Clock.Now().UnixNano())
	}
	if err := p.registry.Register(collectors.NewGoCollector()); err != nil {
		return nil, errors.Wrap(err, "register metrics")
	}
	if err := p.registry.Register(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})); err != nil {
		return nil, errors.Wrap(err, "register metrics")
	}
	var err error
	if p.dialer, err = dialer.New(settings.sharedKey, p.registry); err != nil {
		return nil, errors.Wrap(err, "dialer")
	}
	if p.loop, err = looper.New(p.clock, p.registry, tickPeriod); err != nil {
		return nil, errors.Wrap(err, "control loop")
	}
	p.platform = p.dialer.Client(dialer.ClassPlatform)
	p.log = connector.NewLog(p.platform, settings.logURL)
	return p, p.addMembership(selector, options...)
}

// addMembership makes the parts that follow members and configuration.
func (p *process) addMembership(selector tracker.Selector, options ...tracker.Option) error {
	control := p.dialer.Client(dialer.ClassControl)
	list := connector.NewInstanceList(p.platform, p.settings.listURL)
	dial := func(address string) wire.Agent {
		return wire.NewAgentProtobufClient("http://"+address, control)
	}
	var err error
	p.tracker, err = tracker.New(p.clock, list, dial, selector, p.registry, p.logger, options...)
	if err != nil {
		return errors.Wrap(err, "tracker")
	}
	self := spreader.Self{ID: p.settings.self.ID, Region: p.settings.self.Region, Role: p.settings.self.Role}
	p.spreader, err = spreader.New(self, p.settings.sharedKey, p.log, p.tracker, spreader.DialTwirp(control),
		p.loop.Post, p.registry,
		spreader.WithLogger(p.logger),
		spreader.WithRetention(p.settings.retention),
		spreader.WithSeed(p.seed),
	)
	if err != nil {
		return errors.Wrap(err, "spreader")
	}
	p.loop.Add(p.tracker, p.spreader)
	return nil
}

// Members returns the members as this process believes them to be.
func (p *process) Members() []gooseberrypass.Member { return p.tracker.Members() }

// Config returns the configuration in force, nil before the first.
func (p *process) Config() *gooseberrypass.Config { return p.spreader.Config() }

// ready tells why the process is not ready, nil if it is.
func (p *process) ready() error {
	if p.spreader.Config() == nil {
		return errNoConfig
	}
	return nil
}

// systemHandler returns the handler of the address for other processes.
func (p *process) systemHandler(ready func() error, routes ...listener.Route) http.Handler {
	peers := wire.NewPeerServer(p.spreader)
	routes = append(routes, listener.Route{Handler: peers, Pattern: peers.PathPrefix()})
	return listener.NewInternalHandler(p.settings.sharedKey, p.registry, ready, routes...)
}

// A service is one goroutine of a process. It runs until its context is done.
type service func(ctx context.Context) error

// start runs services until the returned stop is called, whatever becomes of
// ctx; stop returns the first error. The channel gets the error of a service
// that ends by itself.
func start(ctx context.Context, services ...service) (<-chan error, func() error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	failed := make(chan error, len(services))
	ended := make(chan error, len(services))
	for _, s := range services {
		go func() {
			err := s(ctx)
			if ctx.Err() == nil {
				failed <- err
			}
			ended <- err
		}()
	}
	stop := func() error {
		cancel()
		var first error
		for range services {
			if err := <-ended; err != nil && first == nil {
				first = err
			}
		}
		return first
	}
	return failed, stop
}
