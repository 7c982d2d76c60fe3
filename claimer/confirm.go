package claimer

import (
	"google.golang.org/protobuf/proto"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/wire"
)

// confirmingRead returns a read of what the log holds now, beside the long poll
// that may be in progress.
func (p *partition) confirmingRead() readEffect {
	return readEffect{clock: p.claimer.clock, from: p.next, log: p.claimer.log, partition: p.index, stream: p.stream()}
}

// handleConfirm rejects the claims of a failed append that the log did not hold
// when it was read after the failure. The others stay until the partition's own
// read applies them in their order.
func (p *partition) handleConfirm(e confirmCompleted) {
	found := claimsIn(e.batch.Records)
	for id, w := range e.waiters {
		if _, ok := found[id]; !ok || e.err != nil {
			p.rejectUnconfirmed(id, w)
		}
	}
}

// claimsIn returns the ids of the claims in records.
func claimsIn(records []gooseberrypass.Record) map[claimID]struct{} {
	found := map[claimID]struct{}{}
	for _, record := range records {
		batch := &wire.ClaimBatch{}
		if proto.Unmarshal(record.Body, batch) != nil {
			continue // counted when the partition's own read applies it
		}
		for _, entry := range batch.GetEntries() {
			if entry.GetKind() == wire.ClaimKind_CLAIM_KIND_CLAIM && len(entry.GetClaimId()) == len(claimID{}) {
				found[claimID(entry.GetClaimId())] = struct{}{}
			}
		}
	}
	return found
}

// rejectUnconfirmed refuses a call whose claim's append failed, unless its claim
// has been read back and decided since. It is never dispatched, whether or not the
// claim reaches the log later, and a release is queued.
func (p *partition) rejectUnconfirmed(id claimID, w *waiter) {
	if p.unresolved[id] != w {
		return
	}
	w.decide(refused(gooseberrypass.ReasonLogDown, "the log of claims took no append"))
	delete(p.unresolved, w.id)
	p.enqueueRelease(w)
}
