package runner

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/follower"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/listener"
	"github.com/gooseberrypass/gooseberrypass/looper"
	"github.com/gooseberrypass/gooseberrypass/platform"
	"github.com/gooseberrypass/gooseberrypass/relayer"
	"github.com/gooseberrypass/gooseberrypass/surveyor"
)

// The reads of topics that change seldom.
const (
	longPoll       = 25 * time.Second       // for which the store holds a read
	followRetry    = 250 * time.Millisecond // after a read that failed
	processesPause = time.Second            // gathers the processes that start together in one read
	registerRetry  = 500 * time.Millisecond
	// startPatience is how long an agent waits for an entry to hand over the
	// operator's records at the start. After a loss of power all agents would else
	// read them at once, over links that the entries need.
	startPatience = 1500 * time.Millisecond
)

// A machine is what the processes on prepared machines have in common.
type machine struct {
	clock     gooseberrypass.Clock
	client    *http.Client
	followers []*follower.Follower
	gossiper  *gossiper.Gossiper
	logger    logrus.FieldLogger
	loop      *looper.Loop
	metrics   *listener.Server
	registry  *prometheus.Registry
	seed      uint64
	self      surveyor.Process
	settings  *MachineSettings
	store     *platform.Store
	surveyor  *surveyor.Surveyor
	system    *listener.Server
}

func newMachine(ctx context.Context, settings *MachineSettings, d Dependencies) (*machine, error) {
	self := settings.self()
	m := &machine{
		client:   newMachineClient(),
		clock:    d.Clock,
		logger:   d.Logger.WithField("instance", self.ID),
		registry: d.Registry,
		seed:     uint64(d.Clock.Now().UnixNano()),
		self:     self,
		settings: settings,
	}
	m.store = platform.NewStore(m.client, settings.address("store"))
	var err error
	if m.loop, err = looper.New(m.clock, m.registry, tickPeriod); err != nil {
		return nil, errors.Wrap(err, "control loop")
	}
	if m.gossiper, err = gossiper.New(self.Address, m.loop.Post, m.registry, m.logger); err != nil {
		return nil, err
	}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	m.metrics, err = listener.Listen(ctx, settings.address("metrics-listen"), metrics)
	return m, err
}

// Dial limits of the client for the store and other processes: instances are a
// few milliseconds apart, and a silent connection must be noticed in seconds.
const (
	dialTimeout = 400 * time.Millisecond
	probePeriod = time.Second
	probeCount  = 2
	idlePerHost = 16
	idleClose   = 30 * time.Second
)

func newMachineClient() *http.Client {
	dial := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Count: probeCount, Enable: true, Idle: probePeriod, Interval: probePeriod},
		Timeout:         dialTimeout,
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: dial.DialContext, DisableCompression: true, IdleConnTimeout: idleClose, MaxIdleConnsPerHost: idlePerHost,
	}}
}

// follow adds a reader of a topic.
func (m *machine) follow(reads *prometheus.CounterVec, topic gooseberrypass.Topic, settings follower.Settings) {
	settings.RetryDelay = followRetry
	m.followers = append(m.followers, follower.New(m.clock, m.store, topic, settings, m.loop.Post, reads, m.logger))
}

// known returns how far the process has a topic, whoever read it.
func (m *machine) known(topic gooseberrypass.Topic) func() gooseberrypass.Offset {
	return func() gooseberrypass.Offset { return m.surveyor.Next(topic) }
}

// newRelayer returns the relayer of the process. loads and recall are nil in an
// agent.
func (m *machine) newRelayer(loads relayer.LoadExchange, recall relayer.RequestHistory) *relayer.Relayer {
	return relayer.New(relayer.Self{Address: m.self.Address, ID: m.self.ID, Region: m.self.Region, Role: m.self.Role}, m.surveyor, m.gossiper, m.client, loads, recall,
		m.settings.relayer(), m.seed, m.logger)
}

// listen binds the address for other processes.
func (m *machine) listen(ctx context.Context, routes ...listener.Route) error {
	mux := http.NewServeMux()
	mux.Handle(relayer.Pattern, relayer.NewHandler(m.loop.Post))
	for _, r := range routes {
		mux.Handle(r.Pattern, r.Handler)
	}
	var err error
	m.system, err = listener.Listen(ctx, m.self.Address, mux)
	return err
}

// services returns the goroutines of the process.
func (m *machine) services() []service {
	serve := func(l *listener.Server) service {
		return func(ctx context.Context) error { return l.Run(ctx, closeGrace) }
	}
	services := make([]service, 0, len(m.followers)+5)
	services = append(services, m.loop.Run, m.gossiper.Run, m.register, serve(m.system), serve(m.metrics))
	for _, f := range m.followers {
		services = append(services, f.Run)
	}
	return services
}

// register makes the process known to the others, and waits for the end.
func (m *machine) register(ctx context.Context) error {
	body, err := json.Marshal(m.self)
	if err != nil {
		return errors.Wrap(err, "encode process")
	}
	for ctx.Err() == nil {
		err := m.store.Put(ctx, gooseberrypass.TopicProcesses, string(m.self.ID), body)
		if err == nil {
			m.logger.Info("process registered")
			break
		}
		m.logger.WithError(err).Warn("process not registered")
		timer := m.clock.NewTimer(registerRetry)
		select {
		case <-ctx.Done():
		case <-timer.Chan():
		}
		timer.Stop()
	}
	<-ctx.Done()
	m.deregister(context.WithoutCancel(ctx))
	return nil
}

// deregister lets the others know that the process is gone. If the store does
// not take it, the others find out by themselves.
func (m *machine) deregister(ctx context.Context) {
	if err := m.store.Put(ctx, gooseberrypass.TopicProcesses, string(m.self.ID), nil); err != nil {
		m.logger.WithError(err).Warn("process still registered")
	}
}
