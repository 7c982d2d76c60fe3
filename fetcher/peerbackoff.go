package fetcher

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxDoublings bounds how often the backoff of a peer, or the pause after wrong
// bytes from the origin, is doubled.
const maxDoublings = 5

// peerBackoffs keeps an exponential backoff for each peer that failed recently.
type peerBackoffs struct {
	base     time.Duration
	maxPause time.Duration
	peers    map[gooseberrypass.ID]peerBackoff
}

type peerBackoff struct {
	failures int
	until    time.Time
}

func newPeerBackoffs(base, maxPause time.Duration) *peerBackoffs {
	return &peerBackoffs{base: base, maxPause: maxPause, peers: map[gooseberrypass.ID]peerBackoff{}}
}

// active reports whether a peer is in backoff at now.
func (p *peerBackoffs) active(id gooseberrypass.ID, now time.Time) bool {
	b, ok := p.peers[id]
	return ok && now.Before(b.until)
}

// fail starts the backoff of a peer after a failure, twice as long each time.
func (p *peerBackoffs) fail(id gooseberrypass.ID, now time.Time) {
	b := p.peers[id]
	if now.Before(b.until) {
		return // several transfers report the same failure
	}
	pause := min(p.base<<min(b.failures, maxDoublings), p.maxPause)
	p.peers[id] = peerBackoff{failures: b.failures + 1, until: now.Add(pause)}
}

// clear ends the backoff of a peer after a success.
func (p *peerBackoffs) clear(id gooseberrypass.ID) { delete(p.peers, id) }

// prune removes the peers that are no longer listed.
func (p *peerBackoffs) prune(listed func(gooseberrypass.ID) bool) {
	for id := range p.peers {
		if !listed(id) {
			delete(p.peers, id)
		}
	}
}

// count returns the number of peers in backoff at now.
func (p *peerBackoffs) count(now time.Time) int {
	n := 0
	for id := range p.peers {
		if p.active(id, now) {
			n++
		}
	}
	return n
}
