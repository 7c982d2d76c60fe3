package listener

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// acceptRest is how long connections are accepted after a stop, for those that the
// kernel has established already.
const acceptRest = 10 * time.Millisecond

// An acceptor is a listener that can be stopped without the loss of connections that
// wait to be accepted.
type acceptor struct {
	net.Listener
	conns    *connections
	limits   *Limits
	stopping atomic.Bool
}

// Accept implements net.Listener.
func (a *acceptor) Accept() (net.Conn, error) {
	for {
		c, err := a.Listener.Accept()
		switch {
		case err == nil && !a.conns.makeRoom():
			turnAway(c)
		case err == nil:
			limitBuffers(c, a.limits)
			return &conn{Conn: c, limits: a.limits}, nil
		case a.stopping.Load():
			return nil, net.ErrClosed
		default:
			return nil, err //nolint:wrapcheck // net/http retries a net.Error
		}
	}
}

// stop makes Accept return net.ErrClosed once no connection waits to be accepted.
func (a *acceptor) stop() error {
	a.stopping.Store(true)
	lis, ok := a.Listener.(interface {
		SetDeadline(deadline time.Time) error
	})
	if ok && lis.SetDeadline(time.Now().Add(acceptRest)) == nil {
		return nil
	}
	return errors.Wrap(a.Close(), "close the listener")
}
