package attempter

import (
	"reflect"
	"sync/atomic"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/admitter"
	"github.com/gooseberrypass/gooseberrypass/supervisor"
	"github.com/gooseberrypass/gooseberrypass/tracker"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// loadPeriod is the least time between two versions of the status that differ
// in load, chunks held or cached prefixes only.
const loadPeriod = time.Second

// A reporter is the controller that publishes the agent's status. Each change
// gets a new version, to which readers wait.
type reporter struct {
	admitter   *admitter.Admitter
	cfg        *gooseberrypass.Config
	instance   gooseberrypass.ListedInstance
	published  atomic.Pointer[publication]
	stop       *stopState
	supervisor *supervisor.Supervisor
	targets    Targets
	updated    time.Time
}

type publication struct {
	replaced chan struct{} // closed when there is a newer one
	standing uint64        // version of the last that differs in more than load
	status   *gooseberrypass.AgentStatus
}

func newReporter(
	d Dependencies,
	queue *admitter.Admitter,
	stop *stopState,
	watch *supervisor.Supervisor,
) *reporter {
	r := &reporter{
		admitter:   queue,
		instance:   d.Instance,
		stop:       stop,
		supervisor: watch,
		targets:    d.Targets,
	}
	// Versions of an agent that starts anew differ from its predecessor's.
	first := uint64(d.Clock.Now().UnixNano())
	r.published.Store(newPublication(&gooseberrypass.AgentStatus{Version: first}, first))
	return r
}

// Handle implements gooseberrypass.Controller. It comes after the controllers
// whose state it reports.
func (r *reporter) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case gooseberrypass.ConfigAccepted:
		r.cfg = e.Config
	case gooseberrypass.EngineObserved, gooseberrypass.ListingObserved, gooseberrypass.StopRequested, gooseberrypass.Tick:
	default:
		return nil
	}
	next := r.status(now)
	old := r.published.Load()
	same := sameStanding(old.status, next)
	if same && (now.Sub(r.updated) < loadPeriod || sameLoad(old.status, next)) {
		return nil
	}
	r.updated = now
	next.Version = old.status.Version + 1
	standing := next.Version
	if same {
		standing = old.standing
	}
	r.published.Store(newPublication(next, standing))
	close(old.replaced)
	return nil
}

func newPublication(status *gooseberrypass.AgentStatus, standing uint64) *publication {
	return &publication{replaced: make(chan struct{}), standing: standing, status: status}
}

func (r *reporter) status(now time.Time) *gooseberrypass.AgentStatus {
	s := r.supervisor.Snapshot()
	status := &gooseberrypass.AgentStatus{
		CachedPrefixes: s.CachedPrefixes,
		CacheEvent:     s.CacheEvent,
		Crashes:        s.Crashes,
		EndpointUp:     s.Up,
		Leaving:        r.stop.leaving(),
		Load:           r.load(now),
		Loaded:         s.State.Loaded,
		Targets:        r.targets.Targets(),
	}
	if r.cfg != nil {
		status.ConfigOffset = r.cfg.Offset()
		status.Services = r.services()
	}
	return status
}

func (r *reporter) services() []gooseberrypass.ID {
	var ids []gooseberrypass.ID
	for _, s := range r.cfg.Services() {
		if s.Pool() == r.cfg.PoolOf(r.instance) {
			ids = append(ids, s.ID())
		}
	}
	return ids
}

// load returns the load as the admission queue knows it, without a lag.
func (r *reporter) load(now time.Time) gooseberrypass.EngineLoad {
	load := r.admitter.Load()
	load.At = now
	return load
}

// response returns the message for the status last published, with the load of
// this moment.
func (r *reporter) response(now time.Time) *wire.StatusResponse {
	status := *r.published.Load().status
	status.Load = r.load(now)
	return tracker.StatusToWire(r.instance, &status, now)
}

// sameStanding reports whether two statuses agree in all that routing must know
// at once.
func sameStanding(a, b *gooseberrypass.AgentStatus) bool {
	return a.ConfigOffset == b.ConfigOffset && a.EndpointUp == b.EndpointUp && a.Leaving == b.Leaving &&
		a.Load.Capacity == b.Load.Capacity &&
		reflect.DeepEqual(a.Crashes, b.Crashes) &&
		reflect.DeepEqual(a.Loaded, b.Loaded) &&
		reflect.DeepEqual(a.Services, b.Services) &&
		reflect.DeepEqual(phases(a.Targets), phases(b.Targets))
}

func sameLoad(a, b *gooseberrypass.AgentStatus) bool {
	return a.Load.Queued == b.Load.Queued && a.Load.Running == b.Load.Running &&
		a.CacheEvent == b.CacheEvent && reflect.DeepEqual(a.Targets, b.Targets)
}

// phases returns targets without the count of chunks.
func phases(targets []gooseberrypass.TargetStatus) []gooseberrypass.TargetStatus {
	p := make([]gooseberrypass.TargetStatus, 0, len(targets))
	for _, t := range targets {
		t.Held = 0
		p = append(p, t)
	}
	return p
}

var _ gooseberrypass.Controller = (*reporter)(nil)
