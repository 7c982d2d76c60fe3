package attempter

import (
	"context"
	"time"
)

// minPaceTokens is how many tokens tell the pace of a stream.
const minPaceTokens = 4

// A mover offers one stream to another endpoint if it would outlast a planned
// stop. The stream goes on here until the caller ends the attempt, so that it
// is not cut if no other endpoint takes it.
type mover struct {
	begun     time.Time
	generator *generator
	offered   bool
}

func (m *mover) offer(ctx context.Context, s *sequence, f *framer) error {
	if m.offered || s.ended || !m.outlasts(s) {
		return nil
	}
	m.offered = true
	g := m.generator
	exportCtx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	kv, err := g.engine.ExportKV(exportCtx, s.attemptID)
	if err != nil || len(kv) > MaxKVCache {
		g.metrics.moves.WithLabelValues("failed").Inc()
		return nil
	}
	g.metrics.moves.WithLabelValues("offered").Inc()
	return f.moved(s.next, kv)
}

func (m *mover) outlasts(s *sequence) bool {
	begin, limit := m.generator.stop.window()
	now := m.generator.clock.Now()
	return outlasts(now, begin, limit, m.begun, s)
}

// outlasts reports whether a stream that began at begun may still run at the
// end of a planned stop, of whose time half has passed.
func outlasts(now, stopBegin time.Time, limit time.Duration, begun time.Time, s *sequence) bool {
	if stopBegin.IsZero() || now.Sub(stopBegin) < limit/2 || s.pieces() < minPaceTokens {
		return false
	}
	pace := now.Sub(begun) / time.Duration(s.pieces())
	rest := time.Duration(s.max-s.next) * pace
	return now.Add(rest).After(stopBegin.Add(limit))
}
