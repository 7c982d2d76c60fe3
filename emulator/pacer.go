package emulator

import (
	"context"
	"net/http"

	"golang.org/x/time/rate"

	"github.com/gooseberrypass/gooseberrypass"
)

// pieceSize is how much of a body is paced at once, in bytes.
const pieceSize = 64 << 10

// A pacer shares the rate of one link between the bodies sent over it.
type pacer struct {
	clock   gooseberrypass.Clock
	limiter *rate.Limiter
}

// newPacer returns a pacer of bytesPerSecond, without a limit if it is 0.
func newPacer(clock gooseberrypass.Clock, bytesPerSecond int64) pacer {
	limit := rate.Inf
	if bytesPerSecond > 0 {
		limit = rate.Limit(bytesPerSecond)
	}
	return pacer{clock: clock, limiter: rate.NewLimiter(limit, pieceSize)}
}

// write writes body to w at the pace of the link and returns the bytes written.
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
