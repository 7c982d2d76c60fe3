package runner

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/follower"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/listener"
	"github.com/gooseberrypass/gooseberrypass/looper"
	"github.com/gooseberrypass/gooseberrypass/materializer"
	"github.com/gooseberrypass/gooseberrypass/platform"
	"github.com/gooseberrypass/gooseberrypass/registrar"
	"github.com/gooseberrypass/gooseberrypass/replicator"
)

// Timing of the reads of topics and of the registration.
const (
	longPoll           = 25 * time.Second       // longest time for which the store may hold a read
	followRetryDelay   = 250 * time.Millisecond // delay after a failed read
	processesReadPause = time.Second            // delay between reads of the processes, so that one read returns those that start together
	// operatorReadDelay is how long a starting agent waits to receive the
	// operator's records from an entry before it reads them from the store. Without
	// it, all agents would read them at once after a power failure, over links that
	// the entries need.
	operatorReadDelay = 1500 * time.Millisecond
)

// A machineProcess holds the parts that a gateway and a sidecar have in common:
// the processes on machines that the platform prepares.
type machineProcess struct {
	clock        gooseberrypass.Clock
	client       *http.Client // for the store and other processes
	followers    []*follower.Follower
	gossiper     *gossiper.Gossiper
	internal     *listener.Server // serves other processes
	logger       logrus.FieldLogger
	loop         *looper.Loop
	materializer *materializer.Materializer
	metrics      *listener.Server // serves the metrics
	metricsMux   *http.ServeMux
	registrar    *registrar.Registrar
	registry     *prometheus.Registry
	restores     *follower.Restores // of the store
	seed         uint64
	self         materializer.Process
	settings     *MachineSettings
	store        *platform.Store // the platform's log of keyed topics
}

func newMachineProcess(ctx context.Context, settings *MachineSettings, d Dependencies) (*machineProcess, error) {
	self := settings.self()
	m := &machineProcess{
		client:   newMachineClient(),
		clock:    d.Clock,
		logger:   d.Logger.WithField("instance", self.ID),
		registry: d.Registry,
		restores: follower.NewRestores(),
		seed:     uint64(d.Clock.Now().UnixNano()),
		self:     self,
		settings: settings,
	}
	m.store = platform.NewStore(m.client, settings.address("store"))
	var err error
	if m.loop, err = looper.New(m.clock, m.registry, tickPeriod); err != nil {
		return nil, errors.Wrap(err, "create control loop")
	}
	m.loop.SetLogger(m.logger)
	if m.gossiper, err = gossiper.New(self.Address, m.loop.Post, m.registry, m.logger); err != nil {
		return nil, err
	}
	m.metricsMux = http.NewServeMux()
	m.metricsMux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	m.metrics, err = listener.Listen(ctx, settings.address("metrics-listen"), m.metricsMux)
	return m, err
}

// Connection limits of the client for the store and other processes: the latency
// between instances is a few milliseconds, and a silent connection must be detected
// within seconds.
const (
	dialTimeout       = 400 * time.Millisecond
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	maxIdlePerHost    = 16
	maxHeaderBytes    = 64 << 10 // of an answer; a peer in trouble may send bytes without end
	idleTimeout       = 30 * time.Second
)

func newMachineClient() *http.Client {
	dial := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Count: keepAliveCount, Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval},
		Timeout:         dialTimeout,
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: dial.DialContext, DisableCompression: true, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: maxIdlePerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// startID identifies this start of the process among all starts of all processes.
func (m *machineProcess) startID() uint64 {
	return xxhash.Sum64String(string(m.self.ID) + " " + strconv.FormatUint(m.seed, 10))
}

// follow adds a follower of a topic.
func (m *machineProcess) follow(reads *prometheus.CounterVec, topic gooseberrypass.Topic, settings follower.Settings) {
	settings.Restores, settings.RetryDelay = m.restores, followRetryDelay
	m.followers = append(m.followers, follower.New(m.clock, m.store, topic, settings, m.loop.Post, reads, m.logger))
}

// nextOffset returns a function that gives the offset after the last record that
// the process has of a topic, whether read from the store or received from another
// process.
func (m *machineProcess) nextOffset(topic gooseberrypass.Topic) func() gooseberrypass.Offset {
	return func() gooseberrypass.Offset { return m.materializer.NextOffset(topic) }
}

// newRegistrar returns the registrar of the process, which must come after the
// materializer in the control loop.
func (m *machineProcess) newRegistrar() (*registrar.Registrar, error) {
	body, err := json.Marshal(m.self)
	if err != nil {
		return nil, errors.Wrap(err, "encode process registration")
	}
	return registrar.New(m.clock, m.store, m.materializer, string(m.self.ID), body, m.seed, m.logger), nil
}

// newReplicator returns the replicator of the process. loads, backlogs and history are nil
// in an agent.
func (m *machineProcess) newReplicator(loads replicator.LoadExchange, backlogs replicator.BacklogExchange, history replicator.RequestHistory) *replicator.Replicator {
	return replicator.New(replicator.Self{Address: m.self.Address, ID: m.self.ID, Region: m.self.Region, Role: m.self.Role}, m.materializer, m.gossiper, m.client, loads, backlogs, history,
		m.settings.replicatorSettings(), m.seed, m.logger)
}

// listen binds the address for other processes.
func (m *machineProcess) listen(ctx context.Context, routes ...listener.Route) error {
	mux := http.NewServeMux()
	mux.Handle(replicator.Pattern, replicator.NewHandler(m.loop.Post))
	for _, r := range routes {
		mux.Handle(r.Pattern, r.Handler)
	}
	var err error
	m.internal, err = listener.Listen(ctx, m.self.Address, mux)
	return err
}

// runFuncs returns the long-running functions of the process.
func (m *machineProcess) runFuncs() []runFunc {
	serve := func(l *listener.Server) runFunc {
		return func(ctx context.Context) error { return l.Run(ctx, closeTimeout) }
	}
	funcs := make([]runFunc, 0, len(m.followers)+5)
	funcs = append(funcs, m.loop.Run, m.gossiper.Run, m.registrar.Run, serve(m.internal), serve(m.metrics))
	for _, f := range m.followers {
		funcs = append(funcs, f.Run)
	}
	return funcs
}
