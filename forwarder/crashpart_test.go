package forwarder_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// crashOn lets engines crash when they begin an answer to a prompt with a part. Each other
// request is answered.
func (f *fixture) crashOn(part string) {
	f.transport.onSend = func(d gooseberrypass.Dispatch) {
		f.transport.reactions = []reaction{{body: "id: 0\n\n", version: 1}}
		if slices.Contains(d.Request.SharedParts, part) {
			f.transport.reactions = []reaction{{cut: true, version: 1}}
		}
	}
}

// sendPrompt sends the n-th request of a route, whose prompt has parts that others share.
func (f *fixture) sendPrompt(route string, n int, parts ...string) *caller {
	c := &caller{}
	path := fmt.Sprint(route, n)
	f.handle(&gooseberrypass.ProxyRequest{
		AccountKey: "key", Body: []byte(path), Deadline: f.clock.Now().Add(5 * time.Second), Host: "h", ID: path, LastEvent: -1, Method: "POST", Path: path,
		SharedParts: parts, URI: path,
	}, c)
	return c
}

// Engines crashed one after another under requests that have nothing in common but a
// part of their prompts. Sound requests of the same caller with the same first part
// are answered meanwhile and afterwards.
func TestRequestsWithPartThatCrashesEnginesAreRefused(t *testing.T) {
	f := newFixture(t)
	f.crashOn("deadly")
	const (
		rounds = 40
		sound  = 50 // requests in each round
		// Five crashes may pass before the part must be known, and another request within
		// the time for that. Three more may slip through.
		want = 5 + 1 + 3
	)
	var refusal *gooseberrypass.RequestError
	for n := range rounds {
		for i := range sound {
			if c := f.sendPrompt("/model/", rounds+sound*n+i, fmt.Sprint("first-", i)); c.body.Len() == 0 {
				t.Fatalf("round %d: a sound request with part first-%d got %v, want an answer", n, i, c.failure)
			}
		}
		refusal = f.sendPrompt("/model/", n, "first-0", "deadly").failure
		f.clock.Advance(2 * time.Second)
	}
	crashes := 0
	for _, d := range f.transport.sent {
		if slices.Contains(d.Request.SharedParts, "deadly") {
			crashes++
		}
	}
	if crashes > want {
		t.Errorf("requests with the part at engines: got %d of %d, want at most %d", crashes, rounds, want)
	}
	if refusal == nil || refusal.Outcome != gooseberrypass.OutcomeNotRun || refusal.Reason != gooseberrypass.ReasonPoison || refusal.RetryAfter <= 0 {
		t.Errorf("last refusal: got %+v, want one that has not run, with the time until the part is tried again", refusal)
	}
}

// A request at whose begin two engines broke off is not sent to a third one.
func TestRequestThatBreaksOffAtItsBeginIsNotSentToAllEngines(t *testing.T) {
	f := newFixture(t)
	f.crashOn("deadly")
	c := f.sendPrompt("/model/", 1, "first", "deadly")
	if got, want := len(f.transport.sent), 2; got != want {
		t.Errorf("first request: got %d dispatches, want %d", got, want)
	}
	if c.failure == nil || c.failure.Outcome != gooseberrypass.OutcomeUnknown {
		t.Errorf("first request: got %+v, want an unknown outcome", c.failure)
	}
	f.clock.Advance(2 * time.Second)
	f.sendPrompt("/model/", 2, "first", "deadly")
	if got, want := len(f.transport.sent), 3; got != want {
		t.Errorf("another request with the part: got %d dispatches, want %d", got, want)
	}
}

// A stream that breaks off after an event has not crashed its engine at the begin: it is
// resumed, and its prompt stays above suspicion.
func TestStreamThatBreaksOffLaterIsResumed(t *testing.T) {
	f := newFixture(t)
	sent := 0
	f.transport.onSend = func(gooseberrypass.Dispatch) {
		sent++
		f.transport.reactions = []reaction{{body: "id: 0\n\n", cut: true, version: 1}}
		if sent%2 == 0 {
			f.transport.reactions = []reaction{{body: "id: 1\n\n", version: 1}}
		}
	}
	for n := range 10 {
		if got, want := f.sendPrompt("/stream/", n, "first", "sound").body.String(), "id: 0\n\nid: 1\n\n"; got != want {
			t.Errorf("request %d: got %q, want %q", n, got, want)
		}
		f.clock.Advance(5 * time.Second)
	}
}

// A request with a part that crashes engines broke off before the head of an answer and was
// repeated, and crashed one more engine each time, although others had shown the part.
func TestRequestThatBreaksOffWithoutASignIsNotRepeatedOnceItsPartIsSuspected(t *testing.T) {
	f := newFixture(t)
	f.transport.onSend = func(d gooseberrypass.Dispatch) {
		f.transport.reactions = []reaction{{body: "id: 0\n\n", version: 1}}
		if slices.Contains(d.Request.SharedParts, "deadly") {
			f.transport.reactions = []reaction{{reset: true}}
		}
	}
	dispatches := func(n int, parts ...string) int {
		before := len(f.transport.sent)
		f.sendPrompt("/model/", n, parts...)
		f.clock.Advance(3 * time.Second)
		return len(f.transport.sent) - before
	}
	for n, want := range []int{2, 2, 1} {
		if got := dispatches(n, "first", "deadly"); got != want {
			t.Errorf("request %d with the part: got %d dispatches, want %d", n+1, got, want)
		}
		if got, want := dispatches(10+n, "first", "sound"), 1; got != want {
			t.Errorf("a sound request after %d others: got %d dispatches, want %d", n+1, got, want)
		}
	}
}
