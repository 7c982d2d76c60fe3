package balancer_test

import (
	"errors"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

func pausing(d time.Duration) gooseberrypass.Advisory { return gooseberrypass.Advisory{Pause: d} }

// refuse lets the endpoint of a request refuse it and ask for a pause.
func refuse(ticket *balancer.Ticket, d time.Duration) {
	ticket.AdvisoryReceived(pausing(d))
	ticket.Done(balancer.ResultFull)
}

// An endpoint that had turned a request away and asked for a pause got further requests.
func TestPausingEndpointGetsNothing(t *testing.T) {
	f := newFixture(t, 1)
	running := f.choose(t)
	refuse(f.choose(t), 3*time.Second)
	for range 29 {
		f.clock.Advance(100 * time.Millisecond)
		f.balancer.Handle(f.clock.Now(), gooseberrypass.Tick{})
		running.HeadReceived(time.Millisecond) // requests that run there go on
		running.EventReceived()
		f.assertRefused(t, gooseberrypass.ReasonOverloaded)
	}
	f.clock.Advance(100 * time.Millisecond)
	f.choose(t)
}

// The longest of several pauses counts: answers overtake one another.
func TestLongestPauseCounts(t *testing.T) {
	f := newFixture(t, 1)
	first, second := f.choose(t), f.choose(t)
	refuse(first, 5*time.Second)
	f.clock.Advance(time.Second)
	refuse(second, time.Second)
	f.clock.Advance(3900 * time.Millisecond)
	f.assertRefused(t, gooseberrypass.ReasonOverloaded)
	f.clock.Advance(100 * time.Millisecond)
	f.choose(t)
}

// While all endpoints pause, requests are refused at once with the time until the first
// pause ends. Then each endpoint gets one request, and more only once it answers.
func TestNoHerdWhenPausesEnd(t *testing.T) {
	const endpoints, length = 4, 2 * time.Second
	f := newFixture(t, endpoints)
	for range endpoints {
		refuse(f.choose(t), length)
	}
	_, err := f.balancer.Choose(balancer.Query{Model: "m", Service: "s"})
	var refusal *gooseberrypass.RequestError
	if !errors.As(err, &refusal) || refusal.RetryAfter < length || refusal.RetryAfter > length+500*time.Millisecond {
		t.Fatalf("got %v, want a refusal with the time until the pauses end", err)
	}
	f.clock.Advance(length)
	probes := make([]*balancer.Ticket, 0, endpoints)
	for range endpoints {
		probes = append(probes, f.choose(t))
	}
	f.assertRefused(t, gooseberrypass.ReasonOverloaded)
	refuse(probes[0], length)
	probes[1].Done(balancer.ResultFailed)
	probes[2].HeadReceived(time.Millisecond)
	got := map[gooseberrypass.ID]int{}
	for {
		ticket, err := f.balancer.Choose(balancer.Query{Model: "m", Service: "s"})
		if err != nil {
			break
		}
		got[ticket.Endpoint().ID]++
	}
	for i, want := range []int{0, 1, 4, 0} { // room for five with Fill 1.25
		if id := probes[i].Endpoint().ID; got[id] != want {
			t.Errorf("probe %d: its endpoint got %d requests, want %d", i, got[id], want)
		}
	}
}

// A pause is meant for the entry that heard it, and ends with a new start of the endpoint.
func TestPauseConcernsThisEntryAndThisStart(t *testing.T) {
	m := newDepartureModel(t)
	m.started.AdvisoryReceived(pausing(time.Hour))
	if got := m.balancer.OwnAdvisories(); len(got) > 0 {
		t.Errorf("got %+v, want nothing for other entries", got)
	}
	for _, event := range []string{ordinaryAnswer, recordOlder, recordDropped, recordOlder} {
		m.happen(event)
		if m.works(t) {
			t.Errorf("%s: the endpoint gets requests in its pause", event)
		}
	}
	m.happen(endpointAnew)
	if !m.works(t) {
		t.Error("the endpoint gets nothing after it has started anew")
	}
}
