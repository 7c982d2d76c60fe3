package forwarder_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// evacuate evacuates the failure domains of all endpoints but those named.
func (f *fixture) evacuate(except ...gooseberrypass.ID) {
	snapshot := *f.snapshot
	snapshot.Evacuated = map[gooseberrypass.FailureDomain]struct{}{"z": {}}
	snapshot.Endpoints = slices.Clone(snapshot.Endpoints)
	for i := range snapshot.Endpoints {
		if e := &snapshot.Endpoints[i]; !slices.Contains(except, e.ID) {
			e.FailureDomain = "z"
		}
	}
	f.balancer.Handle(f.clock.Now(), materializer.Changed{Snapshot: &snapshot})
}

// others returns the plain endpoints without one, in order.
func others(not gooseberrypass.ID) []gooseberrypass.ID {
	return slices.DeleteFunc([]gooseberrypass.ID{"a", "b", "c"}, func(id gooseberrypass.ID) bool { return id == not })
}

// Requests reached endpoints of a failure domain that the operator had evacuated: first
// attempts, and further ones that begin when the evacuation is known.
func TestEvacuatedEndpointGetsNoRequest(t *testing.T) {
	for name, tc := range map[string]struct {
		path      string
		reactions []reaction
		moves     bool // the endpoint of the first attempt is about to load a version
	}{
		"first attempt":          {"/once/x", []reaction{{body: "ok"}}, false},
		"repeat after a break":   {"/safe/x", []reaction{{reset: true}, {body: "ok"}}, false},
		"repeat after a refusal": {"/once/x", []reaction{{notRun: true, status: 503}, {body: "ok"}}, false},
		"stream that is resumed": {"/stream/x", []reaction{{body: "id: 0\ndata: a\n\n", cut: true, version: 1}, {body: "id: 1\ndata: b\n\nid: 2\ndata: c\n\n", version: 1}}, false},
		"stream that moves":      {"/stream/x", []reaction{{body: threeEvents, version: 1}, {body: "id: 1\ndata: b\n\nid: 2\ndata: c\n\n", version: 1}}, true},
	} {
		for i := range 2 { // each of the two that are left in turn, as the choice is random
			t.Run(fmt.Sprint(name, " ", i), func(t *testing.T) {
				f := newFixture(t, tc.reactions...)
				left := others("c")[i]
				if len(tc.reactions) == 1 {
					f.evacuate(left)
				}
				if tc.moves {
					f.loadDuringFirstAttempt()
				}
				load := f.transport.onSend
				f.transport.onSend = func(d gooseberrypass.Dispatch) {
					if load != nil {
						load(d)
					}
					if len(tc.reactions) == 2 && len(f.transport.sent) == 1 {
						left = others(d.Endpoint.ID)[i]
						f.evacuate(left)
					}
				}
				c := f.send(tc.path, "key")
				if c.failure != nil || c.aborted || c.body.Len() == 0 {
					t.Errorf("got %q (aborted %t, %v), want an answer", c.body.String(), c.aborted, c.failure)
				}
				if got, want := len(f.transport.sent), len(tc.reactions); got != want {
					t.Fatalf("got %d attempts, want %d", got, want)
				}
				if got := f.transport.sent[len(tc.reactions)-1].Endpoint.ID; got != left {
					t.Errorf("the last attempt went to %s, want %s, the only one that is not evacuated", got, left)
				}
			})
		}
	}
}

// A request at an endpoint that gives no sign is tried at another one beside it, which must
// not be in an evacuated failure domain either. A stream in progress there goes on.
func TestAttemptBesideAnotherAvoidsEvacuatedEndpoints(t *testing.T) {
	s := newStage(t, nil)
	first := s.next()
	first.begin(1)
	first.send(0)
	left := others(first.dispatch.Endpoint.ID)[1]
	s.evacuate(left)
	second := s.next()
	if got := second.dispatch.Endpoint.ID; got != left {
		t.Errorf("got an attempt at %s, want one at %s, the only one that is not evacuated", got, left)
	}
	second.begin(1)
	go second.finish(1)
	checkWhole(t, s.end())
}

// A stream at an endpoint whose failure domain is evacuated runs to its end there.
func TestStreamAtAnEvacuatedEndpointGoesOn(t *testing.T) {
	s := newStage(t, nil)
	first := s.next()
	first.begin(1)
	first.send(0)
	s.evacuate()
	go first.finish(1)
	checkWhole(t, s.end())
}

// A request waited for its share of the objective, or was told to come back much later,
// although no endpoint could take it.
func TestRequestIsRefusedAtOnceIfAllEndpointsAreEvacuated(t *testing.T) {
	f := newFixture(t, reaction{body: "ok"})
	f.evacuate()
	before := f.clock.Now()
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/model/x"} {
		c := f.send(path, "key")
		if c.failure == nil || c.failure.Outcome != gooseberrypass.OutcomeNotRun || c.failure.Reason != gooseberrypass.ReasonNoEndpoint || !strings.Contains(c.failure.Detail, " evacuated") {
			t.Fatalf("%s: got %v, want a refusal as not run that names the evacuation", path, c.failure)
		}
		if got, want := c.failure.RetryAfter, time.Second; got != want {
			t.Errorf("%s: got a retry after %s, want the usual %s", path, got, want)
		}
	}
	if got := f.clock.Since(before); got != 0 || len(f.transport.sent) != 0 {
		t.Errorf("got refused after %s with %d attempts, want at once with none", got, len(f.transport.sent))
	}
}
