package listener

import (
	"bytes"
	"context"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass/reserver"
)

// The memory of a parsed head. Each field takes an entry of the map of headers, whatever its
// length.
const (
	fieldMemory   = 192      // bytes of a field beside its text, as read and as forwarded
	headAllowance = 16 << 10 // bytes that are part of the memory of a connection
	headStep      = 16 << 10 // bytes that are reserved at once
)

var errHeadMemory = errors.New("no memory for the head of the request")

// countHead counts what has arrived of a head.
func (c *conn) countHead(p []byte) {
	c.headBytes.Add(int64(len(p)))
	c.headFields.Add(int64(bytes.Count(p, []byte{'\n'})))
}

// reserveHead reserves memory for what has arrived of a head before it is parsed.
func (c *conn) reserveHead() error {
	if c.limits.Memory == nil {
		return nil
	}
	need := c.headBytes.Load() + c.headFields.Load()*fieldMemory - headAllowance
	reserved := c.headReserved.Load()
	if need <= reserved {
		return nil
	}
	memory := c.headMemory.Load()
	if memory == nil {
		memory = c.limits.Memory.Open(func() { _ = c.SetReadDeadline(time.Now()) })
		c.headMemory.Store(memory)
	}
	need = (need + headStep - 1) / headStep * headStep
	if err := memory.Reserve(context.Background(), need-reserved); err != nil {
		return errors.Wrap(err, "reserve memory for the head")
	}
	memory.Progress(need - reserved)
	c.headReserved.Store(need)
	return nil
}

// headGivenUp reports whether the memory of the head was taken for others.
func (c *conn) headGivenUp() bool {
	memory := c.headMemory.Load()
	return memory != nil && memory.GivenUp()
}

// releaseHead gives back the memory of the head.
func (c *conn) releaseHead() {
	if memory := c.headMemory.Swap(nil); memory != nil {
		memory.Close()
	}
	c.headReserved.Store(0)
}

// refuseHead refuses a request whose head was not read and returns the error with which
// net/http closes the connection without an answer of its own.
func (c *conn) refuseHead() error {
	c.limits.Refused(ReasonHeadMemory)
	_ = c.SetWriteDeadline(time.Now().Add(discardTimeout)) // fails only on a closed connection
	writeUnavailable(c.Conn)
	c.discard.Store(true)
	return &net.OpError{Op: "read", Err: errHeadMemory}
}

// headTimedOut reports whether a read ended as the head was late.
func (c *conn) headTimedOut(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && c.headAt.Load() != nil && !c.busy.Load()
}

// withHeadMemory returns the context of a request whose body shares the memory of its head. It
// returns false if that was taken for others.
func (c *conn) withHeadMemory(ctx context.Context) (context.Context, bool) {
	memory := c.headMemory.Load()
	if memory == nil {
		return ctx, true
	}
	return reserver.NewContext(ctx, memory), memory.Complete()
}
