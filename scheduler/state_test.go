package scheduler_test

import (
	"errors"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/scheduler"
)

// An entry without requests of its own kept the reports of entries that had crashed.
func TestReportsExpireWithoutOwnRequests(t *testing.T) {
	f := newFixture(t)
	f.SetEntryBacklogs(f.clock.Now(), "b", map[gooseberrypass.ID]scheduler.Backlog{"s": {Waiting: []int{1}}})
	f.clock.Advance(3 * time.Second)
	f.Handle(f.clock.Now(), gooseberrypass.Tick{})
	if got := f.Reports(); got != 0 {
		t.Errorf("got %d reports after their time to live, want none", got)
	}
}

// waitingSeries returns the number of ranks whose waiting requests the metrics show.
func (f *fixture) waitingSeries() int {
	f.t.Helper()
	families, err := f.registry.Gather()
	if err != nil {
		f.t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == "gooseberrypass_scheduler_waiting" {
			return len(family.GetMetric())
		}
	}
	return 0
}

// The state of a service that had left the configuration was kept for ever, and the gauges of a
// rank that no longer existed kept their last values.
func TestStateFollowsTheConfiguration(t *testing.T) {
	f := newFixture(t)
	w := f.wait(2, "a", 0)
	f.Handle(f.clock.Now(), gooseberrypass.Tick{})
	if got := f.waitingSeries(); got != 3 {
		t.Errorf("got gauges of %d ranks, want 3", got)
	}
	fewer := f.request(0, "a", 0)
	fewer.Ranks = 2
	other, _, _ := f.Enter(fewer)
	f.Handle(f.clock.Now(), gooseberrypass.Tick{})
	if got := f.waitingSeries(); got != 2 {
		t.Errorf("got gauges of %d ranks after the configuration has two, want 2", got)
	}
	f.clock.Advance(2 * time.Minute)
	f.Handle(f.clock.Now(), gooseberrypass.Tick{})
	if got := f.Services(); got != 1 {
		t.Errorf("got the state of %d services while requests wait, want 1", got)
	}
	f.chooser.free = 1
	f.Serve("s", false)
	if _, err := f.Leave(w, true); err == nil {
		t.Error("got a place for the less urgent request, want a refusal")
	}
	f.Handle(f.clock.Now(), gooseberrypass.Tick{})
	if got := f.Services(); got != 0 {
		t.Errorf("got the state of %d services without requests, want none", got)
	}
	if got := f.waitingSeries(); got != 0 {
		t.Errorf("got gauges of %d ranks without requests, want none", got)
	}
	if ticket, err := f.Leave(other, true); ticket == nil || err != nil {
		t.Errorf("got ticket %v, error %v after the state was dropped, want the place that was given before", ticket, err)
	}
}

// A request that only regions without endpoints may serve waited behind others until the end of
// its wait, in place of an immediate refusal.
func TestRequestWithoutAnyEndpointDoesNotWait(t *testing.T) {
	f := newFixture(t)
	f.wait(1, "a", 0)
	r := f.request(1, "b", 0)
	r.Query.Regions = gooseberrypass.RegionSet{"gone": {}}
	w, ticket, err := f.Enter(r)
	var refusal *gooseberrypass.RequestError
	if w != nil || ticket != nil || !errors.As(err, &refusal) || refusal.Reason != gooseberrypass.ReasonNoEndpoint {
		t.Errorf("got waiter %v, ticket %v, error %v, want a refusal for lack of an endpoint", w, ticket, err)
	}
}
