package forwarder_test

import (
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// A request that waits at a full engine must not begin there after the engine's
// version has gone out of use, however long the engine's queue is. It is withdrawn and
// sent to an engine that has the newer version.
func TestWaitingRequestIsWithdrawnBeforeItsVersionExpires(t *testing.T) {
	f := newFixture(t, reaction{hang: true}, reaction{body: threeEvents, version: 2})
	named := f.clock.Now()
	f.snapshot.Targets = map[string]materializer.Targets{"m": {{Since: named, Version: 2}}}
	f.balancer.Handle(named, materializer.Changed{Snapshot: f.snapshot})
	f.clock.Advance(7 * time.Second) // version 1 may be chosen for 200 ms more
	sent, done := make(chan struct{}, 2), make(chan *caller)
	f.transport.onSend = func(gooseberrypass.Dispatch) { sent <- struct{}{} }
	go func() { done <- f.send("/model/x", "key") }()
	<-sent
	for _, id := range []string{"engine-1", "engine-2"} {
		f.balancer.SetEndpointStatus(f.clock.Now(), balancer.EndpointStatus{Address: id, Models: map[string]int{"m": 2}})
	}
	f.clock.Advance(699 * time.Millisecond)
	if got, want := len(sent), 0; got != want {
		t.Errorf("dispatches before the cutoff: got %d more, want %d", got, want)
	}
	f.clock.Advance(time.Millisecond) // 300 ms before version 1 expires
	c := <-done
	if got := c.body.String(); got != threeEvents {
		t.Errorf("body: got %q, want %q", got, threeEvents)
	}
	if got, want := len(f.transport.sent), 2; got != want {
		t.Fatalf("dispatches: got %d, want %d", got, want)
	}
	first := f.transport.sent[0].Endpoint.ID
	other := f.transport.sent[1].Endpoint.ID
	if _, err := f.balancer.Choose(balancer.Query{Model: "m", Service: "engines", Tried: []gooseberrypass.ID{other}}); err != nil {
		t.Errorf("engine %s is not at fault and must not be ejected: %v", first, err)
	}
}

// A version is named, or an entry learns of it late, while a request waits at an engine.
// The request must not begin after the bound, although none was known when it was sent.
func TestWaitingRequestIsWithdrawnBeforeTheBoundOfAVersionNamedMeanwhile(t *testing.T) {
	f := newFixture(t, reaction{hang: true}, reaction{body: threeEvents, version: 2})
	sent, done := make(chan struct{}, 2), make(chan *caller)
	f.transport.onSend = func(gooseberrypass.Dispatch) { sent <- struct{}{} }
	go func() { done <- f.send("/model/x", "key") }()
	<-sent
	first := f.transport.sent[0].Endpoint
	for _, id := range []string{"engine-1", "engine-2"} {
		if id != first.Address {
			f.balancer.SetEndpointStatus(f.clock.Now(), balancer.EndpointStatus{Address: id, Models: map[string]int{"m": 2}})
		}
	}
	snapshot := *f.snapshot
	snapshot.Targets = map[string]materializer.Targets{"m": {{Since: f.clock.Now().Add(-7 * time.Second), Version: 2}}}
	f.balancer.Handle(f.clock.Now(), materializer.Changed{Snapshot: &snapshot})
	f.clock.Advance(699 * time.Millisecond)
	if got, want := len(sent), 0; got != want {
		t.Errorf("dispatches before the cutoff: got %d more, want %d", got, want)
	}
	f.clock.Advance(time.Millisecond) // 300 ms before version 1 expires
	select {
	case <-sent:
	case <-time.After(5 * time.Second):
		t.Fatal("the request still waits at the engine of the older version")
	}
	if got := (<-done).body.String(); got != threeEvents {
		t.Errorf("body: got %q, want %q", got, threeEvents)
	}
}
