package gooseberrypass

import "context"

// An Answer receives the answer to one request. Start is called once, before the
// first Write. The answer is complete only after End.
type Answer interface {
	// Start begins the answer. digest identifies the version that generates it.
	Start(digest Digest) error
	// Write delivers the next part of the answer.
	Write(piece []byte) error
	// End completes the answer.
	End() error
}

// A Restarter is an Answer that can discard what was written to it, because nothing
// has reached the caller yet.
type Restarter interface {
	// Restart discards what was written and reports whether the answer may start
	// again.
	Restart() bool
}

// Restart calls Restart of an answer that is a Restarter and returns false for any
// other. An Answer that wraps another implements Restarter by calling Restart with
// the wrapped one.
func Restart(answer Answer) bool {
	r, ok := answer.(Restarter)
	return ok && r.Restart()
}

// A Handler answers requests. Its errors are of type *RequestError.
type Handler interface {
	Handle(ctx context.Context, req *Request, answer Answer) error
}

// A HandlerFunc is an adapter that makes a function a Handler.
type HandlerFunc func(ctx context.Context, req *Request, answer Answer) error

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, req *Request, answer Answer) error {
	return f(ctx, req, answer)
}

// A Filter is middleware that makes one decision about requests, such as admission
// or routing, and passes them to the next handler.
type Filter interface {
	Wrap(next Handler) Handler
}

// Chain returns handler wrapped in filters. The first filter receives a request
// first.
func Chain(handler Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		handler = filters[i].Wrap(handler)
	}
	return handler
}
