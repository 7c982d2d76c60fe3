package claimer

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// Limits and intervals of a partition.
const (
	maxBatchEntries  = 256       // per record
	maxBatchBytes    = 256 << 10 // per record
	maxQueuedEntries = 8192
	maxWaiters       = 4096
	pruneInterval    = time.Minute
	streamTemplate   = "claims-%02d"
)

// A partition replays one stream of claims and queues the appends to it.
type partition struct {
	appending      bool
	caughtUp       bool // the stream has been read to its end
	claimer        *Claimer
	claimTable     *claimTable
	index          int
	lastRead       time.Time
	minKeyTime     time.Time // keys created earlier are refused: their claims may be deleted
	next           gooseberrypass.Offset
	outgoing       []outgoing
	prunedAt       time.Time
	reading        bool
	refusedAppends int       // consecutive appends that the log refused for its rate
	retryAt        time.Time // earliest time of the next append, after one failed
	unavailable    bool      // the last read failed
	unresolved     map[claimID]*waiter
	waiting        map[key][]*waiter // for the outcome of an earlier call with the same key
}

func newPartition(c *Claimer, index int) *partition {
	return &partition{
		claimer:    c,
		claimTable: newClaimTable(),
		index:      index,
		next:       1,
		unresolved: map[claimID]*waiter{},
		waiting:    map[key][]*waiter{},
	}
}

func (p *partition) stream() gooseberrypass.Stream {
	return gooseberrypass.Stream(fmt.Sprintf(streamTemplate, p.index))
}

// requestClaim decides a new call at once if the key's state allows it, or else
// queues its claim.
func (p *partition) requestClaim(now time.Time, w *waiter) {
	if p.unavailable || !p.caughtUp {
		w.decide(refused(gooseberrypass.ReasonLogDown, "the log of claims cannot be read now"))
		return
	}
	if keyTime(w.key).Before(p.minKeyTime) {
		w.decide(refused(gooseberrypass.ReasonKeyExpired, "the log no longer tells whether the key was used"))
		return
	}
	state, known := p.claimTable.keys[w.key]
	if known && state.held() {
		p.resolveHeld(w, state)
		return
	}
	full := len(p.outgoing) >= maxQueuedEntries || len(p.unresolved) >= maxWaiters
	if full || !known && (len(p.claimTable.keys) >= maxKeys || now.Before(p.claimTable.fullUntil)) {
		w.decide(refused(gooseberrypass.ReasonOverloaded, "too many claims at once"))
		return
	}
	p.enqueueClaim(w)
}

func (p *partition) enqueueClaim(w *waiter) {
	p.unresolved[w.id] = w
	p.outgoing = append(p.outgoing, outgoing{
		entry: &wire.ClaimEntry{
			Account:       string(w.account),
			ClaimId:       w.id[:],
			Key:           w.key[:],
			Kind:          wire.ClaimKind_CLAIM_KIND_CLAIM,
			RequestDigest: w.digest[:],
		},
		waiter: w,
	})
}

// resolveHeld decides a call whose key is held by another claim, or lets it wait
// for the outcome of that one.
func (p *partition) resolveHeld(w *waiter, state *keyState) {
	w.heldByOther.Store(true)
	switch {
	case state.digest != w.digest || state.account != w.account:
		w.decide(verdict{kind: verdictConflict})
	case state.outcomeOffset != 0:
		w.decide(recordedVerdict(state))
	case len(p.waiting[w.key]) >= maxWaiters:
		w.decide(verdict{kind: verdictRefused, err: &gooseberrypass.RequestError{
			Detail: "the key's call is under way and too many wait for it",
			Reason: gooseberrypass.ReasonOverloaded,
		}})
	default:
		p.waiting[w.key] = append(p.waiting[w.key], w)
	}
}

func recordedVerdict(state *keyState) verdict {
	return verdict{
		account:       state.account,
		holder:        state.holder,
		kind:          verdictRecorded,
		outcome:       state.outcome,
		outcomeOffset: state.outcomeOffset,
	}
}

func refused(reason gooseberrypass.Reason, detail string) verdict {
	return verdict{kind: verdictRefused, err: &gooseberrypass.RequestError{
		Detail:     detail,
		Outcome:    gooseberrypass.OutcomeNotRun,
		Reason:     reason,
		RetryAfter: time.Second,
	}}
}

// abandon removes a call that will not be dispatched. If its claim may be in the
// log, a release is queued.
func (p *partition) abandon(w *waiter) {
	w.closed = true
	p.removeWaiting(w)
	if _, ok := p.unresolved[w.id]; !ok && w.appendOffset == 0 {
		return
	}
	p.removeUnresolved(w)
	p.enqueueRelease(w)
}

func (p *partition) removeWaiting(w *waiter) {
	waiting := p.waiting[w.key]
	for i, other := range waiting {
		if other == w {
			p.waiting[w.key] = append(waiting[:i:i], waiting[i+1:]...)
			break
		}
	}
	if len(p.waiting[w.key]) == 0 {
		delete(p.waiting, w.key)
	}
}

// removeUnresolved removes a call, and its claim if that has not been sent.
func (p *partition) removeUnresolved(w *waiter) {
	delete(p.unresolved, w.id)
	for i, o := range p.outgoing {
		if o.waiter == w {
			p.outgoing = append(p.outgoing[:i:i], p.outgoing[i+1:]...)
			return
		}
	}
}

func (p *partition) enqueueRelease(w *waiter) {
	p.enqueue(outgoing{entry: &wire.ClaimEntry{ClaimId: w.id[:], Key: w.key[:], Kind: wire.ClaimKind_CLAIM_KIND_RELEASE}})
}

// enqueue queues a release or an outcome. If the queue is full, the entry is
// dropped: the key's outcome stays unknown for good, but no call runs twice.
func (p *partition) enqueue(o outgoing) {
	if len(p.outgoing) >= maxQueuedEntries {
		p.claimer.metrics.droppedEntries.Inc()
		return
	}
	p.outgoing = append(p.outgoing, o)
}

// handleAppend handles the result of an append. Releases and outcomes of a failed
// append are queued again. Its claims may be in the log nevertheless, so a read
// decides about them.
func (p *partition) handleAppend(now time.Time, e appendCompleted) []gooseberrypass.Effect {
	p.appending = false
	if e.err == nil {
		for _, o := range e.entries {
			if o.waiter != nil {
				o.waiter.appendOffset = e.offset
			}
			if o.done != nil {
				close(o.done)
			}
		}
		p.refusedAppends = 0
		return nil
	}
	p.claimer.metrics.appendsFailed.Inc()
	if errors.Is(e.err, gooseberrypass.ErrLogOverloaded) {
		p.requeue(now, e.entries)
		return nil
	}
	p.retryAt = now.Add(retryDelay)
	var again []outgoing
	unconfirmed := map[claimID]*waiter{}
	for _, o := range e.entries {
		switch {
		case o.waiter == nil:
			again = append(again, o)
		case !o.waiter.closed:
			unconfirmed[o.waiter.id] = o.waiter
		}
	}
	p.outgoing = append(again, p.outgoing...)
	if len(unconfirmed) == 0 {
		return nil
	}
	return []gooseberrypass.Effect{confirmEffect{read: p.confirmingRead(), waiters: unconfirmed}}
}

// requeue puts entries that the log refused for its rate back at the head of the
// queue; they certainly were not appended. The backoff doubles while the log keeps
// refusing, so that batches grow and the appends of all processes together come
// down to the rate that the log accepts. A claim stays queued until its caller
// stops waiting.
func (p *partition) requeue(now time.Time, entries []outgoing) {
	p.retryAt = now.Add(min(initialOverloadBackoff<<min(p.refusedAppends, maxOverloadDoublings), maxOverloadBackoff))
	p.refusedAppends++
	again := make([]outgoing, 0, len(entries)+len(p.outgoing))
	for _, o := range entries {
		if o.waiter == nil || !o.waiter.closed {
			again = append(again, o)
		}
	}
	p.outgoing = append(again, p.outgoing...)
}

// handleRead applies the records of a read and decides the calls that they settle.
func (p *partition) handleRead(now time.Time, e readCompleted) {
	p.reading = false
	var trimmed *gooseberrypass.TrimmedError
	switch {
	case errors.As(e.err, &trimmed):
		p.handleTrim(now, trimmed)
		return
	case e.err != nil:
		p.setUnavailable(true, e.err)
		return
	case !contiguous(e.batch, p.next):
		p.setUnavailable(true, errors.Errorf("gap in records read from offset %d", p.next))
		return
	}
	p.setUnavailable(false, nil)
	p.lastRead = now
	for _, record := range e.batch.Records {
		p.applyRecord(record)
	}
	if p.next >= e.batch.Next {
		p.caughtUp = true
	}
	if now.Sub(p.prunedAt) >= pruneInterval {
		p.prune(now)
	}
}

// prune deletes the keys that are refused as expired. minKeyTime keeps them refused
// even if the retention is raised later.
func (p *partition) prune(now time.Time) {
	p.prunedAt = now
	before := now.Add(-p.claimer.retention() - expiryMargin(p.claimer.retention()))
	p.claimTable.prune(before)
	if before.After(p.minKeyTime) {
		p.minKeyTime = before
	}
}

// contiguous reports whether a batch starts at next and has no gaps.
func contiguous(b gooseberrypass.Batch, next gooseberrypass.Offset) bool {
	for i, r := range b.Records {
		if r.Offset != next+gooseberrypass.Offset(i) {
			return false
		}
	}
	return b.Next >= next+gooseberrypass.Offset(len(b.Records))
}

func (p *partition) applyRecord(record gooseberrypass.Record) {
	p.next = record.Offset + 1
	batch := &wire.ClaimBatch{}
	if err := proto.Unmarshal(record.Body, batch); err != nil {
		p.claimer.metrics.badRecords.Inc()
		return
	}
	for _, entry := range batch.GetEntries() {
		k, ok := p.claimTable.apply(entry, record.Offset, record.Time, p.claimer.retention())
		if !ok {
			continue
		}
		p.resolveOwnClaim(entry, k, record.Time)
		p.resolveWaiting(k)
	}
}

// resolveOwnClaim decides the call whose own claim has just been read back.
func (p *partition) resolveOwnClaim(entry *wire.ClaimEntry, k key, written time.Time) {
	if entry.GetKind() != wire.ClaimKind_CLAIM_KIND_CLAIM {
		return
	}
	w, ok := p.unresolved[claimID(entry.GetClaimId())]
	if !ok {
		return
	}
	delete(p.unresolved, w.id)
	w.appendOffset = max(w.appendOffset, 1)
	state := p.claimTable.keys[k]
	switch {
	case state.holder != w.id:
		p.resolveOrReclaim(w, state)
	case written.Sub(keyTime(k)) > p.claimer.retention()-expiryMargin(p.claimer.retention()):
		w.decide(refused(gooseberrypass.ReasonKeyExpired, "the key is too old by the log's clock"))
		p.enqueueRelease(w)
	default:
		w.decide(verdict{kind: verdictWon})
	}
}

// resolveOrReclaim decides a call whose key is held by another claim. If the key
// has become free, it queues a new claim.
func (p *partition) resolveOrReclaim(w *waiter, state *keyState) {
	if state.held() {
		p.resolveHeld(w, state)
		return
	}
	if w.closed {
		return
	}
	w.id = newClaimID()
	w.appendOffset = 0
	w.heldByOther.Store(false)
	p.enqueueClaim(w)
}

// resolveWaiting decides the calls that wait for a key whose outcome is now
// recorded or which was released.
func (p *partition) resolveWaiting(k key) {
	waiting, ok := p.waiting[k]
	if !ok {
		return
	}
	state := p.claimTable.keys[k]
	if state.held() && state.outcomeOffset == 0 {
		return
	}
	delete(p.waiting, k)
	for _, w := range waiting {
		p.resolveOrReclaim(w, state)
	}
}

// handleTrim continues at the first record that the log still has. Records were
// deleted unread. If that happened before the end of their retention, their claims
// are unknown, so keys created until now are refused.
func (p *partition) handleTrim(now time.Time, e *gooseberrypass.TrimmedError) {
	p.claimer.metrics.trims.Inc()
	if p.caughtUp && now.Sub(p.lastRead) < p.claimer.retention() {
		p.minKeyTime = now.Add(maxClockSkew(p.claimer.retention()))
		p.logger().WithField("first", e.First).Error("log deleted claims before their retention ended; refusing keys created until now")
	}
	if e.First <= p.next {
		p.setUnavailable(true, errors.Errorf("log reported a trim to offset %d for a read from offset %d", e.First, p.next))
		return
	}
	p.next = e.First
	p.caughtUp = false
	p.lastRead = now
}

func (p *partition) setUnavailable(unavailable bool, cause error) {
	if unavailable == p.unavailable {
		return
	}
	p.unavailable = unavailable
	if unavailable {
		p.logger().WithError(cause).Warn("claim log is unavailable; refusing non-idempotent calls")
		return
	}
	p.logger().Info("claim log is available again")
}

func (p *partition) logger() logrus.FieldLogger {
	return p.claimer.logger.WithField("stream", p.stream())
}

// effects returns the next read and append unless they are in progress. The append
// also waits for the end of its backoff.
func (p *partition) effects(now time.Time) []gooseberrypass.Effect {
	var effects []gooseberrypass.Effect
	if !p.reading {
		p.reading = true
		effects = append(effects, p.readEffect())
	}
	if !p.appending && len(p.outgoing) > 0 && !now.Before(p.retryAt) {
		p.appending = true
		effects = append(effects, appendEffect{
			clock:     p.claimer.clock,
			entries:   p.nextBatch(),
			log:       p.claimer.log,
			partition: p.index,
			stream:    p.stream(),
		})
	}
	return effects
}

func (p *partition) readEffect() readEffect {
	e := readEffect{
		clock:     p.claimer.clock,
		from:      p.next,
		log:       p.claimer.log,
		partition: p.index,
		stream:    p.stream(),
		wait:      longPollWait,
	}
	if p.unavailable {
		e.delay = retryDelay
	}
	if p.unavailable || !p.caughtUp {
		e.wait = 0
	}
	return e
}

func (p *partition) nextBatch() []outgoing {
	n, size := 0, 0
	for n < len(p.outgoing) && n < maxBatchEntries {
		size += proto.Size(p.outgoing[n].entry)
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	batch := p.outgoing[:n:n]
	p.outgoing = append([]outgoing(nil), p.outgoing[n:]...)
	return batch
}
