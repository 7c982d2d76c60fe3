package attempter

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

const (
	// MaxKVCache is the maximum size in bytes of a KV cache that is sent with a
	// moved stream.
	MaxKVCache = 32 << 20
	// MaxPrompt is the maximum size in bytes of a prompt.
	MaxPrompt = 4 << 20
	// MaxTokens is the maximum number of tokens in one answer.
	MaxTokens = 1 << 20

	maxAttemptSize = MaxKVCache + MaxPrompt + 1<<16 // bytes; 64 KiB for the other fields
	// maxBodyBytes limits the total size of the request bodies that are held in
	// memory.
	maxBodyBytes  = 2 * maxAttemptSize
	cancelTimeout = 2 * time.Second
	exportTimeout = 5 * time.Second
	// writeGrace is the time after the deadline in which the end of an answer
	// may still be written.
	writeGrace = 2 * time.Second
)

// An attemptHandler serves POST /attempts. It is safe for concurrent use.
type attemptHandler struct {
	bodyBytes *semaphore.Weighted
	clock     gooseberrypass.Clock
	engine    gooseberrypass.Engine
	gate      *versionGate
	latency   *latencyMonitor
	metrics   *metrics
	runner    *runner
	stop      *stopState
}

// ServeHTTP implements http.Handler. A status other than 200 does not settle
// whether the attempt ran.
func (h *attemptHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "use POST", http.StatusMethodNotAllowed)
		return
	}
	size := r.ContentLength
	if size < 0 || size > maxAttemptSize {
		http.Error(w, "attempt without a length or too large", http.StatusRequestEntityTooLarge)
		return
	}
	if !h.bodyBytes.TryAcquire(size) {
		http.Error(w, "too many bytes of attempts in progress", http.StatusServiceUnavailable)
		return
	}
	defer h.bodyBytes.Release(size)
	m, err := readAttempt(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.serve(w, r, m)
}

func readAttempt(w http.ResponseWriter, r *http.Request) (*wire.Attempt, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, r.ContentLength))
	if err != nil {
		return nil, errors.Wrap(err, "read attempt")
	}
	var m wire.Attempt
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrap(err, "decode attempt")
	}
	if err := checkIdentity(m.GetAttemptId(), m.GetRequestDigest()); err != nil {
		return nil, err
	}
	return &m, nil
}

func (h *attemptHandler) serve(w http.ResponseWriter, r *http.Request, m *wire.Attempt) {
	w.Header().Set("Content-Type", "application/octet-stream")
	f := newFrameWriter(w, m)
	if d := lifetimeOf(m.GetDeadlineMs()); d > 0 && d <= MaxDeadline {
		defer f.failWritesAfter(h.clock, d+writeGrace)()
	}
	if err := h.runAttempt(r.Context(), m, f); err != nil {
		f.fail(asRequestError(err))
	}
}

func (h *attemptHandler) runAttempt(ctx context.Context, m *wire.Attempt, f *frameWriter) error {
	if err := checkAttempt(m); err != nil {
		return err
	}
	model := gooseberrypass.ID(m.GetModel())
	var requested, digest gooseberrypass.Digest
	copy(requested[:], m.GetWeightsDigest())
	return h.runner.runAttempt(ctx, task{
		account: gooseberrypass.ID(m.GetAccount()),
		alone:   m.GetAlone(),
		check: func() error {
			var err error
			digest, err = h.gate.admit(model, requested)
			return err
		},
		class:    m.GetModel(),
		cost:     m.GetMaxTokens() - m.GetFrom(),
		digest:   gooseberrypass.Digest(m.GetRequestDigest()),
		id:       m.GetAttemptId(),
		lifetime: lifetimeOf(m.GetDeadlineMs()),
		model:    model,
		priority: gooseberrypass.Priority(m.GetPriority()),
		run: func(ctx context.Context, p *progress) error {
			return h.stream(ctx, p, generateOrder(m, digest), f)
		},
	})
}

func generateOrder(m *wire.Attempt, digest gooseberrypass.Digest) gooseberrypass.GenerateOrder {
	return gooseberrypass.GenerateOrder{
		AttemptID: m.GetAttemptId(),
		Digest:    digest,
		From:      int(m.GetFrom()),
		KVCache:   m.GetKvCache(),
		MaxTokens: int(m.GetMaxTokens()),
		Model:     gooseberrypass.ID(m.GetModel()),
		Priority:  gooseberrypass.Priority(m.GetPriority()),
		Prompt:    string(m.GetPrompt()),
	}
}

// stream forwards the engine's tokens. If the answer cannot be completed, it
// reports the failure to the client before it cancels the attempt at the engine,
// which may be slow to answer.
func (h *attemptHandler) stream(
	ctx context.Context,
	p *progress,
	order gooseberrypass.GenerateOrder,
	f *frameWriter,
) error {
	begun := h.clock.Now()
	tokens, err := h.engine.Generate(ctx, order)
	if err != nil {
		p.disconnected = isDisconnect(ctx, err)
		return h.streamError(ctx, err)
	}
	defer tokens.Close() //nolint:errcheck // The stream has ended; the error changes nothing.
	s := newTokenSequence(order.AttemptID, order.Digest, order.From, order.MaxTokens)
	err = h.forwardTokens(ctx, tokens, s, f, begun, p)
	p.cost = int64(s.pieces())
	if err == nil {
		return nil
	}
	err = h.streamError(ctx, err)
	f.fail(asRequestError(err))
	h.cancel(ctx, order.AttemptID)
	return err
}

// forwardTokens writes the tokens of the stream as frames until the last one,
// and offers the stream to another endpoint during a planned stop.
func (h *attemptHandler) forwardTokens(
	ctx context.Context,
	tokens gooseberrypass.TokenStream,
	s *tokenSequence,
	f *frameWriter,
	begun time.Time,
	p *progress,
) error {
	m := streamMigrator{begun: begun, handler: h}
	for !s.ended {
		token, err := tokens.Next()
		if err != nil {
			p.disconnected = isDisconnect(ctx, err)
			return unknown(gooseberrypass.ReasonCut, "engine: "+err.Error())
		}
		own, err := s.accept(token)
		if err != nil {
			return err
		}
		if !own {
			h.metrics.strays.Inc()
			continue
		}
		if s.pieces() == 1 {
			h.observeFirstToken(p.waited, begun)
			if err := f.started(s.digest); err != nil {
				return err
			}
		}
		if err := f.piece(token.Index, token.Text); err != nil {
			return err
		}
		if err := m.offer(ctx, s, f); err != nil {
			return err
		}
	}
	return f.end(s.endMarker())
}

// observeFirstToken records the time to the first token; the latency includes
// the time in the queue.
func (h *attemptHandler) observeFirstToken(waited time.Duration, begun time.Time) {
	d := h.clock.Since(begun)
	h.metrics.firstToken.Observe(d.Seconds())
	h.latency.observe(h.clock.Now(), waited+d)
}

// streamError returns the failure of a stream. If the context has ended, that is
// the cause, whatever error followed from it.
func (h *attemptHandler) streamError(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	e := asRequestError(err)
	return interruptedError(ctx, e.Outcome != gooseberrypass.OutcomeNotRun)
}

func (h *attemptHandler) cancel(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	// If the engine cannot be reached, it runs the stream to its end and the
	// tokens are discarded.
	_ = h.engine.Cancel(ctx, id)
}
