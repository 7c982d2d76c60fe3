// Package claimer runs calls that may not be repeated at most once, by claims
// in the platform's log: the claim with the lowest offset for a key wins, and
// is never taken over.
package claimer

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// DefaultPartitions is the number of streams that claims are spread over. All
// processes must use the same number.
const DefaultPartitions = 4

// The bounds of one call.
const (
	maxRecordedBody = 16 << 10 // bytes of an answer that the log keeps
	maxAnswer       = 32 << 20 // bytes of an answer
	recordLimit     = 2 * time.Second
	waitLimit       = 10 * time.Second // for the outcome of another claim
)

// A Claimer is the filter that claims calls which may not be repeated, and the
// controller of the claims.
type Claimer struct {
	clock      gooseberrypass.Clock
	config     gooseberrypass.ConfigSource
	log        gooseberrypass.Log
	logger     logrus.FieldLogger
	metrics    *metrics
	partitions []*partition
	post       func(gooseberrypass.Event)
}

// New returns a claimer over the given number of partitions of the log. post
// hands events to the control loop that runs the claimer.
func New(
	clock gooseberrypass.Clock,
	config gooseberrypass.ConfigSource,
	log gooseberrypass.Log,
	partitions int,
	post func(gooseberrypass.Event),
	registerer prometheus.Registerer,
	logger logrus.FieldLogger,
) (*Claimer, error) {
	m, err := newMetrics(registerer)
	if err != nil {
		return nil, err
	}
	c := &Claimer{clock: clock, config: config, log: log, logger: logger, metrics: m, post: post}
	for i := range partitions {
		c.partitions = append(c.partitions, newPartition(c, i))
	}
	return c, nil
}

func (c *Claimer) partition(k key) *partition {
	return c.partitions[xxhash.Sum64(k[:])%uint64(len(c.partitions))]
}

func (c *Claimer) retention() time.Duration {
	cfg := c.config.Config()
	if cfg == nil {
		return 0
	}
	return cfg.System().ClaimRetention()
}

// Handle implements gooseberrypass.Controller.
func (c *Claimer) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case claimRequested:
		p := c.partition(e.ticket.key)
		p.request(now, e.ticket)
		return p.effects(now)
	case claimAbandoned:
		p := c.partition(e.ticket.key)
		p.abandon(e.ticket)
		return p.effects(now)
	case callEnded:
		p := c.partition(key(e.entry.GetKey()))
		p.send(outgoing{done: e.done, entry: e.entry})
		return p.effects(now)
	case lookupRequested:
		e.answer <- c.partition(e.key).lookup(e.key)
		return nil
	case appendEnded:
		p := c.partitions[e.partition]
		p.appended(now, e)
		return p.effects(now)
	case readEnded:
		p := c.partitions[e.partition]
		p.read(now, e)
		return p.effects(now)
	case gooseberrypass.Tick:
		var effects []gooseberrypass.Effect
		for _, p := range c.partitions {
			effects = append(effects, p.effects(now)...)
		}
		return effects
	default:
		return nil
	}
}

func (p *partition) lookup(k key) lookup {
	l := lookup{known: p.caughtUp && !p.down && !keyTime(k).Before(p.horizon)}
	if state, ok := p.fold.keys[k]; ok {
		l.state = *state
	}
	return l
}

// Wrap implements gooseberrypass.Filter.
func (c *Claimer) Wrap(next gooseberrypass.Handler) gooseberrypass.Handler {
	return gooseberrypass.HandlerFunc(func(ctx context.Context, req *gooseberrypass.Request, answer gooseberrypass.Answer) error {
		if req.Kind() != gooseberrypass.RequestCall || req.Repeatable() {
			return next.Handle(ctx, req, answer)
		}
		return c.handle(ctx, req, answer, next)
	})
}

func (c *Claimer) handle(ctx context.Context, req *gooseberrypass.Request, answer gooseberrypass.Answer, next gooseberrypass.Handler) error {
	k, err := c.checkKey(req.Key())
	if err != nil {
		return err
	}
	t := &ticket{account: req.AccountID(), digest: req.Digest(), id: newClaimID(), key: k, verdict: make(chan verdict, 1)}
	c.post(claimRequested{ticket: t})
	v, err := c.await(ctx, t)
	if err != nil {
		return err
	}
	c.metrics.verdicts.WithLabelValues(v.String()).Inc()
	switch v.kind {
	case verdictWon:
		return c.dispatch(ctx, t, req, answer, next)
	case verdictConflict:
		return &gooseberrypass.RequestError{
			Detail:  "the idempotency key came with another request before",
			Outcome: gooseberrypass.OutcomeNotRun,
			Reason:  gooseberrypass.ReasonKeyConflict,
		}
	case verdictRecorded:
		return c.replay(ctx, k, v, answer)
	default:
		return v.err
	}
}

// checkKey refuses keys that are no UUIDv7, too old for the log to remember
// their claims, or from the future.
func (c *Claimer) checkKey(text string) (key, error) {
	k, made, err := parseKey(text)
	if err != nil {
		return key{}, keyError(gooseberrypass.ReasonBadRequest, err.Error())
	}
	retention := c.retention()
	age := c.clock.Now().Sub(made)
	if age > retention-margin(retention) {
		return key{}, keyError(gooseberrypass.ReasonKeyExpired, "the key is too old: whether it was used is no longer known")
	}
	if age < -skew(retention) {
		return key{}, keyError(gooseberrypass.ReasonBadRequest, "the key's time lies in the future")
	}
	return k, nil
}

func keyError(reason gooseberrypass.Reason, detail string) error {
	return &gooseberrypass.RequestError{Detail: detail, Outcome: gooseberrypass.OutcomeNotRun, Reason: reason}
}

// await waits for the verdict on a ticket. A ticket it gives up on is never
// dispatched.
func (c *Claimer) await(ctx context.Context, t *ticket) (verdict, error) {
	timer := c.clock.NewTimer(waitLimit)
	defer timer.Stop()
	select {
	case v := <-t.verdict:
		return v, nil
	case <-ctx.Done():
	case <-timer.Chan():
	}
	c.post(claimAbandoned{ticket: t})
	if t.elsewhere.Load() {
		return verdict{}, &gooseberrypass.RequestError{
			Detail: "the key is claimed by an earlier request whose outcome is not known",
			Reason: gooseberrypass.ReasonDeadline,
		}
	}
	return verdict{}, keyError(gooseberrypass.ReasonDeadline, "the claim was not settled in time and is given up")
}

// dispatch makes the call of a claim that won, unless its time has passed
// meanwhile, and records what became of it before the caller is told. It does
// so also if the caller leaves, who may ask for the outcome later.
func (c *Claimer) dispatch(ctx context.Context, t *ticket, req *gooseberrypass.Request, answer gooseberrypass.Answer, next gooseberrypass.Handler) error {
	left := req.Deadline().Sub(c.clock.Now())
	if ctx.Err() != nil || left <= 0 {
		c.post(claimAbandoned{ticket: t})
		return keyError(gooseberrypass.ReasonDeadline, "the deadline passed before the call was made")
	}
	ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), c.clock, left)
	defer cancel()
	held := &heldAnswer{}
	err := next.Handle(ctx, req, held)
	if err == nil && !held.ended {
		err = &gooseberrypass.RequestError{Detail: "the answer ended without its end marker", Reason: gooseberrypass.ReasonCut}
	}
	c.record(ctx, t, held.body, err)
	if err != nil {
		return err
	}
	return deliver(answer, held.body)
}

// record appends the outcome, or a release if the call certainly did not run,
// and waits a while for the log to hold it.
func (c *Claimer) record(ctx context.Context, t *ticket, body []byte, err error) {
	done := make(chan struct{})
	c.post(callEnded{done: done, entry: outcomeEntry(t, body, err)})
	timer := c.clock.NewTimer(recordLimit)
	defer timer.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

func outcomeEntry(t *ticket, body []byte, err error) *wire.ClaimEntry {
	entry := &wire.ClaimEntry{ClaimId: t.id[:], Key: t.key[:], Kind: wire.ClaimKind_CLAIM_KIND_OUTCOME}
	var failure *gooseberrypass.RequestError
	switch {
	case err == nil:
		entry.Outcome = gooseberrypass.OutcomeAnswered.String()
		entry.Body = body
		if len(body) > maxRecordedBody {
			entry.Body = nil
			entry.BodyOmitted = true
		}
	case errors.As(err, &failure) && failure.Outcome == gooseberrypass.OutcomeNotRun:
		entry.Kind = wire.ClaimKind_CLAIM_KIND_RELEASE
	case failure != nil:
		entry.Outcome = failure.Outcome.String()
		entry.Reason = string(failure.Reason)
		entry.Detail = failure.Detail
	default:
		entry.Outcome = gooseberrypass.OutcomeUnknown.String()
		entry.Detail = err.Error()
	}
	return entry
}

// replay gives a repeated call the outcome that the log holds.
func (c *Claimer) replay(ctx context.Context, k key, v verdict, answer gooseberrypass.Answer) error {
	entry, err := c.readOutcome(ctx, k, v.holder, v.recorded)
	if err != nil {
		return unreadable(v.outcome, err)
	}
	if v.outcome != gooseberrypass.OutcomeAnswered {
		return &gooseberrypass.RequestError{Detail: entry.GetDetail(), Reason: gooseberrypass.Reason(entry.GetReason())}
	}
	if entry.GetBodyOmitted() {
		return &gooseberrypass.RequestError{
			Detail: "the key's call was answered, but the answer was too long to be kept",
			Reason: gooseberrypass.ReasonUpstream,
		}
	}
	return deliver(answer, entry.GetBody())
}

// unreadable is the failure to tell an outcome whose record cannot be read.
func unreadable(outcome gooseberrypass.Outcome, err error) error {
	return &gooseberrypass.RequestError{
		Detail:     "the key's call ended as " + outcome.String() + ", but its record cannot be read now: " + err.Error(),
		Reason:     gooseberrypass.ReasonLogDown,
		RetryAfter: time.Second,
	}
}

// readOutcome reads a recorded outcome back from the log.
func (c *Claimer) readOutcome(ctx context.Context, k key, holder claimID, at gooseberrypass.Offset) (*wire.ClaimEntry, error) {
	batch, err := c.log.Read(ctx, c.partition(k).stream(), at, 0)
	if err != nil {
		return nil, err
	}
	for _, record := range batch.Records {
		claims := &wire.ClaimBatch{}
		if record.Offset != at || proto.Unmarshal(record.Body, claims) != nil {
			continue
		}
		for _, entry := range claims.GetEntries() {
			if entry.GetKind() == wire.ClaimKind_CLAIM_KIND_OUTCOME && string(entry.GetClaimId()) == string(holder[:]) {
				return entry, nil
			}
		}
	}
	return nil, errors.Errorf("no outcome at offset %d", at)
}

func deliver(answer gooseberrypass.Answer, body []byte) error {
	if err := answer.Start(gooseberrypass.Digest{}); err != nil {
		return err
	}
	if err := answer.Write(body); err != nil {
		return err
	}
	return answer.End()
}

// A heldAnswer keeps an answer until its outcome is recorded.
type heldAnswer struct {
	body  []byte
	ended bool
}

// Start implements gooseberrypass.Answer.
func (*heldAnswer) Start(gooseberrypass.Digest) error { return nil }

// Write implements gooseberrypass.Answer.
func (h *heldAnswer) Write(piece []byte) error {
	if len(h.body)+len(piece) > maxAnswer {
		return errors.Errorf("answer longer than %d bytes", maxAnswer)
	}
	h.body = append(h.body, piece...)
	return nil
}

// End implements gooseberrypass.Answer.
func (h *heldAnswer) End() error {
	h.ended = true
	return nil
}

var (
	_ gooseberrypass.Answer     = (*heldAnswer)(nil)
	_ gooseberrypass.Controller = (*Claimer)(nil)
	_ gooseberrypass.Filter     = (*Claimer)(nil)
)
