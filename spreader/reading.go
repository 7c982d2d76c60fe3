package spreader

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/checker"
	"github.com/gooseberrypass/gooseberrypass/parser"
	"github.com/gooseberrypass/gooseberrypass/replayer"
)

// gapPatience is how long an entry waits for a peer with a higher offset
// before it goes on from its own state across a gap in the log.
const gapPatience = 15 * time.Second

// logRead is the event that a read of the log has ended.
type logRead struct {
	err      error
	progress replayer.Progress
}

// EventName implements gooseberrypass.Event.
func (logRead) EventName() string { return "config-log-read" }

// A readEffect waits for records of the log and folds them.
type readEffect struct {
	replayer *replayer.Replayer
	state    replayer.State
}

// EffectName implements gooseberrypass.Effect.
func (readEffect) EffectName() string { return "config-log-read" }

// Run implements gooseberrypass.Effect.
func (e readEffect) Run(ctx context.Context) gooseberrypass.Event {
	progress, err := e.replayer.CatchUp(ctx, e.state, readWait)
	return logRead{err: err, progress: progress}
}

// configBuilt is the event that a configuration was built from a state.
type configBuilt struct {
	check *checker.Result
}

// EventName implements gooseberrypass.Event.
func (configBuilt) EventName() string { return "config-built" }

// A buildConfig builds the configuration of a state.
type buildConfig struct {
	state replayer.State
}

// EffectName implements gooseberrypass.Effect.
func (buildConfig) EffectName() string { return "config-build" }

// Run implements gooseberrypass.Effect.
func (e buildConfig) Run(context.Context) gooseberrypass.Event {
	return configBuilt{check: checker.Build(parser.NewFolder("folder", e.state.Files()), e.state.LastAccepted())}
}

// An announcement tells all controllers of a configuration.
type announcement struct {
	config *gooseberrypass.Config
}

// EffectName implements gooseberrypass.Effect.
func (announcement) EffectName() string { return "config-announce" }

// Run implements gooseberrypass.Effect.
func (e announcement) Run(context.Context) gooseberrypass.Event {
	return gooseberrypass.ConfigAccepted{Config: e.config}
}

func (s *Spreader) read() gooseberrypass.Effect {
	s.reading = true
	return readEffect{replayer: s.replayer, state: s.state}
}

// settleRead takes over what was read and reads on.
func (s *Spreader) settleRead(now time.Time, e logRead) []gooseberrypass.Effect {
	s.reading = false
	s.current = e.err == nil
	effects := s.adopt(now, e.progress.State, e.progress.Accepted)
	s.snapshots.read(now, e.progress)
	switch {
	case e.err == nil:
		s.gapSince = time.Time{}
		s.metrics.reads.WithLabelValues("answered").Inc()
	case errors.Is(e.err, replayer.ErrGap):
		s.metrics.reads.WithLabelValues("trimmed").Inc()
		s.crossGap(now, e.progress)
	default:
		s.metrics.reads.WithLabelValues("failed").Inc()
	}
	if e.err != nil {
		s.next.read = now.Add(readBackoff/2 + time.Duration(s.rng.Int64N(int64(readBackoff))))
		return effects
	}
	if s.readsLog(now) {
		effects = append(effects, s.read())
	}
	return effects
}

// crossGap makes an entry go on from its own state if the log was trimmed past
// it, holds no snapshot, and no peer has offered a higher offset meanwhile. What
// the entry holds then is appended as a snapshot.
func (s *Spreader) crossGap(now time.Time, p replayer.Progress) {
	if s.gapSince.IsZero() {
		s.gapSince = now
	}
	if s.state.LastAccepted() == 0 || !s.keepsSnapshots(now) || now.Sub(s.gapSince) < gapPatience {
		return
	}
	s.logger.WithField("offset", s.state.LastAccepted()).Warn("the log was trimmed past the configuration held; going on from it")
	s.state = s.state.Through(p.First - 1)
	s.snapshots.force()
	s.gapSince = time.Time{}
}
