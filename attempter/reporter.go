package attempter

import (
	"reflect"
	"sync/atomic"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/admitter"
	"github.com/gooseberrypass/gooseberrypass/monitor"
	"github.com/gooseberrypass/gooseberrypass/tracker"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// minLoadInterval is the minimum time between two versions of the status that
// differ only in load, chunks held or cached prefixes.
const minLoadInterval = time.Second

// A statusReporter is the controller that publishes the agent's status. Each
// change gets a new version, for which readers can wait.
type statusReporter struct {
	admitter  *admitter.Admitter
	cfg       *gooseberrypass.Config
	instance  gooseberrypass.ListedInstance
	monitor   *monitor.Monitor
	published atomic.Pointer[publishedStatus]
	stop      *stopState
	targets   Targets
	updatedAt time.Time // time of the last publication
}

// A publishedStatus is one version of the status. It never changes.
type publishedStatus struct {
	replaced     chan struct{} // closed when a newer version is published
	stateVersion uint64        // last version that differed in more than load
	status       *gooseberrypass.AgentStatus
}

func newStatusReporter(
	d Dependencies,
	queue *admitter.Admitter,
	stop *stopState,
	mon *monitor.Monitor,
) *statusReporter {
	r := &statusReporter{
		admitter: queue,
		instance: d.Instance,
		monitor:  mon,
		stop:     stop,
		targets:  d.Targets,
	}
	// Start from the clock, so that a restarted agent does not reuse its
	// predecessor's versions.
	first := uint64(d.Clock.Now().UnixNano())
	r.published.Store(newPublishedStatus(&gooseberrypass.AgentStatus{Version: first}, first))
	return r
}

// Handle implements gooseberrypass.Controller. It must run after the controllers
// whose state it reports.
func (r *statusReporter) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case gooseberrypass.ConfigAccepted:
		r.cfg = e.Config
	case gooseberrypass.EngineObserved, gooseberrypass.ListingObserved, gooseberrypass.StopRequested, gooseberrypass.Tick:
	default:
		return nil
	}
	next := r.status(now)
	old := r.published.Load()
	same := sameState(old.status, next)
	if same && (now.Sub(r.updatedAt) < minLoadInterval || sameLoad(old.status, next)) {
		return nil
	}
	r.updatedAt = now
	next.Version = old.status.Version + 1
	stateVersion := next.Version
	if same {
		stateVersion = old.stateVersion
	}
	r.published.Store(newPublishedStatus(next, stateVersion))
	close(old.replaced)
	return nil
}

func newPublishedStatus(status *gooseberrypass.AgentStatus, stateVersion uint64) *publishedStatus {
	return &publishedStatus{replaced: make(chan struct{}), stateVersion: stateVersion, status: status}
}

func (r *statusReporter) status(now time.Time) *gooseberrypass.AgentStatus {
	s := r.monitor.Snapshot()
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

// services returns the services that the configuration assigns to the instance's
// pool.
func (r *statusReporter) services() []gooseberrypass.ID {
	var ids []gooseberrypass.ID
	for _, s := range r.cfg.Services() {
		if s.Pool() == r.cfg.PoolOf(r.instance) {
			ids = append(ids, s.ID())
		}
	}
	return ids
}

// load returns the load from the admission queue, which unlike the engine's
// report does not lag.
func (r *statusReporter) load(now time.Time) gooseberrypass.EngineLoad {
	load := r.admitter.Load()
	load.At = now
	return load
}

// response returns the message for the published status, with the current load.
func (r *statusReporter) response(now time.Time) *wire.StatusResponse {
	status := *r.published.Load().status
	status.Load = r.load(now)
	return tracker.StatusToWire(r.instance, &status, now)
}

// sameState reports whether two statuses agree in everything that routing must
// know at once.
func sameState(a, b *gooseberrypass.AgentStatus) bool {
	return a.ConfigOffset == b.ConfigOffset && a.EndpointUp == b.EndpointUp && a.Leaving == b.Leaving &&
		a.Load.Capacity == b.Load.Capacity &&
		reflect.DeepEqual(a.Crashes, b.Crashes) &&
		reflect.DeepEqual(a.Loaded, b.Loaded) &&
		reflect.DeepEqual(a.Services, b.Services) &&
		reflect.DeepEqual(withoutHeld(a.Targets), withoutHeld(b.Targets))
}

// sameLoad reports whether two statuses with the same state also agree in load,
// cached prefixes and chunks held.
func sameLoad(a, b *gooseberrypass.AgentStatus) bool {
	return a.Load.Queued == b.Load.Queued && a.Load.Running == b.Load.Running &&
		a.CacheEvent == b.CacheEvent && reflect.DeepEqual(a.Targets, b.Targets)
}

// withoutHeld returns targets without the number of chunks held.
func withoutHeld(targets []gooseberrypass.TargetStatus) []gooseberrypass.TargetStatus {
	p := make([]gooseberrypass.TargetStatus, 0, len(targets))
	for _, t := range targets {
		t.Held = 0
		p = append(p, t)
	}
	return p
}

var _ gooseberrypass.Controller = (*statusReporter)(nil)
