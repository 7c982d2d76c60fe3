package forwarder_test

import (
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// sendToLostEndpoint sends a request to an endpoint that dies without a sign, and
// returns its caller and how long it waited for the next attempt.
func sendToLostEndpoint(t *testing.T, path string, heardByOther bool) (*caller, time.Duration) {
	t.Helper()
	f := newFixture(t, reaction{hang: true}, reaction{body: threeEvents, version: 1})
	f.useLossPoll(t)
	sent, done := make(chan gooseberrypass.Dispatch, 2), make(chan *caller, 1)
	f.transport.onSend = func(d gooseberrypass.Dispatch) { sent <- d }
	begin := f.clock.Now()
	go func() { done <- f.send(path, "key") }()
	first := <-sent
	for f.clock.Now().Sub(begin) < 10*time.Second {
		load := balancer.Load{Requests: 1, Stalled: !heardByOther}
		f.balancer.SetEntryLoads(f.clock.Now(), "other", map[gooseberrypass.ID]balancer.Load{first.Endpoint.ID: load})
		armed := make(chan error, 1) // the limit, the timeout and the next check
		go func() { armed <- f.clock.BlockUntilContext(t.Context(), 3) }()
		select {
		case c := <-done:
			return c, f.clock.Now().Sub(begin)
		case err := <-armed:
			if err != nil {
				t.Fatal(err)
			}
			f.clock.Advance(100 * time.Millisecond)
		}
	}
	t.Fatal("the request did not end")
	return nil, 0
}

// After an engine loses power its requests hang. They go elsewhere as soon as no entry
// hears from it, long before the timeout for an engine that is only slow.
func TestRequestLeavesALostEndpoint(t *testing.T) {
	c, took := sendToLostEndpoint(t, "/model/x", false)
	if got := c.body.String(); got != threeEvents {
		t.Errorf("body: got %q, want %q", got, threeEvents)
	}
	if most := 700 * time.Millisecond; took > most {
		t.Errorf("took %s, want at most %s", took, most)
	}
}

func TestRequestStaysAtAnEndpointThatOthersHearFrom(t *testing.T) {
	c, took := sendToLostEndpoint(t, "/model/x", true)
	if got := c.body.String(); got != threeEvents {
		t.Errorf("body: got %q, want %q", got, threeEvents)
	}
	if least := 3 * time.Second; took < least { // the timeout of the head: three objectives
		t.Errorf("took %s, want at least %s", took, least)
	}
}
