package balancer_test

import (
	"testing"

	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// Under overload entries of all regions took the last places of an engine at the same time, as
// they learn of its load late, and the surplus requests were answered late.
func TestScheduledRequestsLeaveTheLastPlacesOfOtherRegions(t *testing.T) {
	s := settings()
	s.Fill, s.RemoteFill = 1, 0.5
	for name, tc := range map[string]struct {
		scheduled, evacuated bool
		want                 int // requests at engines of the other region
	}{
		"scheduled":                             {scheduled: true, want: 2},
		"not scheduled":                         {want: 4},
		"no engine of the own region serves":    {scheduled: true, evacuated: true, want: 4},
		"not scheduled, none of the own region": {evacuated: true, want: 4},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixtureWith(t, 2, s)
			if tc.evacuated {
				f.snapshot.Endpoints[0].Leaving = true
				f.publish()
			}
			got := 0
			for range 20 {
				ticket, err := f.balancer.Choose(balancer.Query{Model: "m", Scheduled: tc.scheduled, Service: "s"})
				if err == nil && ticket.Endpoint().FailureDomain == "r1" {
					got++
				}
			}
			if got != tc.want {
				t.Errorf("got %d requests at the engine of the other region, want %d", got, tc.want)
			}
		})
	}
}
