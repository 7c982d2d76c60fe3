package forwarder_test

import (
	"net/http"
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

const threeEvents = "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n"

// loadDuringFirstAttempt makes the endpoint of the first attempt of each request
// start to load a version while it answers.
func (f *fixture) loadDuringFirstAttempt() {
	f.transport.onSend = func(d gooseberrypass.Dispatch) {
		if d.LastEvent >= 0 {
			return
		}
		for _, id := range []string{"a", "b", "c", "engine-1", "engine-2"} {
			f.balancer.SetEndpointStatus(f.clock.Now(), balancer.EndpointStatus{Address: id, Loading: id == d.Endpoint.Address, Models: map[string]int{"m": 1}})
		}
	}
}

// A stream does not hold up the load of its engine: it goes on elsewhere after the
// last event delivered.
func TestStreamMovesFromAnEndpointThatLoads(t *testing.T) {
	f := newFixture(t, reaction{body: threeEvents, version: 1}, reaction{body: "id: 1\ndata: b\n\nid: 2\ndata: c\n\n", version: 1})
	f.loadDuringFirstAttempt()
	c := f.send("/stream/x", "key")
	if got := c.body.String(); got != threeEvents || c.aborted {
		t.Errorf("body: got %q (aborted %t), want %q", got, c.aborted, threeEvents)
	}
	if got, want := len(f.transport.sent), 2; got != want {
		t.Fatalf("dispatches: got %d, want %d", got, want)
	}
	if got, want := f.transport.sent[1].LastEvent, 0; got != want {
		t.Errorf("resumed after: got %d, want %d", got, want)
	}
	if f.transport.sent[0].Endpoint.ID == f.transport.sent[1].Endpoint.ID {
		t.Error("the stream stayed at the endpoint that loads")
	}
}

// A stream was ended at a sound endpoint to move to one that then refused it, and its caller
// was cut off.
func TestStreamIsNotCutWhenTheEndpointItMovesToRefuses(t *testing.T) {
	for name, path := range map[string]string{"every other endpoint refuses": "/stream/x", "and it is the only one": "/model/x"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, reaction{body: threeEvents, version: 1}, reaction{notRun: true, status: http.StatusServiceUnavailable})
			f.loadDuringFirstAttempt()
			c := f.send(path, "key")
			if got := c.body.String(); got != threeEvents || c.aborted {
				t.Errorf("body: got %q (aborted %t), want %q", got, c.aborted, threeEvents)
			}
			if got := len(f.transport.sent); got < 2 {
				t.Errorf("dispatches: got %d, want a try to move", got)
			}
		})
	}
}

func TestStreamThatMustNotBeResumedStays(t *testing.T) {
	f := newFixture(t, reaction{body: threeEvents, version: 1})
	f.checkStreamStays(t, "/rigid/x")
}

// A stream whose place is taken at the last moment stays where it is.
func TestStreamStaysWhereNoOtherEndpointHasRoom(t *testing.T) {
	f := newFixture(t, reaction{body: threeEvents, version: 1})
	var err error
	if f.forwarder, err = f.build(&onceChooser{Chooser: f.balancer}); err != nil {
		t.Fatal(err)
	}
	f.checkStreamStays(t, "/stream/x")
}

// checkStreamStays checks that a stream ends at the endpoint that starts to load.
func (f *fixture) checkStreamStays(t *testing.T, path string) {
	t.Helper()
	f.loadDuringFirstAttempt()
	c := f.send(path, "key")
	if got := c.body.String(); got != threeEvents || c.aborted {
		t.Errorf("body: got %q (aborted %t), want %q", got, c.aborted, threeEvents)
	}
	if got, want := len(f.transport.sent), 1; got != want {
		t.Errorf("dispatches: got %d, want %d", got, want)
	}
}

// Moves leave a part of the retry budget to repeats after failures.
func TestMovesUseOnlyTheirShareOfTheBudget(t *testing.T) {
	f := newFixture(t, reaction{body: threeEvents, version: 1})
	f.loadDuringFirstAttempt()
	const requests = 100
	for range requests {
		f.send("/stream/x", "key")
	}
	moves := len(f.transport.sent) - requests
	if most := (20 + requests/5) / 2; moves > most || moves == 0 { // RetrySlack, RetryRatio and MoveShare of the fixture
		t.Errorf("moves: got %d, want 1 to %d", moves, most)
	}
}

// A stream moves, or is cut, after its last event. The next engine has nothing left to
// send and names no version; the answer was broken off although it was complete.
func TestStreamThatIsCutAfterItsLastEventEnds(t *testing.T) {
	f := newFixture(t, reaction{body: threeEvents, cut: true, version: 1}, reaction{})
	c := f.send("/stream/x", "key")
	if got, want := c.body.String(), threeEvents; got != want || c.aborted {
		t.Errorf("got %q (aborted %t), want %q and an end", got, c.aborted, want)
	}
	if got, want := len(f.transport.sent), 2; got != want {
		t.Errorf("dispatches: got %d, want %d", got, want)
	}
}

// Events of an engine that names no version may be of another one.
func TestStreamNeverGoesOnWithAnUnknownVersion(t *testing.T) {
	f := newFixture(t, reaction{body: "id: 0\ndata: a\n\n", cut: true, version: 1}, reaction{body: "id: 1\ndata: b\n\n"})
	c := f.send("/stream/x", "key")
	if got, want := c.body.String(), "id: 0\ndata: a\n\n"; got != want || !c.aborted {
		t.Errorf("got %q (aborted %t), want %q and a cut connection", got, c.aborted, want)
	}
}
