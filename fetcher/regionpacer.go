package fetcher

import (
	"context"
	"io"
	"sync"

	"golang.org/x/time/rate"

	"github.com/gooseberrypass/gooseberrypass"
)

// maxPacedRead is the maximum size of one paced read, in bytes.
const maxPacedRead = 32 << 10

// A regionPacer limits the rate at which this instance reads from each other
// region to its share of the link between the regions. All instances of a region
// read about the same amount from other regions, so they share the rate equally.
type regionPacer struct {
	limit rate.Limit // bytes a second for each region
	links map[gooseberrypass.Region]*regionLink
	mu    sync.Mutex
}

// A regionLink is this instance's share of the link to one region. With a rate
// limit, bodies are read one at a time, so that each is complete as early as
// possible.
type regionLink struct {
	limiter *rate.Limiter
	slot    chan struct{}
}

func newRegionPacer() *regionPacer {
	return &regionPacer{limit: rate.Inf, links: map[gooseberrypass.Region]*regionLink{}}
}

// setRate divides regionRate, in bytes a second, equally among the instances of
// this region. 0 means no limit.
func (p *regionPacer) setRate(regionRate int64, instances int) {
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

// link returns the link to a region, and creates it on first use.
func (p *regionPacer) link(region gooseberrypass.Region) *regionLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[region]
	if !ok {
		l = &regionLink{limiter: rate.NewLimiter(p.limit, maxPacedRead), slot: make(chan struct{}, 1)}
		p.links[region] = l
	}
	return l
}

// acquire waits until a body may be read and returns a function that must be
// called after the read. It returns at once without a rate limit.
func (l *regionLink) acquire(ctx context.Context) (func(), error) {
	if l.limiter.Limit() == rate.Inf {
		return func() {}, nil
	}
	select {
	case l.slot <- struct{}{}:
		return func() { <-l.slot }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A pacedReader reads at the rate of a limiter.
type pacedReader struct {
	body    io.Reader
	ctx     context.Context //nolint:containedctx // the reader is used for a single fetch
	limiter *rate.Limiter
}

// Read implements io.Reader.
func (r *pacedReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b[:min(len(b), maxPacedRead)])
	if waitErr := r.limiter.WaitN(r.ctx, n); waitErr != nil {
		return n, waitErr
	}
	return n, err
}
