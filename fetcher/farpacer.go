package fetcher

import (
	"context"
	"io"
	"sync"

	"golang.org/x/time/rate"

	"github.com/gooseberrypass/gooseberrypass"
)

// farPiece is the most that is read at once from another region, in bytes.
const farPiece = 32 << 10

// A farPacer holds what this instance takes from each other region under its
// share of the link between the two. All instances of a region take about
// equally much from outside, so each may take an equal share of the rate.
type farPacer struct {
	limit rate.Limit
	links map[gooseberrypass.Region]*farLink
	mu    sync.Mutex
}

// A farLink is the share of the link to one region. One body at a time is read
// over it under a limit, so that each is there as soon as may be.
type farLink struct {
	limiter *rate.Limiter
	turn    chan struct{}
}

func newFarPacer() *farPacer {
	return &farPacer{limit: rate.Inf, links: map[gooseberrypass.Region]*farLink{}}
}

// setRate shares regionRate bytes a second among a region's instances; 0 is no
// limit.
func (p *farPacer) setRate(regionRate int64, instances int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = rate.Inf
	if regionRate > 0 {
		p.limit = rate.Limit(float64(regionRate) / float64(max(instances, 1)))
	}
	for _, l := range p.links {
		l.limiter.SetLimit(p.limit)
	}
}

// link returns the link to a region.
func (p *farPacer) link(region gooseberrypass.Region) *farLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[region]
	if !ok {
		l = &farLink{limiter: rate.NewLimiter(p.limit, farPiece), turn: make(chan struct{}, 1)}
		p.links[region] = l
	}
	return l
}

// begin waits for the turn to read a body and returns what ends the turn.
// Without a limit all have their turn at once.
func (l *farLink) begin(ctx context.Context) (func(), error) {
	if l.limiter.Limit() == rate.Inf {
		return func() {}, nil
	}
	select {
	case l.turn <- struct{}{}:
		return func() { <-l.turn }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A pacedReader reads as fast as a limiter allows.
type pacedReader struct {
	body    io.Reader
	ctx     context.Context //nolint:containedctx // of the one read it is made for
	limiter *rate.Limiter
}

// Read implements io.Reader.
func (r *pacedReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b[:min(len(b), farPiece)])
	if wait := r.limiter.WaitN(r.ctx, n); wait != nil {
		return n, wait
	}
	return n, err
}
