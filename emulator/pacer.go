package emulator

import (
	"context"
	"net/http"

	"golang.org/x/time/rate"

	"github.com/gooseberrypass/gooseberrypass"
)

// pieceSize is the number of bytes written between two waits for the rate limit.
const pieceSize = 64 << 10

// A pacer limits the total rate of the bodies sent over one link.
type pacer struct {
	clock   gooseberrypass.Clock
	limiter *rate.Limiter
}

// newPacer returns a pacer with a rate of bytesPerSecond, or no limit if it is 0.
func newPacer(clock gooseberrypass.Clock, bytesPerSecond int64) pacer {
	limit := rate.Inf
	if bytesPerSecond > 0 {
		limit = rate.Limit(bytesPerSecond)
	}
	return pacer{clock: clock, limiter: rate.NewLimiter(limit, pieceSize)}
}

// write writes body to w at the rate of the link and returns the number of bytes
// written.
func (p pacer) write(ctx context.Context, w http.ResponseWriter, body []byte) (int, error) {
	written := 0
	for len(body) > 0 {
		piece := body[:min(len(body), pieceSize)]
		now := p.clock.Now()
		delay := p.limiter.ReserveN(now, len(piece)).DelayFrom(now)
		if err := sleep(ctx, p.clock, delay); err != nil {
			return written, err
		}
		n, err := w.Write(piece)
		written += n
		if err != nil {
			return written, err
		}
		body = body[len(piece):]
	}
	return written, nil
}
