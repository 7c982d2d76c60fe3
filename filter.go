package gooseberrypass

import "context"

// An Answer receives the answer to one request. Start comes once, before the
// first token; an answer is whole only after End.
type Answer interface {
	// Start tells which version answers.
	Start(digest Digest) error
	// Write delivers the next piece of the answer.
	Write(piece []byte) error
	// End tells that the answer is whole.
	End() error
}

// A Restarter is an Answer that can forget what it was given, since nothing of
// it has been delivered.
type Restarter interface {
	// Restart reports whether the answer may start again.
	Restart() bool
}

// Restart reports whether an answer may start again. An Answer that passes on
// to another implements Restarter by asking that one.
func Restart(answer Answer) bool {
	r, ok := answer.(Restarter)
	return ok && r.Restart()
}

// A Handler answers one request. A failure is a *RequestError.
type Handler interface {
	Handle(ctx context.Context, req *Request, answer Answer) error
}

// A HandlerFunc is a function that is a Handler.
type HandlerFunc func(ctx context.Context, req *Request, answer Answer) error

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, req *Request, answer Answer) error {
	return f(ctx, req, answer)
}

// A Filter makes one decision about requests and passes them on.
type Filter interface {
	Wrap(next Handler) Handler
}

// Chain returns handler behind filters; the first filter sees a request first.
func Chain(handler Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		handler = filters[i].Wrap(handler)
	}
	return handler
}
