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

// closeTimeout bounds the wait for calls of other processes at the end of a
// shutdown, when no work is in progress any more.
const closeTimeout = 2 * time.Second

// errNoConfig is the reason why a process without a configuration is not ready.
var errNoConfig = errors.New("no configuration yet")

// Dependencies are the parts of a process that its caller provides.
type Dependencies struct {
	Clock    gooseberrypass.Clock
	Logger   *logrus.Logger
	Registry *prometheus.Registry
}

// A process holds the parts that an entry and an agent have in common.
type process struct {
	clock          gooseberrypass.Clock
	dialer         *dialer.Dialer
	log            *connector.Log // the platform's log
	logger         logrus.FieldLogger
	loop           *looper.Loop
	platformClient *http.Client // for the platform's services
	registry       *prometheus.Registry
	seed           uint64
	settings       *Settings
	spreader       *spreader.Spreader
	tracker        *tracker.Tracker
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
		return nil, errors.Wrap(err, "create control loop")
	}
	p.loop.SetLogger(p.logger)
	p.platformClient = p.dialer.Client(dialer.ClassPlatform)
	p.log = connector.NewLog(p.platformClient, settings.logURL)
	return p, p.addMembership(selector, options...)
}

// addMembership creates the parts that track members and configuration.
func (p *process) addMembership(selector tracker.Selector, options ...tracker.Option) error {
	control := p.dialer.Client(dialer.ClassControl)
	list := connector.NewInstanceList(p.platformClient, p.settings.listURL)
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

// Members returns the members that this process knows, which may be out of date.
func (p *process) Members() []gooseberrypass.Member { return p.tracker.Members() }

// Config returns the configuration in force, nil before the first.
func (p *process) Config() *gooseberrypass.Config { return p.spreader.Config() }

// ready returns the reason why the process is not ready, nil if it is.
func (p *process) ready() error {
	if p.spreader.Config() == nil {
		return errNoConfig
	}
	return nil
}

// internalHandler returns the handler of the address for other processes.
func (p *process) internalHandler(ready func() error, routes ...listener.Route) http.Handler {
	peers := wire.NewPeerServer(p.spreader)
	routes = append(routes, listener.Route{Handler: peers, Pattern: peers.PathPrefix()})
	return listener.NewInternalHandler(p.settings.sharedKey, p.registry, ready, routes...)
}

// A runFunc is a long-running function of a process. It runs in a goroutine of its
// own until its context is done.
type runFunc func(ctx context.Context) error

// start runs functions in goroutines until the returned stop function is called,
// even if ctx is done before; stop waits for all of them and returns the first
// error. The channel receives the result of a function that returns before stop is
// called.
func start(ctx context.Context, funcs ...runFunc) (<-chan error, func() error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	failed := make(chan error, len(funcs))
	ended := make(chan error, len(funcs))
	for _, run := range funcs {
		go func() {
			err := run(ctx)
			if ctx.Err() == nil {
				failed <- err
			}
			ended <- err
		}()
	}
	stop := func() error {
		cancel()
		var first error
		for range funcs {
			if err := <-ended; err != nil && first == nil {
				first = err
			}
		}
		return first
	}
	return failed, stop
}
