package balancer_test

import (
	"testing"
	"time"
)

// The records of all endpoints expired in an outage of the store, and this process was
// suspended. It took every endpoint for lost and withdrew all requests.
func TestSilenceOfMostLapsedEndpointsLosesNone(t *testing.T) {
	const stall = 400 * time.Millisecond
	s := settings()
	s.StallTimeout, s.StallFactor = stall, 1
	f := newFixtureWith(t, 3, s)
	for i := range f.snapshot.Endpoints {
		f.snapshot.Endpoints[i].Lapsed = true
	}
	f.publish()
	for range 6 {
		f.choose(t)
	}
	ticket := f.choose(t)
	f.clock.Advance(2*stall + 1)
	if ticket.EndpointLost() {
		t.Error("the endpoint counts as lost although all are silent")
	}
}
