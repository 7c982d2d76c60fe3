package listener

import (
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass/reserver"
)

// Reasons for which connections of callers are closed or turned away.
const (
	ReasonConnEvicted  = "connection_evicted"
	ReasonConnRefused  = "connection_refused"
	ReasonHeadMemory   = "head_memory"
	ReasonHeadTimeout  = "head_timeout"
	ReasonHeadTooLarge = "head_too_large"
)

// connBuffer is the size of the kernel's send and receive buffers of a limited connection, in
// bytes. They are memory of the machine too, and grow to megabytes for a caller that does not
// read. Twice the size is a round trip of 25 ms at 80 Mbit/s.
const connBuffer = 128 << 10

// headSlack is how far a head may exceed its limit, in bytes, as the begin of a body may be
// read with it. net/http has the same slack.
const headSlack = 4 << 10

// HeadLimits are limits of the head of a request, which apply where they are tighter than
// those of each server. 0 is no limit.
type HeadLimits struct {
	Bytes int
	Time  time.Duration // from the first byte
}

// Limits protect a server from callers that nobody controls.
type Limits struct {
	GiveUpLate func() bool         // makes a busy connection end whose request will not arrive in time, returns false if there is none; nil for none
	Head       func() HeadLimits   // limits in force
	Logger     logrus.FieldLogger  // of changes of state
	MaxConns   int                 // open connections
	Memory     *reserver.Budget    // for heads with many fields, nil for no bound
	OnFull     func() bool         // makes a busy connection end, returns false if it cannot
	Refused    func(reason string) // counts connections that are closed or turned away
}

var errHeadTooLarge = errors.New("head of the request is too large")

// Read implements net.Conn. It limits the time, the size and the memory of the head of a
// request.
func (c *conn) Read(p []byte) (int, error) {
	if c.limits == nil || c.busy.Load() {
		return c.Conn.Read(p)
	}
	if err := c.limitHead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.busy.Load() {
		if c.headAt.Load() == nil {
			now := time.Now()
			c.headAt.Store(&now)
		}
		c.countHead(p[:n])
		if c.reserveHead() != nil {
			return 0, c.refuseHead()
		}
	}
	switch {
	case c.headTimedOut(err) && c.headGivenUp():
		return 0, c.refuseHead()
	case c.headTimedOut(err):
		c.limits.Refused(ReasonHeadTimeout)
	}
	return n, err
}

// limitHead sets the deadline of a head that has begun to arrive, and returns an error if it
// is too large.
func (c *conn) limitHead() error {
	at := c.headAt.Load()
	if at == nil {
		return nil
	}
	limit := c.limits.Head()
	if limit.Bytes > 0 && c.headBytes.Load() >= int64(limit.Bytes+headSlack) {
		c.limits.Refused(ReasonHeadTooLarge)
		return errHeadTooLarge
	}
	if limit.Time <= 0 || limit.Time >= readHeaderTimeout {
		return nil
	}
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if c.busy.Load() {
		return nil
	}
	return c.SetReadDeadline(at.Add(limit.Time)) // net/http removes it after the head
}

// begin records that the head of a request has arrived. While a request without a body is
// handled, net/http reads on in another goroutine. If that read began before, it has set the
// deadline of the head again, which would cancel the request.
func (c *conn) begin() {
	if c.limits == nil {
		return
	}
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.busy.Store(true)
	_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
}

// end records that a request was answered.
func (c *conn) end() {
	c.headAt.Store(nil)
	c.headBytes.Store(0)
	c.headFields.Store(0)
	c.releaseHead()
	c.busy.Store(false)
}

// limitBuffers limits the kernel's buffers of a connection.
func limitBuffers(c net.Conn, limits *Limits) {
	tcp, ok := c.(*net.TCPConn)
	if limits == nil || !ok {
		return
	}
	_ = tcp.SetReadBuffer(connBuffer)  // fails only on a closed connection
	_ = tcp.SetWriteBuffer(connBuffer) // as above
}

// turnAway refuses a connection.
func turnAway(c net.Conn) {
	writeUnavailable(c)
	_ = c.Close()
}

// writeUnavailable refuses a request of which nothing was read. The answer fits in the empty
// send buffer.
func writeUnavailable(c net.Conn) {
	_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: 1\r\n\r\n") // fails only on a closed connection
}
