package stager_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// Hearing implements gooseberrypass.AdvisedEngine.
func (e *engine) Hearing(heard func(gooseberrypass.Advisory)) gooseberrypass.StagedEngine {
	return &advisedEngine{engine: e, heard: heard}
}

// An advisedEngine is an engine that says in each answer which calls it wants, and refuses
// those for which it asks for a pause.
type advisedEngine struct {
	*engine
	heard func(gooseberrypass.Advisory)
}

func (a *advisedEngine) answer() error {
	a.mu.Lock()
	a.calls++
	a.mu.Unlock()
	if a.onCall != nil {
		a.onCall()
	}
	says := a.says
	if a.saysOnce != (gooseberrypass.Advisory{}) {
		says, a.saysOnce = a.saysOnce, gooseberrypass.Advisory{}
	}
	a.heard(says)
	if says.Pause > 0 {
		return errors.New("status 503")
	}
	return nil
}

func (a *advisedEngine) ListStaged(ctx context.Context, model string) ([]int, error) {
	if err := a.answer(); err != nil {
		return nil, err
	}
	return a.engine.ListStaged(ctx, model)
}

func (a *advisedEngine) Report(ctx context.Context) (gooseberrypass.EngineReport, error) {
	if err := a.answer(); err != nil {
		return gooseberrypass.EngineReport{}, err
	}
	return a.engine.Report(ctx)
}

func (a *advisedEngine) Stage(ctx context.Context, model string, index int, body []byte) error {
	if err := a.answer(); err != nil {
		return err
	}
	a.stages++
	return a.engine.Stage(ctx, model, index, body)
}

func (a *advisedEngine) ReadStaged(ctx context.Context, model string, index int, size int64) ([]byte, error) {
	if err := a.answer(); err != nil {
		return nil, err
	}
	return a.engine.ReadStaged(ctx, model, index, size)
}

func (a *advisedEngine) StartLoad(ctx context.Context, order gooseberrypass.StartOrder) (gooseberrypass.StartResult, error) {
	if err := a.answer(); err != nil {
		return gooseberrypass.StartRefused, err
	}
	return a.engine.StartLoad(ctx, order)
}

// The events around an engine that says in its answers what it wants.
const (
	saysLeaving   = "says that it leaves"
	saysNothing   = "says nothing"
	asksForPause  = "asks for a pause"
	engineAnew    = "starts anew"
	versionNamed  = "version named"
	pauseIsOver   = "pause is over"
	enginePause   = 2 * time.Second
	callsInPause  = 1 // that asked for it
	playedPerStep = 300 * time.Millisecond
)

// An advisoryModel plays events at an engine and checks what its agent does.
type advisoryModel struct {
	*fixture
	left        []int64 // starts that said that they leave
	pausedUntil time.Time
	pauseCalls  int // calls since that answer
	version     int
}

func newAdvisoryModel(t *testing.T) *advisoryModel {
	t.Helper()
	m := &advisoryModel{fixture: newFixture(t), version: 1}
	m.pool.holds = map[int]bool{1: true, 2: true}
	m.engine.onCall = m.call
	m.nameVersions()
	m.advance(time.Second)
	return m
}

// call records what the engine answers to a call.
func (m *advisoryModel) call() {
	if m.now.Before(m.pausedUntil) {
		m.pauseCalls++
	}
	if m.engine.says.Pause > 0 && !m.now.Before(m.pausedUntil) {
		m.pausedUntil, m.pauseCalls = m.now.Add(m.engine.says.Pause), 1
	}
	if m.engine.says.Leaving && !slices.Contains(m.left, m.engine.report.StartMillis) {
		m.left = append(m.left, m.engine.report.StartMillis)
	}
}

func (m *advisoryModel) happen(event string) {
	switch event {
	case saysLeaving:
		m.engine.says.Leaving = true
	case saysNothing:
		m.engine.says = gooseberrypass.Advisory{}
	case asksForPause:
		m.engine.says.Pause = enginePause
	case engineAnew:
		m.engine.says = gooseberrypass.Advisory{}
		m.engine.report = gooseberrypass.EngineReport{StartMillis: m.engine.report.StartMillis + 1}
		m.engine.stage = map[int][]byte{}
	case versionNamed:
		m.version = 2
		m.nameVersions(materializer.Target{Since: m.now, Version: 2})
	case pauseIsOver:
		m.engine.says.Pause = 0
		m.advance(enginePause)
	}
	m.advance(playedPerStep)
}

// An agent went on asking an engine that wanted no calls, and nobody learned from it that
// the engine leaves.
func TestEveryOrderOfEventsAroundWhatAnEngineSays(t *testing.T) {
	events := []string{saysLeaving, asksForPause, saysNothing, engineAnew, versionNamed, pauseIsOver}
	played, broken := 0, 0
	for _, order := range orders(events) {
		played++
		m := newAdvisoryModel(t)
		fail := func(format string, args ...any) {
			broken++
			t.Errorf(strings.Join(order, ", ")+": "+format, args...)
		}
		for _, event := range order {
			m.happen(event)
			if m.pauseCalls > callsInPause {
				fail("after %q: got %d calls in the pause, want %d", event, m.pauseCalls, callsInPause)
				break
			}
		}
		if !slices.Equal(m.recorder.departures, m.left) {
			fail("told that starts %v leave, want %v", m.recorder.departures, m.left)
		}
		m.engine.says = gooseberrypass.Advisory{}
		m.advance(enginePause + bound)
		if got := m.engine.report.Models["m"]; got != m.version {
			fail("loaded version: got %d, want %d", got, m.version)
		}
	}
	t.Logf("%d orders played, %d broken", played, broken)
}

func orders(events []string) [][]string {
	if len(events) == 0 {
		return [][]string{nil}
	}
	var all [][]string
	for i, event := range events {
		rest := append(append([]string{}, events[:i]...), events[i+1:]...)
		for _, order := range orders(rest) {
			all = append(all, append([]string{event}, order...))
		}
	}
	return all
}

// An agent that was staging a version went on with the next chunks after a read of the
// report had been refused for a while.
func TestStepInProgressEndsWithThePause(t *testing.T) {
	f := newFixture(t)
	f.engine.report.Models = nil
	f.pool.holds[2] = true
	staged := 0
	f.engine.onCall = func() {
		f.engine.onCall = nil
		f.engine.says = gooseberrypass.Advisory{Pause: enginePause}
		f.now = f.now.Add(time.Second) // a read of the report is due
		f.handle(gooseberrypass.Tick{})
		f.engine.says = gooseberrypass.Advisory{}
		staged = f.engine.calls
	}
	onCall := f.engine.onCall
	f.engine.onCall = nil
	f.advance(time.Second)
	f.engine.onCall = onCall
	f.nameVersions(materializer.Target{Since: f.now, Version: 2})
	f.advance(enginePause - 200*time.Millisecond)
	if got := f.engine.calls; staged == 0 || got != staged {
		t.Errorf("calls in the pause: got %d, want none", got-staged)
	}
	f.advance(2 * time.Second)
	f.wantLoaded(t, 2)
}

// An answer of an engine that has started anew since counted for the new start, which has
// not said anything yet.
func TestLateAnswerOfAnEarlierStartSaysNothing(t *testing.T) {
	f := newFixture(t)
	f.pool.holds[2] = true
	f.advance(time.Second)
	late := false
	f.engine.onCall = func() {
		f.engine.onCall = nil
		late = true
		f.engine.report = gooseberrypass.EngineReport{StartMillis: 2}
		f.now = f.now.Add(time.Second) // a read of the report is due
		f.handle(gooseberrypass.Tick{})
		f.engine.saysOnce = gooseberrypass.Advisory{Leaving: true, Pause: time.Hour}
	}
	f.nameVersions(materializer.Target{Since: f.now, Version: 2})
	f.advance(2 * time.Second)
	f.wantLoaded(t, 2)
	if got := f.recorder.departures; !late || len(got) > 0 {
		t.Errorf("told that starts %v leave, want none", got)
	}
}

// The first report of an engine tells its start as well as that it leaves.
func TestEngineThatLeavesFromTheStartIsTold(t *testing.T) {
	f := newFixture(t)
	f.engine.says.Leaving = true
	f.handle(gooseberrypass.Tick{}) // one read of the report
	if got, want := f.recorder.departures, []int64{1}; !slices.Equal(got, want) {
		t.Errorf("told that starts %v leave, want %v", got, want)
	}
}

// A pause was taken for a failure of the engine: its staged chunks were written again.
func TestPauseIsNoFailureOfTheEngine(t *testing.T) {
	f := newFixture(t)
	f.pool.holds[2] = true
	f.nameVersions(materializer.Target{Since: f.now, Version: 2})
	f.advance(time.Second) // staged, not yet due
	before := f.engine.stages
	f.engine.says = gooseberrypass.Advisory{Pause: time.Second}
	f.advance(500 * time.Millisecond)
	f.engine.says = gooseberrypass.Advisory{}
	f.advance(time.Second)
	if got := f.engine.stages; before != chunkCount || got != before {
		t.Errorf("chunks staged: got %d before and %d after the pause, want %d", before, got, chunkCount)
	}
	f.advance(4 * time.Second)
	f.wantLoaded(t, 2)
	if got := len(f.engine.orders); got != 1 {
		t.Errorf("orders: got %d, want 1", got)
	}
}
