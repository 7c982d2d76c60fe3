package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/archiver"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/cacher"
	"github.com/gooseberrypass/gooseberrypass/checker"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/follower"
	"github.com/gooseberrypass/gooseberrypass/listener"
	"github.com/gooseberrypass/gooseberrypass/materializer"
	"github.com/gooseberrypass/gooseberrypass/platform"
	"github.com/gooseberrypass/gooseberrypass/replicator"
	"github.com/gooseberrypass/gooseberrypass/stager"
)

// heldVersions is the number of versions whose chunks an agent keeps: the newest,
// and the previous one, which other agents may still fetch.
const heldVersions = 2

// maxOriginCopies bounds the copies of a version that all agents together read from
// the origin. Usually one is read; more are needed if other agents have to read in
// place of agents that are gone but still registered.
const maxOriginCopies = 8

// The limits of an agent's connections to the origin, which accepts only a few from
// all agents together and counts idle ones.
const (
	maxOriginConns    = 2
	originIdleTimeout = 500 * time.Millisecond
)

// peerHeaderMargin is the time that another agent may take to begin its answer, in
// addition to the time for which it may hold the request.
const peerHeaderMargin = 500 * time.Millisecond

func newOriginClient() *http.Client {
	client := newMachineClient()
	if t, ok := client.Transport.(*http.Transport); ok {
		t.IdleConnTimeout, t.MaxConnsPerHost = originIdleTimeout, maxOriginConns
	}
	return client
}

// A Sidecar is an agent on a machine that the platform prepares.
type Sidecar struct {
	*machineProcess
	chunks *cacher.Handler
}

// NewSidecar binds the addresses of a sidecar and creates its parts.
func NewSidecar(ctx context.Context, settings *MachineSettings, d Dependencies) (*Sidecar, error) {
	m, err := newMachineProcess(ctx, settings, d)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{machineProcess: m}
	c := cacher.New(0)
	s.chunks, err = cacher.NewHandler(c, cacher.NewPacer(settings.bulkRate, nil), m.registry)
	if err != nil {
		return nil, err
	}
	s.chunks.SetMaxUploads(checker.Get[int](settings.values, sectionWeights, "uploads"))
	origin := platform.NewOrigin(newOriginClient(), s.originAddress, s.layout)
	reader := fetcher.NewReader(m.client, m.clock, c, origin, nil)
	reader.SetHeaderTimeout(peerHeaderMargin)
	manifests := stager.NewManifests(m.client)
	archive, err := archiver.New(m.store, m.registry)
	if err != nil {
		return nil, err
	}
	f, err := fetcher.New(s.listedInstance(m.self), c, reader, m.seed, settings.fetcherSettings(), m.registry, m.logger)
	if err != nil {
		return nil, errors.Wrap(err, "fetcher")
	}
	notifier := &deferredNotifier{}
	stg := stager.New(stager.Dependencies{
		Archive: archive, Chunks: c, Clock: m.clock, Engine: platform.NewEngine(m.client, m.self.Endpoint), Fetcher: f, Log: m.logger,
		Manifests: manifests, Origin: origin, Self: m.self, Notifier: notifier,
	}, settings.stagerSettings())
	adapter := &fetcherAdapter{fetcher: f, sidecar: s}
	m.materializer = materializer.New(platform.Decoder{}, settings.materializerSettings(), m.logger, adapter, stg)
	repl := m.newReplicator(nil, nil, nil)
	notifier.replicator = repl
	if m.registrar, err = m.newRegistrar(); err != nil {
		return nil, err
	}
	m.loop.Add(m.materializer, replicator.NewResponder(m.materializer), repl, f, stg, m.registrar)
	reads, err := follower.NewReadCounter(m.registry)
	if err != nil {
		return nil, err
	}
	m.follow(reads, gooseberrypass.TopicOperator, follower.Settings{StartDelay: operatorReadDelay, NextOffset: m.nextOffset(gooseberrypass.TopicOperator), Once: true})
	m.follow(reads, gooseberrypass.TopicProcesses, follower.Settings{Once: true})
	return s, m.listen(ctx,
		listener.Route{Handler: s.chunks, Pattern: cacher.Pattern},
		listener.Route{Handler: manifests, Pattern: stager.ManifestPattern})
}

// originAddress returns the address of the origin, "" until the deployment names
// one.
func (s *Sidecar) originAddress() string {
	if d := s.materializer.Deployment(); d != nil {
		if origin, ok := d.Origin(); ok {
			return origin.Origin
		}
	}
	return ""
}

// engine returns the deployment's description of the engine beside the agent.
func (s *Sidecar) engine() (gooseberrypass.EngineSpec, bool) {
	d := s.materializer.Deployment()
	if d == nil {
		return gooseberrypass.EngineSpec{}, false
	}
	spec, ok := d.Service(s.self.Service)
	if !ok || spec.Engine == nil {
		return gooseberrypass.EngineSpec{}, false
	}
	return *spec.Engine, true
}

// layout returns the number of chunks of the model and their size in bytes, 0 if they are
// not known.
func (s *Sidecar) layout(model string) (int, int64) {
	if e, ok := s.engine(); ok && e.Model == model {
		return e.Chunks, e.ChunkSize
	}
	return 0, 0
}

// listedInstance converts a process to the form that the fetcher uses. The agents of
// one service form a pool.
func (s *Sidecar) listedInstance(p materializer.Process) gooseberrypass.ListedInstance {
	return gooseberrypass.ListedInstance{
		Address: p.Address, FailureDomain: p.FailureDomain, ID: p.ID, Pool: gooseberrypass.Pool(p.Service), Region: p.Region,
		Role: p.Role, State: gooseberrypass.ListedLive,
	}
}

// Run serves until ctx is done, and returns when uploads in progress have ended or
// the grace period is over.
func (s *Sidecar) Run(ctx context.Context) error {
	failed, stop := start(ctx, s.runFuncs()...)
	s.logger.WithField("system", s.internal.Address()).WithField("engine", s.self.Endpoint).Info("sidecar started")
	var cause error
	select {
	case <-ctx.Done():
		s.logger.Info("sidecar stopping")
		s.drain(context.WithoutCancel(ctx))
	case cause = <-failed:
	}
	if err := stop(); cause == nil {
		cause = err
	}
	s.logger.Info("sidecar stopped")
	return cause
}

// stopReserve is the part of the grace period that an agent leaves unused, so that it
// exits before the platform sends SIGKILL.
const stopReserve = 400 * time.Millisecond

func (s *Sidecar) drain(ctx context.Context) {
	grace := max(s.settings.duration(sectionBounds, "grace")-closeTimeout-stopReserve, time.Second)
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	if err := s.chunks.Stop(ctx); err != nil {
		s.logger.WithError(err).Warn("grace period ended with uploads in progress")
	}
}

// A deferredNotifier forwards to a replicator that is set after its creation.
type deferredNotifier struct {
	replicator *replicator.Replicator
}

// SetEndpointStatus implements stager.Notifier.
func (d *deferredNotifier) SetEndpointStatus(now time.Time, status balancer.EndpointStatus) {
	d.replicator.SetEndpointStatus(now, status)
}

// SetDeparture implements stager.Notifier.
func (d *deferredNotifier) SetDeparture(now, heardAt time.Time, startMillis int64) {
	d.replicator.SetDeparture(now, heardAt, startMillis)
}

// OfferManifest implements stager.Notifier.
func (d *deferredNotifier) OfferManifest(now time.Time, target gooseberrypass.ModelTarget) {
	d.replicator.OfferManifest(now, target)
}

// A fetcherAdapter converts changes of the materialized snapshot to the events that
// the fetcher handles: the other agents as members, and the limits that it reads of
// a configuration.
type fetcherAdapter struct {
	fetcher *fetcher.Fetcher
	sidecar *Sidecar
}

// Handle implements gooseberrypass.Controller.
func (f *fetcherAdapter) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	changed, ok := event.(materializer.Changed)
	if !ok {
		return nil
	}
	engine, ok := f.sidecar.engine()
	if !ok {
		return nil
	}
	effects := f.fetcher.Handle(now, gooseberrypass.ConfigAccepted{Config: f.config(changed.Snapshot, engine)})
	var members []gooseberrypass.Member
	for _, p := range changed.Snapshot.Processes {
		if p.Role == gooseberrypass.RoleAgent && p.Service == f.sidecar.self.Service {
			members = append(members, gooseberrypass.Member{Listed: f.sidecar.listedInstance(p)})
		}
	}
	return append(effects, f.fetcher.Handle(now, gooseberrypass.MembersChanged{Members: members})...)
}

// config returns a configuration with the settings that the fetcher reads.
func (f *fetcherAdapter) config(snapshot *materializer.Snapshot, engine gooseberrypass.EngineSpec) *gooseberrypass.Config {
	values := map[string]any{
		"chunk-memory":  heldVersions * (int64(engine.Chunks)*engine.ChunkSize + gooseberrypass.MaxManifestSize/16),
		"origin-budget": float64(maxOriginCopies),
	}
	if origin, ok := snapshot.Deployment.Origin(); ok {
		values["origin-region"] = string(f.sidecar.settings.regionOf(origin.FailureDomain))
	}
	return gooseberrypass.NewConfig(0, emptyResolver{}, []gooseberrypass.Section{
		gooseberrypass.NewSection(gooseberrypass.KindSystem, "", nil, values),
	})
}

// emptyResolver resolves no names, because the platform refers to everything by
// its identity.
type emptyResolver struct{}

// Resolve implements gooseberrypass.Resolver.
func (emptyResolver) Resolve(gooseberrypass.Kind, gooseberrypass.Name) (gooseberrypass.ID, bool) {
	return "", false
}

var _ gooseberrypass.Controller = (*fetcherAdapter)(nil)
