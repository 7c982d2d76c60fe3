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
	// MaxKVCache is the most bytes of a KV cache that moves with a stream.
	MaxKVCache = 32 << 20
	// MaxPrompt is the most bytes of a prompt.
	MaxPrompt = 4 << 20
	// MaxTokens is the most tokens of one answer.
	MaxTokens = 1 << 20

	maxAttemptSize = MaxKVCache + MaxPrompt + 1<<16
	// maxBodies bounds the bytes of attempts held in memory at once.
	maxBodies     = 2 * maxAttemptSize
	cancelTimeout = 2 * time.Second
	exportTimeout = 5 * time.Second
	// writeGrace is how long after the deadline an answer's end may take.
	writeGrace = 2 * time.Second
)

// A generator serves POST /attempts. It is safe for concurrent use.
type generator struct {
	bodies  *semaphore.Weighted
	clock   gooseberrypass.Clock
	engine  gooseberrypass.Engine
	gate    *gate
	gauge   *gauge
	metrics *metrics
	runner  *runner
	stop    *stopState
}

// ServeHTTP implements http.Handler. A status other than 200 settles nothing
// about the attempt.
func (g *generator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "use POST", http.StatusMethodNotAllowed)
		return
	}
	size := r.ContentLength
	if size < 0 || size > maxAttemptSize {
		http.Error(w, "attempt without a length or too large", http.StatusRequestEntityTooLarge)
		return
	}
	if !g.bodies.TryAcquire(size) {
		http.Error(w, "too many bytes of attempts in progress", http.StatusServiceUnavailable)
		return
	}
	defer g.bodies.Release(size)
	m, err := readAttempt(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.answer(w, r, m)
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

func (g *generator) answer(w http.ResponseWriter, r *http.Request, m *wire.Attempt) {
	w.Header().Set("Content-Type", "application/octet-stream")
	f := newFramer(w, m)
	if d := lifeOf(m.GetDeadlineMs()); d > 0 && d <= MaxDeadline {
		defer f.interruptAfter(g.clock, d+writeGrace)()
	}
	if err := g.generate(r.Context(), m, f); err != nil {
		f.fail(asRequestError(err))
	}
}

func (g *generator) generate(ctx context.Context, m *wire.Attempt, f *framer) error {
	if err := checkAttempt(m); err != nil {
		return err
	}
	model := gooseberrypass.ID(m.GetModel())
	var asked, digest gooseberrypass.Digest
	copy(asked[:], m.GetWeightsDigest())
	return g.runner.attempt(ctx, task{
		account: gooseberrypass.ID(m.GetAccount()),
		alone:   m.GetAlone(),
		check: func() error {
			var err error
			digest, err = g.gate.admit(model, asked)
			return err
		},
		class:    m.GetModel(),
		cost:     m.GetMaxTokens() - m.GetFrom(),
		digest:   gooseberrypass.Digest(m.GetRequestDigest()),
		id:       m.GetAttemptId(),
		life:     lifeOf(m.GetDeadlineMs()),
		model:    model,
		priority: gooseberrypass.Priority(m.GetPriority()),
		run: func(ctx context.Context, p *progress) error {
			return g.stream(ctx, p, generateOrder(m, digest), f)
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

// stream passes the engine's tokens on. If the answer can't be whole, the caller
// is told first, as the engine may be slow to hear that it is to stop.
func (g *generator) stream(
	ctx context.Context,
	p *progress,
	order gooseberrypass.GenerateOrder,
	f *framer,
) error {
	begun := g.clock.Now()
	tokens, err := g.engine.Generate(ctx, order)
	if err != nil {
		p.cut = cutOff(ctx, err)
		return g.ended(ctx, err)
	}
	defer tokens.Close() //nolint:errcheck // The stream is over either way.
	s := newSequence(order.AttemptID, order.Digest, order.From, order.MaxTokens)
	err = g.pump(ctx, tokens, s, f, begun, p)
	p.cost = int64(s.pieces())
	if err == nil {
		return nil
	}
	err = g.ended(ctx, err)
	f.fail(asRequestError(err))
	g.cancel(ctx, order.AttemptID)
	return err
}

func (g *generator) pump(
	ctx context.Context,
	tokens gooseberrypass.TokenStream,
	s *sequence,
	f *framer,
	begun time.Time,
	p *progress,
) error {
	m := mover{begun: begun, generator: g}
	for !s.ended {
		token, err := tokens.Next()
		if err != nil {
			p.cut = cutOff(ctx, err)
			return unknown(gooseberrypass.ReasonCut, "engine: "+err.Error())
		}
		own, err := s.accept(token)
		if err != nil {
			return err
		}
		if !own {
			g.metrics.strays.Inc()
			continue
		}
		if s.pieces() == 1 {
			g.firstToken(p.waited, begun)
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
	return f.ended(s.end())
}

func (g *generator) firstToken(waited time.Duration, begun time.Time) {
	d := g.clock.Since(begun)
	g.metrics.firstToken.Observe(d.Seconds())
	g.gauge.observe(g.clock.Now(), waited+d)
}

// ended returns the failure of a stream, for which the end of its context
// accounts before anything that followed from it.
func (g *generator) ended(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	e := asRequestError(err)
	return interrupted(ctx, e.Outcome != gooseberrypass.OutcomeNotRun)
}

func (g *generator) cancel(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	// An engine that cannot be told runs the stream to its end unheard.
	_ = g.engine.Cancel(ctx, id)
}
