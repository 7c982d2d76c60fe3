package stager_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/cacher"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/materializer"
	"github.com/gooseberrypass/gooseberrypass/stager"
)

const (
	chunkCount = 4
	chunkSize  = 8 // bytes
	bound      = 8 * time.Second
)

// chunkBody returns the bytes of a chunk of a version.
func chunkBody(version, index int) []byte {
	return []byte(strconv.Itoa(version*100+index) + "......")[:chunkSize]
}

// An origin returns a manifest for any version. The next corrupt ones are wrong and
// differ from each other.
type origin struct {
	corrupt int    // number of corrupt responses left
	gone    bool   // no read succeeds
	reads   int    // of manifests
	onRead  func() // called by Manifest, may be nil
}

func (o *origin) Manifest(_ context.Context, model, version string) ([]byte, error) {
	if o.onRead != nil {
		o.onRead()
	}
	o.reads++
	if o.gone {
		return nil, io.ErrUnexpectedEOF
	}
	n, _ := strconv.Atoi(version)
	chunks := make([]gooseberrypass.Chunk, 0, chunkCount)
	for i := range chunkCount {
		body := chunkBody(n, i)
		if o.corrupt > 0 && i == 0 {
			body = []byte{byte(o.corrupt)}
		}
		chunks = append(chunks, gooseberrypass.Chunk{Digest: gooseberrypass.DigestOf(body), Size: chunkSize})
	}
	o.corrupt = max(o.corrupt-1, 0)
	m, err := gooseberrypass.NewManifest(model, version, gooseberrypass.Digest{}, chunks)
	if err != nil {
		return nil, err
	}
	return m.Encoded(), nil
}

func (*origin) ReadRange(context.Context, string, string, int64, int64) ([]byte, error) {
	return nil, gooseberrypass.ErrChunkNotHeld
}

// An engine stores staged chunks and loads them when ordered.
type engine struct {
	calls    int
	held     *gooseberrypass.StartOrder // the order that is accepted later, nil for none
	hold     func()                     // called by the next order before it is accepted, may be nil
	late     bool                       // the next order gets no answer, and the caller accepts it later
	lost     bool                       // the answer to the next order is lost
	loaded   []byte                     // bytes that the last order loaded
	mu       sync.Mutex
	onAccept func() // called when an order is accepted, may be nil
	onCall   func() // called by each call, may be nil
	orders   []gooseberrypass.StartOrder
	refuse   bool
	report   gooseberrypass.EngineReport
	says     gooseberrypass.Advisory // in each answer
	saysOnce gooseberrypass.Advisory // in the next answer, in place of says, unless it is zero
	stage    map[int][]byte
	stages   int // calls of Stage

	before     func(context.Context) // called by calls that stage, read back or order, may be nil
	unreadable func() error          // called by reads of staged chunks, may be nil
}

func (e *engine) ListStaged(context.Context, string) ([]int, error) {
	var held []int
	for i := range chunkCount {
		if _, ok := e.stage[i]; ok {
			held = append(held, i)
		}
	}
	return held, nil
}

func (e *engine) Report(context.Context) (gooseberrypass.EngineReport, error) { return e.report, nil }

func (e *engine) Stage(ctx context.Context, _ string, index int, body []byte) error {
	e.await(ctx)
	e.stage[index] = bytes.Clone(body)
	return nil
}

func (e *engine) ReadStaged(ctx context.Context, _ string, index int, _ int64) ([]byte, error) {
	e.await(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unreadable != nil {
		if err := e.unreadable(); err != nil {
			return nil, err
		}
	}
	body, ok := e.stage[index]
	if !ok {
		return nil, gooseberrypass.ErrChunkNotHeld
	}
	return body, nil
}

func (e *engine) await(ctx context.Context) {
	if e.before != nil {
		e.before(ctx)
	}
}

func (e *engine) StartLoad(ctx context.Context, order gooseberrypass.StartOrder) (gooseberrypass.StartResult, error) {
	e.await(ctx)
	if e.hold != nil {
		e.hold()
	}
	if e.report.Models["m"] == order.Version {
		return gooseberrypass.StartDone, nil
	}
	if e.refuse || order.Orders != e.report.Orders {
		return gooseberrypass.StartRefused, io.ErrUnexpectedEOF
	}
	if e.late {
		e.late = false
		e.held = &order
		return gooseberrypass.StartUnknown, io.ErrUnexpectedEOF
	}
	e.accept(order)
	if e.lost {
		e.lost = false
		return gooseberrypass.StartUnknown, io.ErrUnexpectedEOF
	}
	return gooseberrypass.StartAccepted, nil
}

// accept takes what is staged for an order.
func (e *engine) accept(order gooseberrypass.StartOrder) {
	e.orders = append(e.orders, order)
	e.report.Orders++
	e.loaded = nil
	for i := range chunkCount {
		e.loaded = append(e.loaded, e.stage[i]...)
	}
	e.report.Models = map[string]int{"m": order.Version}
	if e.onAccept != nil {
		e.onAccept()
	}
}

// A pool is a fetcher that gets the chunks of the versions that other agents hold.
type pool struct {
	chunks *cacher.Cacher
	holds  map[int]bool // versions
	wants  []fetcher.Want
}

func (*pool) Handle(time.Time, gooseberrypass.Event) []gooseberrypass.Effect { return nil }

func (p *pool) Progress(digest gooseberrypass.Digest) fetcher.Progress {
	for _, w := range p.wants {
		n, _ := strconv.Atoi(w.Version)
		if w.Digest != digest || !p.holds[n] {
			continue
		}
		for i := range chunkCount {
			if err := p.chunks.Put(gooseberrypass.DigestOf(chunkBody(n, i)), chunkBody(n, i)); err != nil {
				return fetcher.Progress{Err: err.Error()}
			}
		}
		encoded, err := p.chunks.Chunk(digest)
		if err != nil {
			return fetcher.Progress{}
		}
		m, _ := gooseberrypass.ParseManifest(encoded)
		return fetcher.Progress{Held: chunkCount, Manifest: m, Total: chunkCount}
	}
	return fetcher.Progress{}
}

func (p *pool) SetWants(_ time.Time, wants []fetcher.Want) []gooseberrypass.Effect {
	p.wants = wants
	return nil
}

// A recorder records statuses and offered manifests instead of sending them.
type recorder struct {
	departures []int64 // starts of the engine
	manifests  []gooseberrypass.ModelTarget
	statuses   []balancer.EndpointStatus
}

func (r *recorder) SetDeparture(_, _ time.Time, startMillis int64) {
	if !slices.Contains(r.departures, startMillis) {
		r.departures = append(r.departures, startMillis)
	}
}

func (r *recorder) OfferManifest(_ time.Time, target gooseberrypass.ModelTarget) {
	r.manifests = append(r.manifests, target)
}

func (r *recorder) SetEndpointStatus(_ time.Time, n balancer.EndpointStatus) {
	r.statuses = append(r.statuses, n)
}

type fixture struct {
	archive   stager.Archive
	clock     *clockwork.FakeClock
	engine    *engine
	fetcher   gooseberrypass.Controller        // handles each event before the stager, may be nil
	intercept func(gooseberrypass.Effect) bool // takes over an effect, may be nil
	manifests *stager.Manifests
	now       time.Time
	origin    *origin
	pool      *pool
	processes []materializer.Process // of the snapshot
	self      materializer.Process
	stager    *stager.Stager
	recorder  *recorder
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	c := cacher.New(1 << 20)
	f := &fixture{
		archive: newArchive(t, &keyedLog{}), self: materializer.Process{Endpoint: "a", ID: "self", Role: gooseberrypass.RoleAgent, Service: "s"},
		clock:     clockwork.NewFakeClockAt(time.Unix(1000, 0)),
		engine:    &engine{report: gooseberrypass.EngineReport{StartMillis: 1, Models: map[string]int{"m": 1}}, stage: map[int][]byte{}},
		manifests: stager.NewManifests(newClient()), now: time.Unix(1000, 0), origin: &origin{}, pool: &pool{chunks: c, holds: map[int]bool{}}, recorder: &recorder{},
	}
	for i := range chunkCount {
		f.engine.stage[i] = chunkBody(1, i)
	}
	f.stager = f.newStager(c, f.pool, f.origin, fixtureSettings())
	return f
}

func fixtureSettings() stager.Settings {
	return stager.Settings{
		DrainLead: 300 * time.Millisecond, StopLead: 200 * time.Millisecond, LoadDelay: 3 * time.Second, PollInterval: 100 * time.Millisecond, RetryDelay: 100 * time.Millisecond,
		VerifyAge: 2 * time.Second, MinUse: 1500 * time.Millisecond, SkipGap: 2 * time.Second, LoadSpread: time.Second, PreviousUsable: bound - time.Second,
	}
}

// newStager returns a stager beside the engine.
func (f *fixture) newStager(chunks *cacher.Cacher, fetches stager.Fetcher, from gooseberrypass.Origin, settings stager.Settings) *stager.Stager {
	return f.newStagerBeside(f.engine, chunks, fetches, from, settings)
}

// newStagerBeside returns a stager beside an engine that stands in for the fixture's.
func (f *fixture) newStagerBeside(beside gooseberrypass.AdvisedEngine, chunks *cacher.Cacher, fetches stager.Fetcher, from gooseberrypass.Origin, settings stager.Settings) *stager.Stager {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return stager.New(stager.Dependencies{
		Archive: f.archive, Chunks: chunks, Clock: f.clock, Engine: beside, Fetcher: fetches, Log: log, Manifests: f.manifests, Origin: from,
		Self: f.self, Notifier: f.recorder,
	}, settings)
}

// nameVersions publishes a deployment and the versions that the operator named.
func (f *fixture) nameVersions(targets ...materializer.Target) {
	f.handle(materializer.Changed{Snapshot: &materializer.Snapshot{
		Deployment: gooseberrypass.NewDeployment(1, nil, []gooseberrypass.ServiceSpec{
			{Engine: &gooseberrypass.EngineSpec{Chunks: chunkCount, ChunkSize: chunkSize, Model: "m"}, ID: "s"},
		}, nil, gooseberrypass.CallerLimits{}),
		Processes: f.processes,
		Targets:   map[string]materializer.Targets{"m": targets},
	}})
}

// handle passes an event to the controllers and runs the resulting effects.
func (f *fixture) handle(event gooseberrypass.Event) {
	if f.fetcher != nil {
		f.run(f.fetcher.Handle(f.now, event))
	}
	f.run(f.stager.Handle(f.now, event))
}

func (f *fixture) run(effects []gooseberrypass.Effect) {
	for _, effect := range effects {
		if f.intercept != nil && f.intercept(effect) {
			continue
		}
		if next := effect.Run(context.Background()); next != nil {
			f.handle(next)
		}
	}
}

// advance advances the time by d in ticks.
func (f *fixture) advance(d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		f.clock.Advance(tick)
		f.handle(gooseberrypass.Tick{})
	}
}

func (f *fixture) wantLoaded(t *testing.T, version int) {
	t.Helper()
	want := make([]byte, 0, chunkCount*chunkSize)
	for i := range chunkCount {
		want = append(want, chunkBody(version, i)...)
	}
	if got := f.engine.loaded; !bytes.Equal(got, want) {
		t.Errorf("loaded: got %q, want %q", got, want)
	}
}

func TestLoadsANamedVersionInItsTurn(t *testing.T) {
	f := newFixture(t)
	f.pool.holds[2] = true
	f.nameVersions(materializer.Target{Since: f.now, Version: 2})
	f.advance(2900 * time.Millisecond)
	if got := len(f.engine.orders); got != 0 {
		t.Fatalf("orders before the earliest time: got %d, want 0", got)
	}
	f.advance(2 * time.Second)
	f.wantLoaded(t, 2)
	if got, want := len(f.engine.orders), 1; got != want {
		t.Errorf("orders: got %d, want %d", got, want)
	}
	stopped := false
	for _, n := range f.recorder.statuses {
		stopped = stopped || n.Loading && n.Models["m"] == 1
	}
	if !stopped {
		t.Error("entries were not told to stop sending requests before the order")
	}
}

func TestSpoiledPiecesAreStagedAnew(t *testing.T) {
	f := newFixture(t)
	f.pool.holds[2] = true
	f.nameVersions(materializer.Target{Since: f.now, Version: 2})
	f.advance(2 * time.Second) // the version is staged by now
	f.engine.stage[1] = []byte("spoiled!")
	delete(f.engine.stage, 3)
	f.advance(4 * time.Second)
	f.wantLoaded(t, 2)
}

func TestEmptyEngineLoadsAtOnce(t *testing.T) {
	f := newFixture(t)
	f.engine.report.Models, f.engine.stage = nil, map[int][]byte{}
	f.pool.holds[2] = true
	f.nameVersions(materializer.Target{Since: f.now, Version: 2})
	f.advance(500 * time.Millisecond)
	f.wantLoaded(t, 2)
}

func TestLoadedVersionIsOffered(t *testing.T) {
	f := newFixture(t)
	f.nameVersions()
	f.advance(time.Second)
	if len(f.pool.wants) != 1 || f.pool.wants[0].Version != "1" {
		t.Fatalf("wants: got %v, want version 1", f.pool.wants)
	}
	if _, err := f.pool.chunks.Chunk(gooseberrypass.DigestOf(chunkBody(1, 2))); err != nil {
		t.Errorf("a staged chunk is not offered: %v", err)
	}
	if got := len(f.engine.orders); got != 0 {
		t.Errorf("orders: got %d, want 0", got)
	}
}

func TestRefusedOrderIsGivenAgain(t *testing.T) {
	f := newFixture(t)
	f.engine.report.Models, f.engine.refuse = nil, true
	f.pool.holds[2] = true
	f.nameVersions(materializer.Target{Since: f.now, Version: 2})
	f.advance(time.Second)
	f.engine.refuse = false
	f.engine.report.Orders = 5 // the engine's count of orders has changed
	f.advance(time.Second)
	f.wantLoaded(t, 2)
}

func TestManifestThatDiffersIsReadAgain(t *testing.T) {
	f := newFixture(t)
	f.engine.report.Models = nil
	f.origin.corrupt = 3
	f.pool.holds[2] = true
	f.nameVersions(materializer.Target{Since: f.now, Version: 2})
	f.advance(time.Second)
	f.wantLoaded(t, 2)
}

func TestTwoVersions(t *testing.T) {
	for _, tc := range []struct {
		name string
		gap  time.Duration
		want []int
	}{
		{"the newer one replaces an older one just named", time.Second, []int{3}},
		{"both are loaded when the newer one would come too late", 2500 * time.Millisecond, []int{2, 3}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.pool.holds[2] = true
			first := materializer.Target{Since: f.now, Version: 2}
			f.nameVersions(first)
			f.advance(tc.gap)
			f.pool.holds[3] = true
			f.nameVersions(first, materializer.Target{Since: f.now, Version: 3})
			f.advance(bound)
			got := make([]int, 0, len(f.engine.orders))
			for _, o := range f.engine.orders {
				got = append(got, o.Version)
			}
			if len(got) != len(tc.want) || got[0] != tc.want[0] {
				t.Errorf("orders: got versions %v, want %v", got, tc.want)
			}
			f.wantLoaded(t, 3)
		})
	}
}

func TestOlderVersionThatComesTooLateIsLeftOut(t *testing.T) {
	f := newFixture(t)
	first, second := materializer.Target{Since: f.now, Version: 2}, materializer.Target{Since: f.now.Add(3 * time.Second), Version: 3}
	f.nameVersions(first)
	f.advance(3 * time.Second)
	f.nameVersions(first, second)
	f.advance(6 * time.Second) // the origin is unavailable: no agent has a chunk of either version
	f.pool.holds[2], f.pool.holds[3] = true, true
	f.advance(3 * time.Second)
	if len(f.engine.orders) != 1 || f.engine.orders[0].Version != 3 {
		t.Errorf("orders: got %v, want version 3 alone", f.engine.orders)
	}
}

func TestNewerVersionDoesNotHideALoad(t *testing.T) {
	f := newFixture(t)
	f.pool.holds[2] = true
	first := materializer.Target{Since: f.now, Version: 2}
	f.nameVersions(first)
	for len(f.recorder.statuses) == 0 || !f.recorder.statuses[len(f.recorder.statuses)-1].Loading {
		f.advance(100 * time.Millisecond)
	}
	f.nameVersions(first, materializer.Target{Since: f.now, Version: 3})
	if got := f.recorder.statuses[len(f.recorder.statuses)-1]; !got.Loading {
		t.Errorf("status after another version was named: got %+v, want loading", got)
	}
}

func TestRestartedEngineIsLoadedAnew(t *testing.T) {
	f := newFixture(t)
	f.pool.holds[1] = true
	f.nameVersions()
	f.advance(time.Second)
	f.engine.report = gooseberrypass.EngineReport{StartMillis: 2}
	f.engine.stage = map[int][]byte{}
	f.advance(time.Second)
	f.wantLoaded(t, 1)
}

// After a power failure every agent needs a manifest at once: the origin accepts few
// connections, and the list still has agents that are gone.
func TestManifestThatAnotherAgentOffersIsTakenAtOnce(t *testing.T) {
	from, to := newFixture(t), newFixture(t)
	from.nameVersions(materializer.Target{Since: from.now, Version: 2})
	from.advance(time.Second)
	want := gooseberrypass.ModelTarget{Model: "m", Version: 2}
	if got := from.recorder.manifests; len(got) != 1 || got[0] != want {
		t.Fatalf("offered %v, want %v", got, want)
	}
	mux := http.NewServeMux()
	mux.Handle(stager.ManifestPattern, from.manifests)
	server := httptest.NewServer(mux)
	defer server.Close()

	// The offer arrives during another read, which then fails.
	to.origin.corrupt = 1 << 20
	offer := gossiper.Received{Message: gossiper.Message{
		Address: strings.TrimPrefix(server.URL, "http://"), From: "other", Manifests: []gooseberrypass.ModelTarget{{Model: "other", Version: 2}, want}, Role: gooseberrypass.RoleAgent,
	}}
	to.origin.onRead = func() { to.handle(offer); to.origin.onRead = nil }
	to.pool.holds[2] = true
	to.nameVersions(materializer.Target{Since: to.now, Version: 2})
	to.advance(5 * time.Second)
	to.wantLoaded(t, 2)
}
