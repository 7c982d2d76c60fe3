package forwarder_test

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/scheduler"
)

// useScheduler schedules all services.
func (f *fixture) useScheduler(t *testing.T) *scheduler.Scheduler {
	t.Helper()
	s, err := scheduler.New(f.clock, f.balancer, scheduler.Settings{LeastWaitShare: 0.12, MaxWaiting: 10, Mode: scheduler.ModeAlways, MostWaitShare: 0.4}, 1, prometheus.NewRegistry(), f.logger)
	if err != nil {
		t.Fatal(err)
	}
	f.balancer.OnCapacity(s.Serve)
	f.scheduler = s
	if f.forwarder, err = f.build(f.balancer); err != nil {
		t.Fatal(err)
	}
	return s
}

// A place that an entry gave back was seen by all entries that polled for one. A waiting request
// must get it in the moment in which the other one ends, without time passing.
func TestWaitingRequestTakesAPlaceInTheMomentItIsFreed(t *testing.T) {
	f := newFixture(t, reaction{body: "id: 0\n\n", version: 1})
	f.useScheduler(t)
	held := make([]*balancer.Ticket, 0, 8)
	for range 8 {
		ticket, err := f.balancer.Choose(balancer.Query{Model: "m", Service: "engines"})
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, ticket)
	}
	done := make(chan *caller)
	go func() { done <- f.send("/model/", "key") }()
	if err := f.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	held[0].Done(balancer.ResultAnswered)
	if got := <-done; got.status != 200 {
		t.Errorf("got status %d (%+v), want 200", got.status, got.failure)
	}
	if got, want := f.transport.sent[0].Endpoint.ID, held[0].Endpoint().ID; got != want {
		t.Errorf("got endpoint %s, want %s, which became free", got, want)
	}
}

// A caller that leaves while its request waits must neither keep it in the queue nor take a place.
func TestWaitingRequestLeavesWithItsCaller(t *testing.T) {
	f := newFixture(t, reaction{body: "id: 0\n\n", version: 1})
	s := f.useScheduler(t)
	for range 8 {
		if _, err := f.balancer.Choose(balancer.Query{Model: "m", Service: "engines"}); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() { _ = recover() }() // the answer is aborted
		f.forwarder.HandleProxyRequest(ctx, &gooseberrypass.ProxyRequest{AccountKey: "key", Deadline: f.clock.Now().Add(5 * time.Second), Host: "h", ID: "id", LastEvent: -1, Path: "/model/"}, &caller{})
	}()
	if err := f.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	cancel()
	<-done
	if got := s.OwnBacklogs(); got != nil {
		t.Errorf("got backlog %v, want none", got)
	}
	if got := len(f.transport.sent); got != 0 {
		t.Errorf("got %d dispatches, want none", got)
	}
}
