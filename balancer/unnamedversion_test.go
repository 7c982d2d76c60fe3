package balancer_test

import (
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// A request to an engine that is believed to have the first of two versions named of late named
// no version. An engine that has crashed and was loaded with an older one ran it, and it was
// withdrawn only at the second version's bound.
func TestVersionInBetweenIsExpectedBeforeItIsRequired(t *testing.T) {
	f := newFixture(t, 1)
	now := f.clock.Now()
	f.snapshot.Targets = map[string]materializer.Targets{"m": {{Since: now.Add(-5 * time.Second), Version: 2}, {Since: now.Add(-3 * time.Second), Version: 3}}}
	f.snapshot.Endpoints[0].Models = map[string]int{"m": 2}
	f.publish()
	ticket := f.choose(t)
	var latest time.Time
	stop := ticket.WatchMustBegin(func(at time.Time) { latest = at })
	defer stop()
	if got, want := ticket.ExpectedVersion(), 2; got != want {
		t.Errorf("expected version: got %d, want %d, the request may begin on any until %s", got, want, latest.Sub(now))
	}
}
