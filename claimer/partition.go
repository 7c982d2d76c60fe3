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

// The bounds of a partition's queues.
const (
	maxBatch       = 256 // entries of one record
	maxBatchBytes  = 256 << 10
	maxOutgoing    = 8192
	maxWaiting     = 4096
	pruneInterval  = time.Minute
	streamTemplate = "claims-%02d"
)

// A partition is one stream of claims, folded, and what waits for it.
type partition struct {
	appending bool
	caughtUp  bool // read to the end of the stream
	claimer   *Claimer
	down      bool // the last read or append failed
	fold      *fold
	horizon   time.Time // keys made before it cannot be judged
	index     int
	lastRead  time.Time
	next      gooseberrypass.Offset
	outgoing  []outgoing
	overloads int // appends in a row that the log refused for its rate
	pruned    time.Time
	reading   bool
	retryAt   time.Time // of appends, after one failed
	tickets   map[claimID]*ticket
	waiting   map[key][]*ticket // for the outcome of another claim
}

func newPartition(c *Claimer, index int) *partition {
	return &partition{
		claimer: c,
		fold:    newFold(),
		index:   index,
		next:    1,
		tickets: map[claimID]*ticket{},
		waiting: map[key][]*ticket{},
	}
}

func (p *partition) stream() gooseberrypass.Stream {
	return gooseberrypass.Stream(fmt.Sprintf(streamTemplate, p.index))
}

// request decides a new ticket, or lets it wait for its claim.
func (p *partition) request(now time.Time, t *ticket) {
	if p.down || !p.caughtUp {
		t.decide(refused(gooseberrypass.ReasonLogDown, "the log of claims cannot be read now"))
		return
	}
	if keyTime(t.key).Before(p.horizon) {
		t.decide(refused(gooseberrypass.ReasonKeyExpired, "the log no longer tells whether the key was used"))
		return
	}
	state, known := p.fold.keys[t.key]
	if known && state.held() {
		p.meet(t, state)
		return
	}
	full := len(p.outgoing) >= maxOutgoing || len(p.tickets) >= maxWaiting
	if full || !known && (len(p.fold.keys) >= maxKeys || now.Before(p.fold.overflow)) {
		t.decide(refused(gooseberrypass.ReasonOverloaded, "too many claims at once"))
		return
	}
	p.claim(t)
}

func (p *partition) claim(t *ticket) {
	p.tickets[t.id] = t
	p.outgoing = append(p.outgoing, outgoing{
		entry: &wire.ClaimEntry{
			Account:       string(t.account),
			ClaimId:       t.id[:],
			Key:           t.key[:],
			Kind:          wire.ClaimKind_CLAIM_KIND_CLAIM,
			RequestDigest: t.digest[:],
		},
		ticket: t,
	})
}

// meet decides a ticket whose key another claim holds.
func (p *partition) meet(t *ticket, state *keyState) {
	t.elsewhere.Store(true)
	switch {
	case state.digest != t.digest || state.account != t.account:
		t.decide(verdict{kind: verdictConflict})
	case state.recorded != 0:
		t.decide(recordedVerdict(state))
	case len(p.waiting[t.key]) >= maxWaiting:
		t.decide(verdict{kind: verdictRefused, err: &gooseberrypass.RequestError{
			Detail: "the key's call is under way and too many wait for it",
			Reason: gooseberrypass.ReasonOverloaded,
		}})
	default:
		p.waiting[t.key] = append(p.waiting[t.key], t)
	}
}

func recordedVerdict(state *keyState) verdict {
	return verdict{
		account:  state.account,
		holder:   state.holder,
		kind:     verdictRecorded,
		outcome:  state.outcome,
		recorded: state.recorded,
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

// abandon gives up a ticket that will not be dispatched. If its claim may
// stand in the log, a release follows it.
func (p *partition) abandon(t *ticket) {
	t.over = true
	p.dropWaiting(t)
	if _, ok := p.tickets[t.id]; !ok && t.appended == 0 {
		return
	}
	p.drop(t)
	p.release(t)
}

func (p *partition) dropWaiting(t *ticket) {
	waiting := p.waiting[t.key]
	for i, w := range waiting {
		if w == t {
			p.waiting[t.key] = append(waiting[:i:i], waiting[i+1:]...)
			break
		}
	}
	if len(p.waiting[t.key]) == 0 {
		delete(p.waiting, t.key)
	}
}

// drop forgets a ticket, and its claim if that has not been sent.
func (p *partition) drop(t *ticket) {
	delete(p.tickets, t.id)
	for i, o := range p.outgoing {
		if o.ticket == t {
			p.outgoing = append(p.outgoing[:i:i], p.outgoing[i+1:]...)
			return
		}
	}
}

func (p *partition) release(t *ticket) {
	p.send(outgoing{entry: &wire.ClaimEntry{ClaimId: t.id[:], Key: t.key[:], Kind: wire.ClaimKind_CLAIM_KIND_RELEASE}})
}

// send queues a release or an outcome. Where the queue is full the entry is
// lost, which leaves the key's outcome unknown for good but nothing to run.
func (p *partition) send(o outgoing) {
	if len(p.outgoing) >= maxOutgoing {
		p.claimer.metrics.lost.Inc()
		return
	}
	p.outgoing = append(p.outgoing, o)
}

// appended notes the answer to an append.
func (p *partition) appended(now time.Time, e appendEnded) {
	p.appending = false
	if e.err == nil {
		for _, o := range e.entries {
			if o.ticket != nil {
				o.ticket.appended = e.offset
			}
			if o.done != nil {
				close(o.done)
			}
		}
		p.overloads = 0
		return
	}
	p.claimer.metrics.appendsFailed.Inc()
	if errors.Is(e.err, gooseberrypass.ErrLogOverloaded) {
		p.sendAgain(now, e.entries)
		return
	}
	p.retryAt = now.Add(retryPause)
	var again []outgoing
	for _, o := range e.entries {
		if o.ticket == nil {
			again = append(again, o)
			continue
		}
		p.giveUp(o.ticket)
	}
	p.outgoing = append(again, p.outgoing...)
}

// sendAgain queues entries that the log certainly did not take, for its rate.
// The pause doubles as long as the log refuses, so that batches grow and the
// appends of all entries together come down to what the log takes. A claim
// waits in the queue until its request's deadline.
func (p *partition) sendAgain(now time.Time, entries []outgoing) {
	p.retryAt = now.Add(min(overloadPause<<min(p.overloads, maxOverloads), maxOverloadPause))
	p.overloads++
	again := make([]outgoing, 0, len(entries)+len(p.outgoing))
	for _, o := range entries {
		if o.ticket == nil || !o.ticket.over {
			again = append(again, o)
		}
	}
	p.outgoing = append(again, p.outgoing...)
}

// giveUp refuses a claim whose append failed. It is never dispatched, whether
// or not its record stands in the log.
func (p *partition) giveUp(t *ticket) {
	if t.over {
		return
	}
	t.decide(refused(gooseberrypass.ReasonLogDown, "the log of claims took no append"))
	delete(p.tickets, t.id)
	p.release(t)
}

// read folds in the records that were read and decides the tickets they settle.
func (p *partition) read(now time.Time, e readEnded) {
	p.reading = false
	var trimmed *gooseberrypass.TrimmedError
	switch {
	case errors.As(e.err, &trimmed):
		p.trimmed(now, trimmed)
		return
	case e.err != nil:
		p.setDown(true, e.err)
		return
	case !dense(e.batch, p.next):
		p.setDown(true, errors.Errorf("records do not follow offset %d", p.next))
		return
	}
	p.setDown(false, nil)
	p.lastRead = now
	for _, record := range e.batch.Records {
		p.foldRecord(record)
	}
	if p.next >= e.batch.Next {
		p.caughtUp = true
	}
	if now.Sub(p.pruned) >= pruneInterval {
		p.prune(now)
	}
}

// prune forgets keys that are refused for their age. They stay refused if the
// retention is raised later.
func (p *partition) prune(now time.Time) {
	p.pruned = now
	before := now.Add(-p.claimer.retention() - margin(p.claimer.retention()))
	p.fold.prune(before)
	if before.After(p.horizon) {
		p.horizon = before
	}
}

// dense reports whether a batch goes on at next without a gap.
func dense(b gooseberrypass.Batch, next gooseberrypass.Offset) bool {
	for i, r := range b.Records {
		if r.Offset != next+gooseberrypass.Offset(i) {
			return false
		}
	}
	return b.Next >= next+gooseberrypass.Offset(len(b.Records))
}

func (p *partition) foldRecord(record gooseberrypass.Record) {
	p.next = record.Offset + 1
	batch := &wire.ClaimBatch{}
	if err := proto.Unmarshal(record.Body, batch); err != nil {
		p.claimer.metrics.badRecords.Inc()
		return
	}
	for _, entry := range batch.GetEntries() {
		k, ok := p.fold.apply(entry, record.Offset, record.Time, p.claimer.retention())
		if !ok {
			continue
		}
		p.settleOwn(entry, k, record.Time)
		p.wake(k)
	}
}

// settleOwn decides the ticket whose own claim was just read back.
func (p *partition) settleOwn(entry *wire.ClaimEntry, k key, written time.Time) {
	if entry.GetKind() != wire.ClaimKind_CLAIM_KIND_CLAIM {
		return
	}
	t, ok := p.tickets[claimID(entry.GetClaimId())]
	if !ok {
		return
	}
	delete(p.tickets, t.id)
	t.appended = max(t.appended, 1)
	state := p.fold.keys[k]
	switch {
	case state.holder != t.id:
		p.meetOrClaim(t, state)
	case written.Sub(keyTime(k)) > p.claimer.retention()-margin(p.claimer.retention()):
		t.decide(refused(gooseberrypass.ReasonKeyExpired, "the key is too old by the log's clock"))
		p.release(t)
	default:
		t.decide(verdict{kind: verdictWon})
	}
}

// meetOrClaim decides a ticket by what the log says of its key: another holds
// it, or it has become free and is claimed anew.
func (p *partition) meetOrClaim(t *ticket, state *keyState) {
	if state.held() {
		p.meet(t, state)
		return
	}
	if t.over {
		return
	}
	t.id = newClaimID()
	t.appended = 0
	t.elsewhere.Store(false)
	p.claim(t)
}

// wake decides those that wait for the outcome of a key.
func (p *partition) wake(k key) {
	waiting, ok := p.waiting[k]
	if !ok {
		return
	}
	state := p.fold.keys[k]
	if state.held() && state.recorded == 0 {
		return
	}
	delete(p.waiting, k)
	for _, t := range waiting {
		p.meetOrClaim(t, state)
	}
}

// trimmed goes on at the first record kept. Records that were never read are
// gone: if that came sooner than the retention allows, keys made until now
// cannot be judged.
func (p *partition) trimmed(now time.Time, e *gooseberrypass.TrimmedError) {
	p.claimer.metrics.trims.Inc()
	if p.caughtUp && now.Sub(p.lastRead) < p.claimer.retention() {
		p.horizon = now.Add(skew(p.claimer.retention()))
		p.logger().WithField("first", e.First).Error("log lost claims before their retention ended, refusing keys made until now")
	}
	if e.First <= p.next {
		p.setDown(true, errors.Errorf("log answers as trimmed to %d at offset %d", e.First, p.next))
		return
	}
	p.next = e.First
	p.caughtUp = false
	p.lastRead = now
}

func (p *partition) setDown(down bool, cause error) {
	if down == p.down {
		return
	}
	p.down = down
	if down {
		p.logger().WithError(cause).Warn("log of claims is down, refusing calls that may not be repeated")
		return
	}
	p.logger().Info("log of claims is up")
}

func (p *partition) logger() logrus.FieldLogger {
	return p.claimer.logger.WithField("stream", p.stream())
}

// effects returns the read and the append that are due.
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
			entries:   p.takeBatch(),
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
		wait:      readWait,
	}
	if p.down {
		e.pause = retryPause
	}
	if p.down || !p.caughtUp {
		e.wait = 0
	}
	return e
}

func (p *partition) takeBatch() []outgoing {
	n, size := 0, 0
	for n < len(p.outgoing) && n < maxBatch {
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
