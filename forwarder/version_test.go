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

// A request was sent to an engine behind a link that had just been squeezed, shortly before the
// margin. It arrived after the bound and began on the older version; its withdrawal came behind
// it on the same link. Requests whose way is as short as usual must not be held up.
func TestRequestThatWouldArriveAfterTheBoundDoesNotRun(t *testing.T) {
	tests := map[string]struct {
		sentAt, onWay time.Duration // the time after the naming, and to the engine
		elsewhere     bool          // it runs at the engine with the newer version instead
	}{
		"arrives after the bound":         {sentAt: 7 * time.Second, onWay: 1100 * time.Millisecond, elsewhere: true},
		"the rest may arrive after it":    {sentAt: 6 * time.Second, onWay: 900 * time.Millisecond, elsewhere: true},
		"arrives before it by the margin": {sentAt: 5 * time.Second, onWay: 700 * time.Millisecond},
		"the usual way":                   {sentAt: 7190 * time.Millisecond, onWay: 6 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, reaction{body: threeEvents, version: 1, onWay: tt.onWay}, reaction{body: threeEvents, version: 2})
			named := f.clock.Now()
			f.snapshot.Targets = map[string]materializer.Targets{"m": {{Since: named, Version: 2}}}
			f.balancer.Handle(named, materializer.Changed{Snapshot: f.snapshot})
			f.clock.Advance(tt.sentAt)
			first := gooseberrypass.ID("")
			f.transport.onSend = func(d gooseberrypass.Dispatch) {
				if first != "" {
					return
				}
				first = d.Endpoint.ID
				for _, id := range []string{"engine-1", "engine-2"} {
					if id != d.Endpoint.Address {
						f.balancer.SetEndpointStatus(f.clock.Now(), balancer.EndpointStatus{Address: id, Models: map[string]int{"m": 2}})
					}
				}
			}
			c := f.send("/model/x", "key")
			if got := c.body.String(); got != threeEvents {
				t.Errorf("body: got %q (%v), want %q", got, c.failure, threeEvents)
			}
			if got, want := len(f.transport.ran), 1; got != want {
				t.Fatalf("runs: got %d, want %d", got, want)
			}
			ran := f.transport.ran[0]
			if got, want := ran.endpoint != first, tt.elsewhere; got != want {
				t.Errorf("ran at the engine with the newer version: got %t, want %t", got, want)
			}
			if got, limit := ran.at.Sub(named), 8*time.Second; ran.endpoint == first && got > limit {
				t.Errorf("began on version 1 after %v, want at most %v", got, limit)
			}
		})
	}
}
