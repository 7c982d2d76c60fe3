package balancer_test

import (
	"testing"

	"github.com/gooseberrypass/gooseberrypass"
)

// An endpoint whose record expired during an outage may be gone. It gets requests only
// while no other endpoint has room, also none of another region.
func TestLapsedEndpointGetsNothingWhileAnotherHasRoom(t *testing.T) {
	f := newFixture(t, 3) // engines of 4 slots, Fill 1.25; e0 and e2 are in the own region
	f.snapshot.Endpoints[0].Lapsed = true
	f.publish()
	const places = 5
	for range 2 * places {
		if got := f.choose(t).Endpoint().ID; got == "e0" {
			t.Fatal("the lapsed endpoint was chosen while another one had room")
		}
	}
	for range places {
		if got, want := f.choose(t).Endpoint().ID, gooseberrypass.ID("e0"); got != want {
			t.Errorf("with all others full: got %s, want %s", got, want)
		}
	}
	f.assertRefused(t, gooseberrypass.ReasonOverloaded)
}
