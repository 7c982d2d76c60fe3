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

// The parameters of the simulation: endpoints of one model in three failure
// domains, requests that share prompt prefixes, and answers that count only
// within their deadline.
const (
	endpointCount        = 15
	capacity             = 8               // requests that one endpoint runs at once
	service              = time.Second     // mean; uniform from 0.5 to 1.5 times
	prefillShare         = 0.4             // of the service time; saved by a cache hit
	deadline             = 4 * time.Second // from the arrival of a request
	cacheSize            = 16              // prefixes
	prefixCount          = 120
	queueLimit           = 64
	reportPeriod         = time.Second
	reportLag            = 500 * time.Millisecond
	retryAfter           = 2 * time.Second // of the baseline
	retryBudget          = 0.1             // retries per attempt
	firstTokenFactor     = 4               // average service times allowed before the first token
	minFirstTokenTimeout = 2 * time.Second
	entryCount           = 3
	defaultRunTime       = 25 * time.Second // unless a scenario says otherwise
)

type fixedConfig struct{ config *gooseberrypass.Config }

func (c fixedConfig) Config() *gooseberrypass.Config { return c.config }

type emptyResolver struct{}

func (emptyResolver) Resolve(gooseberrypass.Kind, gooseberrypass.Name) (gooseberrypass.ID, bool) {
	return "", false
}

func weights() gooseberrypass.Digest { return gooseberrypass.DigestOf([]byte("weights")) }

func newConfig() fixedConfig {
	model := gooseberrypass.NewSection(gooseberrypass.KindModel, "jingle", nil, map[string]any{"manifest": weights(), "pool": "p"})
	return fixedConfig{gooseberrypass.NewConfig(1, emptyResolver{}, []gooseberrypass.Section{model})}
}

// An event is a function that runs at a simulated time.
type event struct {
	at  time.Time
	do  func()
	seq int // order of events at the same time
}

// events is a heap of events.
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
	entry    int  // index of its router
	high     bool // has high priority
	prefix   uint64
}

// An attempt is one attempt to run a job at an endpoint.
type attempt struct {
	answering bool // has sent its first token
	canceled  bool
	finish    func(ok bool)
	job       *job
	ticket    *router.Ticket
}

// A worker is a simulated endpoint.
type worker struct {
	cache      []uint64 // prefixes, least recently used first
	dead       bool     // refuses connections
	frozen     bool     // accepts attempts and never answers
	id         gooseberrypass.ID
	idleReport bool // always reports an empty queue and nothing running
	queue      []*attempt
	running    int
	slowdown   float64 // factor on the service time
}

// A scenario is the configuration of one run.
type scenario struct {
	eventLoss float64 // share of cache events that are lost
	fault     func(m *model)
	load      float64 // as a share of the total capacity
	naive     bool    // run the baseline
	seed      uint64
	totalTime time.Duration // defaultRunTime if 0
}

// A result holds the measurements of a run. An answer is useful if it is complete
// within the deadline.
type result struct {
	attempts                int
	attemptsAt              []int           // by second
	firstTokens             []time.Duration // latencies
	hits, runs              int             // attempts run with a cache hit, and all
	highUseful, highOffered int             // requests of high priority
	offered                 int
	offeredAt               []int // by second
	useful                  int
}

func (r *result) usefulShare() float64     { return float64(r.useful) / float64(r.offered) }
func (r *result) highUsefulShare() float64 { return float64(r.highUseful) / float64(r.highOffered) }
func (r *result) cacheHitShare() float64   { return float64(r.hits) / float64(max(r.runs, 1)) }

func (r *result) firstTokenP95() time.Duration {
	slices.Sort(r.firstTokens)
	return r.firstTokens[len(r.firstTokens)*95/100]
}

// A model simulates the system on a fake clock.
type model struct {
	scenario
	budget     float64 // retries that may be sent now
	clock      *clockwork.FakeClock
	events     events
	members    []gooseberrypass.Member
	nextWorker int // round robin of the baseline
	result     result
	rng        *rand.Rand
	routers    []*router.Router
	seq        int
	start      time.Time
	workers    []*worker
}

func (m *model) Members() []gooseberrypass.Member { return m.members }

// run simulates a scenario to its end.
func run(s scenario) *result {
	m := &model{scenario: s, budget: 10, clock: clockwork.NewFakeClock(), rng: rand.New(rand.NewPCG(s.seed, 7))}
	m.start = m.clock.Now()
	m.totalTime = cmp.Or(m.totalTime, defaultRunTime)
	seconds := int(m.totalTime/time.Second) + 10
	m.result.attemptsAt, m.result.offeredAt = make([]int, seconds), make([]int, seconds)
	for i := range endpointCount {
		m.workers = append(m.workers, &worker{id: gooseberrypass.ID(fmt.Sprintf("w-%02d", i)), slowdown: 1})
	}
	m.reportLoad()
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
	m.scheduleArrivals()
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

// after schedules do to run after d.
func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{at: m.clock.Now().Add(d), do: do, seq: m.seq})
}

func (m *model) currentSecond() int { return int(m.clock.Since(m.start) / time.Second) }

// reportLoad samples the load of each endpoint every reportPeriod and makes it
// visible to the routers after reportLag.
func (m *model) reportLoad() {
	at := m.clock.Now()
	members := make([]gooseberrypass.Member, 0, len(m.workers))
	for i, w := range m.workers {
		status := &gooseberrypass.AgentStatus{
			EndpointUp: true,
			Load:       gooseberrypass.EngineLoad{At: at, Capacity: capacity, Queued: len(w.queue), Running: w.running},
			Loaded:     []gooseberrypass.LoadedVersion{{Digest: weights(), Model: "jingle"}},
		}
		for _, prefix := range w.cache {
			if m.rng.Float64() >= m.eventLoss {
				status.CachedPrefixes = append(status.CachedPrefixes, prefix)
			}
		}
		if w.idleReport {
			status.Load.Queued, status.Load.Running = 0, 0
		}
		members = append(members, gooseberrypass.Member{
			Listed: gooseberrypass.ListedInstance{
				FailureDomain: domain(i), ID: w.id, Pool: "p", Region: "r", Role: gooseberrypass.RoleAgent, State: gooseberrypass.ListedLive,
			},
			Status: status,
		})
	}
	if m.members == nil {
		m.members = members
	}
	if m.clock.Since(m.start) < m.totalTime {
		m.after(reportLag, func() { m.members = members })
		m.after(reportPeriod, m.reportLoad)
	}
}

// scheduleArrivals schedules requests as a Poisson process until the run ends.
func (m *model) scheduleArrivals() {
	rate := m.load * endpointCount * capacity / service.Seconds()
	m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if m.clock.Since(m.start) > m.totalTime {
			return
		}
		j := &job{arrived: m.clock.Now(), entry: m.rng.IntN(entryCount), high: m.rng.IntN(5) == 0}
		j.prefix = 1 + uint64(prefixCount*m.rng.Float64()*m.rng.Float64())
		m.result.offered++
		m.result.offeredAt[m.currentSecond()]++
		if j.high {
			m.result.highOffered++
		}
		m.sendAttempt(j)
		m.scheduleArrivals()
	})
}

// sendAttempt makes the next attempt of a job. The baseline picks endpoints round
// robin and repeats an unanswered request after retryAfter, without a budget.
func (m *model) sendAttempt(j *job) {
	if m.naive {
		m.nextWorker++
		m.countAttempt(j)
		m.deliver(m.workers[m.nextWorker%endpointCount], &attempt{job: j, finish: func(bool) {}})
		m.after(retryAfter, func() {
			if !j.done && j.attempts < 3 {
				m.sendAttempt(j)
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
	m.countAttempt(j)
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
	if usual := ticket.ServiceTime(); usual > 0 {
		m.after(max(firstTokenFactor*usual, minFirstTokenTimeout), func() {
			if !a.answering {
				end(router.ResultLate, true)
			}
		})
	}
	at := slices.IndexFunc(m.workers, func(w *worker) bool { return w.id == ticket.Member().Listed.ID })
	if m.workers[at].dead {
		end(router.ResultFailed, true)
		return
	}
	m.deliver(m.workers[at], a)
}

// countAttempt counts an attempt of a job and adds to the retry budget.
func (m *model) countAttempt(j *job) {
	j.attempts++
	m.result.attempts++
	m.result.attemptsAt[m.currentSecond()]++
	m.budget = min(m.budget+retryBudget, 10)
}

// retry sends a job to another endpoint if its attempts, its deadline and the
// retry budget allow it.
func (m *model) retry(j *job, from gooseberrypass.ID) {
	if j.done || j.attempts >= 4 || m.budget < 1 || m.clock.Since(j.arrived) > deadline {
		return
	}
	m.budget -= 1 + retryBudget
	j.avoid = append(j.avoid, from)
	m.sendAttempt(j)
}

// deliver queues an attempt at an endpoint. An endpoint of the baseline has an
// unbounded FIFO queue. Otherwise high priority goes first, and an attempt is
// refused if the queue is full or it would miss its deadline.
func (m *model) deliver(w *worker, a *attempt) {
	if w.dead {
		return
	}
	if !m.naive && (len(w.queue) >= queueLimit || m.missesDeadline(w, a)) {
		a.finish(false)
		return
	}
	w.queue = append(w.queue, a)
	if !m.naive && a.job.high {
		i := slices.IndexFunc(w.queue, func(q *attempt) bool { return !q.job.high })
		if i >= 0 {
			copy(w.queue[i+1:], w.queue[i:len(w.queue)-1])
			w.queue[i] = a
		}
	}
	m.dispatch(w)
}

// missesDeadline reports whether an attempt would finish after its deadline.
func (m *model) missesDeadline(w *worker, a *attempt) bool {
	ahead := 0
	for _, q := range w.queue {
		if q.job.high || !a.job.high {
			ahead++
		}
	}
	rounds := float64(ahead)/capacity + 1
	return time.Duration(rounds*float64(service)) > deadline-m.clock.Since(a.job.arrived)
}

// dispatch starts queued attempts while an endpoint has capacity.
func (m *model) dispatch(w *worker) {
	for w.running < capacity && len(w.queue) > 0 && !w.frozen && !w.dead {
		a := w.queue[0]
		w.queue = w.queue[1:]
		if a.canceled {
			continue
		}
		m.runAttempt(w, a)
	}
}

// runAttempt simulates the service of an attempt by an endpoint.
func (m *model) runAttempt(w *worker, a *attempt) {
	w.running++
	m.result.runs++
	full := time.Duration(w.slowdown * (0.5 + m.rng.Float64()) * float64(service))
	prefill := time.Duration(prefillShare * float64(full))
	if w.useCached(a.job.prefix) {
		m.result.hits++
		full -= prefill
		prefill = 0
	}
	j := a.job
	m.after(prefill, func() {
		a.answering = true
		if !j.done {
			m.result.firstTokens = append(m.result.firstTokens, m.clock.Since(j.arrived))
		}
	})
	m.after(full, func() {
		w.running--
		if a.canceled {
			m.dispatch(w)
			return
		}
		if !w.frozen && !j.done && !w.dead {
			j.done = true
			if m.clock.Since(j.arrived) <= deadline {
				m.result.useful++
				if j.high {
					m.result.highUseful++
				}
			}
			a.finish(true)
		}
		m.dispatch(w)
	})
}

// useCached makes prefix the most recently used one of the cache and reports
// whether it was cached. It evicts the least recently used one if the cache is
// full.
func (w *worker) useCached(prefix uint64) bool {
	i := slices.Index(w.cache, prefix)
	if i >= 0 {
		w.cache = slices.Delete(w.cache, i, i+1)
	}
	w.cache = append(w.cache, prefix)
	if len(w.cache) > cacheSize {
		w.cache = w.cache[1:]
	}
	return i >= 0
}
