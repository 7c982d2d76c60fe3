package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/checker"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/follower"
	"github.com/gooseberrypass/gooseberrypass/keeper"
	"github.com/gooseberrypass/gooseberrypass/listener"
	"github.com/gooseberrypass/gooseberrypass/platform"
	"github.com/gooseberrypass/gooseberrypass/relayer"
	"github.com/gooseberrypass/gooseberrypass/stager"
	"github.com/gooseberrypass/gooseberrypass/surveyor"
)

// heldVersions is how many versions an agent keeps pieces of: the one that
// others still fetch and the newest.
const heldVersions = 2

// originCopies bounds the copies that all agents together read from the origin.
// Without agents that are gone but still registered one is read; each agent may
// have to step in for them.
const originCopies = 8

// The limits of connections to the origin, which takes few from all agents
// together and counts idle ones.
const (
	originConns = 2
	originIdle  = 500 * time.Millisecond
)

// peerRoom is how long, beyond the time that it may hold a request, another
// agent may take to begin its answer.
const peerRoom = 500 * time.Millisecond

func newOriginClient() *http.Client {
	client := newMachineClient()
	if t, ok := client.Transport.(*http.Transport); ok {
		t.IdleConnTimeout, t.MaxConnsPerHost = originIdle, originConns
	}
	return client
}

// A Sidecar is an agent on a prepared machine.
type Sidecar struct {
	*machine
	chunks *keeper.Handler
}

// NewSidecar binds the addresses of a sidecar and puts its parts together.
func NewSidecar(ctx context.Context, settings *MachineSettings, d Dependencies) (*Sidecar, error) {
	m, err := newMachine(ctx, settings, d)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{machine: m}
	k := keeper.New(0)
	s.chunks, err = keeper.NewHandler(k, keeper.NewPacer(settings.bulkRate, nil), m.registry)
	if err != nil {
		return nil, err
	}
	s.chunks.SetMaxUploads(checker.Get[int](settings.values, sectionWeights, "uploads"))
	origin := platform.NewOrigin(newOriginClient(), s.originAddress, s.pieceSize)
	reader := fetcher.NewReader(m.client, m.clock, k, origin, nil)
	reader.SetHeaderTimeout(peerRoom)
	manifests := stager.NewManifests(m.client)
	f, err := fetcher.New(s.listed(m.self), k, reader, m.seed, settings.fetcher(), m.registry, m.logger)
	if err != nil {
		return nil, errors.Wrap(err, "fetcher")
	}
	teller := &lateTeller{}
	stage := stager.New(stager.Dependencies{
		Chunks: k, Engine: platform.NewEngine(m.client, m.self.Endpoint), Fetcher: f, Log: m.logger,
		Manifests: manifests, Origin: origin, Self: m.self, Notifier: teller,
	}, settings.stager())
	feed := &fetchFeed{fetcher: f, sidecar: s}
	m.surveyor = surveyor.New(platform.Decoder{}, settings.surveyor(), m.logger, feed, stage)
	relay := m.newRelayer(nil, nil)
	teller.relayer = relay
	m.loop.Add(m.surveyor, relayer.NewResponder(m.surveyor), relay, f, stage)
	reads, err := follower.NewReadCounter(m.registry)
	if err != nil {
		return nil, err
	}
	m.follow(reads, gooseberrypass.TopicOperator, follower.Settings{StartDelay: startPatience, NextOffset: m.known(gooseberrypass.TopicOperator), Once: true})
	m.follow(reads, gooseberrypass.TopicProcesses, follower.Settings{Once: true})
	return s, m.listen(ctx,
		listener.Route{Handler: s.chunks, Pattern: keeper.Pattern},
		listener.Route{Handler: manifests, Pattern: stager.ManifestPattern})
}

// originAddress returns the address of the origin, "" before it is known.
func (s *Sidecar) originAddress() string {
	if d := s.surveyor.Deployment(); d != nil {
		if origin, ok := d.Origin(); ok {
			return origin.Origin
		}
	}
	return ""
}

// engine returns the description of the engine beside the agent.
func (s *Sidecar) engine() (gooseberrypass.EngineSpec, bool) {
	d := s.surveyor.Deployment()
	if d == nil {
		return gooseberrypass.EngineSpec{}, false
	}
	spec, ok := d.Service(s.self.Service)
	if !ok || spec.Engine == nil {
		return gooseberrypass.EngineSpec{}, false
	}
	return *spec.Engine, true
}

func (s *Sidecar) pieceSize(model string) int64 {
	if e, ok := s.engine(); ok && e.Model == model {
		return e.ChunkSize
	}
	return 0
}

// listed returns a process as the fetcher knows instances. Agents of one service
// make a pool.
func (s *Sidecar) listed(p surveyor.Process) gooseberrypass.ListedInstance {
	return gooseberrypass.ListedInstance{
		Address: p.Address, FailureDomain: p.FailureDomain, ID: p.ID, Pool: gooseberrypass.Pool(p.Service), Region: p.Region,
		Role: p.Role, State: gooseberrypass.ListedLive,
	}
}

// Run works until ctx is done. Then uploads in progress end before Run returns.
func (s *Sidecar) Run(ctx context.Context) error {
	failed, stop := start(ctx, s.services()...)
	s.logger.WithField("system", s.system.Address()).WithField("engine", s.self.Endpoint).Info("sidecar started")
	var cause error
	select {
	case <-ctx.Done():
		s.logger.Info("sidecar stops")
		s.drain(context.WithoutCancel(ctx))
	case cause = <-failed:
	}
	if err := stop(); cause == nil {
		cause = err
	}
	s.logger.Info("sidecar stopped")
	return cause
}

func (s *Sidecar) drain(ctx context.Context) {
	grace := max(s.settings.duration(sectionBounds, "grace")-closeGrace-stopReserve, time.Second)
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	if err := s.chunks.Stop(ctx); err != nil {
		s.logger.WithError(err).Warn("uploads in progress outlast the grace")
	}
}

// A lateTeller passes on to a relayer that is made later.
type lateTeller struct {
	relayer *relayer.Relayer
}

// SetNotice implements stager.Teller.
func (t *lateTeller) SetNotice(now time.Time, n balancer.EndpointStatus) { t.relayer.SetNotice(now, n) }

// OfferManifest implements stager.Notifier.
func (t *lateTeller) OfferManifest(now time.Time, target gooseberrypass.ModelTarget) {
	t.relayer.OfferManifest(now, target)
}

// A fetchFeed tells the fetcher of the other agents, and of the bounds that a
// published configuration would set.
type fetchFeed struct {
	fetcher *fetcher.Fetcher
	sidecar *Sidecar
}

// Handle implements gooseberrypass.Controller.
func (f *fetchFeed) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	changed, ok := event.(surveyor.Changed)
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
			members = append(members, gooseberrypass.Member{Listed: f.sidecar.listed(p)})
		}
	}
	return append(effects, f.fetcher.Handle(now, gooseberrypass.MembersChanged{Members: members})...)
}

// config returns what the fetcher reads of a configuration.
func (f *fetchFeed) config(snapshot *surveyor.Snapshot, engine gooseberrypass.EngineSpec) *gooseberrypass.Config {
	values := map[string]any{
		"chunk-memory":  heldVersions * (int64(engine.Chunks)*engine.ChunkSize + gooseberrypass.MaxManifestSize/16),
		"origin-budget": float64(originCopies),
	}
	if origin, ok := snapshot.Deployment.Origin(); ok {
		values["origin-region"] = string(f.sidecar.settings.regionOf(origin.FailureDomain))
	}
	return gooseberrypass.NewConfig(0, noNames{}, []gooseberrypass.Section{
		gooseberrypass.NewSection(gooseberrypass.KindSystem, "", nil, values),
	})
}

// noNames resolves nothing: the platform's names are identities.
type noNames struct{}

// Resolve implements gooseberrypass.Resolver.
func (noNames) Resolve(gooseberrypass.Kind, gooseberrypass.Name) (gooseberrypass.ID, bool) {
	return "", false
}

var _ gooseberrypass.Controller = (*fetchFeed)(nil)
