package scheduler_test

import (
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/materializer"
	"github.com/gooseberrypass/gooseberrypass/scheduler"
)

// The modeled system. An engine works in passes: one prefills up to modelChunk prompt tokens and
// takes a decode step for each token of an event.
const (
	modelChunk    = 2048
	modelDeadline = 6 * time.Second
	modelEntries  = 14
	modelEngines  = 20
	modelEvent    = 47 * time.Millisecond // 7 decode steps
	modelGossip   = 100 * time.Millisecond
	modelReadRate = 30.6 // tokens per millisecond
	modelSlots    = 12
	modelStep     = 2 * time.Millisecond
)

// A call is a request of a caller, over its retry.
type call struct {
	account, class int
	rank           int
	arrived        time.Time
	began          bool
	entry          int
	events, prompt int // left
	leaves         time.Time
	request        *scheduler.Request
	retried        bool
	retryAt        time.Time
	ticket         *balancer.Ticket
	tokens         int
	until, pollAt  time.Time // of the polling policy
	waiter         *scheduler.Waiter
}

// An engine is a model engine.
type engine struct {
	passEnds       time.Time
	queue, running []*call
}

// A pattern is a load. Factors are relative to what the engines can serve.
type pattern struct {
	accounts       func(rng *rand.Rand) int
	classes        [3]float64 // share of each class
	entries        func(rng *rand.Rand, at time.Duration) int
	engines        func(at time.Duration) int
	factor         func(at time.Duration, class int) float64
	leaves         float64 // share of the callers that leave after 50 ms
	lost           float64 // share of lost messages
	scheduled      bool
	urgentAccounts int // accounts that take precedence, 0 for none
}

// ranks returns the number of ranks.
func (p pattern) ranks() int {
	if p.urgentAccounts > 0 {
		return 2 * len(p.classes)
	}
	return len(p.classes)
}

// modelCapacity is the rate of requests at which the engines are full: the polling policy answers
// 195 to 201 a second at 1.1 to 2 times this rate.
const modelCapacity = 196.0

const modelRun = 12 * time.Second

// counts are the callers of one class by result.
type counts struct{ inTime, late, refused int }

func (c *counts) add(d counts) {
	c.inTime, c.late, c.refused = c.inTime+d.inTime, c.late+d.late, c.refused+d.refused
}

// share returns the share of a number of callers, in percent.
func (c *counts) share(n int) int { return 100 * n / max(c.inTime+c.late+c.refused, 1) }

type model struct {
	balancers  []*balancer.Balancer
	byAccount  map[int]*counts
	clock      *clockwork.FakeClock
	engines    []*engine
	most       int           // requests at the fullest engine
	over       int           // steps of engines with more requests than slots
	work       time.Duration // time of engines for the answers, at full batches
	pattern    pattern
	result     []counts // by rank
	retrying   []*call
	rng        *rand.Rand
	schedulers []*scheduler.Scheduler
	started    time.Time
	waiting    []*call
	serving    int
}

func newModel(p pattern, seed uint64) *model {
	clock := clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0)) // the order of entries at freed places depends on the time
	m := &model{clock: clock, pattern: p, rng: rand.New(rand.NewPCG(seed, seed)), started: clock.Now(), byAccount: map[int]*counts{}, result: make([]counts, p.ranks())}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range modelEntries {
		b := balancer.New(clock, balancer.Self{ID: gooseberrypass.ID(strconv.Itoa(i)), Region: "r"}, func(gooseberrypass.FailureDomain) gooseberrypass.Region { return "r" }, balancer.Settings{
			Ejection: time.Second, Fill: 1, FirstEventShare: 0.5, MaxEjection: time.Second, ReportTTL: 3 * time.Second, RetryFill: 0.85, SampleFactor: 1, SlowTolerance: 1.6,
			StatusTTL: time.Minute, StallTimeout: time.Minute, VersionTimeout: time.Hour,
		}, uint64(i), log)
		s, err := scheduler.New(clock, b, scheduler.Settings{LeastWaitShare: 0.12, MaxWaiting: 256, Mode: scheduler.ModeAlways, MostWaitShare: 0.4, ReportTTL: 3 * time.Second}, seed+uint64(i), prometheus.NewRegistry(), log)
		if err != nil {
			panic(err)
		}
		if p.scheduled {
			b.OnCapacity(s.Serve)
		}
		m.balancers, m.schedulers = append(m.balancers, b), append(m.schedulers, s)
	}
	for range modelEngines {
		m.engines = append(m.engines, &engine{passEnds: clock.Now()})
	}
	return m
}

// list tells the entries which engines serve.
func (m *model) list(n int) {
	if n == m.serving {
		return
	}
	m.serving = n
	snapshot := &materializer.Snapshot{Deployment: gooseberrypass.NewDeployment(1, nil, []gooseberrypass.ServiceSpec{{
		ID: "s", Engine: &gooseberrypass.EngineSpec{EventInterval: modelEvent, Model: "m", ReadRate: modelReadRate * 1000, Slots: modelSlots},
	}}, nil, gooseberrypass.CallerLimits{})}
	for i := range n {
		id := strconv.Itoa(i)
		snapshot.Endpoints = append(snapshot.Endpoints, gooseberrypass.Endpoint{Address: id, ID: gooseberrypass.ID(id), Models: map[string]int{"m": 1}, Service: "s", Slots: modelSlots})
	}
	for _, b := range m.balancers {
		b.Handle(m.clock.Now(), materializer.Changed{Snapshot: snapshot})
	}
}

// objective returns the objective of a class.
func objective(class int) time.Duration {
	return []time.Duration{400, 400, 800}[class] * time.Millisecond
}

// arrive adds the calls of one step.
func (m *model) arrive(at time.Duration) {
	for class, share := range m.pattern.classes {
		rate := modelCapacity * share * m.pattern.factor(at, class)
		if m.rng.Float64() >= rate*modelStep.Seconds() {
			continue
		}
		c := &call{
			account: m.pattern.accounts(m.rng), arrived: m.clock.Now(), class: class, entry: m.pattern.entries(m.rng, at), events: 8 + m.rng.IntN(20),
			tokens: int([]float64{1290, 787, 607}[class] * min(3, 0.4+0.6*m.rng.ExpFloat64())),
		}
		c.rank = class
		if c.account >= m.pattern.urgentAccounts && m.pattern.urgentAccounts > 0 {
			c.rank += len(m.pattern.classes)
		}
		if m.rng.Float64() < m.pattern.leaves {
			c.leaves = c.arrived.Add(50 * time.Millisecond)
		}
		m.enter(c)
	}
}

// enter lets a call ask for an engine.
func (m *model) enter(c *call) {
	now := m.clock.Now()
	c.prompt = c.tokens
	c.request = &scheduler.Request{
		Account: gooseberrypass.ID(strconv.Itoa(c.account)), ArrivedAt: now, Key: m.rng.Uint64(), Late: c.retried, Rank: c.rank, Ranks: m.pattern.ranks(),
		Query: balancer.Query{Model: "m", Objective: objective(c.class), PromptTokens: c.tokens, RefusedBefore: c.retried, Service: "s"},
	}
	if !m.pattern.scheduled {
		c.until, c.pollAt = now.Add(time.Duration(0.12*float64(objective(c.class)))), now
		m.poll(c)
		return
	}
	w, ticket, err := m.schedulers[c.entry].Enter(c.request)
	switch {
	case w != nil:
		c.waiter = w
		m.waiting = append(m.waiting, c)
	case err != nil:
		m.refuse(c)
	default:
		m.send(c, ticket)
	}
}

// poll is the polling policy: a waiting request checks every 12 ms.
func (m *model) poll(c *call) {
	now := m.clock.Now()
	ticket, err := m.balancers[c.entry].Choose(c.request.Query)
	switch c.pollAt = now.Add(12 * time.Millisecond); {
	case err == nil:
		m.send(c, ticket)
	case c.pollAt.After(c.until):
		m.refuse(c)
	default:
		m.waiting = append(m.waiting, c)
	}
}

// wait ends the waits that are over.
func (m *model) wait() {
	now, waiting := m.clock.Now(), m.waiting
	m.waiting = nil
	for _, c := range waiting {
		gone := !c.leaves.IsZero() && !now.Before(c.leaves)
		switch {
		case c.waiter == nil && gone:
		case c.waiter == nil && now.Before(c.pollAt):
			m.waiting = append(m.waiting, c)
		case c.waiter == nil:
			m.poll(c)
		default:
			ticket, granted := c.waiter.Granted()
			if !granted && (gone || !now.Before(c.waiter.Deadline())) {
				ticket, _ = m.schedulers[c.entry].Leave(c.waiter, !gone)
				granted = true
			}
			switch {
			case !granted:
				m.waiting = append(m.waiting, c)
			case ticket != nil:
				m.send(c, ticket)
			case !gone:
				m.refuse(c)
			}
		}
	}
}

func (m *model) send(c *call, ticket *balancer.Ticket) {
	n, _ := strconv.Atoi(string(ticket.Endpoint().ID))
	c.ticket = ticket
	m.engines[n].queue = append(m.engines[n].queue, c)
}

// refuse lets a caller retry once.
func (m *model) refuse(c *call) {
	if c.retried {
		m.count(c, func(n *counts) { n.refused++ })
		return
	}
	after := 1900 * time.Millisecond
	if m.pattern.scheduled {
		after = m.schedulers[c.entry].RetryAfter(c.request, modelDeadline)
	}
	c.retried, c.retryAt = true, m.clock.Now().Add(after)
	m.retrying = append(m.retrying, c)
}

func (m *model) count(c *call, add func(*counts)) {
	add(&m.result[c.rank])
	if m.byAccount[c.account] == nil {
		m.byAccount[c.account] = &counts{}
	}
	add(m.byAccount[c.account])
}

// pass ends the pass of an engine that is over, and begins the next one.
func (m *model) pass(e *engine) {
	now := m.clock.Now()
	m.most = max(m.most, len(e.queue)+len(e.running))
	if len(e.queue)+len(e.running) > modelSlots {
		m.over++
	}
	if now.Before(e.passEnds) {
		return
	}
	for _, c := range e.running {
		if c.prompt > 0 {
			continue
		}
		if !c.began {
			c.began = true
			c.ticket.HeadReceived(now.Sub(c.request.ArrivedAt))
			m.work += time.Duration(float64(c.tokens)/modelReadRate*float64(time.Millisecond)) + time.Duration(c.events)*modelEvent/modelSlots
			m.count(c, func(n *counts) {
				if now.Sub(c.arrived) <= objective(c.class) {
					n.inTime++
				} else {
					n.late++
				}
			})
		}
		if c.events--; c.events == 0 {
			c.ticket.Done(balancer.ResultAnswered)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(c *call) bool { return c.events <= 0 })
	for len(e.queue) > 0 && len(e.running) < modelSlots {
		e.running, e.queue = append(e.running, e.queue[0]), e.queue[1:]
	}
	left := modelChunk
	decoding := false
	for _, c := range e.running {
		read := min(c.prompt, left)
		decoding = decoding || c.prompt == 0
		c.prompt -= read
		left -= read
	}
	pass := time.Duration(float64(modelChunk-left) / modelReadRate * float64(time.Millisecond))
	if decoding {
		pass += modelEvent
	}
	e.passEnds = now.Add(pass)
}

// gossip exchanges loads and backlogs, each entry at its own phase.
func (m *model) gossip(step int) {
	const period = int(modelGossip / modelStep)
	now := m.clock.Now()
	for i := range modelEntries {
		if step%period != i*period/modelEntries {
			continue
		}
		m.balancers[i].Handle(now, gooseberrypass.Tick{})
		if m.pattern.scheduled {
			m.schedulers[i].Handle(now, gooseberrypass.Tick{})
		}
		for j := range modelEntries {
			if i == j || m.rng.Float64() < m.pattern.lost {
				continue
			}
			id := gooseberrypass.ID(strconv.Itoa(i))
			m.balancers[j].SetEntryLoads(now, id, m.balancers[i].OwnLoads())
			m.schedulers[j].SetEntryBacklogs(now, id, m.schedulers[i].OwnBacklogs())
		}
	}
}

func (m *model) run() {
	for step := range int(modelRun / modelStep) {
		at := m.clock.Now().Sub(m.started)
		m.list(m.pattern.engines(at))
		m.gossip(step)
		m.arrive(at)
		retrying := m.retrying
		m.retrying = nil
		for _, c := range retrying {
			if m.clock.Now().Before(c.retryAt) {
				m.retrying = append(m.retrying, c)
			} else {
				m.enter(c)
			}
		}
		for _, e := range m.engines {
			m.pass(e)
		}
		m.wait()
		m.clock.Advance(modelStep)
	}
}

// total returns the callers of all classes by result.
func (m *model) total() counts {
	var sum counts
	for _, n := range m.result {
		sum.add(n)
	}
	return sum
}
