package cacher

import (
	"context"
	"io"

	"golang.org/x/time/rate"
)

// maxWrite is the maximum size of one write, in bytes.
const maxWrite = 64 << 10

// minRateShare is the share of the bulk rate that remains under full pressure.
const minRateShare = 0.1

// A Pressure reports how much bulk transfers slow down live requests, from 0 for
// not at all to 1 for so much that bulk transfers should almost stop.
type Pressure interface {
	Pressure() float64
}

// A Pacer limits the total rate of all uploads. The rate falls under pressure.
type Pacer struct {
	bulkRate func() int64
	limiter  *rate.Limiter
	pressure Pressure
}

// NewPacer returns a pacer. bulkRate returns the rate without pressure in bytes a
// second, 0 for no limit. pressure may be nil.
func NewPacer(bulkRate func() int64, pressure Pressure) *Pacer {
	return &Pacer{bulkRate: bulkRate, limiter: rate.NewLimiter(rate.Inf, maxWrite), pressure: pressure}
}

// Rate returns the current rate in bytes a second.
func (p *Pacer) Rate() rate.Limit {
	bulk := p.bulkRate()
	if bulk <= 0 {
		return rate.Inf
	}
	share := 1.0
	if p.pressure != nil {
		share = min(1, max(minRateShare, 1-p.pressure.Pressure()))
	}
	return rate.Limit(float64(bulk) * share)
}

// Send writes body at the current rate and returns the number of bytes written.
func (p *Pacer) Send(ctx context.Context, w io.Writer, body []byte) (int64, error) {
	var sent int64
	for len(body) > 0 {
		part := body[:min(len(body), maxWrite)]
		if limit := p.Rate(); limit != p.limiter.Limit() {
			p.limiter.SetLimit(limit)
		}
		if err := p.limiter.WaitN(ctx, len(part)); err != nil {
			return sent, err
		}
		n, err := w.Write(part)
		sent += int64(n)
		if err != nil {
			return sent, err
		}
		body = body[len(part):]
	}
	return sent, nil
}
