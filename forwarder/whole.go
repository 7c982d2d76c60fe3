package forwarder

import (
	"context"
	"io"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// deliverWhole delivers an answer once it is complete. A longer answer than
// MaxBufferedAnswer is delivered as it arrives after that many bytes.
func (r *request) deliverWhole(a *attempt) *failure {
	a.begun()
	a.limit.stop()
	if !a.bodyEnded && a.reply.Header.Get("Content-Length") == "" {
		a.limit.reset(r.timeLeft(), context.DeadlineExceeded) // the rest may have no end
	}
	r.start(a.reply)
	if err := r.w.Write(a.body); err != nil {
		return &failure{err: unknown(gooseberrypass.ReasonCut, err.Error()), result: balancer.ResultAnswered}
	}
	if a.bodyEnded {
		return nil
	}
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := a.reply.Body.Read(buf)
		if n > 0 {
			if err := r.w.Write(buf[:n]); err != nil {
				return &failure{err: unknown(gooseberrypass.ReasonCut, err.Error()), result: balancer.ResultAnswered}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &failure{err: unknown(gooseberrypass.ReasonCut, err.Error()), result: balancer.ResultFailed}
		}
	}
}
