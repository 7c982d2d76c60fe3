package stager

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// errPaused is returned for a call that the engine refused because it wants no calls for a
// while, and for calls that are not sent for that reason.
var errPaused = errors.New("engine asked for a pause")

// An engineStart identifies one start of the engine. The zero value is none.
type engineStart struct {
	known  bool
	millis int64 // Unix milliseconds
}

// A departure is the news that the engine leaves, which holds for one of its starts.
type departure struct {
	heardAt time.Time // when the engine last said so
	start   engineStart
}

// A gate passes calls to the engine, except while it wants none, and keeps what it says in
// its answers. It is safe for concurrent use.
type gate struct {
	clock  gooseberrypass.Clock
	engine gooseberrypass.AdvisedEngine
	logger logrus.FieldLogger

	mu          sync.Mutex
	departure   departure
	invalid     string // value of the last answer's field that could not be read
	pausedUntil time.Time
	start       engineStart // as in the last report
}

func newGate(clock gooseberrypass.Clock, engine gooseberrypass.AdvisedEngine, logger logrus.FieldLogger) *gate {
	return &gate{clock: clock, engine: engine, logger: logger}
}

// paused reports whether the engine wants no calls now.
func (g *gate) paused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clock.Now().Before(g.pausedUntil)
}

// departed returns the last departure of the engine, if there was one.
func (g *gate) departed() (departure, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.departure, g.departure.start.known
}

// begin returns the start of the engine that a call is for, or errPaused.
func (g *gate) begin() (engineStart, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.clock.Now().Before(g.pausedUntil) {
		return engineStart{}, errPaused
	}
	return g.start, nil
}

// end records what the engine said in the answer to a call that began at a start, and
// returns the error of the call.
func (g *gate) end(start engineStart, said gooseberrypass.Advisory, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if said.Invalid != "" && said.Invalid != g.invalid {
		g.logger.WithField("value", said.Invalid).Warn("engine sent an advisory that cannot be read, ignoring it")
	}
	g.invalid = said.Invalid
	if start != g.start {
		return err // said by an earlier start
	}
	if said.Leaving && start.known {
		if g.departure.start != start {
			g.logger.WithField("born", start.millis).Info("engine says that it leaves")
		}
		g.departure = departure{heardAt: now, start: start}
	}
	if said.Pause <= 0 {
		return err
	}
	if !now.Before(g.pausedUntil) {
		g.logger.WithField("pause", said.Pause.String()).Info("engine asks for a pause")
	}
	if until := now.Add(said.Pause); until.After(g.pausedUntil) {
		g.pausedUntil = until
	}
	return errors.WithMessagef(errPaused, "%v", err)
}

// call passes a call to the engine.
func (g *gate) call(send func(gooseberrypass.StagedEngine) error) error {
	start, err := g.begin()
	if err != nil {
		return err
	}
	var said gooseberrypass.Advisory
	err = send(g.engine.Hearing(func(a gooseberrypass.Advisory) { said = a }))
	return g.end(start, said, err)
}

// Report implements gooseberrypass.StagedEngine.
func (g *gate) Report(ctx context.Context) (gooseberrypass.EngineReport, error) {
	start, err := g.begin()
	if err != nil {
		return gooseberrypass.EngineReport{}, err
	}
	var said gooseberrypass.Advisory
	report, err := g.engine.Hearing(func(a gooseberrypass.Advisory) { said = a }).Report(ctx)
	if err == nil {
		start = engineStart{known: true, millis: report.StartMillis}
		g.setStart(start)
	}
	return report, g.end(start, said, err)
}

func (g *gate) setStart(start engineStart) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.start = start
}

// ListStaged implements gooseberrypass.StagedEngine.
func (g *gate) ListStaged(ctx context.Context, model string) ([]int, error) {
	var held []int
	err := g.call(func(e gooseberrypass.StagedEngine) error {
		var err error
		held, err = e.ListStaged(ctx, model)
		return err
	})
	return held, err
}

// ReadStaged implements gooseberrypass.StagedEngine.
func (g *gate) ReadStaged(ctx context.Context, model string, index int, size int64) ([]byte, error) {
	var body []byte
	err := g.call(func(e gooseberrypass.StagedEngine) error {
		var err error
		body, err = e.ReadStaged(ctx, model, index, size)
		return err
	})
	return body, err
}

// Stage implements gooseberrypass.StagedEngine.
func (g *gate) Stage(ctx context.Context, model string, index int, body []byte) error {
	return g.call(func(e gooseberrypass.StagedEngine) error { return e.Stage(ctx, model, index, body) })
}

// StartLoad implements gooseberrypass.StagedEngine. An order that is not sent counts as
// refused.
func (g *gate) StartLoad(ctx context.Context, order gooseberrypass.StartOrder) (gooseberrypass.StartResult, error) {
	result := gooseberrypass.StartRefused
	err := g.call(func(e gooseberrypass.StagedEngine) error {
		var err error
		result, err = e.StartLoad(ctx, order)
		return err
	})
	return result, err
}

var _ gooseberrypass.StagedEngine = (*gate)(nil)
