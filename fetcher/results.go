package fetcher

import (
	"math/bits"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// Finish handles the outcome of a fetch.
func (p *Planner) Finish(now time.Time, out Outcome) {
	t, ok := p.transfers[out.ID]
	if !ok {
		return
	}
	delete(p.transfers, out.ID)
	p.inFlight[t.fetch.Kind]--
	t.item.inFlight = false
	if out.Result == ResultOK {
		p.succeed(now, t, out)
		return
	}
	switch t.fetch.Kind {
	case SourceSameRegion, SourceCrossRegion:
		p.failPeer(now, t, out)
	case SourceStore:
		p.failStore(now, t, out)
	case SourceOrigin:
		p.failOrigin(now, t, out)
	}
	if out.Result == ResultNoRoom {
		t.item.err = "chunk memory full"
		t.item.retryAt = now.Add(p.jitter(noRoomPause))
	}
}

func (p *Planner) succeed(now time.Time, t *transfer, out Outcome) {
	it := t.item
	p.estimates[t.fetch.Kind].observe(out.Took)
	p.adaptWindow(out.Took)
	p.itemTimes.observe(now.Sub(it.waitingSince))
	p.sourceBackoffs[t.fetch.Kind] = sourceBackoff{}
	p.peerBackoffs.clear(t.fetch.Peer.ID)
	counted := it.held // as it was stored when the wanted versions or the limit changed
	it.held, it.err, it.skipUntil = true, "", nil
	if it.yielded {
		it.yielded, p.pins = false, nil
	}
	if counted || p.items[it.Digest] != it {
		return
	}
	for _, v := range p.versions {
		p.markHeld(v, it)
	}
}

// markHeld updates a version after an item has arrived. After its manifest it
// loads the list of chunks.
func (p *Planner) markHeld(v *version, it *item) {
	if it.Manifest && v.want.Digest == it.Digest && v.manifest == nil {
		p.loadManifest(v, nil)
		p.Activate()
		return
	}
	if v.manifest == nil || it.Manifest {
		return
	}
	for _, other := range v.items[max(v.first, 1):] {
		if other == it {
			v.missing--
			return
		}
	}
}

func (p *Planner) failPeer(now time.Time, t *transfer, out Outcome) {
	it, id := t.item, t.fetch.Peer.ID
	if t.fetch.probe && (out.Result == ResultBusy || out.Result == ResultNotHeld || out.Result == ResultPending) {
		it.skip(id, now.Add(p.settings.SkipPause))
		it.retryAt = now.Add(p.jitter(probePause))
		return
	}
	switch out.Result {
	case ResultBusy:
		it.busyAnswers++
		it.retryAt = now.Add(p.jitter(max(out.RetryAfter, busyPause)))
		if it.busyAnswers >= maxBusyAnswers {
			it.busyAnswers = 0
			it.skip(id, now.Add(p.settings.SkipPause))
		}
	case ResultNotHeld:
		p.failNotHeld(now, it, id)
	case ResultPending:
		timeout := p.pendingTimeout(t.rank)
		if now.Sub(it.waitingSince) > timeout {
			pause := timeout
			if p.settings.PendingPause > 0 {
				pause = p.settings.PendingPause
			}
			it.skip(id, now.Add(pause))
			it.waitingSince = now
		}
	case ResultCorrupt, ResultUnreachable:
		p.peerBackoffs.fail(id, now)
		it.skip(id, now.Add(p.settings.SkipPause))
	case ResultTimeout:
		p.adaptWindow(out.Took)
		p.estimates[t.fetch.Kind].inflate()
		p.peerBackoffs.fail(id, now)
		it.skip(id, now.Add(p.settings.SkipPause))
	default:
	}
}

// failNotHeld handles the answer of a peer that neither holds nor wants an item. A
// peer that does not know of the version yet is asked again, and so is one that
// may have learned of it after it answered.
func (p *Planner) failNotHeld(now time.Time, it *item, id gooseberrypass.ID) {
	_, lagging := p.lagging[it.owner][id]
	if !lagging {
		it.notHeldAnswers++
	}
	if it.notHeldAnswers < maxNotHeldAnswers && now.Sub(it.waitingSince) < lagTimeout {
		it.retryAt = now.Add(p.jitter(lagRetryPause))
		return
	}
	it.notHeldAnswers = 0
	it.skip(id, now.Add(p.settings.SkipPause))
}

// pendingTimeout returns how long this instance waits for peers that do not hold an
// item yet. It grows with the depth in the distribution tree, so that only the
// instance directly below a stuck peer turns to another source, and those further
// down keep waiting for that instance.
func (p *Planner) pendingTimeout(rank int) time.Duration {
	wait := p.settings.Wait
	return p.itemTimes.typical(initialPendingWaits*wait, wait, p.settings.MaxTimeout) * time.Duration(1+bits.Len(uint(rank)))
}

func (p *Planner) failStore(now time.Time, t *transfer, out Outcome) {
	t.item.storeTried = true
	switch out.Result {
	case ResultBusy, ResultTimeout, ResultUnreachable, ResultCorrupt:
		p.backOff(now, SourceStore, out.RetryAfter)
	default:
	}
}

func (p *Planner) failOrigin(now time.Time, t *transfer, out Outcome) {
	it := t.item
	it.storeTried = false
	it.seederTries = 0
	switch out.Result {
	case ResultCorrupt:
		it.mismatches++
		pause := p.settings.MismatchBackoffBase << min(max(it.mismatches-mismatchThreshold, 0), maxDoublings)
		if it.mismatches < mismatchThreshold {
			pause = p.settings.SourceBackoffBase
		} else {
			it.err = "origin's bytes do not match the pinned digest"
		}
		it.retryAt = now.Add(p.jitter(min(pause, p.settings.MismatchBackoffMax)))
	case ResultBusy, ResultTimeout, ResultUnreachable, ResultNotHeld:
		if out.Bytes == 0 {
			it.originReads--
		}
		if out.Result == ResultNotHeld {
			it.err = "origin has no such version"
		}
		p.backOff(now, SourceOrigin, out.RetryAfter)
	default:
	}
}

// backOff pauses reads from the weight store or the origin, for at least the given
// duration.
func (p *Planner) backOff(now time.Time, kind SourceKind, least time.Duration) {
	b := &p.sourceBackoffs[kind]
	if now.Before(b.until) {
		return
	}
	b.until = now.Add(max(least, p.jitter(min(p.settings.SourceBackoffBase<<min(b.failures, 2*maxDoublings), p.settings.SourceBackoffMax))))
	b.failures++
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (p *Planner) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.rng.Int64N(int64(d)+1))
}
