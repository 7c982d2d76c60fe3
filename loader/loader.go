// Package loader brings the versions that the configuration wants onto the
// engine beside this process: it has them fetched, waits for this instance's
// wave, and gives the orders.
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
	confirmTime = 10 * time.Second // in which the engine must show that it took an order
	loadLimit   = 10 * time.Minute // of one load
	maxShift    = 6
	orderLimit  = loadLimit
	retryBase   = time.Second
	retryMax    = time.Minute
	settleTime  = 2 * time.Second
	stallLimit  = 2 * time.Minute
)

// labelModel names the model in metrics and log lines.
const labelModel = "model"

// Versions is where the loader has versions fetched.
type Versions interface {
	Progress(digest gooseberrypass.Digest) fetcher.Progress
	SetWants(now time.Time, wants []fetcher.Want) []gooseberrypass.Effect
}

// A Loader is the controller from wanted versions to orders. Only one order is
// under way at a time.
type Loader struct {
	bases      map[gooseberrypass.Digest]gooseberrypass.Digest // of loaded adapters
	busy       func(gooseberrypass.ID) int
	config     *gooseberrypass.Config
	engine     gooseberrypass.Engine
	log        logrus.FieldLogger
	members    []gooseberrypass.Member
	ordered    *target // the target of the order under way
	ordering   bool
	roleErr    backoff
	self       gooseberrypass.ListedInstance
	snapshot   atomic.Pointer[snapshot]
	stopped    bool
	targets    []*target
	unloadErr  backoff
	versions   Versions
	view       engineView
	wants      []fetcher.Want
	watcher    *roller.Watcher
	weightsURL string
}

// A backoff pauses an order that failed.
type backoff struct {
	retryAt time.Time
	strikes int
}

func (b *backoff) fail(now time.Time) {
	b.retryAt = now.Add(min(retryBase<<min(b.strikes, maxShift), retryMax))
	b.strikes++
}

// A snapshot is what other goroutines see of a loader.
type snapshot struct {
	serving []gooseberrypass.LoadedVersion
	targets []gooseberrypass.TargetStatus
}

// New returns the loader of the instance self. weightsURL is the base of the
// address at which the engine reads weights. busy tells how many requests of a
// model are in progress; nil stands for none.
func New(
	self gooseberrypass.ListedInstance,
	engine gooseberrypass.Engine,
	versions Versions,
	weightsURL string,
	busy func(gooseberrypass.ID) int,
	log logrus.FieldLogger,
) *Loader {
	if busy == nil {
		busy = func(gooseberrypass.ID) int { return 0 }
	}
	l := &Loader{
		bases:      map[gooseberrypass.Digest]gooseberrypass.Digest{},
		busy:       busy,
		engine:     engine,
		log:        log,
		self:       self,
		versions:   versions,
		watcher:    roller.NewWatcher(stallLimit),
		weightsURL: weightsURL,
	}
	l.snapshot.Store(&snapshot{})
	return l
}

// Serving returns the versions that requests may be admitted to now. It is safe
// to be called on any goroutine.
func (l *Loader) Serving() []gooseberrypass.LoadedVersion { return l.snapshot.Load().serving }

// Targets tells how far each wanted version is. It is safe to be called on any
// goroutine.
func (l *Loader) Targets() []gooseberrypass.TargetStatus { return l.snapshot.Load().targets }

// Handle implements gooseberrypass.Controller.
func (l *Loader) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case gooseberrypass.ConfigAccepted:
		l.accept(e.Config)
	case gooseberrypass.EngineObserved:
		l.observe(now, e)
	case gooseberrypass.MembersChanged:
		l.members = e.Members
		l.watcher.Keep(e.Members)
	case gooseberrypass.StopRequested:
		l.stopped = true
	case orderDone:
		l.finish(now, e)
	}
	if l.stopped {
		l.publish()
		return nil
	}
	effects := l.fetch(now)
	if order := l.decide(now); order != nil {
		effects = append(effects, order)
	}
	l.publish()
	return effects
}

// accept takes a newer configuration.
func (l *Loader) accept(cfg *gooseberrypass.Config) {
	if l.config != nil && cfg.Offset() < l.config.Offset() {
		return
	}
	l.config = cfg
	l.targets = targetsOf(cfg, l.self, l.targets)
}

func (l *Loader) fence() gooseberrypass.Fence { return gooseberrypass.Fence(l.config.Offset()) }

// fenced reports whether every model of this instance has engines that refuse
// old fences.
func (l *Loader) fenced() bool {
	return len(l.targets) > 0 &&
		!slices.ContainsFunc(l.targets, func(t *target) bool { return !t.model.Fenced() })
}

func (l *Loader) observe(now time.Time, e gooseberrypass.EngineObserved) {
	l.view.observe(now, e, l.fenced())
	if !l.view.known {
		return
	}
	for _, t := range l.targets {
		switch {
		case l.view.serves(t.model.ID(), t.digest()):
			t.succeed()
		case t.orderedAt.IsZero():
		case t.orderedBoot != l.view.state.BootID:
			t.fail(now, "the engine started anew while it loaded the version")
		case !l.view.state.Loading && now.Sub(t.orderedAt) > confirmTime:
			t.fail(now, "the engine took the order and did not load the version")
		case now.Sub(t.orderedAt) > loadLimit:
			t.fail(now, "the engine did not load the version in time")
		}
	}
	for digest := range l.bases {
		if !slices.ContainsFunc(l.view.state.Loaded, func(v gooseberrypass.LoadedVersion) bool { return v.Digest == digest }) {
			delete(l.bases, digest)
		}
	}
}

// fetch tells the fetcher which versions are wanted and not loaded. It waits for
// the first observation of the engine, which may have them from before.
func (l *Loader) fetch(now time.Time) []gooseberrypass.Effect {
	if !l.view.seen {
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
	return l.versions.SetWants(now, wants)
}

// drained reports whether the folder takes this instance out of use.
func (l *Loader) drained() bool {
	if l.config == nil {
		return true
	}
	i, ok := l.config.InstanceOf(l.self)
	return ok && i.Drain()
}

// decide returns the order to give now, nil for none.
func (l *Loader) decide(now time.Time) gooseberrypass.Effect {
	if l.drained() || l.ordering || !l.view.known || !l.view.settled || l.view.state.Fence > l.fence() {
		return nil
	}
	if order := l.decideRole(now); order != nil {
		return order
	}
	if order := l.decideUnload(now); order != nil {
		return order
	}
	for _, t := range l.targets {
		if order := l.decideLoad(now, t); order != nil {
			return order
		}
	}
	return nil
}

func (l *Loader) decideRole(now time.Time) gooseberrypass.Effect {
	i, ok := l.config.InstanceOf(l.self)
	if !ok || i.Role() == "" || i.Role() == l.view.state.Role || now.Before(l.roleErr.retryAt) {
		return nil
	}
	return l.give(gooseberrypass.Order{Fence: l.fence(), Kind: gooseberrypass.OrderRole, Role: i.Role()}, nil)
}

// decideUnload drops a model that is not wanted on this instance any more.
func (l *Loader) decideUnload(now time.Time) gooseberrypass.Effect {
	if now.Before(l.unloadErr.retryAt) || l.view.state.Loading {
		return nil
	}
	for _, v := range l.view.state.Loaded {
		if l.target(v.Model) == nil && l.busy(v.Model) == 0 {
			return l.give(gooseberrypass.Order{
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

func (l *Loader) decideLoad(now time.Time, t *target) gooseberrypass.Effect {
	if l.view.serves(t.model.ID(), t.digest()) || !t.orderedAt.IsZero() || now.Before(t.retryAt) {
		return nil
	}
	p := l.versions.Progress(t.digest())
	t.manifest = p.Manifest
	t.noteProgress(now, p)
	if !p.Complete() || t.mismatch() != "" || l.view.state.Loading || !l.baseLoaded(t) || !l.mayLeave(now, t) {
		return nil
	}
	if l.busy(t.model.ID()) > 0 && now.Sub(t.leavingAt) < l.config.System().StopLimit() {
		return nil
	}
	return l.give(t.order(l.fence(), l.weightsURL), t)
}

func (l *Loader) baseLoaded(t *target) bool {
	return !t.isAdapter() || l.view.serves(t.model.Base(), t.base)
}

// mayLeave stops the admission of requests to the version before, once this
// instance's wave has come, and reports whether it had been stopped before: only
// then do the requests in progress count all that were admitted. An instance
// that serves no version of the model has nothing to leave.
func (l *Loader) mayLeave(now time.Time, t *target) bool {
	if !t.leavingAt.IsZero() {
		return true
	}
	if l.view.servesAny(t.model.ID()) {
		if !t.heardOf(now) {
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
	t.leavingAt = now
	return !l.view.servesAny(t.model.ID())
}

// peers returns the other instances of the pool.
func (l *Loader) peers() []gooseberrypass.Member {
	pool := l.config.PoolOf(l.self)
	return slices.DeleteFunc(slices.Clone(l.members), func(m gooseberrypass.Member) bool {
		return m.Listed.ID == l.self.ID || m.Listed.Role != gooseberrypass.RoleAgent || l.config.PoolOf(m.Listed) != pool
	})
}

func (l *Loader) give(order gooseberrypass.Order, t *target) gooseberrypass.Effect {
	l.ordering, l.ordered = true, t
	l.log.WithFields(logrus.Fields{
		"digest": order.Digest.Short(), "fence": order.Fence, "kind": order.Kind, labelModel: order.Model, "role": order.Role,
	}).Info("giving an order to the engine")
	return orderEffect{boot: l.view.state.BootID, engine: l.engine, order: order}
}

// finish takes in what became of the order under way.
func (l *Loader) finish(now time.Time, e orderDone) {
	t := l.ordered
	l.ordering, l.ordered = false, nil
	if e.err != nil {
		l.log.WithError(e.err).WithField(labelModel, e.order.Model).Warn("order failed")
	}
	switch {
	case e.order.Kind == gooseberrypass.OrderRole:
		l.roleErr = after(now, l.roleErr, e.err)
	case e.order.Kind == gooseberrypass.OrderUnload:
		l.unloadErr = after(now, l.unloadErr, e.err)
	case e.err != nil:
		t.fail(now, e.err.Error())
	default:
		t.err = ""
		t.orderedAt, t.orderedBoot = now, e.boot
		if t.isAdapter() {
			l.bases[t.digest()] = t.base
		}
	}
}

// after returns the backoff after an order. An order that was taken is not
// given again before the engine had time to show it.
func after(now time.Time, b backoff, err error) backoff {
	if err == nil {
		return backoff{retryAt: now.Add(settleTime)}
	}
	b.fail(now)
	return b
}

// publish makes the state visible to other goroutines.
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

// admits reports whether requests may run on a version that the engine has
// loaded: its model is not about to be replaced, and an adapter's base is the
// one it was made for.
func (l *Loader) admits(v gooseberrypass.LoadedVersion) bool {
	t := l.target(v.Model)
	if t == nil {
		return false
	}
	if !t.leavingAt.IsZero() && v.Digest != t.digest() {
		return false
	}
	if !t.isAdapter() {
		return true
	}
	base, ok := l.bases[v.Digest]
	if !ok {
		base = t.base
	}
	on := gooseberrypass.LoadedVersion{Digest: base, Model: t.model.Base()}
	return slices.Contains(l.view.state.Loaded, on) && l.admits(on)
}

func (l *Loader) status(t *target) gooseberrypass.TargetStatus {
	p := l.versions.Progress(t.digest())
	s := gooseberrypass.TargetStatus{Digest: t.digest(), Held: p.Held, Model: t.model.ID(), Total: p.Total}
	switch {
	case l.view.serves(t.model.ID(), t.digest()):
		s.Phase = gooseberrypass.PhaseServing
	case !t.orderedAt.IsZero(), !t.leavingAt.IsZero():
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

// An orderDone is the event that an order was given or failed.
type orderDone struct {
	boot  string
	err   error
	order gooseberrypass.Order
}

// EventName implements gooseberrypass.Event.
func (orderDone) EventName() string { return "order-done" }

type orderEffect struct {
	boot   string
	engine gooseberrypass.Engine
	order  gooseberrypass.Order
}

// EffectName implements gooseberrypass.Effect.
func (orderEffect) EffectName() string { return "engine-order" }

// Run implements gooseberrypass.Effect.
func (e orderEffect) Run(ctx context.Context) gooseberrypass.Event {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	err := errors.WithMessage(e.engine.Order(ctx, e.order), string(e.order.Kind)+" order")
	return orderDone{boot: e.boot, err: err, order: e.order}
}

var (
	_ gooseberrypass.Controller = (*Loader)(nil)
	_ gooseberrypass.Effect     = orderEffect{}
	_ Versions                  = (*fetcher.Fetcher)(nil)
)
