// Package burnmeter measures and reports the burn rates of the error budgets of
// service-level objectives.
package burnmeter

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// objectiveLabel is the metric label for the identity of an objective.
const objectiveLabel = "objective"

// A Meter is a filter that counts good and bad requests per objective. It serves
// the counts to status reports and as metrics.
type Meter struct {
	burnRate  *prometheus.Desc
	clock     gooseberrypass.Clock
	config    gooseberrypass.ConfigSource
	histories map[gooseberrypass.ID]*history
	mu        sync.Mutex // guards histories
	requests  *prometheus.CounterVec
	self      gooseberrypass.ID
}

// New returns a meter for the entry self and registers its metrics.
func New(clock gooseberrypass.Clock, config gooseberrypass.ConfigSource, self gooseberrypass.ID, registerer prometheus.Registerer) (*Meter, error) {
	m := &Meter{
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
		histories: map[gooseberrypass.ID]*history{},
		self:      self,
	}
	for _, c := range []prometheus.Collector{m, m.requests} {
		if err := registerer.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// Wrap implements gooseberrypass.Filter.
func (m *Meter) Wrap(next gooseberrypass.Handler) gooseberrypass.Handler {
	return gooseberrypass.HandlerFunc(func(ctx context.Context, req *gooseberrypass.Request, answer gooseberrypass.Answer) error {
		timed := &timedAnswer{clock: m.clock, next: answer}
		startedAt := m.clock.Now()
		err := next.Handle(ctx, req, timed)
		m.count(req, startedAt, timed, err)
		return err
	})
}

// count adds a finished request to each objective that selects it. A request is bad
// if it failed, took longer than the objective's time to the whole answer, or
// started its answer later than the objective's time to the first token.
func (m *Meter) count(req *gooseberrypass.Request, startedAt time.Time, answer *timedAnswer, err error) {
	cfg := m.config.Config()
	if cfg == nil || isCallerError(err) {
		return
	}
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range cfg.Objectives() {
		if !matches(o, req) {
			continue
		}
		bad := err != nil ||
			o.InTime() > 0 && now.Sub(startedAt) > o.InTime() ||
			o.FirstToken() > 0 && answer.startedAt.Sub(startedAt) > o.FirstToken()
		m.history(o.ID()).add(now, bad)
		m.requests.WithLabelValues(string(o.ID()), resultName(bad)).Inc()
	}
}

func resultName(bad bool) string {
	if bad {
		return "bad"
	}
	return "good"
}

// history returns the counts of an objective. The caller must hold m.mu.
func (m *Meter) history(id gooseberrypass.ID) *history {
	h, ok := m.histories[id]
	if !ok {
		h = newHistory()
		m.histories[id] = h
	}
	return h
}

// isCallerError reports whether the caller caused the failure of a request. Such
// failures do not count against the service level.
func isCallerError(err error) bool {
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

// Burn implements the method of wire.Entry: it returns the counts and burn rates of
// all objectives over all windows.
func (m *Meter) Burn(context.Context, *wire.BurnRequest) (*wire.BurnResponse, error) {
	response := &wire.BurnResponse{Entry: string(m.self)}
	cfg := m.config.Config()
	if cfg == nil {
		return response, nil
	}
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range cfg.Objectives() {
		objective := &wire.BurnObjective{Objective: string(o.ID()), Share: o.Share()}
		for _, w := range windows() {
			count := m.history(o.ID()).count(now, w)
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

// Handle implements gooseberrypass.Controller. It deletes the counts and metrics of
// objectives that a new configuration no longer has.
func (m *Meter) Handle(_ time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	accepted, ok := event.(gooseberrypass.ConfigAccepted)
	if !ok {
		return nil
	}
	kept := map[gooseberrypass.ID]bool{}
	for _, o := range accepted.Config.Objectives() {
		kept[o.ID()] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.histories {
		if !kept[id] {
			delete(m.histories, id)
			m.requests.DeletePartialMatch(prometheus.Labels{objectiveLabel: string(id)})
		}
	}
	return nil
}

// Describe implements prometheus.Collector.
func (m *Meter) Describe(descs chan<- *prometheus.Desc) { descs <- m.burnRate }

// Collect implements prometheus.Collector.
func (m *Meter) Collect(metrics chan<- prometheus.Metric) {
	response, err := m.Burn(context.Background(), &wire.BurnRequest{})
	if err != nil {
		return
	}
	for _, o := range response.GetObjectives() {
		for _, w := range o.GetWindows() {
			window := (time.Duration(w.GetWindowSeconds()) * time.Second).String()
			metrics <- prometheus.MustNewConstMetric(m.burnRate, prometheus.GaugeValue, w.GetBurnRate(), o.GetObjective(), window)
		}
	}
}

// A timedAnswer records the time at which an answer starts.
type timedAnswer struct {
	clock     gooseberrypass.Clock
	next      gooseberrypass.Answer
	startedAt time.Time
}

// Start implements gooseberrypass.Answer.
func (a *timedAnswer) Start(digest gooseberrypass.Digest) error {
	a.startedAt = a.clock.Now()
	return a.next.Start(digest)
}

// Write implements gooseberrypass.Answer.
func (a *timedAnswer) Write(piece []byte) error { return a.next.Write(piece) }

// End implements gooseberrypass.Answer.
func (a *timedAnswer) End() error { return a.next.End() }

// Restart implements gooseberrypass.Restarter.
func (a *timedAnswer) Restart() bool { return gooseberrypass.Restart(a.next) }

var (
	_ gooseberrypass.Answer     = (*timedAnswer)(nil)
	_ gooseberrypass.Controller = (*Meter)(nil)
	_ gooseberrypass.Filter     = (*Meter)(nil)
	_ prometheus.Collector      = (*Meter)(nil)
)
