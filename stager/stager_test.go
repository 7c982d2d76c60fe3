package stager_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
	"github.com/gooseberrypass/gooseberrypass/keeper"
	"github.com/gooseberrypass/gooseberrypass/stager"
	"github.com/gooseberrypass/gooseberrypass/surveyor"
)

const (
	pieces    = 4
	pieceSize = 8 // bytes
	bound     = 8 * time.Second
)

// piece returns the bytes of a piece of a version.
func piece(version, index int) []byte {
	return []byte(strconv.Itoa(version*100+index) + "......")[:pieceSize]
}

// An origin makes manifests of any version; spoiled answers differ each time.
type origin struct {
	asked   func() // called at a read, may be nil
	spoiled int
}

func (o *origin) Manifest(_ context.Context, model, version string) ([]byte, error) {
	if o.asked != nil {
		o.asked()
	}
	n, _ := strconv.Atoi(version)
	chunks := make([]gooseberrypass.Chunk, 0, pieces)
	for i := range pieces {
		body := piece(n, i)
		if o.spoiled > 0 && i == 0 {
			body = []byte{byte(o.spoiled)}
		}
		chunks = append(chunks, gooseberrypass.Chunk{Digest: gooseberrypass.DigestOf(body), Size: pieceSize})
	}
	o.spoiled = max(o.spoiled-1, 0)
	m, err := gooseberrypass.NewManifest(model, version, gooseberrypass.Digest{}, chunks)
	if err != nil {
		return nil, err
	}
	return m.Encoded(), nil
}

func (*origin) ReadRange(context.Context, string, string, int64, int64) ([]byte, error) {
	return nil, gooseberrypass.ErrChunkNotHeld
}

// An engine holds a stage and loads what is staged.
type engine struct {
	loaded []byte // bytes that the last order loaded
	orders []gooseberrypass.StartOrder
	refuse bool
	report gooseberrypass.EngineReport
	stage  map[int][]byte
}

func (e *engine) Held(context.Context, string) ([]int, error) {
	var held []int
	for i := range pieces {
		if _, ok := e.stage[i]; ok {
			held = append(held, i)
		}
	}
	return held, nil
}

func (e *engine) Report(context.Context) (gooseberrypass.EngineReport, error) { return e.report, nil }

func (e *engine) Stage(_ context.Context, _ string, index int, body []byte) error {
	e.stage[index] = bytes.Clone(body)
	return nil
}

func (e *engine) Staged(_ context.Context, _ string, index int) ([]byte, error) {
	body, ok := e.stage[index]
	if !ok {
		return nil, gooseberrypass.ErrChunkNotHeld
	}
	return body, nil
}

func (e *engine) Start(_ context.Context, order gooseberrypass.StartOrder) (gooseberrypass.StartResult, error) {
	if e.refuse || order.Orders != e.report.Orders {
		return gooseberrypass.StartRefused, io.ErrUnexpectedEOF
	}
	e.orders = append(e.orders, order)
	e.report.Orders++
	e.loaded = nil
	for i := range pieces {
		e.loaded = append(e.loaded, e.stage[i]...)
	}
	e.report.Models = map[string]int{"m": order.Version}
	return gooseberrypass.StartBegun, nil
}

// A pool gives the pieces of the versions that others hold.
type pool struct {
	chunks *keeper.Keeper
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
		for i := range pieces {
			if err := p.chunks.Put(gooseberrypass.DigestOf(piece(n, i)), piece(n, i)); err != nil {
				return fetcher.Progress{Err: err.Error()}
			}
		}
		encoded, err := p.chunks.Chunk(digest)
		if err != nil {
			return fetcher.Progress{}
		}
		m, _ := gooseberrypass.ParseManifest(encoded)
		return fetcher.Progress{Held: pieces, Manifest: m, Total: pieces}
	}
	return fetcher.Progress{}
}

func (p *pool) SetWants(_ time.Time, wants []fetcher.Want) []gooseberrypass.Effect {
	p.wants = wants
	return nil
}

// A teller records what entries and other agents are told.
type teller struct {
	manifests []gooseberrypass.ModelTarget
	notices   []balancer.EndpointStatus
}

func (t *teller) SetManifest(_ time.Time, target gooseberrypass.ModelTarget) {
	t.manifests = append(t.manifests, target)
}

func (t *teller) SetNotice(_ time.Time, n balancer.EndpointStatus) { t.notices = append(t.notices, n) }

type fixture struct {
	engine    *engine
	manifests *stager.Manifests
	now       time.Time
	origin    *origin
	pool      *pool
	stager    *stager.Stager
	teller    *teller
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	k := keeper.New(1 << 20)
	f := &fixture{
		engine:    &engine{report: gooseberrypass.EngineReport{Born: 1, Models: map[string]int{"m": 1}}, stage: map[int][]byte{}},
		manifests: stager.NewManifests(http.DefaultClient), now: time.Unix(1000, 0), origin: &origin{}, pool: &pool{chunks: k, holds: map[int]bool{}}, teller: &teller{},
	}
	for i := range pieces {
		f.engine.stage[i] = piece(1, i)
	}
	f.stager = stager.New(stager.Dependencies{
		Chunks: k, Engine: f.engine, Fetcher: f.pool, Log: log, Manifests: f.manifests, Origin: f.origin,
		Self: surveyor.Process{Endpoint: "a", ID: "self", Role: gooseberrypass.RoleAgent, Service: "s"}, Teller: f.teller,
	}, stager.Settings{
		Announce: 200 * time.Millisecond, Earliest: 3 * time.Second, Poll: 100 * time.Millisecond, Retry: 100 * time.Millisecond,
		LeastUse: 1500 * time.Millisecond, SkipGap: 2 * time.Second, Spread: time.Second, Usable: bound - time.Second,
	})
	return f
}

func (f *fixture) name(targets ...surveyor.Target) {
	f.handle(surveyor.Changed{Snapshot: &surveyor.Snapshot{
		Deployment: gooseberrypass.NewDeployment(1, nil, []gooseberrypass.ServiceSpec{
			{Engine: &gooseberrypass.EngineModel{Chunks: pieces, ChunkSize: pieceSize, Model: "m"}, ID: "s"},
		}, nil, gooseberrypass.CallerLimits{}),
		Targets: map[string]surveyor.Targets{"m": targets},
	}})
}

// handle hands an event to the stager and runs what follows from it.
func (f *fixture) handle(event gooseberrypass.Event) {
	for _, effect := range f.stager.Handle(f.now, event) {
		if next := effect.Run(context.Background()); next != nil {
			f.handle(next)
		}
	}
}

// pass lets time pass in ticks.
func (f *fixture) pass(d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		f.handle(gooseberrypass.Tick{})
	}
}

func (f *fixture) wantLoaded(t *testing.T, version int) {
	t.Helper()
	want := make([]byte, 0, pieces*pieceSize)
	for i := range pieces {
		want = append(want, piece(version, i)...)
	}
	if got := f.engine.loaded; !bytes.Equal(got, want) {
		t.Errorf("loaded: got %q, want %q", got, want)
	}
}

func TestLoadsANamedVersionInItsTurn(t *testing.T) {
	f := newFixture(t)
	f.pool.holds[2] = true
	f.name(surveyor.Target{Since: f.now, Version: 2})
	f.pass(2900 * time.Millisecond)
	if got := len(f.engine.orders); got != 0 {
		t.Fatalf("orders before the earliest time: got %d, want 0", got)
	}
	f.pass(2 * time.Second)
	f.wantLoaded(t, 2)
	if got, want := len(f.engine.orders), 1; got != want {
		t.Errorf("orders: got %d, want %d", got, want)
	}
	told := false
	for _, n := range f.teller.notices {
		told = told || n.Loading && n.Models["m"] == 1
	}
	if !told {
		t.Error("entries were not told to send nothing before the order")
	}
}

func TestSpoiledPiecesAreStagedAnew(t *testing.T) {
	f := newFixture(t)
	f.pool.holds[2] = true
	f.name(surveyor.Target{Since: f.now, Version: 2})
	f.pass(2 * time.Second) // staged by now
	f.engine.stage[1] = []byte("spoiled!")
	delete(f.engine.stage, 3)
	f.pass(4 * time.Second)
	f.wantLoaded(t, 2)
}

func TestEmptyEngineLoadsAtOnce(t *testing.T) {
	f := newFixture(t)
	f.engine.report.Models, f.engine.stage = nil, map[int][]byte{}
	f.pool.holds[2] = true
	f.name(surveyor.Target{Since: f.now, Version: 2})
	f.pass(500 * time.Millisecond)
	f.wantLoaded(t, 2)
}

func TestLoadedVersionIsOffered(t *testing.T) {
	f := newFixture(t)
	f.name()
	f.pass(time.Second)
	if len(f.pool.wants) != 1 || f.pool.wants[0].Version != "1" {
		t.Fatalf("wants: got %v, want version 1", f.pool.wants)
	}
	if _, err := f.pool.chunks.Chunk(gooseberrypass.DigestOf(piece(1, 2))); err != nil {
		t.Errorf("a staged piece is not offered: %v", err)
	}
	if got := len(f.engine.orders); got != 0 {
		t.Errorf("orders: got %d, want 0", got)
	}
}

func TestRefusedOrderIsGivenAgain(t *testing.T) {
	f := newFixture(t)
	f.engine.report.Models, f.engine.refuse = nil, true
	f.pool.holds[2] = true
	f.name(surveyor.Target{Since: f.now, Version: 2})
	f.pass(time.Second)
	f.engine.refuse = false
	f.engine.report.Orders = 5 // the engine counts differently now
	f.pass(time.Second)
	f.wantLoaded(t, 2)
}

func TestManifestThatDiffersIsReadAgain(t *testing.T) {
	f := newFixture(t)
	f.engine.report.Models = nil
	f.origin.spoiled = 3
	f.pool.holds[2] = true
	f.name(surveyor.Target{Since: f.now, Version: 2})
	f.pass(time.Second)
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
			first := surveyor.Target{Since: f.now, Version: 2}
			f.name(first)
			f.pass(tc.gap)
			f.pool.holds[3] = true
			f.name(first, surveyor.Target{Since: f.now, Version: 3})
			f.pass(bound)
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
	first, second := surveyor.Target{Since: f.now, Version: 2}, surveyor.Target{Since: f.now.Add(3 * time.Second), Version: 3}
	f.name(first)
	f.pass(3 * time.Second)
	f.name(first, second)
	f.pass(6 * time.Second) // the origin is away: nobody has a piece of either
	f.pool.holds[2], f.pool.holds[3] = true, true
	f.pass(3 * time.Second)
	if len(f.engine.orders) != 1 || f.engine.orders[0].Version != 3 {
		t.Errorf("orders: got %v, want version 3 alone", f.engine.orders)
	}
}

func TestNewerVersionDoesNotHideALoad(t *testing.T) {
	f := newFixture(t)
	f.pool.holds[2] = true
	first := surveyor.Target{Since: f.now, Version: 2}
	f.name(first)
	for len(f.teller.notices) == 0 || !f.teller.notices[len(f.teller.notices)-1].Loading {
		f.pass(100 * time.Millisecond)
	}
	f.name(first, surveyor.Target{Since: f.now, Version: 3})
	if got := f.teller.notices[len(f.teller.notices)-1]; !got.Loading {
		t.Errorf("told after another version was named: got %+v, want loading", got)
	}
}

func TestRestartedEngineIsLoadedAnew(t *testing.T) {
	f := newFixture(t)
	f.pool.holds[1] = true
	f.name()
	f.pass(time.Second)
	f.engine.report = gooseberrypass.EngineReport{Born: 2}
	f.engine.stage = map[int][]byte{}
	f.pass(time.Second)
	f.wantLoaded(t, 1)
}

// After a loss of power every agent wants a manifest at once; the origin takes few
// connections, and agents that are gone still stand in the list.
func TestManifestThatAnotherAgentOffersIsTakenAtOnce(t *testing.T) {
	from, to := newFixture(t), newFixture(t)
	from.name(surveyor.Target{Since: from.now, Version: 2})
	from.pass(time.Second)
	want := gooseberrypass.ModelTarget{Model: "m", Version: 2}
	if got := from.teller.manifests; len(got) != 1 || got[0] != want {
		t.Fatalf("offered %v, want %v", got, want)
	}
	mux := http.NewServeMux()
	mux.Handle(stager.ManifestPattern, from.manifests)
	server := httptest.NewServer(mux)
	defer server.Close()

	// The offer comes while another read is on its way, and that read fails.
	to.origin.spoiled = 1 << 20
	offer := gossiper.Received{Message: gossiper.Message{
		Address: strings.TrimPrefix(server.URL, "http://"), From: "other", Manifests: []gooseberrypass.ModelTarget{{Model: "other", Version: 2}, want}, Role: gooseberrypass.RoleAgent,
	}}
	to.origin.asked = func() { to.handle(offer); to.origin.asked = nil }
	to.pool.holds[2] = true
	to.name(surveyor.Target{Since: to.now, Version: 2})
	to.pass(5 * time.Second)
	to.wantLoaded(t, 2)
}
