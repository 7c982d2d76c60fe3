package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// The order of entries at free places follows the time of day. If that jumped at some entries,
// an entry that then never took a place, or many more entries than places, would delay requests.
func TestFreePlacesAreSharedAlsoIfTimesOfDayDiffer(t *testing.T) {
	const entries, epochs, free = 14, 400, 3
	for name, jump := range map[string]time.Duration{"equal times": 0, "times that jump": 365 * 24 * time.Hour} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			s := settings()
			s.Fill = 1
			id := func(i int) gooseberrypass.ID { return gooseberrypass.ID(fmt.Sprintf("entry-%d", i)) }
			snapshot := &materializer.Snapshot{Endpoints: []gooseberrypass.Endpoint{{Address: "a", ID: "e", Models: map[string]int{"m": 1}, Service: "s", Slots: 12}}}
			took, total := make([]int, entries), 0
			for i := range entries {
				clock := clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0))
				b := balancer.New(clock, balancer.Self{ID: id(i)}, func(gooseberrypass.FailureDomain) gooseberrypass.Region { return "" }, s, 1, quietLogger())
				b.Handle(clock.Now(), materializer.Changed{Snapshot: snapshot})
				b.SetEntryLoads(clock.Now(), "other", map[gooseberrypass.ID]balancer.Load{"e": {Requests: 12 - free}})
				var rivals []uint64
				for j := range entries {
					if j != i {
						rivals = append(rivals, balancer.RivalKey(id(j)))
					}
				}
				if jump > 0 {
					clock.Advance(time.Duration(rng.Int64N(int64(jump))) - jump/2)
				}
				for range epochs {
					clock.Advance(100 * time.Millisecond)
					if ticket, err := b.Choose(balancer.Query{Model: "m", Rivals: rivals, Scheduled: true, Service: "s"}); err == nil {
						ticket.Done(balancer.ResultInconclusive)
						took[i]++
						total++
					}
				}
			}
			if jump == 0 && total != free*epochs {
				t.Errorf("got %d places taken with equal times, want %d", total, free*epochs)
			}
			if got := float64(total) / epochs; got < 0.9*free || got > 1.1*free {
				t.Errorf("got %.2f entries that take one of %d places, want as many as places", got, free)
			}
			for i, n := range took {
				if n < epochs*free/entries/2 {
					t.Errorf("entry %d: got %d places, want its share of about %d", i, n, epochs*free/entries)
				}
			}
		})
	}
}

// A request waits for capacity only if an endpoint that may serve it is there, also a full one.
func TestServesTellsFullEndpointsFromNone(t *testing.T) {
	f := newFixture(t, 2)
	q := balancer.Query{Model: "m", Regions: gooseberrypass.RegionSet{"r0": {}}, Service: "s"}
	for {
		if _, err := f.balancer.Choose(q); err != nil {
			break
		}
	}
	if !f.balancer.Serves(q) {
		t.Error("got false for a full endpoint, want true")
	}
	f.evacuate(time.Time{})
	if f.balancer.Serves(q) {
		t.Error("got true for an evacuated endpoint, want false")
	}
	q.Regions = nil
	if !f.balancer.Serves(q) {
		t.Error("got false for the endpoint of the other region, want true")
	}
	q.Service = "other"
	if f.balancer.Serves(q) {
		t.Error("got true for an unknown service, want false")
	}
}
