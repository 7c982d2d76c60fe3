package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// The model of a failure domain whose cold endpoints come back at once.
const (
	coldStep      = 5 * time.Millisecond
	coldAnswer    = 300 * time.Millisecond  // from the arrival of a request to the end of its answer
	coldReturn    = 1900 * time.Millisecond // after which a refused caller retries once
	coldExchange  = 100 * time.Millisecond  // between messages within a region; three times that between regions
	coldTime      = 3 * time.Second
	coldRate      = 32.0
	coldOvershoot = 1.5
	coldSlack     = 5.0
	coldPatience  = 48 * time.Millisecond   // for which a request waits for an endpoint
	coldRelease   = 2500 * time.Millisecond // the evacuation ends
	coldRun       = coldRelease + coldTime
	coldDomain    = "z0"
	coldFill      = 3 // requests that an endpoint gets, as a multiple of its slots
	coldSlots     = 12
)

// A coldCase is a load under which cold endpoints come back.
type coldCase struct {
	cold, warm int     // endpoints
	cut        bool    // messages between regions are lost
	demand     float64 // requests per second, without retries
	entries    int
	joins      int  // further entries that start shortly after the release
	leaves     int  // entries that crash shortly after the release
	naive      bool // cold endpoints are not limited
	uneven     bool // the first entry gets half of the requests
	shifts     bool // the half moves to the next entry every half second
}

type coldEntry struct {
	balancer *balancer.Balancer
	id       gooseberrypass.ID
	region   gooseberrypass.Region
	informed time.Duration // when it learns of the end of the evacuation
	from     time.Duration
	until    time.Duration
}

type coldRequest struct {
	entry  *coldEntry
	due    time.Duration // next event: the next attempt, or the end of the answer
	giveUp time.Duration
	polled bool
	retry  bool
	ticket *balancer.Ticket
}

// A coldModel plays a coldCase. arrivals has the times at which requests reach each cold
// endpoint.
type coldModel struct {
	coldCase
	arrivals map[gooseberrypass.ID][]time.Duration
	clock    *clockwork.FakeClock
	entries  []*coldEntry
	now      time.Duration
	requests []*coldRequest
	rng      *rand.Rand
	snapshot materializer.Snapshot
}

func coldRegion(i int) gooseberrypass.Region { return gooseberrypass.Region(fmt.Sprintf("r%d", i%3)) }

func newColdModel(c coldCase, seed uint64) *coldModel {
	m := &coldModel{coldCase: c, arrivals: map[gooseberrypass.ID][]time.Duration{}, clock: clockwork.NewFakeClock(), rng: rand.New(rand.NewPCG(seed, seed))}
	m.snapshot.Deployment = gooseberrypass.NewDeployment(1, nil, []gooseberrypass.ServiceSpec{{ColdRate: coldRate, ColdTime: coldTime, ID: "s"}}, nil, gooseberrypass.CallerLimits{})
	m.snapshot.Evacuated = map[gooseberrypass.FailureDomain]struct{}{coldDomain: {}}
	for i := range c.cold + c.warm {
		e := gooseberrypass.Endpoint{FailureDomain: coldDomain, ID: endpointID(i), ReportedAt: m.clock.Now(), Service: "s", Slots: coldSlots}
		if i >= c.cold {
			e.FailureDomain = gooseberrypass.FailureDomain(fmt.Sprintf("z%d", 1+i%2))
		}
		m.snapshot.Endpoints = append(m.snapshot.Endpoints, e)
	}
	for i := range c.entries + c.joins {
		id := gooseberrypass.ID(fmt.Sprintf("entry-%d", i))
		e := &coldEntry{id: id, region: coldRegion(i), informed: coldRelease + time.Duration(m.rng.Float64()*float64(500*time.Millisecond)), until: coldRun}
		if i >= c.entries {
			e.from = coldRelease + 600*time.Millisecond
		} else if i < c.leaves {
			e.until = coldRelease + 600*time.Millisecond
		}
		m.entries = append(m.entries, e)
		m.snapshot.Processes = append(m.snapshot.Processes, materializer.Process{ID: id, Region: e.region, Role: gooseberrypass.RoleEntry})
	}
	return m
}

func (m *coldModel) lives(e *coldEntry) bool { return m.now >= e.from && m.now < e.until }

// start returns the balancer of an entry that starts now.
func (m *coldModel) start(e *coldEntry) *balancer.Balancer {
	s := settings()
	s.PlainFill, s.SampleFactor, s.ColdOvershoot, s.ColdSlack, s.ListLag = coldFill, 1, coldOvershoot, coldSlack, time.Second
	if m.naive {
		s.ColdOvershoot = 0
	}
	regionOf := func(d gooseberrypass.FailureDomain) gooseberrypass.Region {
		return gooseberrypass.Region("r" + string(d[1:]))
	}
	return balancer.New(m.clock, balancer.Self{ID: e.id, Region: e.region}, regionOf, s, m.rng.Uint64(), quietLogger())
}

// inform passes an entry its first snapshot, and the one in which the domain is released.
func (m *coldModel) inform(e *coldEntry) {
	snapshot := m.snapshot
	if e.from == 0 { // it hears of those that start later from their messages only
		snapshot.Processes = snapshot.Processes[:m.coldCase.entries]
	}
	if m.now >= e.informed {
		snapshot.Evacuated = nil
		snapshot.Released = map[gooseberrypass.FailureDomain]time.Time{coldDomain: m.clock.Now().Add(coldRelease - m.now)}
	}
	if e.balancer == nil {
		e.balancer = m.start(e)
		if e.from > 0 { // a record in the first list says so
			snapshot.Endpoints = nil
			for _, listed := range m.snapshot.Endpoints {
				if listed.FailureDomain == coldDomain {
					listed.ColdLeft, listed.ReportedAt = coldTime, m.clock.Now()
				}
				snapshot.Endpoints = append(snapshot.Endpoints, listed)
			}
			snapshot.Released = nil
		}
		e.balancer.Handle(m.clock.Now(), materializer.Changed{Snapshot: &snapshot})
		return
	}
	if m.now >= e.informed && m.now < e.informed+coldStep {
		e.balancer.Handle(m.clock.Now(), materializer.Changed{Snapshot: &snapshot})
	}
}

func (m *coldModel) play() *coldModel {
	for ; m.now < coldRun; m.now += coldStep {
		for _, e := range m.entries {
			if m.lives(e) {
				m.inform(e)
			}
		}
		if m.now%coldExchange == 0 {
			m.exchange()
		}
		for n := m.rng.Float64() * 2 * m.demand * coldStep.Seconds(); n >= 1 || n > 0 && m.rng.Float64() < n; n-- {
			if e := m.entryOfRequest(); m.lives(e) {
				m.requests = append(m.requests, &coldRequest{due: m.now, entry: e, giveUp: m.now + coldPatience})
			}
		}
		kept := m.requests[:0]
		for _, r := range m.requests {
			if m.step(r) {
				kept = append(kept, r)
			}
		}
		m.requests = kept
		m.clock.Advance(coldStep)
	}
	return m
}

func (m *coldModel) entryOfRequest() *coldEntry {
	if m.uneven && m.rng.IntN(2) == 0 {
		if m.shifts {
			return m.entries[int(m.now/(500*time.Millisecond))%m.coldCase.entries]
		}
		return m.entries[0]
	}
	return m.entries[m.rng.IntN(len(m.entries))]
}

// exchange delivers the messages of all entries to one another.
func (m *coldModel) exchange() {
	now := m.clock.Now()
	for _, from := range m.entries {
		if !m.lives(from) {
			continue
		}
		loads, demand := from.balancer.OwnLoads(), from.balancer.OwnDemand()
		for _, to := range m.entries {
			if to == from || !m.lives(to) || to.region != from.region && (m.cut || m.now%(3*coldExchange) != 0) {
				continue
			}
			to.balancer.SetEntryLoads(now, from.id, loads)
			to.balancer.SetEntryDemand(from.id, demand)
		}
		from.balancer.Handle(now, gooseberrypass.Tick{})
	}
}

// step lets a request go on, and reports whether it has not ended.
func (m *coldModel) step(r *coldRequest) bool {
	if m.now < r.due {
		return true
	}
	if r.ticket != nil {
		r.ticket.Done(balancer.ResultAnswered)
		return false
	}
	ticket, err := r.entry.balancer.Choose(balancer.Query{Polled: r.polled, Service: "s"})
	if err != nil {
		r.due, r.polled = m.now+2*coldStep, true
		if r.due >= r.giveUp && !r.retry {
			r.due, r.giveUp, r.polled, r.retry = m.now+coldReturn, m.now+coldReturn+coldPatience, false, true
		}
		return r.due < r.giveUp && m.lives(r.entry)
	}
	way := time.Duration(5+m.rng.IntN(55)) * time.Millisecond
	r.ticket, r.due = ticket, m.now+way+coldAnswer
	if id := ticket.Endpoint().ID; ticket.Endpoint().FailureDomain == coldDomain {
		m.arrivals[id] = append(m.arrivals[id], m.now+way)
	}
	return true
}

// most returns the most requests that reached a cold endpoint within a second, and the fewest
// that reached one in a second that begins half a second after the release or later.
func (m *coldModel) most() (int, int) {
	most, fewest := 0, math.MaxInt
	within := func(times []time.Duration, from time.Duration) int {
		n := 0
		for _, at := range times {
			if at >= from && at < from+time.Second {
				n++
			}
		}
		return n
	}
	for i := range m.cold {
		times := m.arrivals[endpointID(i)]
		for _, from := range times {
			most = max(most, within(times, from))
		}
		for from := coldRelease + 500*time.Millisecond; from+time.Second < coldRun; from += time.Second / 2 {
			fewest = min(fewest, within(times, from))
		}
	}
	return most, fewest
}

func coldCases() map[string]coldCase {
	cases := map[string]coldCase{}
	for _, entries := range []int{1, 4, 14, 60} {
		for _, c := range []coldCase{{cold: 15}, {cold: 15, warm: 3}, {cold: 3}} {
			c.demand, c.entries = 600, entries
			cases[fmt.Sprintf("%d entries, %d cold endpoints, %d others", entries, c.cold, c.warm)] = c
		}
	}
	for _, entries := range []int{4, 14, 60} {
		c := coldCase{cold: 3, demand: 600, entries: entries}
		with := func(name string, change func(*coldCase)) {
			changed := c
			change(&changed)
			cases[fmt.Sprintf("%d entries, %s", entries, name)] = changed
		}
		with("most requests come to one", func(c *coldCase) { c.uneven = true })
		with("most requests come to one and then another", func(c *coldCase) { c.shifts, c.uneven = true, true })
		with("links between regions are cut", func(c *coldCase) { c.cut = true })
		with("two join", func(c *coldCase) { c.joins = 2 })
		with("two leave", func(c *coldCase) { c.leaves = 2 })
	}
	cases["360 entries"] = coldCase{cold: 3, demand: 2300, entries: 360}
	return cases
}

// share returns the requests per second that each cold endpoint can get: what it sustains,
// and no more than the others leave.
func (c coldCase) share() float64 {
	others := float64(c.warm*coldSlots*coldFill) / coldAnswer.Seconds()
	return min(coldRate, (c.demand-others)/float64(c.cold))
}

// coldSeeds returns the number of seeds to play: one for many entries, which take long.
func coldSeeds(entries int) uint64 {
	if entries > 14 {
		return 1
	}
	return 3
}

// All entries sent to the idle endpoints of a failure domain at the moment at which its
// evacuation ended, callers who had been refused came back, and the cold endpoints crashed.
func TestLoadColdEndpointsThatComeBackAtOnce(t *testing.T) {
	want := int(coldRate*coldOvershoot + coldSlack)
	for name, c := range coldCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			least := c.share() / 2
			for seed := range coldSeeds(c.entries) {
				got, fewest := newColdModel(c, seed).play().most()
				naive := 0
				if c.entries <= 60 { // more take too long
					n := c
					n.naive = true
					naive, _ = newColdModel(n, seed).play().most()
				}
				t.Logf("seed %d: most in a second %d, naive %d; fewest in a second %d", seed, got, naive, fewest)
				if got > want {
					t.Errorf("seed %d: got %d requests at a cold endpoint in a second, want at most %d", seed, got, want)
				}
				if c.warm == 0 && c.entries <= 60 && naive <= want {
					t.Errorf("seed %d: naive: got %d requests at a cold endpoint in a second, want more than %d", seed, naive, want)
				}
				if float64(fewest) < least {
					t.Errorf("seed %d: got %d requests at a cold endpoint in a second, want at least %.1f", seed, fewest, least)
				}
			}
		})
	}
}
