package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/forwarder"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// A sound endpoint fell silent for a second and its stream was withdrawn, although no other
// endpoint had room or would run it: the caller was cut off.
func TestSilentEndpointKeepsItsStreamUntilAnotherHasBegun(t *testing.T) {
	for _, begun := range []bool{false, true} {
		for name, play := range map[string]func(*stage, *puppet){
			"no other has room": func(s *stage, _ *puppet) { s.clock.Advance(1500 * time.Millisecond) },
			"another refuses":   func(s *stage, _ *puppet) { s.next().refuse() },
			"another breaks":    func(s *stage, _ *puppet) { s.next().breakOff() },
			"another is silent": func(s *stage, _ *puppet) { s.next() },
			"another has other weights": func(s *stage, _ *puppet) {
				p := s.next()
				p.begin(2)
				if !begun {
					p.breakOff()
				}
			},
		} {
			t.Run(fmt.Sprint(name, ", begun ", begun), func(t *testing.T) {
				var once func(forwarder.Chooser) forwarder.Chooser
				if name == "no other has room" {
					once = func(c forwarder.Chooser) forwarder.Chooser { return &onceChooser{Chooser: c} }
				}
				s := newStage(t, once)
				first := s.next()
				from := 0
				if begun {
					first.begin(1)
					first.send(0)
					from = 1
				}
				play(s, first)
				select {
				case <-first.ctx.Done():
					t.Fatal("the stream was withdrawn from an endpoint that is only silent")
				case <-time.After(20 * time.Millisecond):
				}
				if !begun {
					first.begin(1)
				}
				go first.finish(from)
				checkWhole(t, s.end())
			})
		}
	}
}

// A stream at an endpoint that gives no sign goes on at another one, from the event after the
// last one delivered.
func TestStreamLeavesASilentEndpoint(t *testing.T) {
	for _, begun := range []bool{false, true} {
		t.Run(fmt.Sprint("begun ", begun), func(t *testing.T) {
			s := newStage(t, nil)
			first := s.next()
			from := 0
			if begun {
				first.begin(1)
				first.send(0)
				from = 1
			}
			second := s.next()
			if got, want := second.dispatch.LastEvent, from-1; got != want {
				t.Errorf("goes on after event %d, want %d", got, want)
			}
			second.begin(1)
			go second.finish(from)
			s.waitWithdrawn(first)
			checkWhole(t, s.end())
		})
	}
}

// A stream that had begun broke off while every endpoint was full, and was closed at once
// although its caller would have waited.
func TestBegunStreamWaitsForRoom(t *testing.T) {
	full := &fullForAWhile{}
	s := newStage(t, func(c forwarder.Chooser) forwarder.Chooser {
		full.Chooser = c
		return full
	})
	first := s.next()
	first.begin(1)
	first.send(0)
	full.set(true)
	first.breakOff()
	for range 50 { // a second
		time.Sleep(time.Millisecond)
		s.clock.Advance(20 * time.Millisecond)
	}
	full.set(false)
	second := s.next()
	second.begin(1)
	go second.finish(1)
	checkWhole(t, s.end())
}

// A fullForAWhile is a chooser without room while it is full.
type fullForAWhile struct {
	forwarder.Chooser
	mu   sync.Mutex
	full bool
}

func (c *fullForAWhile) set(full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.full = full
}

func (c *fullForAWhile) Choose(q balancer.Query) (*balancer.Ticket, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.full {
		return nil, &gooseberrypass.RequestError{Outcome: gooseberrypass.OutcomeNotRun, Reason: gooseberrypass.ReasonOverloaded}
	}
	return c.Chooser.Choose(q)
}

// Refusals of requests that did not run used up the tries of a stream that had begun.
func TestRefusalsDoNotUseUpTheTriesOfABegunStream(t *testing.T) {
	s := newStage(t, nil)
	first := s.next()
	first.begin(1)
	first.send(0)
	first.breakOff()
	for range 5 {
		s.next().refuse()
	}
	last := s.next()
	last.begin(1)
	go last.finish(1)
	checkWhole(t, s.end())
}

// A stream stays where it is if the endpoint that it moves to does not begin in time, and no
// event is lost or comes late by more than the pause that its route allows.
func TestStreamStaysWhereTheNextEndpointIsSlow(t *testing.T) {
	s, first := newMovingStage(t)
	second := s.next()
	begin := s.clock.Now()
	s.advanceUntilWithdrawn(second)
	if got, most := s.clock.Since(begin), 300*time.Millisecond; got > most {
		t.Errorf("the stream was held back for %v, want at most %v", got, most)
	}
	go first.finish(1)
	checkWhole(t, s.end())
}

// A panic in an attempt beside another one would end the process.
func TestPanicInAHandoverIsContained(t *testing.T) {
	f := newFixture(t, reaction{body: threeEvents, version: 1})
	f.loadDuringFirstAttempt()
	inner := f.transport.onSend
	f.transport.onSend = func(d gooseberrypass.Dispatch) {
		if d.LastEvent >= 0 {
			panic("beside")
		}
		inner(d)
	}
	c := f.send("/stream/x", "key")
	if got := c.body.String(); got != threeEvents || c.aborted {
		t.Errorf("got %q (aborted %t), want %q", got, c.aborted, threeEvents)
	}
	if !strings.Contains(f.log.String(), "panic beside a request contained") {
		t.Error("the panic was not logged")
	}
}

// The endpoint that a request was to leave, as no entry heard from its own, refused; the
// request then never looked again and was held at the dead endpoint until its deadline.
func TestRefusalDoesNotEndTheWatchOfALostEndpoint(t *testing.T) {
	for _, begun := range []bool{false, true} {
		t.Run(fmt.Sprint("begun ", begun), func(t *testing.T) {
			s := newStageAt(t, "/model/x", nil)
			first := s.next()
			from := 0
			if begun {
				first.begin(1)
				first.send(0)
				from = 1
			}
			s.next().refuse()
			last := s.next()
			last.begin(1)
			go last.finish(from)
			checkWhole(t, s.end())
		})
	}
}

// A sound endpoint was silent for a moment, the one tried beside it answered 500, and that
// error replaced the answer that was on its way.
func TestErrorOfAnotherEndpointDoesNotReplaceASilentOne(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			s := newStageAt(t, path, nil)
			first := s.next()
			s.next().answer(http.StatusInternalServerError, "broken")
			select {
			case <-first.ctx.Done():
				t.Error("the attempt was withdrawn for an error")
			case <-time.After(50 * time.Millisecond):
			}
			if path == "/safe/x" {
				first.answer(http.StatusOK, "fine")
			} else {
				first.begin(1)
				go first.finish(0)
			}
			if c := s.end(); c.status != http.StatusOK {
				t.Errorf("got status %d %q (%v), want 200", c.status, c.body.String(), c.failure)
			}
		})
	}
}

// An event without an index was delivered while a handover was pending; the other run, that
// was asked for the whole stream, sent it again: events of two runs were joined.
func TestHandoverDoesNotJoinEventsWithoutIndex(t *testing.T) {
	const preamble = "data: begin\n\n"
	s := newStageAt(t, "/stream/x", nil)
	first := s.next()
	first.begin(1)
	second := s.next()
	first.write(preamble)
	time.Sleep(20 * time.Millisecond) // delivered
	second.begin(1)
	go func() {
		second.write(preamble)
		second.finish(0)
	}()
	time.Sleep(20 * time.Millisecond)
	go first.finish(0)
	c := s.end()
	if got, want := c.body.String(), preamble+wholeStream(); got != want || c.aborted {
		t.Errorf("got %q (aborted %t, %v), want %q", got, c.aborted, c.failure, want)
	}
}

// A stalled endpoint sent an event without an index, which counted as a begin: the first
// endpoint, which was only silent, was given up for it.
func TestEventWithoutIndexIsNoBeginOfAHandover(t *testing.T) {
	s := newStageAt(t, "/stream/x", nil)
	first := s.next()
	second := s.next()
	second.begin(1)
	second.write("data: begin\n\n")
	select {
	case <-first.ctx.Done():
		t.Error("the first attempt was withdrawn for an event without an index")
	case <-time.After(50 * time.Millisecond):
	}
	first.begin(1)
	go first.finish(0)
	checkWhole(t, s.end())
}

// While a handover from a silent endpoint was pending, a comment of that endpoint began the
// answer with its version; the other endpoint took over with another version and was cut.
func TestCommentDuringAHandoverDoesNotFixTheVersion(t *testing.T) {
	s := newStage(t, nil)
	first := s.next()
	first.begin(1)
	second := s.next()
	first.write(": queued\n\n")
	second.begin(2)
	go second.finish(0)
	s.waitWithdrawn(first)
	checkWhole(t, s.end())
}

// A chooser that panics at its second query.
type panickyChooser struct {
	forwarder.Chooser
	n int
}

func (c *panickyChooser) Choose(q balancer.Query) (*balancer.Ticket, error) {
	if c.n++; c.n == 2 {
		panic("choose")
	}
	return c.Chooser.Choose(q)
}

// A panic while the timer looked for another endpoint ended the process; a panic in the
// goroutine of the request ends that request only.
func TestPanicWhileLookingForAnotherEndpointDoesNotEndTheProcess(t *testing.T) {
	if os.Getenv("PANIC_CHILD") == "" {
		cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
		cmd.Env = append(os.Environ(), "PANIC_CHILD=1")
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Errorf("the process ended: %v\n%.600s", err, out)
		}
		return
	}
	s := newStage(t, func(c forwarder.Chooser) forwarder.Chooser { return &panickyChooser{Chooser: c} })
	first := s.next()
	s.clock.Advance(400 * time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	first.begin(1)
	go first.finish(0)
	checkWhole(t, s.end())
}

// A countingChooser counts the places that it reserved.
type countingChooser struct {
	forwarder.Chooser
	n atomic.Int64
}

func (c *countingChooser) Choose(q balancer.Query) (*balancer.Ticket, error) {
	t, err := c.Chooser.Choose(q)
	if err == nil {
		c.n.Add(1)
	}
	return t, err
}

// A request at a silent endpoint reserved a place at another one every 50 ms although the retry
// budget was used up; each counts against the limit that the other endpoint has named.
func TestSilentEndpointTakesNoPlacesWithoutABudget(t *testing.T) {
	counting := &countingChooser{}
	f := newFixture(t)
	f.settings.RetryRatio, f.settings.RetrySlack = 0, 0
	s := &stage{fixture: f, dispatches: make(chan *puppet, 16), done: make(chan *caller, 1), t: t}
	f.sender = &puppetTransport{dispatches: s.dispatches}
	counting.Chooser = f.balancer
	var err error
	if f.forwarder, err = f.build(counting); err != nil {
		t.Fatal(err)
	}
	go func() { s.done <- f.send("/stream/x", "key") }()
	first := s.next()
	for range 100 { // two seconds
		time.Sleep(time.Millisecond)
		s.clock.Advance(20 * time.Millisecond)
	}
	if got, want := counting.n.Load(), int64(1); got != want {
		t.Errorf("places reserved: got %d, want %d", got, want)
	}
	first.begin(1)
	go first.finish(0)
	checkWhole(t, s.end())
}

// A begun stream broke off at an endpoint that leaves while the other one was skipped for half
// a second after a timeout. It was closed at once although the caller would have waited.
func TestBegunStreamWaitsForAnEjectedEndpoint(t *testing.T) {
	s := newStageAt(t, "/model/x", nil)
	first := s.next()
	first.begin(1)
	first.send(0)
	other, err := s.balancer.Choose(balancer.Query{Service: "engines", Model: "m", Tried: []gooseberrypass.ID{first.dispatch.Endpoint.ID}})
	if err != nil {
		t.Fatal(err)
	}
	other.Done(balancer.ResultTimedOut) // silent for a moment: ejected for a second
	snapshot := *s.snapshot
	snapshot.Endpoints = slices.Clone(snapshot.Endpoints)
	for i := range snapshot.Endpoints {
		snapshot.Endpoints[i].Leaving = snapshot.Endpoints[i].ID == first.dispatch.Endpoint.ID
	}
	s.balancer.Handle(s.clock.Now(), materializer.Changed{Snapshot: &snapshot})
	time.Sleep(10 * time.Millisecond)
	first.breakOff()
	second := s.next()
	second.begin(1)
	go second.finish(1)
	checkWhole(t, s.end())
}

// A stream that could not move in time had used up its tries with that, and was cut when its
// endpoint broke off later.
func TestStreamThatStayedMayStillBeResumed(t *testing.T) {
	s, first := newMovingStage(t)
	s.advanceUntilWithdrawn(s.next())
	first.send(1)
	first.breakOff()
	third := s.next()
	third.begin(1)
	go third.finish(2)
	checkWhole(t, s.end())
}

// An endpoint sent the head of its answer after the timeout of the head. Another attempt was
// sent at once, as if the endpoint had given no sign.
func TestLateHeadIsASign(t *testing.T) {
	s := newStage(t, nil)
	first := s.next()
	s.next().refuse()
	time.Sleep(20 * time.Millisecond)
	first.begin(1)
	select {
	case <-s.dispatches:
		t.Error("another attempt was sent in the moment of the head")
	case <-time.After(100 * time.Millisecond): // the clock stands still
	}
	go first.finish(0)
	checkWhole(t, s.end())
}

// A closeOrder is a body that notes whether it was closed before its attempt's context ended.
type closeOrder struct {
	io.Reader
	ctx  context.Context
	kept bool
}

func (b *closeOrder) Close() error {
	b.kept = b.ctx.Err() == nil
	return nil
}

// The context of an attempt ended before the body of its answer was closed, and the connection
// was closed with it, so each request opened a new one.
func TestConnectionIsKeptAfterAnAnswer(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x"} {
		s := newStageAt(t, path, nil)
		p := s.next()
		body := &closeOrder{ctx: p.ctx, Reader: strings.NewReader(wholeStream())}
		p.reply <- &gooseberrypass.Reply{Body: body, Header: http.Header{}, ModelVersion: 1, Signed: true, Status: http.StatusOK}
		checkWhole(t, s.end())
		if !body.kept {
			t.Errorf("%s: the body was closed after the context had ended", path)
		}
	}
}
