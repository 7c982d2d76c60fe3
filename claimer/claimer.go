// Package claimer runs non-idempotent calls at most once. Each call appends a
// claim on its idempotency key to the platform's log before it is dispatched.
// The claim with the lowest offset for a key wins, and no other claim ever takes
// the key over from it.
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

// DefaultPartitions is the number of log streams that claims are distributed
// over by the hash of their key. All processes must use the same number.
const DefaultPartitions = 4

// Limits of one call.
const (
	maxRecordedBytes = 16 << 10         // largest answer stored in the log
	maxAnswerBytes   = 32 << 20         // largest answer accepted from a service
	recordTimeout    = 2 * time.Second  // for the log to confirm an outcome
	verdictTimeout   = 10 * time.Second // for the verdict on a claim, including the outcome of an earlier call
)

// A Claimer is the filter that claims the keys of non-idempotent calls, and the
// controller that appends claims to the log and reads them back. Requests run on
// goroutines of their own; all state of the claims belongs to the control loop.
type Claimer struct {
	clock      gooseberrypass.Clock
	config     gooseberrypass.ConfigSource
	log        gooseberrypass.Log
	logger     logrus.FieldLogger
	metrics    *metrics
	partitions []*partition
	post       func(gooseberrypass.Event)
}

// New returns a claimer that distributes claims over the given number of
// streams. post hands events to the control loop that runs the claimer.
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
		p := c.partition(e.waiter.key)
		p.requestClaim(now, e.waiter)
		return p.effects(now)
	case claimAbandoned:
		p := c.partition(e.waiter.key)
		p.abandon(e.waiter)
		return p.effects(now)
	case callCompleted:
		p := c.partition(key(e.entry.GetKey()))
		p.enqueue(outgoing{done: e.done, entry: e.entry})
		return p.effects(now)
	case lookupRequested:
		e.result <- c.partition(e.key).keyStatus(e.key)
		return nil
	case appendCompleted:
		p := c.partitions[e.partition]
		effects := p.handleAppend(now, e)
		return append(effects, p.effects(now)...)
	case confirmCompleted:
		p := c.partitions[e.partition]
		p.handleConfirm(e)
		return p.effects(now)
	case readCompleted:
		p := c.partitions[e.partition]
		p.handleRead(now, e)
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

func (p *partition) keyStatus(k key) keyStatus {
	status := keyStatus{complete: p.caughtUp && !p.unavailable && !keyTime(k).Before(p.minKeyTime)}
	if state, ok := p.claimTable.keys[k]; ok {
		status.state = *state
	}
	return status
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
	w := &waiter{account: req.AccountID(), digest: req.Digest(), id: newClaimID(), key: k, verdict: make(chan verdict, 1)}
	c.post(claimRequested{waiter: w})
	v, err := c.awaitVerdict(ctx, w)
	if err != nil {
		return err
	}
	c.metrics.verdicts.WithLabelValues(v.String()).Inc()
	switch v.kind {
	case verdictWon:
		return c.dispatch(ctx, w, req, answer, next)
	case verdictConflict:
		return &gooseberrypass.RequestError{
			Detail:  "the idempotency key came with another request before",
			Outcome: gooseberrypass.OutcomeNotRun,
			Reason:  gooseberrypass.ReasonKeyConflict,
		}
	case verdictRecorded:
		return c.deliverRecorded(ctx, k, v, answer)
	default:
		return v.err
	}
}

// checkKey parses an idempotency key. It returns an error for a key that is not
// a UUIDv7, is so old that the log may have deleted its claims, or was created
// in the future.
func (c *Claimer) checkKey(text string) (key, error) {
	k, created, err := parseKey(text)
	if err != nil {
		return key{}, keyError(gooseberrypass.ReasonBadRequest, err.Error())
	}
	retention := c.retention()
	age := c.clock.Now().Sub(created)
	if age > retention-expiryMargin(retention) {
		return key{}, keyError(gooseberrypass.ReasonKeyExpired, "the key is too old: whether it was used is no longer known")
	}
	if age < -maxClockSkew(retention) {
		return key{}, keyError(gooseberrypass.ReasonBadRequest, "the key's time lies in the future")
	}
	return k, nil
}

func keyError(reason gooseberrypass.Reason, detail string) error {
	return &gooseberrypass.RequestError{Detail: detail, Outcome: gooseberrypass.OutcomeNotRun, Reason: reason}
}

// awaitVerdict waits for the verdict on a call's claim. A call whose wait ends
// without a verdict is never dispatched.
func (c *Claimer) awaitVerdict(ctx context.Context, w *waiter) (verdict, error) {
	timer := c.clock.NewTimer(verdictTimeout)
	defer timer.Stop()
	select {
	case v := <-w.verdict:
		return v, nil
	case <-ctx.Done():
	case <-timer.Chan():
	}
	c.post(claimAbandoned{waiter: w})
	if w.heldByOther.Load() {
		return verdict{}, &gooseberrypass.RequestError{
			Detail: "the key is claimed by an earlier request whose outcome is not known",
			Reason: gooseberrypass.ReasonDeadline,
		}
	}
	return verdict{}, keyError(gooseberrypass.ReasonDeadline, "the claim was not settled in time and is given up")
}

// dispatch makes the call after its claim has won, unless its deadline has
// passed, and records the outcome in the log before it answers the caller. It
// finishes even if the caller disconnects, as the caller may look the outcome up
// later.
func (c *Claimer) dispatch(ctx context.Context, w *waiter, req *gooseberrypass.Request, answer gooseberrypass.Answer, next gooseberrypass.Handler) error {
	remaining := req.Deadline().Sub(c.clock.Now())
	if ctx.Err() != nil || remaining <= 0 {
		c.post(claimAbandoned{waiter: w})
		return keyError(gooseberrypass.ReasonDeadline, "the deadline passed before the call was made")
	}
	ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), c.clock, remaining)
	defer cancel()
	buffered := &bufferedAnswer{}
	err := next.Handle(ctx, req, buffered)
	if err == nil && !buffered.ended {
		err = &gooseberrypass.RequestError{Detail: "the answer ended without its end marker", Reason: gooseberrypass.ReasonCut}
	}
	c.record(ctx, w, buffered.body, err)
	if err != nil {
		return err
	}
	return deliver(answer, buffered.body)
}

// record appends the outcome of a call, or a release of its key if the call
// certainly did not run. It waits for the log to confirm the entry until
// recordTimeout or the deadline.
func (c *Claimer) record(ctx context.Context, w *waiter, body []byte, err error) {
	done := make(chan struct{})
	c.post(callCompleted{done: done, entry: outcomeEntry(w, body, err)})
	timer := c.clock.NewTimer(recordTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

func outcomeEntry(w *waiter, body []byte, err error) *wire.ClaimEntry {
	entry := &wire.ClaimEntry{ClaimId: w.id[:], Key: w.key[:], Kind: wire.ClaimKind_CLAIM_KIND_OUTCOME}
	var failure *gooseberrypass.RequestError
	switch {
	case err == nil:
		entry.Outcome = gooseberrypass.OutcomeAnswered.String()
		entry.Body = body
		if len(body) > maxRecordedBytes {
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

// deliverRecorded answers a repeated call with the outcome recorded in the log.
func (c *Claimer) deliverRecorded(ctx context.Context, k key, v verdict, answer gooseberrypass.Answer) error {
	entry, err := c.readOutcome(ctx, k, v.holder, v.outcomeOffset)
	if err != nil {
		return unreadableError(v.outcome, err)
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

// unreadableError returns the error for a call whose outcome is known but whose
// record could not be read from the log.
func unreadableError(outcome gooseberrypass.Outcome, err error) error {
	return &gooseberrypass.RequestError{
		Detail:     "the key's call ended as " + outcome.String() + ", but its record cannot be read now: " + err.Error(),
		Reason:     gooseberrypass.ReasonLogDown,
		RetryAfter: time.Second,
	}
}

// readOutcome reads the outcome recorded for a claim at an offset of the log.
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

// A bufferedAnswer keeps an answer in memory until its outcome is recorded.
type bufferedAnswer struct {
	body  []byte
	ended bool
}

// Start implements gooseberrypass.Answer.
func (*bufferedAnswer) Start(gooseberrypass.Digest) error { return nil }

// Write implements gooseberrypass.Answer.
func (b *bufferedAnswer) Write(piece []byte) error {
	if len(b.body)+len(piece) > maxAnswerBytes {
		return errors.Errorf("answer longer than %d bytes", maxAnswerBytes)
	}
	b.body = append(b.body, piece...)
	return nil
}

// End implements gooseberrypass.Answer.
func (b *bufferedAnswer) End() error {
	b.ended = true
	return nil
}

var (
	_ gooseberrypass.Answer     = (*bufferedAnswer)(nil)
	_ gooseberrypass.Controller = (*Claimer)(nil)
	_ gooseberrypass.Filter     = (*Claimer)(nil)
)
