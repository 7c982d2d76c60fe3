package claimer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// Timeouts and delays of log requests.
const (
	appendTimeout          = 2 * time.Second
	maxOverloadBackoff     = 2 * time.Second
	initialOverloadBackoff = 100 * time.Millisecond // doubled each time the log refuses an append for its rate
	readTimeoutMargin      = 2 * time.Second
	longPollWait           = 5 * time.Second
	retryDelay             = 500 * time.Millisecond
)

// maxOverloadDoublings limits how often the backoff is doubled, so that the shift
// cannot overflow; maxOverloadBackoff limits its length.
const maxOverloadDoublings = 5

// A verdictKind is the result of a claim.
type verdictKind int

const (
	verdictWon      verdictKind = iota // the claim holds the key: make the call
	verdictConflict                    // the key was used for a different request
	verdictRecorded                    // the key's call has completed and its outcome is recorded
	verdictRefused                     // the call is not made
)

// A verdict is the decision of the control loop on a waiting call. holder,
// outcome and outcomeOffset locate the record of verdictRecorded; err is the error
// of verdictRefused.
type verdict struct {
	account       gooseberrypass.ID
	err           *gooseberrypass.RequestError
	holder        claimID
	kind          verdictKind
	outcome       gooseberrypass.Outcome
	outcomeOffset gooseberrypass.Offset
}

// A waiter is a call that waits for the verdict on its claim.
type waiter struct {
	account      gooseberrypass.ID
	appendOffset gooseberrypass.Offset // offset of the claim's record, 0 until the append is confirmed
	closed       bool                  // a verdict was sent, or the caller stopped waiting
	digest       gooseberrypass.Digest
	heldByOther  atomic.Bool // the key is held by an earlier claim
	id           claimID
	key          key
	verdict      chan verdict
}

func (w *waiter) decide(v verdict) {
	if w.closed {
		return
	}
	w.closed = true
	w.verdict <- v
}

// claimRequested is the event that a call needs a claim.
type claimRequested struct{ waiter *waiter }

// EventName implements gooseberrypass.Event.
func (claimRequested) EventName() string { return "claim-requested" }

// claimAbandoned is the event that a call will not be dispatched, so that its
// claim must be released.
type claimAbandoned struct{ waiter *waiter }

// EventName implements gooseberrypass.Event.
func (claimAbandoned) EventName() string { return "claim-abandoned" }

// callCompleted is the event that a dispatched call has completed. entry is its
// outcome or release; done is closed once the log has confirmed the entry.
type callCompleted struct {
	done  chan struct{}
	entry *wire.ClaimEntry
}

// EventName implements gooseberrypass.Event.
func (callCompleted) EventName() string { return "call-ended" }

// lookupRequested is the event that a caller asks for the state of a key.
type lookupRequested struct {
	result chan keyStatus
	key    key
}

// EventName implements gooseberrypass.Event.
func (lookupRequested) EventName() string { return "key-lookup" }

// A keyStatus is the result of a key lookup.
type keyStatus struct {
	complete bool // no claim of the key can be missing from state
	state    keyState
}

// appendCompleted is the event that an append succeeded or failed.
type appendCompleted struct {
	entries   []outgoing
	err       error
	offset    gooseberrypass.Offset
	partition int
}

// EventName implements gooseberrypass.Event.
func (appendCompleted) EventName() string { return "claims-appended" }

// readCompleted is the event that a read succeeded or failed.
type readCompleted struct {
	batch     gooseberrypass.Batch
	err       error
	partition int
}

// EventName implements gooseberrypass.Event.
func (readCompleted) EventName() string { return "claims-read" }

// An outgoing is an entry that is queued for an append.
type outgoing struct {
	done   chan struct{} // closed when the log has confirmed the entry; may be nil
	entry  *wire.ClaimEntry
	waiter *waiter // set for claims only
}

// An appendEffect appends entries to the log as one record.
type appendEffect struct {
	clock     gooseberrypass.Clock
	entries   []outgoing
	log       gooseberrypass.Log
	partition int
	stream    gooseberrypass.Stream
}

// EffectName implements gooseberrypass.Effect.
func (appendEffect) EffectName() string { return "claims-append" }

// Run implements gooseberrypass.Effect.
func (e appendEffect) Run(ctx context.Context) gooseberrypass.Event {
	completed := appendCompleted{entries: e.entries, partition: e.partition}
	batch := &wire.ClaimBatch{}
	for _, o := range e.entries {
		batch.Entries = append(batch.Entries, o.entry)
	}
	body, err := proto.Marshal(batch)
	if err != nil {
		completed.err = errors.Wrap(err, "encode claims")
		return completed
	}
	ctx, cancel := clockwork.WithTimeout(ctx, e.clock, appendTimeout)
	defer cancel()
	completed.offset, completed.err = e.log.Append(ctx, e.stream, body)
	return completed
}

// A readEffect reads the next records of a partition after a delay, waiting up to
// wait for the first.
type readEffect struct {
	clock     gooseberrypass.Clock
	delay     time.Duration
	from      gooseberrypass.Offset
	log       gooseberrypass.Log
	partition int
	stream    gooseberrypass.Stream
	wait      time.Duration
}

// EffectName implements gooseberrypass.Effect.
func (readEffect) EffectName() string { return "claims-read" }

// Run implements gooseberrypass.Effect.
func (e readEffect) Run(ctx context.Context) gooseberrypass.Event {
	if e.delay > 0 {
		timer := e.clock.NewTimer(e.delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return readCompleted{err: ctx.Err(), partition: e.partition}
		case <-timer.Chan():
		}
	}
	return e.complete(ctx)
}

// complete reads without the delay.
func (e readEffect) complete(ctx context.Context) readCompleted {
	ctx, cancel := clockwork.WithTimeout(ctx, e.clock, e.wait+readTimeoutMargin)
	defer cancel()
	batch, err := e.log.Read(ctx, e.stream, e.from, e.wait)
	return readCompleted{batch: batch, err: err, partition: e.partition}
}

// confirmCompleted is the event that the read after a failed append has ended.
type confirmCompleted struct {
	readCompleted
	waiters map[claimID]*waiter // by the claim that the append carried
}

// EventName implements gooseberrypass.Event.
func (confirmCompleted) EventName() string { return "claims-confirmed" }

// A confirmEffect reads the log after a failed append, to find out whether the
// claims of the append are in it.
type confirmEffect struct {
	read    readEffect
	waiters map[claimID]*waiter
}

// EffectName implements gooseberrypass.Effect.
func (confirmEffect) EffectName() string { return "claims-confirm" }

// Run implements gooseberrypass.Effect.
func (e confirmEffect) Run(ctx context.Context) gooseberrypass.Event {
	return confirmCompleted{readCompleted: e.read.complete(ctx), waiters: e.waiters}
}
