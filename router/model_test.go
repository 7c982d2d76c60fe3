package router_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/router"
)

// The model: endpoints of one model in three failure domains, requests that
// share prompt prefixes, and an answer worthless after its deadline.
const (
	endpointCount = 15
	capacity      = 8
	service       = time.Second // on the mean, from half to one and a half
	prefillShare  = 0.4         // of the service time, saved by a cache hit
	deadline      = 4 * time.Second
	cacheSize     = 16
	prefixCount   = 120
	queueLimit    = 64
	reportPeriod  = time.Second
	reportLag     = 500 * time.Millisecond
	retryAfter    = 2 * time.Second // of the naive version
	retryBudget   = 0.1
	firstWaits    = 4 // times the usual time, for the first token
	minFirstWait  = 2 * time.Second
	entryCount    = 3
	runTime       = 25 * time.Second // unless a scenario says otherwise
)

type fixedConfig struct{ config *gooseberrypass.Config }

func (c fixedConfig) Config() *gooseberrypass.Config { return c.config }

type noNames struct{}

func (noNames) Resolve(gooseberrypass.Kind, gooseberrypass.Name) (gooseberrypass.ID, bool) {
	return "", false
}

func weights() gooseberrypass.Digest { return gooseberrypass.DigestOf([]byte("weights")) }

func newConfig() fixedConfig {
	model := gooseberrypass.NewSection(gooseberrypass.KindModel, "jingle", nil, map[string]any{"manifest": weights(), "pool": "p"})
	return fixedConfig{gooseberrypass.NewConfig(1, noNames{}, []gooseberrypass.Section{model})}
}

// An event is something that happens at a time of the model.
type event struct {
	at  time.Time
	do  func()
	seq int
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// A job is one request.
type job struct {
	arrived  time.Time
	attempts int
	avoid    []gooseberrypass.ID
	done     bool
	entry    int
	high     bool
	prefix   uint64
}

// An attempt is one copy of a job at an endpoint.
type attempt struct {
	begun    bool // has its first token
	canceled bool
	finish   func(ok bool)
	job      *job
	ticket   *router.Ticket
}

// A station is one endpoint.
type station struct {
	cache   []uint64
	dead    bool // takes no connection
	frozen  bool // takes work and never answers
	id      gooseberrypass.ID
	lying   bool // reports no load
	queue   []*attempt
	running int
	slow    float64
}

// A scenario is one run of the model.
type scenario struct {
	eventLoss float64 // of cache events
	fault     func(m *model)
	load      float64 // of the capacity
	naive     bool
	seed      uint64
	time      time.Duration
}

// A result is what a run measured.
type result struct {
	attempts    int
	attemptsAt  []int // by second
	first       []time.Duration
	hits, runs  int
	high, highs int // useful and offered of high priority
	offered     int
	offeredAt   []int // by second
	useful      int
}

func (r *result) share() float64     { return float64(r.useful) / float64(r.offered) }
func (r *result) highShare() float64 { return float64(r.high) / float64(r.highs) }
func (r *result) hitShare() float64  { return float64(r.hits) / float64(max(r.runs, 1)) }

func (r *result) p95() time.Duration {
	slices.Sort(r.first)
	return r.first[len(r.first)*95/100]
}

// A model is the system on a fake clock.
type model struct {
	scenario
	budget   float64
	clock    *clockwork.FakeClock
	events   events
	members  []gooseberrypass.Member
	next     int // of the naive version's round robin
	result   result
	rng      *rand.Rand
	routers  []*router.Router
	seq      int
	start    time.Time
	stations []*station
}

func (m *model) Members() []gooseberrypass.Member { return m.members }

func run(s scenario) *result {
	m := &model{scenario: s, budget: 10, clock: clockwork.NewFakeClock(), rng: rand.New(rand.NewPCG(s.seed, 7))}
	m.start = m.clock.Now()
	m.time = cmp.Or(m.time, runTime)
	seconds := int(m.time/time.Second) + 10
	m.result.attemptsAt, m.result.offeredAt = make([]int, seconds), make([]int, seconds)
	for i := range endpointCount {
		m.stations = append(m.stations, &station{id: gooseberrypass.ID(fmt.Sprintf("w-%02d", i)), slow: 1})
	}
	m.report()
	for i := range entryCount {
		self := gooseberrypass.ListedInstance{ID: gooseberrypass.ID(fmt.Sprint("entry-", i)), FailureDomain: domain(i), Region: "r"}
		r, err := router.New(m.clock, newConfig(), m, self, s.seed, prometheus.NewRegistry())
		if err != nil {
			panic(err)
		}
		m.routers = append(m.routers, r)
	}
	if s.fault != nil {
		s.fault(m)
	}
	m.arrive()
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.clock.Advance(e.at.Sub(m.clock.Now()))
		e.do()
	}
	return &m.result
}

func domain(i int) gooseberrypass.FailureDomain {
	return gooseberrypass.FailureDomain([]string{"a", "b", "c"}[i%entryCount])
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{at: m.clock.Now().Add(d), do: do, seq: m.seq})
}

func (m *model) second() int { return int(m.clock.Since(m.start) / time.Second) }

// report takes the load of each endpoint and shows it after the lag.
func (m *model) report() {
	at := m.clock.Now()
	members := make([]gooseberrypass.Member, 0, len(m.stations))
	for i, s := range m.stations {
		status := &gooseberrypass.AgentStatus{
			EndpointUp: true,
			Load:       gooseberrypass.EngineLoad{At: at, Capacity: capacity, Queued: len(s.queue), Running: s.running},
			Loaded:     []gooseberrypass.LoadedVersion{{Digest: weights(), Model: "jingle"}},
		}
		for _, prefix := range s.cache {
			if m.rng.Float64() >= m.eventLoss {
				status.CachedPrefixes = append(status.CachedPrefixes, prefix)
			}
		}
		if s.lying {
			status.Load.Queued, status.Load.Running = 0, 0
		}
		members = append(members, gooseberrypass.Member{
			Listed: gooseberrypass.ListedInstance{
				FailureDomain: domain(i), ID: s.id, Pool: "p", Region: "r", Role: gooseberrypass.RoleAgent, State: gooseberrypass.ListedLive,
			},
			Status: status,
		})
	}
	if m.members == nil {
		m.members = members
	}
	if m.clock.Since(m.start) < m.time {
		m.after(reportLag, func() { m.members = members })
		m.after(reportPeriod, m.report)
	}
}

// arrive lets requests come at random times until the run ends.
func (m *model) arrive() {
	rate := m.load * endpointCount * capacity / service.Seconds()
	m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if m.clock.Since(m.start) > m.time {
			return
		}
		j := &job{arrived: m.clock.Now(), entry: m.rng.IntN(entryCount), high: m.rng.IntN(5) == 0}
		j.prefix = 1 + uint64(prefixCount*m.rng.Float64()*m.rng.Float64())
		m.result.offered++
		m.result.offeredAt[m.second()]++
		if j.high {
			m.result.highs++
		}
		m.send(j)
		m.arrive()
	})
}

// send makes the next attempt of a job.
func (m *model) send(j *job) {
	if m.naive {
		m.next++
		m.count(j)
		m.deliver(m.stations[m.next%endpointCount], &attempt{job: j, finish: func(bool) {}})
		m.after(retryAfter, func() {
			if !j.done && j.attempts < 3 {
				m.send(j)
			}
		})
		return
	}
	priority := gooseberrypass.Priority(3)
	if j.high {
		priority = 7
	}
	ticket, err := m.routers[j.entry].Choose(router.Query{
		Avoid: j.avoid, Deadline: j.arrived.Add(deadline), Prefix: j.prefix, Priority: priority, Target: "jingle",
	})
	if err != nil {
		return
	}
	m.count(j)
	a := &attempt{job: j, ticket: ticket}
	var settled bool
	end := func(r router.Result, retry bool) {
		if settled {
			return
		}
		settled = true
		a.canceled = true
		ticket.Done(r)
		if retry {
			m.retry(j, ticket.Member().Listed.ID)
		}
	}
	a.finish = func(ok bool) {
		if ok {
			end(router.ResultAnswered, false)
		} else {
			end(router.ResultBusy, true)
		}
	}
	if usual := ticket.Service(); usual > 0 {
		m.after(max(firstWaits*usual, minFirstWait), func() {
			if !a.begun {
				end(router.ResultLate, true)
			}
		})
	}
	at := slices.IndexFunc(m.stations, func(s *station) bool { return s.id == ticket.Member().Listed.ID })
	if m.stations[at].dead {
		end(router.ResultFailed, true)
		return
	}
	m.deliver(m.stations[at], a)
}

func (m *model) count(j *job) {
	j.attempts++
	m.result.attempts++
	m.result.attemptsAt[m.second()]++
	m.budget = min(m.budget+retryBudget, 10)
}

func (m *model) retry(j *job, from gooseberrypass.ID) {
	if j.done || j.attempts >= 4 || m.budget < 1 || m.clock.Since(j.arrived) > deadline {
		return
	}
	m.budget -= 1 + retryBudget
	j.avoid = append(j.avoid, from)
	m.send(j)
}

// deliver queues an attempt at an endpoint. The naive endpoint is a FIFO queue
// without a bound; the other one puts high priority first and refuses what
// finds the queue full or its deadline out of reach.
func (m *model) deliver(s *station, a *attempt) {
	if s.dead {
		return
	}
	if !m.naive && (len(s.queue) >= queueLimit || m.late(s, a)) {
		a.finish(false)
		return
	}
	s.queue = append(s.queue, a)
	if !m.naive && a.job.high {
		i := slices.IndexFunc(s.queue, func(q *attempt) bool { return !q.job.high })
		if i >= 0 {
			copy(s.queue[i+1:], s.queue[i:len(s.queue)-1])
			s.queue[i] = a
		}
	}
	m.work(s)
}

// late reports whether an attempt would end after its deadline.
func (m *model) late(s *station, a *attempt) bool {
	ahead := 0
	for _, q := range s.queue {
		if q.job.high || !a.job.high {
			ahead++
		}
	}
	rounds := float64(ahead)/capacity + 1
	return time.Duration(rounds*float64(service)) > deadline-m.clock.Since(a.job.arrived)
}

func (m *model) work(s *station) {
	for s.running < capacity && len(s.queue) > 0 && !s.frozen && !s.dead {
		a := s.queue[0]
		s.queue = s.queue[1:]
		if a.canceled {
			continue
		}
		m.runAttempt(s, a)
	}
}

func (m *model) runAttempt(s *station, a *attempt) {
	s.running++
	m.result.runs++
	full := time.Duration(s.slow * (0.5 + m.rng.Float64()) * float64(service))
	prefill := time.Duration(prefillShare * float64(full))
	if s.touch(a.job.prefix) {
		m.result.hits++
		full -= prefill
		prefill = 0
	}
	j := a.job
	m.after(prefill, func() {
		a.begun = true
		if !j.done {
			m.result.first = append(m.result.first, m.clock.Since(j.arrived))
		}
	})
	m.after(full, func() {
		s.running--
		if a.canceled {
			m.work(s)
			return
		}
		if !s.frozen && !j.done && !s.dead {
			j.done = true
			if m.clock.Since(j.arrived) <= deadline {
				m.result.useful++
				if j.high {
					m.result.high++
				}
			}
			a.finish(true)
		}
		m.work(s)
	})
}

// touch uses a prefix of the cache, least recently used last out, and reports
// whether it was there.
func (s *station) touch(prefix uint64) bool {
	i := slices.Index(s.cache, prefix)
	if i >= 0 {
		s.cache = slices.Delete(s.cache, i, i+1)
	}
	s.cache = append(s.cache, prefix)
	if len(s.cache) > cacheSize {
		s.cache = s.cache[1:]
	}
	return i >= 0
}
