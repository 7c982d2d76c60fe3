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

// The waits for the log.
const (
	appendLimit      = 2 * time.Second
	maxOverloadPause = 2 * time.Second
	overloadPause    = 100 * time.Millisecond // doubled at each refusal
	readSlack        = 2 * time.Second
	readWait         = 5 * time.Second
	retryPause       = 500 * time.Millisecond
)

// maxOverloads bounds the doublings of overloadPause.
const maxOverloads = 5

// A verdictKind says how a claim ended.
type verdictKind int

const (
	verdictWon      verdictKind = iota // this claim holds the key
	verdictConflict                    // the key came with another request
	verdictRecorded                    // the key's call has ended
	verdictRefused                     // the call will not be made
)

// A verdict is the answer of the control goroutine to a ticket.
type verdict struct {
	account  gooseberrypass.ID
	err      *gooseberrypass.RequestError
	holder   claimID
	kind     verdictKind
	outcome  gooseberrypass.Outcome
	recorded gooseberrypass.Offset
}

// A ticket is one request that waits for its claim.
type ticket struct {
	account   gooseberrypass.ID
	appended  gooseberrypass.Offset // 0 until the append was answered
	digest    gooseberrypass.Digest
	elsewhere atomic.Bool // another claim holds the key
	id        claimID
	key       key
	over      bool // has its verdict, or was abandoned
	verdict   chan verdict
}

func (t *ticket) decide(v verdict) {
	if t.over {
		return
	}
	t.over = true
	t.verdict <- v
}

// A claimRequested asks for a claim.
type claimRequested struct{ ticket *ticket }

// EventName implements gooseberrypass.Event.
func (claimRequested) EventName() string { return "claim-requested" }

// A claimAbandoned tells that a claim will not be dispatched.
type claimAbandoned struct{ ticket *ticket }

// EventName implements gooseberrypass.Event.
func (claimAbandoned) EventName() string { return "claim-abandoned" }

// A callEnded tells what became of a dispatched claim. done is closed once the
// log holds it.
type callEnded struct {
	done  chan struct{}
	entry *wire.ClaimEntry
}

// EventName implements gooseberrypass.Event.
func (callEnded) EventName() string { return "call-ended" }

// A lookupRequested asks what is known of a key.
type lookupRequested struct {
	answer chan lookup
	key    key
}

// EventName implements gooseberrypass.Event.
func (lookupRequested) EventName() string { return "key-lookup" }

// A lookup is what is known of a key.
type lookup struct {
	known bool // the log was read to its end
	state keyState
}

// An appendEnded is the event that an append was answered or not.
type appendEnded struct {
	entries   []outgoing
	err       error
	offset    gooseberrypass.Offset
	partition int
}

// EventName implements gooseberrypass.Event.
func (appendEnded) EventName() string { return "claims-appended" }

// A readEnded is the event that a read was answered or not.
type readEnded struct {
	batch     gooseberrypass.Batch
	err       error
	partition int
}

// EventName implements gooseberrypass.Event.
func (readEnded) EventName() string { return "claims-read" }

// An outgoing is one entry to be appended.
type outgoing struct {
	done   chan struct{} // closed when the log holds the entry, may be nil
	entry  *wire.ClaimEntry
	ticket *ticket // of a claim
}

// An appendEffect appends entries as one record.
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
	ended := appendEnded{entries: e.entries, partition: e.partition}
	batch := &wire.ClaimBatch{}
	for _, o := range e.entries {
		batch.Entries = append(batch.Entries, o.entry)
	}
	body, err := proto.Marshal(batch)
	if err != nil {
		ended.err = errors.Wrap(err, "encode claims")
		return ended
	}
	ctx, cancel := clockwork.WithTimeout(ctx, e.clock, appendLimit)
	defer cancel()
	ended.offset, ended.err = e.log.Append(ctx, e.stream, body)
	return ended
}

// A readEffect reads the next records of a partition.
type readEffect struct {
	clock     gooseberrypass.Clock
	from      gooseberrypass.Offset
	log       gooseberrypass.Log
	partition int
	pause     time.Duration
	stream    gooseberrypass.Stream
	wait      time.Duration
}

// EffectName implements gooseberrypass.Effect.
func (readEffect) EffectName() string { return "claims-read" }

// Run implements gooseberrypass.Effect.
func (e readEffect) Run(ctx context.Context) gooseberrypass.Event {
	if e.pause > 0 {
		timer := e.clock.NewTimer(e.pause)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return readEnded{err: ctx.Err(), partition: e.partition}
		case <-timer.Chan():
		}
	}
	ctx, cancel := clockwork.WithTimeout(ctx, e.clock, e.wait+readSlack)
	defer cancel()
	batch, err := e.log.Read(ctx, e.stream, e.from, e.wait)
	return readEnded{batch: batch, err: err, partition: e.partition}
}
