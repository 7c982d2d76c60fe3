package balancer_test

import (
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

func limited(rate float64) gooseberrypass.Advisory {
	return gooseberrypass.Advisory{Limited: true, Rate: rate}
}

// Of what entries heard from an endpoint, the newest counts, whoever heard it.
func TestNewestAdvisoryCounts(t *testing.T) {
	f := newFixture(t, 1)
	report := func(age time.Duration, a gooseberrypass.Advisory) {
		f.balancer.AddAdvisories(f.clock.Now(), "other", []balancer.AdvisoryReport{{Advisory: a, Age: age, Endpoint: "e0"}})
	}
	assertLimited := func(want int) {
		t.Helper()
		if got := f.balancer.LimitedEndpoints(); got != want {
			t.Errorf("limited endpoints: got %d, want %d", got, want)
		}
	}
	ticket := f.choose(t)
	f.clock.Advance(time.Second)
	ticket.AdvisoryReceived(limited(4))
	assertLimited(1)
	report(500*time.Millisecond, gooseberrypass.Advisory{})
	f.clock.Advance(time.Second)
	report(1500*time.Millisecond, gooseberrypass.Advisory{})
	assertLimited(1)
	report(500*time.Millisecond, gooseberrypass.Advisory{})
	assertLimited(0)
	report(700*time.Millisecond, limited(4))
	assertLimited(0)
	report(100*time.Millisecond, limited(4))
	assertLimited(1)
	ticket.AdvisoryReceived(gooseberrypass.Advisory{})
	assertLimited(0)
}

// An entry reports what it heard itself: a limit while it is fresh, and the end of one
// for as long as others may remember the limit.
func TestOwnAdvisoriesAreReported(t *testing.T) {
	f := newFixture(t, 1)
	assertReports := func(want ...balancer.AdvisoryReport) {
		t.Helper()
		got := f.balancer.OwnAdvisories()
		if len(got) != len(want) || len(got) == 1 && got[0] != want[0] {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	ticket := f.choose(t)
	ticket.AdvisoryReceived(gooseberrypass.Advisory{})
	assertReports()
	ticket.AdvisoryReceived(limited(4))
	f.clock.Advance(2 * time.Second)
	assertReports(balancer.AdvisoryReport{Advisory: limited(4), Age: 2 * time.Second, Endpoint: "e0"})
	f.clock.Advance(time.Second)
	assertReports()
	ticket.AdvisoryReceived(gooseberrypass.Advisory{})
	f.clock.Advance(29 * time.Second)
	assertReports(balancer.AdvisoryReport{Age: 29 * time.Second, Endpoint: "e0"})
	f.clock.Advance(time.Second)
	assertReports()
	f.balancer.AddAdvisories(f.clock.Now(), "other", []balancer.AdvisoryReport{{Advisory: limited(4), Endpoint: "e0"}})
	assertReports() // the other entry reports it
}

// A limit that no entry hears any more does not last for ever.
func TestLimitIsForgotten(t *testing.T) {
	f := newFixture(t, 1)
	f.choose(t).AdvisoryReceived(limited(4))
	f.clock.Advance(29 * time.Second)
	f.balancer.Handle(f.clock.Now(), gooseberrypass.Tick{})
	if got, want := f.balancer.LimitedEndpoints(), 1; got != want {
		t.Errorf("limited endpoints after 29 s: got %d, want %d", got, want)
	}
	f.clock.Advance(time.Second)
	f.balancer.Handle(f.clock.Now(), gooseberrypass.Tick{})
	if got, want := f.balancer.LimitedEndpoints(), 0; got != want {
		t.Errorf("limited endpoints after 30 s: got %d, want %d", got, want)
	}
}

// An answer that ends after its endpoint has left the list counted for a listed one.
func TestAdvisoryOfAnUnlistedEndpointIsNotReported(t *testing.T) {
	f := newFixture(t, 1)
	ticket := f.choose(t)
	listed := f.snapshot
	empty := *listed
	empty.Endpoints = nil
	f.snapshot = &empty
	f.publish()
	ticket.AdvisoryReceived(limited(4))
	assertNone := func(when string) {
		t.Helper()
		if got := f.balancer.LimitedEndpoints(); got != 0 {
			t.Errorf("%s: limited endpoints: got %d, want 0", when, got)
		}
		if got := f.balancer.OwnAdvisories(); len(got) != 0 {
			t.Errorf("%s: advisories: got %+v, want none", when, got)
		}
		if got := f.balancer.OwnDemand(); len(got) != 0 {
			t.Errorf("%s: demand: got %v, want none", when, got)
		}
	}
	assertNone("while not listed")
	f.snapshot = listed
	f.publish()
	ticket.AdvisoryReceived(limited(4))
	assertNone("after it is listed again")
}
