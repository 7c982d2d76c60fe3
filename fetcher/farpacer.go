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
	mu       sync.Mutex
	limit    rate.Limit
	limiters map[gooseberrypass.Region]*rate.Limiter
}

func newFarPacer() *farPacer {
	return &farPacer{limit: rate.Inf, limiters: map[gooseberrypass.Region]*rate.Limiter{}}
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
	for _, l := range p.limiters {
		l.SetLimit(p.limit)
	}
}

// reader returns body, read no faster than the link's share allows.
func (p *farPacer) reader(ctx context.Context, region gooseberrypass.Region, body io.Reader) io.Reader {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.limiters[region]
	if !ok {
		l = rate.NewLimiter(p.limit, farPiece)
		p.limiters[region] = l
	}
	return &pacedReader{body: body, ctx: ctx, limiter: l}
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
