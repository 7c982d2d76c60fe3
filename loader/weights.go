package loader

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/cacher"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
)

// Dependencies are the parts and settings that NewWeights needs.
type Dependencies struct {
	Client     *http.Client // for requests to other instances; sends the shared key
	Clock      gooseberrypass.Clock
	Config     gooseberrypass.ConfigSource
	Engine     gooseberrypass.Engine
	InFlight   func(gooseberrypass.ID) int // number of requests in progress on a model; may be nil
	Log        logrus.FieldLogger
	Origin     gooseberrypass.Origin
	Pressure   cacher.Pressure // may be nil
	Registerer prometheus.Registerer
	Seed       uint64
	Self       gooseberrypass.ListedInstance
	Settings   fetcher.Settings
	Store      gooseberrypass.WeightStore // may be nil
	WeightsURL string                     // base of the loopback URL at which the engine reads weights, without "/weights/"
}

// Weights combines the cacher, fetcher and loader of an agent.
type Weights struct {
	cacher  *cacher.Cacher
	chunks  *cacher.Handler
	fetcher *fetcher.Fetcher
	loader  *Loader
	weights *cacher.WeightsHandler
}

// NewWeights creates the cacher, fetcher and loader of an agent.
func NewWeights(d Dependencies) (*Weights, error) {
	c := cacher.New(0)
	bulkRate := func() int64 {
		if cfg := d.Config.Config(); cfg != nil {
			return cfg.System().BulkRate()
		}
		return 0
	}
	chunks, err := cacher.NewHandler(c, cacher.NewPacer(bulkRate, d.Pressure), d.Registerer)
	if err != nil {
		return nil, err
	}
	reader := fetcher.NewReader(d.Client, d.Clock, c, d.Origin, d.Store)
	f, err := fetcher.New(d.Self, c, reader, d.Seed, d.Settings, d.Registerer, d.Log)
	if err != nil {
		return nil, err
	}
	w := &Weights{
		cacher:  c,
		chunks:  chunks,
		fetcher: f,
		loader:  New(d.Self, d.Engine, f, d.WeightsURL, d.InFlight, d.Log),
		weights: cacher.NewWeightsHandler(c),
	}
	if err := d.Registerer.Register(newPhaseCollector(w.loader)); err != nil {
		return nil, errors.Wrap(err, "register phase metrics")
	}
	return w, nil
}

// ChunkHandler returns the handler for cacher.Pattern. It serves chunks to other
// instances and must be protected by the shared key.
func (w *Weights) ChunkHandler() http.Handler { return w.chunks }

// Controllers returns the controllers for the control loop, in the order in which
// they must handle each event.
func (w *Weights) Controllers() []gooseberrypass.Controller {
	return []gooseberrypass.Controller{w.fetcher, w.loader}
}

// Cacher returns the in-memory cache of the chunks.
func (w *Weights) Cacher() *cacher.Cacher { return w.cacher }

// Serving returns the versions to which requests may be admitted now.
func (w *Weights) Serving() []gooseberrypass.LoadedVersion { return w.loader.Serving() }

// Stop refuses new uploads and returns once those in progress have ended, or with
// the error of ctx. It does not stop the controllers, for which the control loop
// needs a gooseberrypass.StopRequested.
func (w *Weights) Stop(ctx context.Context) error { return w.chunks.Stop(ctx) }

// Targets returns the progress of each wanted version.
func (w *Weights) Targets() []gooseberrypass.TargetStatus { return w.loader.Targets() }

// WeightsHandler returns the handler for cacher.WeightsPattern. It serves weights to
// the engine on loopback.
func (w *Weights) WeightsHandler() http.Handler { return w.weights }

// A phaseCollector exports the phase and the held chunks of each target as metrics.
type phaseCollector struct {
	held   *prometheus.Desc
	loader *Loader
	phase  *prometheus.Desc
}

func newPhaseCollector(loader *Loader) *phaseCollector {
	return &phaseCollector{
		held: prometheus.NewDesc("gooseberrypass_target_held_chunks",
			"Verified chunks of the wanted version.", []string{labelModel}, nil),
		loader: loader,
		phase: prometheus.NewDesc("gooseberrypass_target_phase",
			"1 for the phase in which this instance is with the wanted version.", []string{labelModel, "phase"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (p *phaseCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- p.held
	ch <- p.phase
}

// Collect implements prometheus.Collector.
func (p *phaseCollector) Collect(ch chan<- prometheus.Metric) {
	for _, t := range p.loader.Targets() {
		ch <- prometheus.MustNewConstMetric(p.held, prometheus.GaugeValue, float64(t.Held), string(t.Model))
		ch <- prometheus.MustNewConstMetric(p.phase, prometheus.GaugeValue, 1, string(t.Model), string(t.Phase))
	}
}

var _ prometheus.Collector = (*phaseCollector)(nil)
