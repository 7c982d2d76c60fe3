// Package burner measures how fast the error budgets of the service-level
// objectives burn, and reports it.
package burner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// objectiveLabel is the label of metrics that names an objective.
const objectiveLabel = "objective"

// A Burner is the filter that counts requests for each objective.
type Burner struct {
	burnRate *prometheus.Desc
	clock    gooseberrypass.Clock
	config   gooseberrypass.ConfigSource
	mu       sync.Mutex // guards rings
	requests *prometheus.CounterVec
	rings    map[gooseberrypass.ID]*ring
	self     gooseberrypass.ID
}

// New returns a burner of the entry self.
func New(clock gooseberrypass.Clock, config gooseberrypass.ConfigSource, self gooseberrypass.ID, registerer prometheus.Registerer) (*Burner, error) {
	b := &Burner{
		burnRate: prometheus.NewDesc(
			"gooseberrypass_burn_rate",
			"How many times faster than allowed an objective's error budget is spent, seen by this entry.",
			[]string{objectiveLabel, "window"}, nil,
		),
		clock:  clock,
		config: config,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gooseberrypass_objective_requests_total",
			Help: "Requests selected by an objective, by result: good or bad.",
		}, []string{objectiveLabel, "result"}),
		rings: map[gooseberrypass.ID]*ring{},
		self:  self,
	}
	for _, c := range []prometheus.Collector{b, b.requests} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// Wrap implements gooseberrypass.Filter.
func (b *Burner) Wrap(next gooseberrypass.Handler) gooseberrypass.Handler {
	return gooseberrypass.HandlerFunc(func(ctx context.Context, req *gooseberrypass.Request, answer gooseberrypass.Answer) error {
		watched := &watchedAnswer{clock: b.clock, next: answer}
		begin := b.clock.Now()
		err := next.Handle(ctx, req, watched)
		b.count(req, begin, watched, err)
		return err
	})
}

func (b *Burner) count(req *gooseberrypass.Request, begin time.Time, answer *watchedAnswer, err error) {
	cfg := b.config.Config()
	if cfg == nil || callersFault(err) {
		return
	}
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range cfg.Objectives() {
		if !matches(o, req) {
			continue
		}
		bad := err != nil ||
			o.InTime() > 0 && now.Sub(begin) > o.InTime() ||
			o.FirstToken() > 0 && answer.first.Sub(begin) > o.FirstToken()
		b.ring(o.ID()).add(now, bad)
		b.requests.WithLabelValues(string(o.ID()), resultName(bad)).Inc()
	}
}

func resultName(bad bool) string {
	if bad {
		return "bad"
	}
	return "good"
}

func (b *Burner) ring(id gooseberrypass.ID) *ring {
	r, ok := b.rings[id]
	if !ok {
		r = newRing()
		b.rings[id] = r
	}
	return r
}

// callersFault reports whether a request failed by its caller's doing, which
// says nothing of the service level.
func callersFault(err error) bool {
	var failure *gooseberrypass.RequestError
	if !errors.As(err, &failure) {
		return false
	}
	switch failure.Reason {
	case gooseberrypass.ReasonBadRequest, gooseberrypass.ReasonKeyConflict, gooseberrypass.ReasonKeyExpired,
		gooseberrypass.ReasonLimited, gooseberrypass.ReasonPoison, gooseberrypass.ReasonUnknownClient,
		gooseberrypass.ReasonUnknownTarget:
		return true
	default:
		return false
	}
}

// Burn answers the call of wire.Entry.
func (b *Burner) Burn(context.Context, *wire.BurnRequest) (*wire.BurnResponse, error) {
	response := &wire.BurnResponse{Entry: string(b.self)}
	cfg := b.config.Config()
	if cfg == nil {
		return response, nil
	}
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range cfg.Objectives() {
		objective := &wire.BurnObjective{Objective: string(o.ID()), Share: o.Share()}
		for _, w := range windows() {
			count := b.ring(o.ID()).count(now, w)
			objective.Windows = append(objective.Windows, &wire.BurnWindow{
				Bad:           count.Bad,
				BurnRate:      count.BurnRate(o.Share()),
				Total:         count.Total,
				WindowSeconds: int64(w / time.Second),
			})
		}
		response.Objectives = append(response.Objectives, objective)
	}
	return response, nil
}

// Handle implements gooseberrypass.Controller: it forgets the objectives that
// a new configuration no longer has.
func (b *Burner) Handle(_ time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	accepted, ok := event.(gooseberrypass.ConfigAccepted)
	if !ok {
		return nil
	}
	kept := map[gooseberrypass.ID]bool{}
	for _, o := range accepted.Config.Objectives() {
		kept[o.ID()] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.rings {
		if !kept[id] {
			delete(b.rings, id)
			b.requests.DeletePartialMatch(prometheus.Labels{objectiveLabel: string(id)})
		}
	}
	return nil
}

// Describe implements prometheus.Collector.
func (b *Burner) Describe(descs chan<- *prometheus.Desc) { descs <- b.burnRate }

// Collect implements prometheus.Collector.
func (b *Burner) Collect(metrics chan<- prometheus.Metric) {
	response, err := b.Burn(context.Background(), &wire.BurnRequest{})
	if err != nil {
		return
	}
	for _, o := range response.GetObjectives() {
		for _, w := range o.GetWindows() {
			window := (time.Duration(w.GetWindowSeconds()) * time.Second).String()
			metrics <- prometheus.MustNewConstMetric(b.burnRate, prometheus.GaugeValue, w.GetBurnRate(), o.GetObjective(), window)
		}
	}
}

// A watchedAnswer notes when the first piece of an answer came.
type watchedAnswer struct {
	clock gooseberrypass.Clock
	first time.Time
	next  gooseberrypass.Answer
}

// Start implements gooseberrypass.Answer.
func (a *watchedAnswer) Start(digest gooseberrypass.Digest) error {
	a.first = a.clock.Now()
	return a.next.Start(digest)
}

// Write implements gooseberrypass.Answer.
func (a *watchedAnswer) Write(piece []byte) error { return a.next.Write(piece) }

// End implements gooseberrypass.Answer.
func (a *watchedAnswer) End() error { return a.next.End() }

// Restart implements gooseberrypass.Restarter.
func (a *watchedAnswer) Restart() bool { return gooseberrypass.Restart(a.next) }

var (
	_ gooseberrypass.Answer     = (*watchedAnswer)(nil)
	_ gooseberrypass.Controller = (*Burner)(nil)
	_ gooseberrypass.Filter     = (*Burner)(nil)
	_ prometheus.Collector      = (*Burner)(nil)
)
