package balancer_test

import (
	"strings"
	"testing"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
)

// The events around an endpoint that says in an answer that it leaves.
const (
	leavingHeard     = "answer says so"
	leavingTold      = "another entry says so"
	recordOlder      = "older record"    // of the same start, in service
	recordDropped    = "record is gone"  // from the list
	endpointAnew     = "endpoint starts" // anew under the same ID
	ordinaryAnswer   = "ordinary answer" // that began before
	departureIsStale = "other entry still speaks of the earlier start"
)

// A departureModel plays events at one endpoint.
type departureModel struct {
	*fixture
	gone    bool  // said so since its start
	start   int64 // of the endpoint
	started *balancer.Ticket
}

func newDepartureModel(t *testing.T) *departureModel {
	t.Helper()
	m := &departureModel{fixture: newFixture(t, 3), start: 1000}
	m.list(true)
	m.started = m.choose(t)
	for m.started.Endpoint().ID != "e0" {
		m.started = m.choose(t)
	}
	return m
}

// list publishes the list, with or without the endpoint.
func (m *departureModel) list(listed bool) {
	endpoints := m.snapshot.Endpoints[:0:0]
	for _, e := range m.snapshot.Endpoints {
		if e.ID == "e0" {
			continue
		}
		endpoints = append(endpoints, e)
	}
	if listed {
		endpoints = append(endpoints, gooseberrypass.Endpoint{Address: "a0", FailureDomain: "r0", ID: "e0", Models: map[string]int{"m": 1}, Service: "s", Slots: 4, StartMillis: m.start})
	}
	snapshot := *m.snapshot
	snapshot.Endpoints = endpoints
	m.snapshot = &snapshot
	m.publish()
}

func (m *departureModel) report(start int64) {
	m.balancer.AddAdvisories(m.clock.Now(), "other", []balancer.AdvisoryReport{{Advisory: gooseberrypass.Advisory{Leaving: true}, Endpoint: "e0", StartMillis: start}})
}

func (m *departureModel) happen(event string) {
	switch event {
	case leavingHeard:
		m.started.AdvisoryReceived(gooseberrypass.Advisory{Leaving: true})
		m.gone = m.gone || m.start == 1000
	case leavingTold:
		m.report(m.start)
		m.gone = true
	case recordOlder:
		m.list(true)
	case recordDropped:
		m.list(false)
	case endpointAnew:
		m.start++
		m.gone = false
		m.list(true)
	case ordinaryAnswer:
		m.started.AdvisoryReceived(gooseberrypass.Advisory{})
	case departureIsStale:
		m.report(999)
	}
	m.clock.Advance(100 * time.Millisecond)
	m.balancer.Handle(m.clock.Now(), gooseberrypass.Tick{})
}

// An endpoint that had said in its answers that it leaves got further requests: the list did
// not know yet, or not any more. In every order of events it gets none, until it starts anew.
func TestEveryOrderOfEventsAroundADeparture(t *testing.T) {
	events := []string{leavingHeard, leavingTold, recordOlder, recordDropped, endpointAnew, ordinaryAnswer, departureIsStale}
	played, broken := 0, 0
	for _, order := range orders(events) {
		played++
		m := newDepartureModel(t)
		for i, event := range order {
			m.happen(event)
			if got := m.works(t); m.gone && got {
				broken++
				t.Errorf("%s: gets requests", strings.Join(order[:i+1], ", "))
			}
		}
		m.list(true)
		if got := m.works(t); !m.gone && !got {
			broken++
			t.Errorf("%s: gets nothing although it has not said that it leaves", strings.Join(order, ", "))
		}
	}
	t.Logf("%d orders played, %d broken", played, broken)
}

// works reports whether the endpoint gets a request.
func (m *departureModel) works(t *testing.T) bool {
	t.Helper()
	works := false
	var tickets []*balancer.Ticket
	for range 10 {
		ticket, err := m.balancer.Choose(balancer.Query{Model: "m", Service: "s"})
		if err != nil {
			break
		}
		works = works || ticket.Endpoint().ID == "e0"
		tickets = append(tickets, ticket)
	}
	for _, ticket := range tickets {
		ticket.Done(balancer.ResultInconclusive)
	}
	return works
}

func orders(events []string) [][]string {
	if len(events) == 0 {
		return [][]string{nil}
	}
	var all [][]string
	for i, event := range events {
		rest := append(append([]string{}, events[:i]...), events[i+1:]...)
		for _, order := range orders(rest) {
			all = append(all, append([]string{event}, order...))
		}
	}
	return all
}

// What other entries said does not outlive them; what an entry heard itself holds for as
// long as the endpoint is listed.
func TestDepartureThatOthersHeardExpires(t *testing.T) {
	for _, own := range []bool{true, false} {
		m := newDepartureModel(t)
		if own {
			m.happen(leavingHeard)
		} else {
			m.happen(leavingTold)
		}
		m.clock.Advance(time.Hour)
		m.balancer.Handle(m.clock.Now(), gooseberrypass.Tick{})
		if got := m.works(t); got == own {
			t.Errorf("heard by this entry %t: gets requests an hour later %t", own, got)
		}
	}
}

// Entries tell one another which endpoints leave, with the start that said so.
func TestOwnDeparturesAreReported(t *testing.T) {
	m := newDepartureModel(t)
	m.happen(leavingTold)
	if got := m.balancer.OwnAdvisories(); len(got) > 0 {
		t.Errorf("got %+v, want nothing that another entry has heard", got)
	}
	m.happen(leavingHeard)
	want := balancer.AdvisoryReport{Advisory: gooseberrypass.Advisory{Leaving: true}, Age: 100 * time.Millisecond, Endpoint: "e0", StartMillis: 1000}
	if got := m.balancer.OwnAdvisories(); len(got) != 1 || got[0] != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// An endpoint that starts anew under its ID has not named a limit yet.
func TestLimitEndsWhenTheEndpointStartsAnew(t *testing.T) {
	m := newDepartureModel(t)
	m.started.AdvisoryReceived(limited(1))
	m.happen(endpointAnew)
	if got := m.balancer.LimitedEndpoints(); got != 0 {
		t.Errorf("limited endpoints: got %d, want 0", got)
	}
	m.balancer.AddAdvisories(m.clock.Now(), "other", []balancer.AdvisoryReport{{Advisory: limited(1), Endpoint: "e0", StartMillis: 1000}})
	if got := m.balancer.LimitedEndpoints(); got != 0 {
		t.Errorf("limited endpoints after a report of the earlier start: got %d, want 0", got)
	}
	m.balancer.AddAdvisories(m.clock.Now(), "other", []balancer.AdvisoryReport{{Advisory: limited(1), Endpoint: "e0", StartMillis: 1001}})
	if got := m.balancer.LimitedEndpoints(); got != 1 {
		t.Errorf("limited endpoints after a report of this start: got %d, want 1", got)
	}
}

// An agent repeats what its endpoint last said; once that is old it counted as new each time.
func TestOldDepartureIsNotRecordedAnew(t *testing.T) {
	m := newDepartureModel(t)
	report := func(age time.Duration) {
		m.balancer.AddAdvisories(m.clock.Now(), "agent", []balancer.AdvisoryReport{{Advisory: gooseberrypass.Advisory{Leaving: true}, Age: age, Endpoint: "e0", StartMillis: 1000}})
	}
	report(29 * time.Second)
	if m.works(t) {
		t.Error("heard 29 s ago: the endpoint gets requests")
	}
	m.clock.Advance(time.Second)
	m.balancer.Handle(m.clock.Now(), gooseberrypass.Tick{})
	report(30 * time.Second)
	if !m.works(t) {
		t.Error("heard 30 s ago: the endpoint gets nothing")
	}
}
