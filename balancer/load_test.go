package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// The modeled engine reads prompts one after another and generates for all
// requests of its batch.
const (
	modelObjective     = 400 * time.Millisecond
	modelPrompt        = 1000 // tokens
	modelReadRate      = 30.6 // tokens per millisecond
	modelSlots         = 16
	modelStep          = 2 * time.Millisecond
	modelShareInterval = 100 * time.Millisecond // between exchanges of load between entries
	modelAnswerTime    = 1100 * time.Millisecond
)

// A job is one request at an engine.
type job struct {
	arrived   time.Time
	done      func()
	began     func(took time.Duration)
	remaining time.Duration // of the answer
	unread    float64       // prompt tokens
}

type engine struct {
	availableFrom time.Time // start of service
	queue         []*job
	running       []*job
	slots         int
}

// step runs the engine for modelStep and returns the number of first events within
// the objective.
func (e *engine) step(now time.Time) int {
	budget := modelReadRate * float64(modelStep.Milliseconds())
	inTime := 0
	for len(e.queue) > 0 && len(e.running) < e.slots && budget > 0 {
		j := e.queue[0]
		read := min(budget, j.unread)
		j.unread -= read
		budget -= read
		if j.unread > 0 {
			break
		}
		e.queue = e.queue[1:]
		e.running = append(e.running, j)
		j.began(now.Sub(j.arrived))
		if now.Sub(j.arrived) <= modelObjective {
			inTime++
		}
	}
	kept := e.running[:0]
	for _, j := range e.running {
		if j.remaining -= modelStep; j.remaining > 0 {
			kept = append(kept, j)
			continue
		}
		j.done()
	}
	e.running = kept
	return inTime
}

// A policy chooses the engine for a request, -1 to refuse it. Load is exchanged
// between entries by share, and update sets the engines that serve.
type policy interface {
	choose(entry int, retry bool) (engine int, began func(time.Duration), done func())
	share(now time.Time)
	update(serving []bool)
}

// naive chooses the engine with the fewest requests of the same entry, up to a cap.
type naive struct {
	cap     int
	counts  [][]int
	serving []bool
}

func (n *naive) choose(entry int, _ bool) (int, func(time.Duration), func()) {
	best := -1
	for i, count := range n.counts[entry] {
		if n.serving[i] && count <= n.cap && (best < 0 || count < n.counts[entry][best]) {
			best = i
		}
	}
	if best < 0 {
		return -1, nil, nil
	}
	n.counts[entry][best]++
	return best, func(time.Duration) {}, func() { n.counts[entry][best]-- }
}

func (n *naive) share(time.Time) {}

func (n *naive) update(serving []bool) { n.serving = serving }

// balanced runs a balancer in each entry.
type balanced struct {
	clock        *clockwork.FakeClock
	entries      []*balancer.Balancer
	endpoints    []gooseberrypass.Endpoint
	marksRetries bool // sets RefusedBefore for callers who retry
}

func newBalanced(clock *clockwork.FakeClock, entries, engines int) *balanced {
	return newBalancedWith(clock, pattern{engines: engines, entries: entries}, 1)
}

// newBalancedWith returns balancers that compare a sample of the engines.
func newBalancedWith(clock *clockwork.FakeClock, p pattern, sampleFactor float64) *balanced {
	b := &balanced{clock: clock, marksRetries: true}
	s := settings()
	s.Fill, s.FirstEventShare, s.EnginePenalty, s.RetryFill, s.SampleFactor = 1, 0.5, 0, 0.85, sampleFactor
	for i := range p.entries {
		b.entries = append(b.entries, balancer.New(clock, balancer.Self{ID: "self", Region: "r"}, func(gooseberrypass.FailureDomain) gooseberrypass.Region { return "r" }, s, uint64(i), quietLogger()))
	}
	for i := range p.engines {
		b.endpoints = append(b.endpoints, gooseberrypass.Endpoint{
			Address: strconv.Itoa(i), ID: gooseberrypass.ID(strconv.Itoa(i)), Service: "s", Slots: p.engineSlots(),
		})
	}
	return b
}

func (b *balanced) update(serving []bool) {
	snapshot := &materializer.Snapshot{Deployment: gooseberrypass.NewDeployment(1, nil, []gooseberrypass.ServiceSpec{{
		Engine: &gooseberrypass.EngineSpec{Model: "m", EventInterval: 43 * time.Millisecond, ReadRate: modelReadRate * 1000}, ID: "s",
	}}, nil, gooseberrypass.CallerLimits{})}
	for i, e := range b.endpoints {
		e.Models = map[string]int{}
		if serving[i] {
			e.Models["m"] = 1
		}
		snapshot.Endpoints = append(snapshot.Endpoints, e)
	}
	for _, entry := range b.entries {
		entry.Handle(b.clock.Now(), materializer.Changed{Snapshot: snapshot})
	}
}

func (b *balanced) choose(entry int, retry bool) (int, func(time.Duration), func()) {
	ticket, err := b.entries[entry].Choose(balancer.Query{Model: "m", Objective: modelObjective, PromptTokens: modelPrompt, RefusedBefore: retry && b.marksRetries, Service: "s"})
	if err != nil {
		return -1, nil, nil
	}
	var n int
	_, _ = fmt.Sscan(string(ticket.Endpoint().ID), &n)
	return n, ticket.HeadReceived, func() { ticket.Done(balancer.ResultAnswered) }
}

func (b *balanced) share(now time.Time) {
	for i, from := range b.entries {
		for j, to := range b.entries {
			if i != j {
				to.SetEntryLoads(now, gooseberrypass.ID(strconv.Itoa(i)), from.OwnLoads())
			}
		}
	}
}

// A pattern describes a load and the times from which engines serve.
type pattern struct {
	availableAfter func(engine int) time.Duration
	retryAfter     time.Duration // after which a refused caller retries once, 0 for never
	engines        int
	entries        int
	rate           float64 // requests per second
	run            time.Duration
	slots          int // of an engine, modelSlots if 0
}

func (p pattern) engineSlots() int {
	if p.slots > 0 {
		return p.slots
	}
	return modelSlots
}

// simulate returns the number of requests with a first event within the objective,
// and of those with a later one.
func (p pattern) simulate(seed uint64, newPolicy func(clock *clockwork.FakeClock) policy) (int, int) {
	clock := clockwork.NewFakeClock()
	rng := rand.New(rand.NewPCG(seed, seed))
	pol := newPolicy(clock)
	engines := make([]*engine, p.engines)
	begin := clock.Now()
	for i := range engines {
		engines[i] = &engine{availableFrom: begin.Add(p.availableAfter(i)), slots: p.engineSlots()}
	}
	inTime, begun, due, shared := 0, 0, 0.0, begin
	var retrying []time.Time // first arrivals of callers who will retry, the earliest first
	send := func(now, arrived time.Time) {
		n, began, done := pol.choose(rng.IntN(p.entries), now.After(arrived))
		if n < 0 {
			if p.retryAfter > 0 && now.Equal(arrived) {
				retrying = append(retrying, now)
			}
			return
		}
		engines[n].queue = append(engines[n].queue, &job{
			arrived: arrived, began: func(took time.Duration) { begun++; began(took) }, done: done,
			remaining: time.Duration((0.5 + rng.Float64()) * float64(modelAnswerTime)), unread: modelPrompt,
		})
	}
	for clock.Now().Sub(begin) < p.run {
		now := clock.Now()
		serving := make([]bool, p.engines)
		for i, e := range engines {
			serving[i] = !now.Before(e.availableFrom)
		}
		pol.update(serving)
		if now.Sub(shared) >= modelShareInterval {
			pol.share(now)
			shared = now
		}
		for due += p.rate * modelStep.Seconds() * 2 * rng.Float64(); due >= 1; due-- {
			send(now, now)
		}
		for len(retrying) > 0 && now.Sub(retrying[0]) >= p.retryAfter {
			send(now, retrying[0])
			retrying = retrying[1:]
		}
		for _, e := range engines {
			inTime += e.step(now)
		}
		clock.Advance(modelStep)
	}
	return inTime, begun - inTime
}

// A comparison has the requests of three seeds by the time of their first event.
type comparison struct {
	inTime      int
	late        int
	naiveInTime int
}

// compare simulates a pattern with the naive policy and with balancers.
func (p pattern) compare(t *testing.T, naiveCap int) comparison {
	t.Helper()
	var sum comparison
	for seed := range uint64(3) {
		a, b := p.simulate(seed, func(clock *clockwork.FakeClock) policy { return newBalanced(clock, p.entries, p.engines) })
		c, d := p.simulate(seed, func(*clockwork.FakeClock) policy {
			n := &naive{cap: naiveCap}
			for range p.entries {
				n.counts = append(n.counts, make([]int, p.engines))
			}
			return n
		})
		t.Logf("seed %d: in time %d, late %d; naive in time %d, late %d", seed, a, b, c, d)
		sum.inTime += a
		sum.late += b
		sum.naiveInTime += c
	}
	return sum
}

// naiveCap lets each of the four entries send up to five requests to an engine.
const naiveCap = 4

func TestLoadEnginesThatComeBackOneAfterAnother(t *testing.T) {
	p := pattern{
		availableAfter: func(n int) time.Duration { return time.Duration(n/2) * 400 * time.Millisecond },
		engines:        8, entries: 4, rate: 150, run: 4 * time.Second,
	}
	got := p.compare(t, naiveCap)
	if got.inTime <= got.naiveInTime {
		t.Errorf("in time: got %d, want more than the naive %d", got.inTime, got.naiveInTime)
	}
	if got.late*20 > got.inTime {
		t.Errorf("late: got %d of %d, want at most one in twenty", got.late, got.inTime+got.late)
	}
}

func TestLoadSteadyOverload(t *testing.T) {
	p := pattern{availableAfter: func(int) time.Duration { return 0 }, engines: 6, entries: 4, rate: 130, run: 6 * time.Second}
	got := p.compare(t, naiveCap)
	if got.inTime*100 < got.naiveInTime*95 {
		t.Errorf("in time: got %d, want no less than the naive %d but for a twentieth", got.inTime, got.naiveInTime)
	}
	if got.late*20 > got.inTime {
		t.Errorf("late: got %d of %d, want at most one in twenty", got.late, got.inTime+got.late)
	}
}

func TestLoadManyEntriesBeforeFewSlots(t *testing.T) {
	p := pattern{availableAfter: func(int) time.Duration { return 0 }, engines: 12, entries: 11, rate: 200, run: 4 * time.Second}
	got := p.compare(t, 1)
	if got.inTime <= got.naiveInTime {
		t.Errorf("in time: got %d, want more than the naive %d", got.inTime, got.naiveInTime)
	}
}

// Retries of refused callers took the places of callers who could still be answered
// in time: the answer to a retry is already late. About as many requests are
// answered either way, so first attempts must come first under overload.
func TestLoadCallersWhoComeBackUnderOverload(t *testing.T) {
	p := pattern{availableAfter: func(int) time.Duration { return 0 }, retryAfter: 1900 * time.Millisecond, engines: 6, entries: 4, rate: 150, run: 8 * time.Second}
	inTime, late, inTimeUnmarked, lateUnmarked := 0, 0, 0, 0
	for seed := range uint64(3) {
		a, b := p.simulate(seed, func(clock *clockwork.FakeClock) policy { return newBalanced(clock, p.entries, p.engines) })
		c, d := p.simulate(seed, func(clock *clockwork.FakeClock) policy {
			unmarked := newBalanced(clock, p.entries, p.engines)
			unmarked.marksRetries = false
			return unmarked
		})
		inTime, late, inTimeUnmarked, lateUnmarked = inTime+a, late+b, inTimeUnmarked+c, lateUnmarked+d
	}
	t.Logf("in time %d, late %d; without marked retries in time %d, late %d", inTime, late, inTimeUnmarked, lateUnmarked)
	if inTime*10 < inTimeUnmarked*11 {
		t.Errorf("in time: got %d, want a tenth more than the %d without marked retries", inTime, inTimeUnmarked)
	}
	if got, want := inTime+late, inTimeUnmarked+lateUnmarked; got*100 < want*95 {
		t.Errorf("answered: got %d, want no less than %d but for a twentieth", got, want)
	}
}

// Load between entries is known as of the last message. Where each of many entries
// compares all engines, all of them send to the one that looked least loaded, whose
// few slots are taken at once, while others stand empty.
func TestLoadManyEntriesOfARegion(t *testing.T) {
	p := pattern{availableAfter: func(int) time.Duration { return 0 }, engines: 28, entries: 11, rate: 140, run: 6 * time.Second, slots: 8}
	sampled, all := 0, 0
	sampledLate, allLate := 0, 0
	for seed := range uint64(3) {
		a, b := p.simulate(seed, func(clock *clockwork.FakeClock) policy { return newBalancedWith(clock, p, 1) })
		c, d := p.simulate(seed, func(clock *clockwork.FakeClock) policy { return newBalancedWith(clock, p, 0) })
		t.Logf("seed %d: in time %d, late %d; comparing all engines in time %d, late %d", seed, a, b, c, d)
		sampled, sampledLate, all, allLate = sampled+a, sampledLate+b, all+c, allLate+d
	}
	if sampled < all {
		t.Errorf("in time: got %d, want no less than the %d of comparing all engines", sampled, all)
	}
	if sampledLate*2 > allLate {
		t.Errorf("late: got %d, want at most half of the %d of comparing all engines", sampledLate, allLate)
	}
}
