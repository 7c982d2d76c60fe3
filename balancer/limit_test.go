package balancer_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// The model of callers, entries and endpoints that name a limit.
const (
	limitStep      = 10 * time.Millisecond
	limitHead      = 150 * time.Millisecond // from the choice of an endpoint to the head of its answer
	limitExchange  = 100 * time.Millisecond // between messages of an entry
	limitFrom      = 2 * time.Second        // endpoints name their limit
	limitUntil     = 18 * time.Second
	limitEnd       = 23 * time.Second
	limitSettled   = 3 * time.Second        // time after limitFrom from which the rule holds
	limitWindow    = 4 * time.Second        // window of the rule
	limitReaction  = 500 * time.Millisecond // time after an answer with the limit from which requests of an entry count
	limitTolerance = 1.5                    // ratio to the limit that the rule allows in a window
	limitSlack     = 5                      // requests that it allows beyond that
)

// A limitCase is a day on which the first endpoints name a limit.
type limitCase struct {
	endpoints int // those beyond limited take any rate
	entries   int
	limited   int
	rate      float64       // limit of each limited endpoint, requests per second
	demand    float64       // requests per second and endpoint
	away      time.Duration // time for which the entry awayEntry is silent from awayFrom on, 0 for none
	restarts  bool          // awayEntry starts anew after that, instead of going on as it was
	uneven    bool          // the first entry gets half of the requests
}

const (
	awayEntry = 1
	awayFrom  = 7 * time.Second
)

// A limitedEntry is one entry of the model.
type limitedEntry struct {
	balancer *balancer.Balancer
	heard    map[gooseberrypass.ID]time.Duration // first answer with a limit, by endpoint
	id       gooseberrypass.ID
}

// A limitArrival is one request that reaches an endpoint.
type limitArrival struct {
	at    time.Duration
	entry int
}

type pendingHead struct {
	at       time.Duration
	endpoint gooseberrypass.ID
	entry    int
	ticket   *balancer.Ticket
}

// A limitModel plays a limitCase.
type limitModel struct {
	limitCase
	arrivals map[gooseberrypass.ID][]limitArrival
	clock    *clockwork.FakeClock
	entries  []*limitedEntry
	now      time.Duration
	pending  []pendingHead
	refused  int
	rng      *rand.Rand
	snapshot *materializer.Snapshot
}

func newLimitModel(c limitCase) *limitModel {
	m := &limitModel{limitCase: c, arrivals: map[gooseberrypass.ID][]limitArrival{}, clock: clockwork.NewFakeClock(), rng: rand.New(rand.NewPCG(7, 7)), snapshot: &materializer.Snapshot{}}
	for i := range c.endpoints {
		m.snapshot.Endpoints = append(m.snapshot.Endpoints, gooseberrypass.Endpoint{ID: endpointID(i), Service: "s", Slots: 16})
	}
	for i := range c.entries {
		id := gooseberrypass.ID(fmt.Sprintf("entry-%d", i))
		m.snapshot.Processes = append(m.snapshot.Processes, materializer.Process{ID: id, Region: "r", Role: gooseberrypass.RoleEntry})
	}
	for i := range c.entries {
		m.entries = append(m.entries, m.start(i))
	}
	return m
}

func endpointID(i int) gooseberrypass.ID { return gooseberrypass.ID(fmt.Sprintf("endpoint-%d", i)) }

// start returns a new process of an entry.
func (m *limitModel) start(i int) *limitedEntry {
	id := m.snapshot.Processes[i].ID
	s := settings()
	s.SampleFactor = 1
	b := balancer.New(m.clock, balancer.Self{ID: id, Region: "r"}, func(gooseberrypass.FailureDomain) gooseberrypass.Region { return "r" }, s, uint64(i), quietLogger())
	b.Handle(m.clock.Now(), materializer.Changed{Snapshot: m.snapshot})
	return &limitedEntry{balancer: b, heard: map[gooseberrypass.ID]time.Duration{}, id: id}
}

func (m *limitModel) isAway(entry int) bool {
	return m.away > 0 && entry == awayEntry && m.now >= awayFrom && m.now < awayFrom+m.away
}

func (m *limitModel) play() {
	for ; m.now < limitEnd; m.now += limitStep {
		if m.away > 0 && m.now == awayFrom+m.away && m.restarts {
			m.entries[awayEntry] = m.start(awayEntry)
		}
		m.answer()
		if m.now%limitExchange == 0 {
			m.exchange()
		}
		m.call()
		m.clock.Advance(limitStep)
	}
}

// answer delivers the heads that are due.
func (m *limitModel) answer() {
	left := m.pending[:0]
	for _, p := range m.pending {
		if p.at > m.now || m.isAway(p.entry) {
			left = append(left, p)
			continue
		}
		var a gooseberrypass.Advisory
		if m.now >= limitFrom && m.now < limitUntil && m.isLimited(p.endpoint) {
			a = limited(m.rate)
			if _, ok := m.entries[p.entry].heard[p.endpoint]; !ok {
				m.entries[p.entry].heard[p.endpoint] = m.now
			}
		}
		p.ticket.AdvisoryReceived(a)
		p.ticket.HeadReceived(limitHead)
		p.ticket.Done(balancer.ResultAnswered)
	}
	m.pending = left
}

func (m *limitModel) isLimited(id gooseberrypass.ID) bool {
	for i := range m.limited {
		if id == endpointID(i) {
			return true
		}
	}
	return false
}

// exchange sends the messages of all entries to one another.
func (m *limitModel) exchange() {
	now := m.clock.Now()
	for i, from := range m.entries {
		if m.isAway(i) {
			continue
		}
		loads, advisories, demand := from.balancer.OwnLoads(), from.balancer.OwnAdvisories(), from.balancer.OwnDemand()
		for k, to := range m.entries {
			if k != i && !m.isAway(k) {
				to.balancer.SetEntryLoads(now, from.id, loads)
				to.balancer.AddAdvisories(now, from.id, advisories)
				to.balancer.SetEntryDemand(from.id, demand)
			}
		}
		from.balancer.Handle(now, gooseberrypass.Tick{})
	}
}

// call lets requests arrive at the entries.
func (m *limitModel) call() {
	for expected := m.demand * float64(m.endpoints) * limitStep.Seconds(); expected > 0; expected-- {
		if m.rng.Float64() >= expected {
			break
		}
		entry := m.rng.IntN(len(m.entries))
		if m.uneven && m.rng.IntN(2) == 0 {
			entry = 0
		}
		if m.isAway(entry) {
			continue
		}
		ticket, err := m.entries[entry].balancer.Choose(balancer.Query{Service: "s"})
		if err != nil {
			m.refused++
			continue
		}
		id := ticket.Endpoint().ID
		m.arrivals[id] = append(m.arrivals[id], limitArrival{at: m.now, entry: entry})
		m.pending = append(m.pending, pendingHead{at: m.now + limitHead, endpoint: id, entry: entry, ticket: ticket})
	}
}

// most returns the most requests that reached an endpoint within limitWindow from entries
// that had heard its limit, while the rule holds.
func (m *limitModel) most(id gooseberrypass.ID) int {
	var counted []time.Duration
	most := 0
	for _, a := range m.arrivals[id] {
		heard, ok := m.entries[a.entry].heard[id]
		if !ok || a.at < heard+limitReaction || a.at >= limitUntil || m.away > 0 && a.entry == awayEntry && a.at >= awayFrom {
			continue
		}
		counted = append(counted, a.at)
		for counted[0] <= a.at-limitWindow {
			counted = counted[1:]
		}
		if a.at >= limitFrom+limitSettled {
			most = max(most, len(counted))
		}
	}
	return most
}

// count returns the requests that reached an endpoint in a time.
func (m *limitModel) count(id gooseberrypass.ID, from, until time.Duration) int {
	n := 0
	for _, a := range m.arrivals[id] {
		if a.at >= from && a.at < until {
			n++
		}
	}
	return n
}

func limitCases() map[string]limitCase {
	cases := map[string]limitCase{}
	for _, entries := range []int{1, 4, 11, 40} {
		for _, rate := range []float64{0, 0.2, 1.2, 3.7, 9, 40} {
			c := limitCase{demand: 60, endpoints: 4, entries: entries, limited: 3, rate: rate}
			cases[fmt.Sprintf("%d entries, %g a second", entries, rate)] = c
			if entries == 1 || entries == 40 && rate > 4 {
				continue
			}
			c.away, c.restarts = 4*time.Second, true
			cases[fmt.Sprintf("%d entries, %g a second, one restarts", entries, rate)] = c
			c.restarts = false
			cases[fmt.Sprintf("%d entries, %g a second, one is suspended", entries, rate)] = c
		}
	}
	cases["every endpoint has a limit, most requests come to one entry"] = limitCase{demand: 8, endpoints: 3, entries: 4, limited: 3, rate: 9, uneven: true}
	cases["the only endpoint has a limit, most requests come to one entry"] = limitCase{demand: 6, endpoints: 1, entries: 4, limited: 1, rate: 9, uneven: true}
	return cases
}

// Back ends got far more requests than the limit that they had named: no entry obeyed it,
// and each of several entries could obey it for itself alone.
func TestEndpointsGetNoMoreThanTheLimitThatTheyName(t *testing.T) {
	for name, c := range limitCases() {
		t.Run(name, func(t *testing.T) {
			m := newLimitModel(c)
			m.play()
			m.assertLimitKept(t)
			m.assertLimitUsed(t)
			m.assertLimitEnds(t)
		})
	}
}

func (m *limitModel) assertLimitKept(t *testing.T) {
	t.Helper()
	want := int(limitTolerance*m.rate*limitWindow.Seconds()) + limitSlack
	for i := range m.limited {
		if got := m.most(endpointID(i)); got > want {
			t.Errorf("%s: got %d requests in %s from entries that it had told, want at most %d", endpointID(i), got, limitWindow, want)
		}
	}
}

// assertLimitUsed checks that callers lose nothing that an endpoint would take, whichever
// entry their requests come to.
func (m *limitModel) assertLimitUsed(t *testing.T) {
	t.Helper()
	const from, until = limitFrom + limitSettled, limitUntil
	least := 0.8*min(m.rate, m.demand)*(until-from).Seconds() - 1 // the next one may be due right after
	if m.away > 0 {
		least *= 0.8 // what one of few entries does not use while it is away
	}
	for i := range m.limited {
		if got := m.count(endpointID(i), from, until); float64(got) < least {
			t.Errorf("%s: got %d requests in %s, want at least %.0f", endpointID(i), got, until-from, least)
		}
	}
}

// assertLimitEnds checks that an endpoint that names a limit no longer gets its share of
// the requests again.
func (m *limitModel) assertLimitEnds(t *testing.T) {
	t.Helper()
	if m.rate < 1 || m.limited == m.endpoints {
		return // it answers too seldom to say so at once, or has no other to compare with
	}
	const from = limitUntil + 3*time.Second
	for i := range m.limited {
		got, want := m.count(endpointID(i), from, limitEnd), m.count(endpointID(m.limited), from, limitEnd)
		if float64(got) < 0.8*float64(want) {
			t.Errorf("%s: got %d requests after its limit ended, want about %d", endpointID(i), got, want)
		}
	}
}

// With a service of limited endpoints alone, a request is refused as soon as it comes, and
// told when the next one is taken.
func TestRefusalOfALimitedServiceTellsWhenThereIsRoom(t *testing.T) {
	f := newFixture(t, 1)
	f.choose(t).AdvisoryReceived(limited(0.5))
	_, err := f.balancer.Choose(balancer.Query{Model: "m", Service: "s"})
	var refusal *gooseberrypass.RequestError
	if !errors.As(err, &refusal) {
		t.Fatalf("got %v, want a refusal", err)
	}
	if got, want := refusal.Reason, gooseberrypass.ReasonOverloaded; got != want {
		t.Errorf("reason: got %s, want %s", got, want)
	}
	if got, want := refusal.RetryAfter, 2*time.Second; got != want {
		t.Errorf("time until there is room: got %s, want %s", got, want)
	}
	f.clock.Advance(2 * time.Second)
	f.choose(t)
	f.assertRefused(t, gooseberrypass.ReasonOverloaded)
}

// An endpoint dropped out of the list and came back, and got a full load again until it
// answered.
func TestLimitSurvivesAGapInTheList(t *testing.T) {
	for _, gap := range []time.Duration{time.Second, time.Hour} {
		m := newDepartureModel(t)
		m.started.AdvisoryReceived(limited(0.5))
		m.happen(recordDropped)
		m.clock.Advance(gap)
		m.balancer.Handle(m.clock.Now(), gooseberrypass.Tick{})
		m.list(true)
		want := 1 // remembered for AdvisoryTTL
		if gap > settings().AdvisoryTTL {
			want = 0
		}
		if got := m.balancer.LimitedEndpoints(); got != want {
			t.Errorf("listed again after %s: got %d limited endpoints, want %d", gap, got, want)
		}
	}
	m := newDepartureModel(t)
	m.started.AdvisoryReceived(limited(0.5))
	m.happen(recordDropped)
	m.happen(endpointAnew)
	if got := m.balancer.LimitedEndpoints(); got != 0 {
		t.Errorf("started anew: got %d limited endpoints, want 0", got)
	}
}

// A limit beyond all sense is one that nothing reaches.
func TestHugeLimitIsNoLimit(t *testing.T) {
	f := newFixture(t, 1)
	ticket := f.choose(t)
	ticket.AdvisoryReceived(limited(1e300))
	f.clock.Advance(time.Millisecond)
	for range 4 {
		f.choose(t)
	}
}
