package balancer_test

import (
	"math"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

func newPaceFixture(t *testing.T) *fixture {
	t.Helper()
	s := settings()
	s.PaceTTL, s.PaceWeight, s.EnginePenalty = 600*time.Millisecond, 1, 0
	return newFixtureWith(t, 2, s)
}

// chosenFirst returns how many of 20 requests, each alone, go to e0.
func (f *fixture) chosenFirst(t *testing.T) int {
	t.Helper()
	n := 0
	for range 20 {
		ticket := f.choose(t)
		if ticket.Endpoint().ID == "e0" {
			n++
		}
		ticket.Done(balancer.ResultInconclusive)
	}
	return n
}

// reportPace makes another entry report the pace of e0, and one request at each endpoint.
func (f *fixture) reportPace(from gooseberrypass.ID, pace float64, age time.Duration) {
	f.balancer.SetEntryLoads(f.clock.Now(), from, map[gooseberrypass.ID]balancer.Load{
		"e0": {Pace: pace, PaceAge: age, Requests: 1}, "e1": {Requests: 1},
	})
}

// A slow endpoint got as many requests as others, or, with a pace that is out of date, too
// few. Absurd figures must neither exclude an endpoint nor draw all requests.
func TestPaceOfAnEndpointCountsWhileItIsRecent(t *testing.T) {
	tests := map[string]struct {
		age         time.Duration
		fewer, more bool
		pace        float64
		wait        time.Duration
	}{
		"slow":              {pace: 2.5, fewer: true},
		"fast":              {pace: 0.5, more: true},
		"slow, old":         {pace: 2.5, age: 600 * time.Millisecond},
		"slow, a while ago": {pace: 2.5, wait: 600 * time.Millisecond},
		"zero":              {pace: 0}, "negative": {pace: -3}, "not a number": {pace: math.NaN()}, "infinite": {pace: math.Inf(1)},
		"absurd": {pace: 1e9, fewer: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newPaceFixture(t)
			f.reportPace("other", tt.pace, tt.age)
			f.clock.Advance(tt.wait)
			n := f.chosenFirst(t)
			if fewer, more := n == 0, n == 20; fewer != tt.fewer || more != tt.more {
				t.Errorf("got %d of 20 at the endpoint; fewer %t, more %t, want %t, %t", n, fewer, more, tt.fewer, tt.more)
			}
			for range 8 { // Fill 1.25 of 2 engines of 4 slots, one request there from the other entry
				f.choose(t)
			}
			f.assertRefused(t, gooseberrypass.ReasonOverloaded)
		})
	}
}

// Messages overtake one another, so an older pace must not replace a newer one, and the load
// and the paces of an entry that dies must not be kept.
func TestNewestPaceOfAllEntriesCounts(t *testing.T) {
	f := newPaceFixture(t)
	f.reportPace("first", 2.5, 50*time.Millisecond)
	f.reportPace("second", 0.5, 400*time.Millisecond)
	if got := f.chosenFirst(t); got != 0 {
		t.Errorf("with an older report: got %d of 20 at the slow endpoint, want 0", got)
	}
	f.reportPace("second", 0.5, 0)
	if got := f.chosenFirst(t); got != 20 {
		t.Errorf("with a newer report: got %d of 20 at the fast endpoint, want 20", got)
	}
	f.clock.Advance(3 * time.Second)
	f.balancer.Handle(f.clock.Now(), gooseberrypass.Tick{})
	if got := f.balancer.PacedEndpoints(); got != 0 {
		t.Errorf("endpoints with a pace after the entries died: got %d, want 0", got)
	}
	if got := f.chosenFirst(t); got == 0 || got == 20 {
		t.Errorf("after the entries died: got %d of 20, want some", got)
	}
}

// Entries must tell only what they heard themselves: an age grows with each entry that hands
// a pace on. A pace is told also if the entry has no request there any more.
func TestOwnLoadsHaveOwnPaces(t *testing.T) {
	f := newPaceFixture(t)
	if f.balancer.SharesMachines("s") {
		t.Error("before any pace: got shared machines, want none")
	}
	f.reportPace("other", 2.5, 0)
	if got := f.balancer.OwnLoads(); len(got) != 0 {
		t.Errorf("loads with a pace of another entry: got %v, want none", got)
	}
	ticket := f.choose(t)
	ticket.PaceReceived(1.5)
	ticket.Done(balancer.ResultAnswered)
	f.clock.Advance(200 * time.Millisecond)
	want := balancer.Load{Pace: 1.5, PaceAge: 200 * time.Millisecond}
	if got := f.balancer.OwnLoads()[ticket.Endpoint().ID]; got != want {
		t.Errorf("load: got %+v, want %+v", got, want)
	}
	f.clock.Advance(400 * time.Millisecond)
	if got := f.balancer.OwnLoads(); len(got) != 0 {
		t.Errorf("loads with an old pace: got %v, want none", got)
	}
	f.clock.Advance(29 * time.Second)
	if !f.balancer.SharesMachines("s") {
		t.Error("29 s after a pace: got no shared machines")
	}
	f.clock.Advance(time.Second)
	f.balancer.Handle(f.clock.Now(), gooseberrypass.Tick{})
	if f.balancer.SharesMachines("s") {
		t.Error("30 s after the last pace: got shared machines, want none")
	}
}

// What an endpoint said before it restarted says nothing about it now.
func TestPaceEndsWithTheStartOfAnEndpoint(t *testing.T) {
	f := newPaceFixture(t)
	f.snapshot.Endpoints[0].StartMillis, f.snapshot.Endpoints[1].StartMillis = 1000, 1000
	f.publish()
	ticket := f.choose(t)
	ticket.PaceReceived(2.5)
	for i := range f.snapshot.Endpoints {
		f.snapshot.Endpoints[i].StartMillis = 2000
	}
	f.publish()
	if got := f.balancer.PacedEndpoints(); got != 0 {
		t.Errorf("endpoints with a pace after their restart: got %d, want 0", got)
	}
	ticket.PaceReceived(2.5)
	if got := f.balancer.PacedEndpoints(); got != 0 {
		t.Errorf("endpoints with a pace of the start before: got %d, want 0", got)
	}
}
