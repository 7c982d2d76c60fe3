package listener

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gooseberrypass/gooseberrypass/reserver"
)

// The limits of the input that is discarded before a connection closes.
const (
	discardBytes   = 64 << 10
	discardTimeout = 500 * time.Millisecond
)

// A conn is a connection that may discard unread input before it closes. A close with
// unread input resets the connection, and the peer may lose the last answer.
type conn struct {
	net.Conn
	busy         atomic.Bool // a request is being handled
	discard      atomic.Bool
	discardAt    atomic.Pointer[time.Time]            // when input began to be discarded, nil for not
	headAt       atomic.Pointer[time.Time]            // when the first byte of the head arrived, nil for none
	headBytes    atomic.Int64                         // bytes that have arrived of the head
	headFields   atomic.Int64                         // lines that have arrived of the head
	headMemory   atomic.Pointer[reserver.Reservation] // memory of the head beyond headAllowance, nil for none
	headMu       sync.Mutex                           // held while busy is set, and while the deadline of a head is set
	headReserved atomic.Int64                         // bytes of headMemory
	limits       *Limits                              // nil for none
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.releaseHead()
	now := time.Now()
	if c.discard.Swap(false) && c.SetReadDeadline(now.Add(discardTimeout)) == nil {
		c.discardAt.Store(&now) // before the peer learns that it was refused, as its next connection may need the room
		if c.CloseWrite() == nil {
			_, _ = io.CopyN(io.Discard, c.Conn, discardBytes) // the peer may send anything or break off
		}
	}
	return c.Conn.Close()
}

// CloseWrite ends the output. It is used by net/http.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets the behavior of Close, as for a net.TCPConn.
func (c *conn) SetLinger(sec int) error {
	c.discard.Store(false)
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return nil
}
