package reserver

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

// firstBytes is the size of the first buffer of a body.
const firstBytes = 16 << 10

// ReadBody reads a body whose length is announced, or -1, and that may have limit bytes. The
// memory is reserved before it is allocated, as the body arrives: a caller that announces a
// large body and sends nothing holds firstBytes. While a buffer grows, both sizes are reserved.
func (r *Reservation) ReadBody(ctx context.Context, body io.Reader, announced, limit int64) ([]byte, error) {
	if announced > limit {
		return nil, ErrTooLarge
	}
	r.expect(announced, limit)
	most := limit
	if announced >= 0 {
		most = announced
	}
	var buf []byte
	var extra [1]byte // tells the end of a body that fills the buffer from more bytes
	for {
		free := buf[len(buf):cap(buf)]
		if len(free) == 0 {
			free = extra[:]
		}
		n, err := body.Read(free)
		if n > 0 {
			r.Progress(int64(n))
			if len(buf) < cap(buf) {
				buf = buf[:len(buf)+n]
			} else {
				var growErr error
				if buf, growErr = r.grow(ctx, buf, most); growErr != nil {
					return nil, growErr
				}
				buf = append(buf, extra[0])
			}
		}
		switch {
		case errors.Is(err, io.EOF) && r.Complete():
			return buf, nil
		case err != nil && r.GivenUp():
			return nil, ErrGivenUp
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a copy of a full buffer with more capacity, up to most.
func (r *Reservation) grow(ctx context.Context, buf []byte, most int64) ([]byte, error) {
	old := int64(cap(buf))
	if old >= most {
		return nil, ErrTooLarge
	}
	size := min(max(2*old, firstBytes), most)
	if err := r.Reserve(ctx, size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(buf), size)
	copy(grown, buf)
	r.Shrink(old)
	return grown, nil
}
