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

// gapTimeout is how long an entry waits for a peer with a higher offset before
// it skips a gap in the log and continues from its own state.
const gapTimeout = 15 * time.Second

// logRead is the event that a read of the log has ended.
type logRead struct {
	err      error
	progress replayer.Progress
}

// EventName implements gooseberrypass.Event.
func (logRead) EventName() string { return "config-log-read" }

// A readEffect long-polls the log for new records and folds them into state.
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

// configBuilt is the event that a configuration has been built from a state.
type configBuilt struct {
	check *checker.Result
}

// EventName implements gooseberrypass.Event.
func (configBuilt) EventName() string { return "config-built" }

// A buildEffect parses and checks the files of a state off the control goroutine.
type buildEffect struct {
	state replayer.State
}

// EffectName implements gooseberrypass.Effect.
func (buildEffect) EffectName() string { return "config-build" }

// Run implements gooseberrypass.Effect.
func (e buildEffect) Run(context.Context) gooseberrypass.Event {
	return configBuilt{check: checker.Build(parser.NewFolder("folder", e.state.Files()), e.state.LastAccepted())}
}

// An announceEffect raises gooseberrypass.ConfigAccepted for all controllers.
type announceEffect struct {
	config *gooseberrypass.Config
}

// EffectName implements gooseberrypass.Effect.
func (announceEffect) EffectName() string { return "config-announce" }

// Run implements gooseberrypass.Effect.
func (e announceEffect) Run(context.Context) gooseberrypass.Event {
	return gooseberrypass.ConfigAccepted{Config: e.config}
}

func (s *Spreader) startRead() gooseberrypass.Effect {
	s.reading = true
	return readEffect{replayer: s.replayer, state: s.state}
}

// handleRead adopts what was read and starts the next read, after a backoff if
// this one failed.
func (s *Spreader) handleRead(now time.Time, e logRead) []gooseberrypass.Effect {
	s.reading = false
	s.caughtUp = e.err == nil
	effects := s.adopt(now, e.progress.State, e.progress.Accepted)
	s.snapshots.observe(now, e.progress)
	switch {
	case e.err == nil:
		s.gapSince = time.Time{}
		s.metrics.reads.WithLabelValues("answered").Inc()
	case errors.Is(e.err, replayer.ErrGap):
		s.metrics.reads.WithLabelValues("trimmed").Inc()
		s.skipGap(now, e.progress)
	default:
		s.metrics.reads.WithLabelValues("failed").Inc()
	}
	if e.err != nil {
		s.next.read = now.Add(readBackoff/2 + time.Duration(s.rng.Int64N(int64(readBackoff))))
		return effects
	}
	if s.readsLog(now) {
		effects = append(effects, s.startRead())
	}
	return effects
}

// skipGap makes an entry continue from its own state if the log was trimmed past
// it, holds no usable snapshot, and no peer has offered a higher offset within
// gapTimeout. The entry then appends its state as a snapshot.
func (s *Spreader) skipGap(now time.Time, p replayer.Progress) {
	if s.gapSince.IsZero() {
		s.gapSince = now
	}
	if s.state.LastAccepted() == 0 || !s.writesSnapshots(now) || now.Sub(s.gapSince) < gapTimeout {
		return
	}
	s.logger.WithField("offset", s.state.LastAccepted()).Warn("log was trimmed past the local configuration and holds no usable snapshot; continuing from the local one")
	s.state = s.state.WithFoldedThrough(p.First - 1)
	s.snapshots.force()
	s.gapSince = time.Time{}
}
