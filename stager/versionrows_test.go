package stager_test

import (
	"context"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/cacher"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// The earliest and the latest turn of an engine to load a version.
const (
	earlyTurn = 3500 * time.Millisecond
	lateTurn  = 6800 * time.Millisecond
)

// A rangeOrigin is an origin that also returns chunks, of the newest two versions.
type rangeOrigin struct {
	origin
	down   bool
	newest int
}

func (o *rangeOrigin) Manifest(ctx context.Context, model, version string) ([]byte, error) {
	if n, _ := strconv.Atoi(version); o.down || n < o.newest-1 {
		return nil, gooseberrypass.ErrChunkNotHeld
	}
	return o.origin.Manifest(ctx, model, version)
}

func (o *rangeOrigin) ReadRange(_ context.Context, _, version string, offset, _ int64) ([]byte, error) {
	n, _ := strconv.Atoi(version)
	if o.down || n < o.newest-1 {
		return nil, gooseberrypass.ErrChunkNotHeld
	}
	return chunkBody(n, int(offset)/chunkSize), nil
}

type emptyResolver struct{}

func (emptyResolver) Resolve(gooseberrypass.Kind, gooseberrypass.Name) (gooseberrypass.ID, bool) {
	return "", false
}

// A rowModel is an agent with a real fetcher, whose chunk memory holds two versions, between
// an engine and an origin.
type rowModel struct {
	*fixture
	origin  *rangeOrigin
	t       *testing.T
	targets []materializer.Target
	turn    time.Duration // from the name of a version until it is this engine's turn to load it
}

func newRowModel(t *testing.T, turn time.Duration) *rowModel {
	t.Helper()
	m := &rowModel{fixture: newFixture(t), origin: &rangeOrigin{newest: 1}, t: t, turn: turn}
	m.intercept = func(e gooseberrypass.Effect) bool { return e.EffectName() == "watch-demand" } // waits for other agents
	m.startAgent()
	return m
}

// startAgent replaces the agent by a new process.
func (m *rowModel) startAgent() {
	m.t.Helper()
	encoded, err := m.origin.origin.Manifest(context.Background(), "m", "1")
	if err != nil {
		m.t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := gooseberrypass.ListedInstance{ID: "self", Pool: "s", Role: gooseberrypass.RoleAgent, State: gooseberrypass.ListedLive}
	c := cacher.New(0)
	f, err := fetcher.New(self, c, fetcher.NewReader(nil, clockwork.NewRealClock(), c, m.origin, nil), 1, fetcher.Settings{
		MismatchBackoffBase: 100 * time.Millisecond, SourceBackoffBase: 100 * time.Millisecond, SourceBackoffMax: 250 * time.Millisecond,
	}, prometheus.NewRegistry(), log)
	if err != nil {
		m.t.Fatal(err)
	}
	memory := map[string]any{"chunk-memory": 2 * int64(len(encoded)+2+chunkCount*chunkSize), "origin-budget": 8.0}
	config := gooseberrypass.NewConfig(0, emptyResolver{}, []gooseberrypass.Section{gooseberrypass.NewSection(gooseberrypass.KindSystem, "", nil, memory)})
	f.Handle(m.now, gooseberrypass.ConfigAccepted{Config: config})
	f.Handle(m.now, gooseberrypass.MembersChanged{Members: []gooseberrypass.Member{{Listed: self}}})
	settings := fixtureSettings()
	settings.LoadDelay, settings.LoadSpread, settings.SkipGap = m.turn, 0, 2500*time.Millisecond
	m.fetcher, m.stager = f, m.newStager(c, f, m.origin, settings)
}

// nameNext names the next version.
func (m *rowModel) nameNext() {
	m.origin.newest++
	m.targets = append(m.targets, materializer.Target{Since: m.now, Version: m.origin.newest})
	m.announce()
}

// announce tells the agent of the deployment and the named versions.
func (m *rowModel) announce() { m.nameVersions(m.targets...) }

// The agent of an engine that loaded the older versions never fetched the last one: the loaded
// ones kept the chunk memory.
func TestLastOfThreeVersionsInARowIsLoaded(t *testing.T) {
	for _, turn := range []time.Duration{earlyTurn, lateTurn} {
		m := newRowModel(t, turn)
		m.announce()
		for range 3 {
			m.advance(2800 * time.Millisecond)
			m.nameNext()
		}
		m.advance(bound)
		if got, want := m.engine.report.Models["m"], 4; got != want {
			t.Errorf("turn after %v: got version %d in the engine at the bound of the last one, want %d", turn, got, want)
		}
	}
}

// A rowEvent is what may happen between the names of versions.
type rowEvent struct {
	name string
	play func(m *rowModel)
}

func rowEvents() []rowEvent {
	return []rowEvent{
		{"wait 0.4 s", func(m *rowModel) { m.advance(400 * time.Millisecond) }},
		{"wait 2.6 s", func(m *rowModel) { m.advance(2600 * time.Millisecond) }},
		{"name a version", (*rowModel).nameNext},
		{"the engine starts anew", func(m *rowModel) {
			m.engine.report = gooseberrypass.EngineReport{StartMillis: m.engine.report.StartMillis + 1}
		}},
		{"the agent starts anew", func(m *rowModel) { m.startAgent(); m.announce() }},
		{"the origin fails or is back", func(m *rowModel) { m.origin.down = !m.origin.down }},
		{"the next order is accepted without an answer", func(m *rowModel) { m.engine.lost = true }},
	}
}

// Whatever happens around the names of versions, the newest one is loaded once the origin
// answers and its bound is over.
func TestNewestVersionIsLoadedAfterAnyRow(t *testing.T) {
	const length = 3 // events after the first two versions
	events, plays := rowEvents(), 2
	for range length {
		plays *= len(events)
	}
	failed := 0
	for play := range plays {
		turn := []time.Duration{earlyTurn, lateTurn}[play%2]
		m := newRowModel(t, turn)
		m.announce()
		m.nameNext()
		m.advance(2600 * time.Millisecond)
		m.nameNext()
		m.advance(2600 * time.Millisecond)
		names := make([]string, 0, length)
		for i, n := 0, play/2; i < length; i, n = i+1, n/len(events) {
			e := events[n%len(events)]
			names = append(names, e.name)
			e.play(m)
		}
		m.origin.down = false
		m.advance(2 * bound)
		if got, want := m.engine.report.Models["m"], m.origin.newest; got != want {
			t.Errorf("turn after %v, %s: got version %d in the engine, want %d", turn, strings.Join(names, ", "), got, want)
			failed++
		}
		if failed == 20 {
			t.Fatalf("stopping after play %d of %d", play+1, plays)
		}
	}
}
