package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/forwarder"
)

// A puppetTransport lets a test play the endpoints: each dispatch waits for what the test
// makes of it.
type puppetTransport struct {
	dispatches chan *puppet
}

// A puppet is the endpoint of one dispatch.
type puppet struct {
	ctx      context.Context
	dispatch gooseberrypass.Dispatch
	reply    chan *gooseberrypass.Reply // nil breaks the connection
	body     *io.PipeWriter
}

func (t *puppetTransport) Send(ctx context.Context, d gooseberrypass.Dispatch) (*gooseberrypass.Reply, error) {
	p := &puppet{ctx: ctx, dispatch: d, reply: make(chan *gooseberrypass.Reply, 1)}
	t.dispatches <- p
	select {
	case reply := <-p.reply:
		if reply == nil {
			return nil, &gooseberrypass.DispatchError{Err: errReset, Sent: true}
		}
		return reply, nil
	case <-ctx.Done():
		return nil, &gooseberrypass.DispatchError{Err: ctx.Err(), Sent: true}
	}
}

// begin answers with the head of a stream.
func (p *puppet) begin(version int) {
	r, w := io.Pipe()
	p.body = w
	context.AfterFunc(p.ctx, func() { _ = w.CloseWithError(p.ctx.Err()) })
	p.reply <- &gooseberrypass.Reply{Body: r, Header: http.Header{}, ModelVersion: version, Signed: true, Status: http.StatusOK}
}

// refuse answers that the request did not run.
func (p *puppet) refuse() {
	p.reply <- &gooseberrypass.Reply{Body: http.NoBody, Header: http.Header{}, NotRun: true, Status: http.StatusServiceUnavailable}
}

// answer answers with a whole body.
func (p *puppet) answer(status int, body string) {
	p.reply <- &gooseberrypass.Reply{Body: io.NopCloser(strings.NewReader(body)), Header: http.Header{}, Signed: true, Status: status}
}

// write sends a part of a stream. It returns once that was read or the attempt was withdrawn.
func (p *puppet) write(text string) { _, _ = io.WriteString(p.body, text) }

// send sends one event. It returns once the event was read or the attempt was withdrawn.
func (p *puppet) send(id int) { p.write(eventText(id)) }

// finish sends the events from id on and ends the answer.
func (p *puppet) finish(id int) {
	for ; id < puppetEvents; id++ {
		p.send(id)
	}
	_ = p.body.Close()
}

// breakOff breaks the connection, before or after the head of the answer.
func (p *puppet) breakOff() {
	if p.body == nil {
		p.reply <- nil
		return
	}
	_ = p.body.CloseWithError(errReset)
}

// puppetEvents is the number of events of a whole answer.
const puppetEvents = 4

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

func wholeStream() string {
	var b strings.Builder
	for id := range puppetEvents {
		b.WriteString(eventText(id))
	}
	return b.String()
}

// A stage is one request at endpoints that the test plays.
type stage struct {
	*fixture
	dispatches chan *puppet
	done       chan *caller
	t          *testing.T
}

// newStage sends a request for a stream. chooser may be nil.
func newStage(t *testing.T, chooser func(forwarder.Chooser) forwarder.Chooser) *stage {
	t.Helper()
	return newStageAt(t, "/stream/x", chooser)
}

// newStageAt sends a request to a path. chooser may be nil.
func newStageAt(t *testing.T, path string, chooser func(forwarder.Chooser) forwarder.Chooser) *stage {
	t.Helper()
	f := newFixture(t)
	f.settings.LossPoll, f.settings.ResumeWait = 100*time.Millisecond, 1800*time.Millisecond
	s := &stage{fixture: f, dispatches: make(chan *puppet, 16), done: make(chan *caller, 1), t: t}
	f.sender = &puppetTransport{dispatches: s.dispatches}
	var c forwarder.Chooser = f.balancer
	if chooser != nil {
		c = chooser(c)
	}
	var err error
	if f.forwarder, err = f.build(c); err != nil {
		t.Fatal(err)
	}
	go func() { s.done <- f.send(path, "key") }()
	return s
}

// newMovingStage sends a request for a stream whose endpoint is about to load a version after
// its first event. It returns that endpoint too.
func newMovingStage(t *testing.T) (*stage, *puppet) {
	t.Helper()
	s := newStage(t, nil)
	first := s.next()
	s.balancer.SetEndpointStatus(s.clock.Now(), balancer.EndpointStatus{Address: first.dispatch.Endpoint.Address, Loading: true})
	first.begin(1)
	first.send(0)
	return s, first
}

// next returns the next dispatch, for which it advances the clock if need be.
func (s *stage) next() *puppet {
	s.t.Helper()
	for range 400 {
		select {
		case p := <-s.dispatches:
			return p
		case c := <-s.done:
			s.t.Fatalf("the request ended with %q (aborted %t, %v), want another dispatch", c.body.String(), c.aborted, c.failure)
		case <-time.After(time.Millisecond):
			s.clock.Advance(20 * time.Millisecond)
		}
	}
	s.t.Fatal("no dispatch")
	return nil
}

// end returns the caller after the end of the request, for which it advances the clock.
func (s *stage) end() *caller {
	s.t.Helper()
	for range 4000 {
		select {
		case c := <-s.done:
			s.checkPlaces()
			return c
		case p := <-s.dispatches:
			p.refuse()
		case <-time.After(time.Millisecond):
			s.clock.Advance(20 * time.Millisecond)
		}
	}
	s.t.Fatal("the request did not end")
	return nil
}

// checkPlaces checks that all places are given back; an attempt that was withdrawn takes a
// moment to end.
func (s *stage) checkPlaces() {
	s.t.Helper()
	for range 5000 {
		if len(s.balancer.OwnLoads()) == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	s.t.Errorf("endpoints with places reserved after the end: got %d, want 0", len(s.balancer.OwnLoads()))
}

// advanceUntilWithdrawn lets time pass, a second at the most, until an attempt is withdrawn.
func (s *stage) advanceUntilWithdrawn(p *puppet) {
	for begin := s.clock.Now(); p.ctx.Err() == nil && s.clock.Since(begin) < time.Second; {
		time.Sleep(time.Millisecond)
		s.clock.Advance(20 * time.Millisecond)
	}
}

// waitWithdrawn waits until an attempt has been withdrawn.
func (s *stage) waitWithdrawn(p *puppet) {
	s.t.Helper()
	select {
	case <-p.ctx.Done():
	case <-time.After(5 * time.Second):
		s.t.Error("the attempt was not withdrawn")
	}
}

// checkWhole checks that the caller got the whole stream.
func checkWhole(t *testing.T, c *caller) {
	t.Helper()
	if got, want := c.body.String(), wholeStream(); got != want || c.aborted {
		t.Errorf("got %q (aborted %t, %v), want %q", got, c.aborted, c.failure, want)
	}
}
