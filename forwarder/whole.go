package forwarder

import (
	"io"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// deliverWhole delivers an answer once it is complete, also when it is late. A longer answer
// than MaxBufferedAnswer is delivered as it arrives after that many bytes, within the time
// limit: the endpoint may never send the rest, whatever length it has declared.
func (r *request) deliverWhole(a *attempt) *failure {
	a.begun()
	if a.bodyEnded {
		a.limit.stop()
	}
	r.wholeBegun = !a.bodyEnded
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
			return a.connectionFailure(&gooseberrypass.DispatchError{Err: errors.Wrap(err, "read body"), Sent: true})
		}
	}
}
