package keeper

import (
	"context"
	"io"

	"golang.org/x/time/rate"
)

// pieceSize is the most that is sent at once, in bytes.
const pieceSize = 64 << 10

// minShare is the share of the bulk rate that is left under full pressure.
const minShare = 0.1

// A Pressure tells how much live requests suffer: 0 not at all, 1 so much that
// bulk transfers should all but stop.
type Pressure interface {
	Pressure() float64
}

// A Pacer holds the bytes sent by all uploads together under a rate that
// shrinks under pressure.
type Pacer struct {
	limiter  *rate.Limiter
	pressure Pressure
	rate     func() int64
}

// NewPacer returns a pacer for bulk bytes a second; a rate of 0 is no limit.
// pressure may be nil.
func NewPacer(bulkRate func() int64, pressure Pressure) *Pacer {
	return &Pacer{limiter: rate.NewLimiter(rate.Inf, pieceSize), pressure: pressure, rate: bulkRate}
}

// Rate returns the bytes a second that may be sent now.
func (p *Pacer) Rate() rate.Limit {
	bulk := p.rate()
	if bulk <= 0 {
		return rate.Inf
	}
	share := 1.0
	if p.pressure != nil {
		share = min(1, max(minShare, 1-p.pressure.Pressure()))
	}
	return rate.Limit(float64(bulk) * share)
}

// Send writes body in pieces as the rate allows.
func (p *Pacer) Send(ctx context.Context, w io.Writer, body []byte) (int64, error) {
	var sent int64
	for len(body) > 0 {
		piece := body[:min(len(body), pieceSize)]
		if limit := p.Rate(); limit != p.limiter.Limit() {
			p.limiter.SetLimit(limit)
		}
		if err := p.limiter.WaitN(ctx, len(piece)); err != nil {
			return sent, err
		}
		n, err := w.Write(piece)
		sent += int64(n)
		if err != nil {
			return sent, err
		}
		body = body[len(piece):]
	}
	return sent, nil
}
