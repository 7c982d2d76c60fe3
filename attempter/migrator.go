package attempter

import (
	"context"
	"time"
)

// minRateTokens is the number of tokens after which the token rate of a stream
// can be estimated.
const minRateTokens = 4

// A streamMigrator offers one stream to another endpoint if it would outlast a
// planned stop. The stream continues here until the caller ends the attempt, so
// that it is not cut if no other endpoint takes it.
type streamMigrator struct {
	begun   time.Time
	handler *attemptHandler
	offered bool
}

// offer exports the stream's KV cache and writes it as a Moved frame, at most
// once. A failed export leaves the stream as it is.
func (m *streamMigrator) offer(ctx context.Context, s *tokenSequence, f *frameWriter) error {
	if m.offered || s.ended || !m.outlasts(s) {
		return nil
	}
	m.offered = true
	g := m.handler
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

func (m *streamMigrator) outlasts(s *tokenSequence) bool {
	begin, limit := m.handler.stop.window()
	now := m.handler.clock.Now()
	return outlasts(now, begin, limit, m.begun, s)
}

// outlasts reports whether a stream that began at begun is likely to run beyond
// the time limit of a planned stop. It reports false until half of that limit
// has passed, and while too few tokens have been generated to estimate the rate.
func outlasts(now, stopBegin time.Time, limit time.Duration, begun time.Time, s *tokenSequence) bool {
	if stopBegin.IsZero() || now.Sub(stopBegin) < limit/2 || s.pieces() < minRateTokens {
		return false
	}
	tokenPeriod := now.Sub(begun) / time.Duration(s.pieces())
	remaining := time.Duration(s.max-s.next) * tokenPeriod
	return now.Add(remaining).After(stopBegin.Add(limit))
}
