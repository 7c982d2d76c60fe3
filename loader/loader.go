// Package loader deploys the versions that the configuration requires to the engine
// beside this process: it has them fetched, waits for this instance's wave of the
// rollout and orders the engine to load them.
package loader

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/roller"
)

const (
	confirmTimeout  = 10 * time.Second // time within which an engine must report a load that it accepted
	loadTimeout     = 10 * time.Minute // limit of one load
	maxBackoffShift = 6                // most doublings of retryBase
	orderTimeout    = loadTimeout      // limit of one request to the engine
	retryBase       = time.Second      // pause after the first failed order
	retryMax        = time.Minute      // longest pause after a failed order
	settleTime      = 2 * time.Second  // time within which an engine reports the effect of an order
	stallTimeout    = 2 * time.Minute  // time without fetch progress after which a rollout skips an instance
)

// labelModel names the model in metrics and log lines.
const labelModel = "model"

// A VersionFetcher fetches the wanted versions.
type VersionFetcher interface {
	Progress(digest gooseberrypass.Digest) fetcher.Progress
	SetWants(now time.Time, wants []fetcher.Want) []gooseberrypass.Effect
}

// A Loader is the controller that turns wanted versions into orders to the engine.
// Only one order is in progress at a time.
type Loader struct {
	bases         map[gooseberrypass.Digest]gooseberrypass.Digest // base that each loaded adapter was loaded for
	config        *gooseberrypass.Config
	engine        gooseberrypass.Engine
	fetcher       VersionFetcher
	inFlight      func(gooseberrypass.ID) int // requests in progress on a model
	log           logrus.FieldLogger
	members       []gooseberrypass.Member
	ordered       *target // target of the order in progress, nil if it loads nothing
	ordering      bool    // an order is in progress
	roleBackoff   backoff
	self          gooseberrypass.ListedInstance
	snapshot      atomic.Pointer[snapshot]
	stopped       bool
	targets       []*target
	unloadBackoff backoff
	view          engineView
	wants         []fetcher.Want
	watcher       *roller.Watcher
	weightsURL    string
}

// A backoff delays the repetition of a failed order.
type backoff struct {
	failures int
	retryAt  time.Time
}

func (b *backoff) fail(now time.Time) {
	b.retryAt = now.Add(min(retryBase<<min(b.failures, maxBackoffShift), retryMax))
	b.failures++
}

// A snapshot is the state that other goroutines read.
type snapshot struct {
	serving []gooseberrypass.LoadedVersion
	targets []gooseberrypass.TargetStatus
}

// New returns the loader for the engine of instance self. weightsURL is the base URL
// at which the engine reads weights. inFlight returns the number of requests in
// progress on a model; nil means none.
func New(
	self gooseberrypass.ListedInstance,
	engine gooseberrypass.Engine,
	versions VersionFetcher,
	weightsURL string,
	inFlight func(gooseberrypass.ID) int,
	log logrus.FieldLogger,
) *Loader {
	if inFlight == nil {
		inFlight = func(gooseberrypass.ID) int { return 0 }
	}
	l := &Loader{
		bases:      map[gooseberrypass.Digest]gooseberrypass.Digest{},
		inFlight:   inFlight,
		engine:     engine,
		log:        log,
		self:       self,
		fetcher:    versions,
		watcher:    roller.NewWatcher(stallTimeout),
		weightsURL: weightsURL,
	}
	l.snapshot.Store(&snapshot{})
	return l
}

// Serving returns the versions to which requests may be admitted now. It may be
// called from any goroutine.
func (l *Loader) Serving() []gooseberrypass.LoadedVersion { return l.snapshot.Load().serving }

// Targets returns the progress of each wanted version. It may be called from any
// goroutine.
func (l *Loader) Targets() []gooseberrypass.TargetStatus { return l.snapshot.Load().targets }

// Handle implements gooseberrypass.Controller.
func (l *Loader) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case gooseberrypass.ConfigAccepted:
		l.applyConfig(e.Config)
	case gooseberrypass.EngineObserved:
		l.observe(now, e)
	case gooseberrypass.MembersChanged:
		l.members = e.Members
		l.watcher.Retain(e.Members)
	case gooseberrypass.StopRequested:
		l.stopped = true
	case orderDone:
		l.finishOrder(now, e)
	}
	if l.stopped {
		l.publish()
		return nil
	}
	effects := l.updateWants(now)
	if order := l.nextOrder(now); order != nil {
		effects = append(effects, order)
	}
	l.publish()
	return effects
}

// applyConfig applies a configuration unless it is older than the current one.
func (l *Loader) applyConfig(cfg *gooseberrypass.Config) {
	if l.config != nil && cfg.Offset() < l.config.Offset() {
		return
	}
	l.config = cfg
	l.targets = targetsOf(cfg, l.self, l.targets)
}

func (l *Loader) fence() gooseberrypass.Fence { return gooseberrypass.Fence(l.config.Offset()) }

// fenced reports whether the engines of every model of this instance refuse orders
// with an old fence.
func (l *Loader) fenced() bool {
	return len(l.targets) > 0 &&
		!slices.ContainsFunc(l.targets, func(t *target) bool { return !t.model.Fenced() })
}

func (l *Loader) observe(now time.Time, e gooseberrypass.EngineObserved) {
	l.view.observe(now, e, l.fenced())
	if !l.view.valid {
		return
	}
	for _, t := range l.targets {
		switch {
		case l.view.serves(t.model.ID(), t.digest()):
			t.succeed()
		case t.orderedAt.IsZero():
		case t.orderedBootID != l.view.state.BootID:
			t.fail(now, "the engine started anew while it loaded the version")
		case !l.view.state.Loading && now.Sub(t.orderedAt) > confirmTimeout:
			t.fail(now, "the engine took the order and did not load the version")
		case now.Sub(t.orderedAt) > loadTimeout:
			t.fail(now, "the engine did not load the version in time")
		}
	}
	for digest := range l.bases {
		if !slices.ContainsFunc(l.view.state.Loaded, func(v gooseberrypass.LoadedVersion) bool { return v.Digest == digest }) {
			delete(l.bases, digest)
		}
	}
}

// updateWants passes the versions that are wanted and not loaded to the fetcher. It
// waits for the first observation of the engine, which may have them loaded already.
func (l *Loader) updateWants(now time.Time) []gooseberrypass.Effect {
	if !l.view.observed {
		return nil
	}
	var wants []fetcher.Want
	for _, t := range l.targets {
		if !l.drained() && !l.view.serves(t.model.ID(), t.digest()) {
			wants = append(wants, t.want())
		}
	}
	if slices.Equal(wants, l.wants) {
		return nil
	}
	l.wants = wants
	return l.fetcher.SetWants(now, wants)
}

// drained reports whether the configuration drains this instance. It does so until
// there is a configuration.
func (l *Loader) drained() bool {
	if l.config == nil {
		return true
	}
	i, ok := l.config.InstanceOf(l.self)
	return ok && i.Drain()
}

// nextOrder returns the next order to the engine, nil if none is due.
func (l *Loader) nextOrder(now time.Time) gooseberrypass.Effect {
	if l.drained() || l.ordering || !l.view.valid || !l.view.settled || l.view.state.Fence > l.fence() {
		return nil
	}
	if order := l.roleOrder(now); order != nil {
		return order
	}
	if order := l.unloadOrder(now); order != nil {
		return order
	}
	for _, t := range l.targets {
		if order := l.loadOrder(now, t); order != nil {
			return order
		}
	}
	return nil
}

func (l *Loader) roleOrder(now time.Time) gooseberrypass.Effect {
	i, ok := l.config.InstanceOf(l.self)
	if !ok || i.Role() == "" || i.Role() == l.view.state.Role || now.Before(l.roleBackoff.retryAt) {
		return nil
	}
	return l.issue(gooseberrypass.Order{Fence: l.fence(), Kind: gooseberrypass.OrderRole, Role: i.Role()}, nil)
}

// unloadOrder unloads a model that is no longer wanted on this instance, once it
// has no requests in progress.
func (l *Loader) unloadOrder(now time.Time) gooseberrypass.Effect {
	if now.Before(l.unloadBackoff.retryAt) || l.view.state.Loading {
		return nil
	}
	for _, v := range l.view.state.Loaded {
		if l.target(v.Model) == nil && l.inFlight(v.Model) == 0 {
			return l.issue(gooseberrypass.Order{
				Digest: v.Digest, Fence: l.fence(), Kind: gooseberrypass.OrderUnload, Model: v.Model,
			}, nil)
		}
	}
	return nil
}

func (l *Loader) target(model gooseberrypass.ID) *target {
	for _, t := range l.targets {
		if t.model.ID() == model {
			return t
		}
	}
	return nil
}

func (l *Loader) loadOrder(now time.Time, t *target) gooseberrypass.Effect {
	if l.view.serves(t.model.ID(), t.digest()) || !t.orderedAt.IsZero() || now.Before(t.retryAt) {
		return nil
	}
	p := l.fetcher.Progress(t.digest())
	t.manifest = p.Manifest
	t.updateProgress(now, p)
	if !p.Complete() || t.mismatch() != "" || l.view.state.Loading || !l.baseLoaded(t) || !l.canLeaveService(now, t) {
		return nil
	}
	if l.inFlight(t.model.ID()) > 0 && now.Sub(t.admissionEnd) < l.config.System().StopLimit() {
		return nil
	}
	return l.issue(t.order(l.fence(), l.weightsURL), t)
}

func (l *Loader) baseLoaded(t *target) bool {
	return !t.isAdapter() || l.view.serves(t.model.Base(), t.base)
}

// canLeaveService stops admitting requests to the previous version once this
// instance's wave has come. It reports whether an earlier call stopped admission:
// only then do the requests in progress include all that were admitted. An instance
// that serves no version of the model may load at once.
func (l *Loader) canLeaveService(now time.Time, t *target) bool {
	if !t.admissionEnd.IsZero() {
		return true
	}
	if l.view.servesAny(t.model.ID()) {
		if !t.peersInformed(now) {
			return false
		}
		candidates := l.watcher.Candidates(now, l.peers(), t.model.ID(), t.digest())
		candidates = append(candidates, roller.Candidate{
			FailureDomain: l.self.FailureDomain, ID: l.self.ID, Serving: true,
		})
		if !roller.Allowed(l.self.ID, t.digest(), candidates, l.config.System().MaxUnavailable()) {
			return false
		}
	}
	t.admissionEnd = now
	return !l.view.servesAny(t.model.ID())
}

// peers returns the other agents of the pool.
func (l *Loader) peers() []gooseberrypass.Member {
	pool := l.config.PoolOf(l.self)
	return slices.DeleteFunc(slices.Clone(l.members), func(m gooseberrypass.Member) bool {
		return m.Listed.ID == l.self.ID || m.Listed.Role != gooseberrypass.RoleAgent || l.config.PoolOf(m.Listed) != pool
	})
}

func (l *Loader) issue(order gooseberrypass.Order, t *target) gooseberrypass.Effect {
	l.ordering, l.ordered = true, t
	l.log.WithFields(logrus.Fields{
		"digest": order.Digest.Short(), "fence": order.Fence, "kind": order.Kind, labelModel: order.Model, "role": order.Role,
	}).Info("sending order to engine")
	return orderEffect{bootID: l.view.state.BootID, engine: l.engine, order: order}
}

// finishOrder handles the result of the order in progress.
func (l *Loader) finishOrder(now time.Time, e orderDone) {
	t := l.ordered
	l.ordering, l.ordered = false, nil
	if e.err != nil {
		l.log.WithError(e.err).WithField(labelModel, e.order.Model).Warn("engine order failed")
	}
	switch {
	case e.order.Kind == gooseberrypass.OrderRole:
		l.roleBackoff = nextBackoff(now, l.roleBackoff, e.err)
	case e.order.Kind == gooseberrypass.OrderUnload:
		l.unloadBackoff = nextBackoff(now, l.unloadBackoff, e.err)
	case e.err != nil:
		t.fail(now, e.err.Error())
	default:
		t.err = ""
		t.orderedAt, t.orderedBootID = now, e.bootID
		if t.isAdapter() {
			l.bases[t.digest()] = t.base
		}
	}
}

// nextBackoff returns the backoff after an order. An accepted order is not repeated
// before the engine had time to report its effect.
func nextBackoff(now time.Time, b backoff, err error) backoff {
	if err == nil {
		return backoff{retryAt: now.Add(settleTime)}
	}
	b.fail(now)
	return b
}

// publish updates the snapshot.
func (l *Loader) publish() {
	s := &snapshot{}
	for _, t := range l.targets {
		s.targets = append(s.targets, l.status(t))
	}
	for _, v := range l.view.state.Loaded {
		if l.admits(v) {
			s.serving = append(s.serving, v)
		}
	}
	l.snapshot.Store(s)
}

// admits reports whether requests may run on a loaded version: it is not about to be
// replaced, and an adapter's base is the one that it was made for.
func (l *Loader) admits(v gooseberrypass.LoadedVersion) bool {
	t := l.target(v.Model)
	if t == nil {
		return false
	}
	if !t.admissionEnd.IsZero() && v.Digest != t.digest() {
		return false
	}
	if !t.isAdapter() {
		return true
	}
	base, ok := l.bases[v.Digest]
	switch {
	case ok:
	case t.manifest != nil && v.Digest == t.digest():
		base = t.manifest.Base()
	default:
		base = t.base
	}
	required := gooseberrypass.LoadedVersion{Digest: base, Model: t.model.Base()}
	return slices.Contains(l.view.state.Loaded, required) && l.admits(required)
}

func (l *Loader) status(t *target) gooseberrypass.TargetStatus {
	p := l.fetcher.Progress(t.digest())
	s := gooseberrypass.TargetStatus{Digest: t.digest(), Held: p.Held, Model: t.model.ID(), Total: p.Total}
	switch {
	case l.view.serves(t.model.ID(), t.digest()):
		s.Phase = gooseberrypass.PhaseServing
	case !t.orderedAt.IsZero(), !t.admissionEnd.IsZero():
		s.Phase = gooseberrypass.PhaseLoading
	case p.Err != "":
		s.Err, s.Phase = p.Err, gooseberrypass.PhaseFailed
	case t.mismatch() != "":
		s.Err, s.Phase = t.mismatch(), gooseberrypass.PhaseFailed
	case t.err != "":
		s.Err, s.Phase = t.err, gooseberrypass.PhaseFailed
	case p.Complete():
		s.Phase = gooseberrypass.PhaseWaiting
	default:
		s.Phase = gooseberrypass.PhaseFetching
	}
	return s
}

// An orderDone is the event that the engine accepted an order or that the order
// failed.
type orderDone struct {
	bootID string
	err    error
	order  gooseberrypass.Order
}

// EventName implements gooseberrypass.Event.
func (orderDone) EventName() string { return "order-done" }

type orderEffect struct {
	bootID string
	engine gooseberrypass.Engine
	order  gooseberrypass.Order
}

// EffectName implements gooseberrypass.Effect.
func (orderEffect) EffectName() string { return "engine-order" }

// Run implements gooseberrypass.Effect.
func (e orderEffect) Run(ctx context.Context) gooseberrypass.Event {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := errors.WithMessage(e.engine.Order(ctx, e.order), string(e.order.Kind)+" order")
	return orderDone{bootID: e.bootID, err: err, order: e.order}
}

var (
	_ gooseberrypass.Controller = (*Loader)(nil)
	_ gooseberrypass.Effect     = orderEffect{}
	_ VersionFetcher            = (*fetcher.Fetcher)(nil)
)
