package forwarder_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// readBufferSize is the size of the buffer through which events are read.
const readBufferSize = 2 << 10

// A line that fills the read buffer must not end its event: a stream that is cut after
// it would look whole, and its resumption would be joined to the half event.
func TestStreamCutAfterALongLineIsNotWhole(t *testing.T) {
	const first = "id: 0\ndata: a\n\n"
	for name, size := range map[string]int{"one buffer": readBufferSize, "two buffers": 2 * readBufferSize, "a byte more": readBufferSize + 1} {
		t.Run(name, func(t *testing.T) {
			line := "data: " + strings.Repeat("x", size-len("data: ")) + "\n"
			f := newFixture(t, reaction{body: first + "id: 1\n" + line})
			c := f.send("/rigid/x", "key")
			if got := c.body.String(); got != first || !c.aborted {
				t.Errorf("got %d bytes (aborted %t), want the %d of the first event and a cut connection", len(got), c.aborted, len(first))
			}
			whole := "id: 1\n" + line + "\n"
			f = newFixture(t, reaction{body: first + "id: 1\n" + line, version: 1}, reaction{body: whole, version: 1})
			c = f.send("/stream/x", "key")
			if got, want := c.body.String(), first+whole; got != want || c.aborted {
				t.Errorf("resumed: got %d bytes (aborted %t), want %d", len(got), c.aborted, len(want))
			}
		})
	}
}

// The rest of a line that fills the read buffer is no line of its own.
func TestEventIDIsNotReadFromWithinALine(t *testing.T) {
	line := "data: " + strings.Repeat("x", readBufferSize-len("data: ")) + "id: 7\n"
	events := "id: 0\n" + line + "\nid: 1\ndata: b\n\n"
	f := newFixture(t, reaction{body: events, version: 1}, reaction{reset: true})
	c := f.send("/stream/x", "key")
	if got := c.body.String(); got != events || c.aborted {
		t.Errorf("got %d bytes (aborted %t), want %d", len(got), c.aborted, len(events))
	}
}

// An endpoint that crashes when it begins an answer may leave only the head. Without a
// length or chunks its end looks like that of a whole stream without events.
func TestStreamThatEndsWithItsConnectionBeforeAnyEventIsNotWhole(t *testing.T) {
	whole := "id: 0\ndata: a\n\n"
	f := newFixture(t, reaction{unframed: true, version: 1}, reaction{body: whole, unframed: true, version: 1})
	c := f.send("/stream/x", "key")
	if got := c.body.String(); got != whole || c.aborted {
		t.Errorf("resumable: got %q (aborted %t), want %q", got, c.aborted, whole)
	}
	f = newFixture(t, reaction{unframed: true})
	c = f.send("/rigid/x", "key")
	if c.status != 0 || c.failure == nil || c.failure.Outcome != gooseberrypass.OutcomeUnknown {
		t.Errorf("not resumable: got status %d, %v, want an unknown outcome", c.status, c.failure)
	}
	for range 2 {
		f.send("/rigid/x", "key")
	}
	before := len(f.transport.sent)
	f.send("/rigid/x", "key")
	if got := len(f.transport.sent); got != before {
		t.Errorf("dispatches after as many breaks as quarantine a request: got %d, want %d", got, before)
	}
}

// A stream without events is whole if its end is marked, and so is the rest of a stream
// of which the caller has every event: an endpoint with nothing left names no version.
func TestStreamWithoutEventsThatIsWhole(t *testing.T) {
	f := newFixture(t, reaction{})
	if c := f.send("/rigid/x", "key"); c.status != 200 || c.aborted {
		t.Errorf("with a length or chunks: got status %d (aborted %t), want 200", c.status, c.aborted)
	}
	whole := "id: 0\ndata: a\n\n"
	f = newFixture(t, reaction{body: whole, cut: true, version: 1}, reaction{unframed: true})
	if c := f.send("/stream/x", "key"); c.body.String() != whole || c.aborted {
		t.Errorf("rest: got %q (aborted %t), want %q", c.body.String(), c.aborted, whole)
	}
}

// A rejection without a length ends with its connection, which an endpoint may keep open, and
// one with a length or chunks may never end. The request must not wait for that before it is
// sent elsewhere.
func TestRefusalIsNotReadToItsEnd(t *testing.T) {
	for name, unframed := range map[string]bool{"without length": true, "with length or chunks": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, reaction{notRun: true, status: 503, unframed: unframed}, reaction{body: "ok"})
			open := &stalledReader{clock: f.clock, start: "full"}
			f.transport.reactions[0].reader = open
			c := f.send("/once/x", "key")
			if got := c.body.String(); got != "ok" {
				t.Errorf("got %q (%v), want ok", got, c.failure)
			}
			if open.start == "" {
				t.Error("the body of the rejection was read, want the request sent elsewhere at once")
			}
		})
	}
}

// The rest of a resumed stream may be longer or shorter than what the first endpoint
// declared, so a length would cut the caller's answer or leave it waiting for more.
func TestStreamThatMayBeResumedDeclaresNoLength(t *testing.T) {
	for path, want := range map[string]string{"/stream/x": "", "/rigid/x": "14"} {
		f := newFixture(t, reaction{body: "id: 0\ndata: a\n\n", header: http.Header{"Content-Length": {"14"}}})
		if got := f.send(path, "key").header.Get("Content-Length"); got != want {
			t.Errorf("%s: got length %q, want %q", path, got, want)
		}
	}
}

// An answer without a length may have no end. It is cut at the deadline, also when part of
// it was delivered, and does not look whole.
func TestAnswerWithoutLengthOrEndIsCut(t *testing.T) {
	for name, tt := range map[string]struct {
		piece string
		path  string
		begun bool
	}{
		"held":      {piece: "x", path: "/once/x"},
		"delivered": {piece: strings.Repeat("x", 8<<10), path: "/once/x", begun: true},
		"stream":    {piece: "data: x\n\n", path: "/rigid/x", begun: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, reaction{unframed: true})
			endless := &stalledReader{clock: f.clock, piece: tt.piece, pieces: 60, takes: 100 * time.Millisecond} // 6 s, of which the caller has 5
			f.transport.reactions[0].reader = endless
			c := f.send(tt.path, "key")
			if c.aborted != tt.begun || !tt.begun && c.failure == nil {
				t.Errorf("got aborted %t, %v, want a failure (aborted %t)", c.aborted, c.failure, tt.begun)
			}
			if !endless.withdrawn {
				t.Error("the attempt was not withdrawn")
			}
		})
	}
}

// An answer with a length may have no end either. Once its route's timeout has passed, its
// caller must have a final answer, whatever the endpoint goes on to send.
func TestAnswerWithLengthAndWithoutEndIsCut(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		pieces   = 52 // the last one comes 0.2 s after the caller's deadline
	)
	for name, tt := range map[string]struct {
		path   string
		pieces int // then the endpoint falls silent
		status int
	}{
		"goes on, once":         {path: "/once/x", pieces: pieces},
		"goes on, idempotent":   {path: "/safe/x", pieces: pieces},
		"goes on, error":        {path: "/once/x", pieces: pieces, status: http.StatusInternalServerError},
		"goes on, not a stream": {path: "/rigid/x", pieces: pieces, status: http.StatusNotFound},
		"falls silent, once":    {path: "/once/x", pieces: 20},
		"falls silent, stream":  {path: "/stream/x", pieces: 20, status: http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, reaction{header: http.Header{"Content-Length": {strconv.Itoa(1 << 30)}}, status: tt.status})
			endless := &stalledReader{
				clock: f.clock, piece: strings.Repeat("x", 8<<10), pieces: tt.pieces, takes: interval,
				silence: time.Duration(pieces-tt.pieces) * interval,
				start:   strings.Repeat("x", int(f.settings.MaxBufferedAnswer)),
			}
			f.transport.reactions[0].reader = endless
			c := f.send(tt.path, "key")
			if !c.aborted || !endless.withdrawn {
				t.Errorf("got aborted %t, withdrawn %t, want a cut connection", c.aborted, endless.withdrawn)
			}
			if got, want := len(f.transport.sent), 1; got != want {
				t.Errorf("dispatches: got %d, want %d", got, want)
			}
		})
	}
}

// A caller that does not read must not hold its place at an endpoint longer than its route
// allows, also if it names no deadline.
func TestCallerThatDoesNotReadIsCutAtTheTimeoutOfItsRoute(t *testing.T) {
	for name, tt := range map[string]struct{ left, want time.Duration }{
		"no deadline":       {want: 6 * time.Second},
		"later than route":  {left: time.Minute, want: 6 * time.Second},
		"sooner than route": {left: time.Second, want: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, reaction{body: "answer"})
			c := &caller{}
			p := &gooseberrypass.ProxyRequest{AccountKey: "key", Host: "h", ID: "id", LastEvent: -1, Method: "GET", Path: "/safe/x", URI: "/safe/x"}
			if tt.left > 0 {
				p.Deadline = f.clock.Now().Add(tt.left)
			}
			f.handle(p, c)
			if got := c.limit; got != tt.want {
				t.Errorf("got writes limited to %s, want %s", got, tt.want)
			}
		})
	}
}

// An answer that is longer than what is buffered broke off, and the whole answer of another
// endpoint was delivered behind its begin.
func TestWholeAnswerThatBreaksOffIsNotJoinedWithAnother(t *testing.T) {
	for name, tt := range map[string]struct {
		path   string
		status int
		next   reaction
	}{
		"idempotent":              {path: "/safe/x", next: reaction{body: "other"}},
		"idempotent, same length": {path: "/safe/x", next: reaction{body: strings.Repeat("y", 1<<17)}},
		"idempotent, error":       {path: "/safe/x", status: http.StatusNotFound, next: reaction{body: "other"}},
		"error of a stream route": {path: "/stream/x", status: http.StatusNotFound, next: reaction{body: "id: 0\ndata: a\n\n"}},
		"once":                    {path: "/once/x", next: reaction{body: "other"}},
	} {
		t.Run(name, func(t *testing.T) {
			begin := strings.Repeat("x", 1<<17)
			f := newFixture(t, reaction{body: begin, cut: true, status: tt.status}, tt.next)
			c := f.send(tt.path, "key")
			if got := c.body.String(); got != begin || !c.aborted {
				t.Errorf("got %d bytes (aborted %t), want the %d of the first endpoint and a cut connection", len(got), c.aborted, len(begin))
			}
			if got, want := len(f.transport.sent), 1; got != want {
				t.Errorf("dispatches: got %d, want %d", got, want)
			}
		})
	}
}
