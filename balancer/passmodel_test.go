package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/balancer"
	"github.com/gooseberrypass/gooseberrypass/forwarder"
	"github.com/gooseberrypass/gooseberrypass/materializer"
)

// A passClass is a class of stream requests. Prompt lengths have a log-normal distribution.
type passClass struct {
	mean      float64 // tokens of a prompt
	objective time.Duration
	share     float64 // of all requests
}

// A passRequest is a request in the model of engines with passes.
type passRequest struct {
	arrived   time.Time
	class     int
	left      int // tokens of the answer
	objective time.Duration
	priority  int // at the engine
	prompt    int
	ticket    *balancer.Ticket
	unread    int
	began     bool
	inTime    bool
}

// A passEngine works in passes. Each prefills up to a chunk of tokens and runs the decode
// steps of one event, so that a request waits for its first event as page CONTENTION.md says.
type passEngine struct {
	ends    time.Time // of the pass in progress
	pace    float64
	queue   []*passRequest // waiting for a slot
	running []*passRequest // in the order of prefill: by priority, then as they came
}

// finish ends the pass in progress.
func (e *passEngine) finish(now time.Time, spec *gooseberrypass.EngineSpec) {
	kept := e.running[:0]
	for _, r := range e.running {
		if r.unread < 0 { // in decode since the begin of this pass
			if !r.began {
				r.began, r.inTime = true, now.Sub(r.arrived) <= r.objective
				r.ticket.PaceReceived(e.pace)
				r.ticket.HeadReceived(now.Sub(r.arrived))
			}
			r.left -= spec.TokensPerEvent
		}
		if r.left > 0 {
			kept = append(kept, r)
			continue
		}
		r.ticket.Done(balancer.ResultAnswered)
	}
	e.running = kept
}

// begin begins a pass if there is anything to do.
func (e *passEngine) begin(now time.Time, spec *gooseberrypass.EngineSpec) {
	for len(e.queue) > 0 && len(e.running) < spec.Slots {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 {
		return
	}
	slices.SortStableFunc(e.running, func(a, b *passRequest) int { return a.priority - b.priority })
	left, read, pairs, context, decoding := spec.Passes.Chunk, 0, 0.0, 0, 0
	for _, r := range e.running {
		if r.unread > 0 {
			n := min(left, r.unread)
			done := r.prompt - r.unread
			pairs += float64(n) * (float64(done) + float64(n)/2)
			r.unread, left, read = r.unread-n, left-n, read+n
			continue
		}
		r.unread = -1
		decoding++
		context += r.prompt
	}
	p := spec.Passes
	step := p.StepTime.Seconds() + float64(decoding)*p.SequenceTime.Seconds() + float64(context)/1000*p.ContextTime.Seconds()
	seconds := float64(read)/spec.ReadRate + pairs/1e6*p.PairsTime.Seconds() + float64(spec.TokensPerEvent)*step
	e.ends = now.Add(time.Duration(e.pace * seconds * float64(time.Second)))
}

// How requests wait at an entry.
const (
	modelPoll      = 12 * time.Millisecond // between checks for an engine with room
	modelWaitShare = 0.25                  // of the objective
)

// A passLoadModel is a load on engines that work in passes.
type passLoadModel struct {
	classes    []passClass
	engines    int
	entries    int
	hidesPace  bool          // the balancers ignore paces
	oldPolicy  bool          // predicts the first event as for requests that are not scheduled, and prefills by class only
	paceChange time.Duration // between changes of the engines that are slow, 0 for none
	ranked     bool          // each class has a rank of its own
	rate       float64       // requests per second
	run        time.Duration
	spec       func() *gooseberrypass.EngineSpec
	spread     float64 // standard deviation of the logarithm of prompt lengths
}

// A passResult counts requests of one class, or of a part of it.
type passResult struct{ inTime, late, refused int }

func (r passResult) all() int { return r.inTime + r.late + r.refused }

func (r passResult) served() float64 { return float64(r.inTime+r.late) / float64(max(r.all(), 1)) }

func (r passResult) inTimeShare() float64 { return float64(r.inTime) / float64(max(r.all(), 1)) }

func (r passResult) String() string {
	n := float64(max(r.all(), 1)) / 100
	return fmt.Sprintf("%.1f%% in time, %.1f%% late, %.1f%% refused", float64(r.inTime)/n, float64(r.late)/n, float64(r.refused)/n)
}

const (
	passShort    = 0.7 // share of the prompts of a class that are neither in the largest tenth nor in the next fifth
	passLongest  = 0.9
	passMaxTimes = 3 // largest prompt, as a multiple of the mean
)

// A passOutcome has the results by class and, within a class, by size: the smallest seven tenths
// of its prompts, the next fifth and the largest tenth.
type passOutcome struct {
	byClass []passResult
	bySize  [][3]passResult // by class and size
	total   passResult
}

// passSpec returns the engines of the ranked deployment, which serve 8 to 9 requests a second
// when full.
func passSpec() *gooseberrypass.EngineSpec {
	return &gooseberrypass.EngineSpec{
		EventInterval: 48 * time.Millisecond, MeanTokens: 125, Model: "m", ReadRate: 30600, Slots: 12, TokensPerEvent: 7,
		Passes: gooseberrypass.PassSpec{Chunk: 2048, ContextTime: 20 * time.Microsecond, MeanPrompt: 941, PairsTime: 2 * time.Millisecond, SequenceTime: 20 * time.Microsecond, StepTime: 6730 * time.Microsecond},
	}
}

// unevenSpec returns the engines of the uneven deployment.
func unevenSpec() *gooseberrypass.EngineSpec {
	spec := passSpec()
	spec.EventInterval, spec.ReadRate, spec.TokensPerEvent, spec.Passes.StepTime = 45*time.Millisecond, 19100, 5, 8870*time.Microsecond
	return spec
}

// A passRun is one simulation of a passLoadModel.
type passRun struct {
	begin    time.Time
	clock    *clockwork.FakeClock
	due      float64 // requests that are due
	engines  []*passEngine
	entries  []*balancer.Balancer
	model    passLoadModel
	requests []*passRequest
	rng      *rand.Rand
	spec     *gooseberrypass.EngineSpec
	waiting  [][]*passRequest // by entry
}

func (m passLoadModel) newRun(seed uint64) *passRun {
	clock, spec := clockwork.NewFakeClock(), m.spec()
	r := &passRun{begin: clock.Now(), clock: clock, model: m, rng: rand.New(rand.NewPCG(seed, seed)), spec: spec, waiting: make([][]*passRequest, m.entries)}
	snapshot := &materializer.Snapshot{Deployment: gooseberrypass.NewDeployment(1, nil, []gooseberrypass.ServiceSpec{{Engine: spec, ID: "s"}}, nil, gooseberrypass.CallerLimits{})}
	for i := range m.engines {
		r.engines = append(r.engines, &passEngine{pace: 1})
		snapshot.Endpoints = append(snapshot.Endpoints, gooseberrypass.Endpoint{Address: strconv.Itoa(i), ID: gooseberrypass.ID(strconv.Itoa(i)), Models: map[string]int{"m": 1}, Service: "s", Slots: spec.Slots})
	}
	s := settings()
	s.Fill, s.FirstEventShare, s.PassShare, s.PaceTTL, s.PaceWeight, s.SampleFactor, s.SlowTolerance = 1, 0.5, 0.7, 600*time.Millisecond, 0.5, 1, 1.6
	if m.hidesPace {
		s.PaceTTL = 0
	}
	for i := range m.entries {
		entry := balancer.New(clock, balancer.Self{ID: "self", Region: "r"}, func(gooseberrypass.FailureDomain) gooseberrypass.Region { return "r" }, s, seed*100+uint64(i), quietLogger())
		entry.Handle(clock.Now(), materializer.Changed{Snapshot: snapshot})
		r.entries = append(r.entries, entry)
	}
	return r
}

// simulate plays the load and returns what became of the requests.
func (m passLoadModel) simulate(seed uint64) passOutcome {
	const tick = 2 * time.Millisecond
	r := m.newRun(seed)
	for elapsed := time.Duration(0); elapsed < m.run; elapsed += tick {
		if m.paceChange > 0 && elapsed%m.paceChange == 0 {
			r.changePaces()
		}
		if elapsed%modelShareInterval == 0 {
			r.share()
		}
		r.arrive(tick)
		for i := range r.entries {
			r.serve(i)
		}
		for _, e := range r.engines {
			if now := r.clock.Now(); !e.ends.After(now) {
				e.finish(now, r.spec)
				e.begin(now, r.spec)
			}
		}
		r.clock.Advance(tick)
	}
	return m.count(r.requests, r.clock.Now())
}

// changePaces makes other engines slow, 15 in 100.
func (r *passRun) changePaces() {
	for _, e := range r.engines {
		e.pace = 1
	}
	for _, i := range r.rng.Perm(len(r.engines))[:(15*len(r.engines)+50)/100] {
		r.engines[i].pace = 2.5
	}
}

func (r *passRun) share() {
	now := r.clock.Now()
	for i, from := range r.entries {
		for j, to := range r.entries {
			if i != j {
				to.SetEntryLoads(now, gooseberrypass.ID(strconv.Itoa(i)), from.OwnLoads())
			}
		}
		from.Handle(now, gooseberrypass.Tick{})
	}
}

func (r *passRun) arrive(tick time.Duration) {
	for r.due += r.model.rate * tick.Seconds() * 2 * r.rng.Float64(); r.due >= 1; r.due-- {
		q := r.model.request(r.rng, r.clock.Now())
		r.requests = append(r.requests, q)
		i := r.rng.IntN(len(r.entries))
		r.waiting[i] = append(r.waiting[i], q)
	}
}

// serve sends the requests that wait at an entry, as far as they find a place.
func (r *passRun) serve(entry int) {
	now := r.clock.Now()
	r.waiting[entry] = slices.DeleteFunc(r.waiting[entry], func(q *passRequest) bool {
		waited := now.Sub(q.arrived)
		if waited%modelPoll != 0 {
			return false
		}
		ticket, err := r.entries[entry].Choose(balancer.Query{Model: "m", Objective: q.objective - waited, Polled: waited > 0, PromptTokens: q.prompt, Scheduled: !r.model.oldPolicy, Service: "s"})
		if err != nil {
			return waited >= time.Duration(modelWaitShare*float64(q.objective))
		}
		i, _ := strconv.Atoi(string(ticket.Endpoint().ID))
		q.ticket = ticket
		r.engines[i].queue = append(r.engines[i].queue, q)
		return true
	})
}

// request returns a random request.
func (m passLoadModel) request(rng *rand.Rand, now time.Time) *passRequest {
	class, x := 0, rng.Float64()
	for x > m.classes[class].share && class < len(m.classes)-1 {
		x -= m.classes[class].share
		class++
	}
	c := m.classes[class]
	factor := math.Exp(m.spread*rng.NormFloat64() - m.spread*m.spread/2)
	prompt := int(c.mean * min(factor, passMaxTimes))
	rank, ranks := 0, 1
	if m.ranked {
		rank, ranks = class, len(m.classes)
	}
	priority := rank
	if !m.oldPolicy {
		priority = forwarder.EnginePriority(rank, ranks, prompt, m.spec().Passes.MeanPrompt)
	}
	return &passRequest{arrived: now, class: class, priority: priority, left: 65 + rng.IntN(121), objective: c.objective, prompt: prompt, unread: prompt}
}

func (r *passResult) add(q *passRequest) {
	switch {
	case q.inTime:
		r.inTime++
	case q.ticket != nil:
		r.late++
	default:
		r.refused++
	}
}

func (r *passResult) merge(o passResult) {
	r.inTime, r.late, r.refused = r.inTime+o.inTime, r.late+o.late, r.refused+o.refused
}

// simulateAll plays the load with passSeeds seeds.
func (m passLoadModel) simulateAll() passOutcome {
	sum := passOutcome{byClass: make([]passResult, len(m.classes)), bySize: make([][3]passResult, len(m.classes))}
	for seed := range uint64(passSeeds) {
		o := m.simulate(seed)
		for i, r := range o.byClass {
			sum.byClass[i].merge(r)
			for size, part := range o.bySize[i] {
				sum.bySize[i][size].merge(part)
			}
		}
		sum.total.merge(o.total)
	}
	return sum
}

// count counts the requests that arrived a second or more before the end.
func (m passLoadModel) count(requests []*passRequest, end time.Time) passOutcome {
	o := passOutcome{byClass: make([]passResult, len(m.classes)), bySize: make([][3]passResult, len(m.classes))}
	for class := range m.classes {
		var members []*passRequest
		for _, r := range requests {
			if r.class == class && end.Sub(r.arrived) >= time.Second {
				members = append(members, r)
			}
		}
		slices.SortStableFunc(members, func(a, b *passRequest) int { return a.prompt - b.prompt })
		for i, r := range members {
			size, x := 0, float64(i)/float64(len(members))
			if x >= passLongest {
				size = 2
			} else if x >= passShort {
				size = 1
			}
			o.total.add(r)
			o.byClass[class].add(r)
			o.bySize[class][size].add(r)
		}
	}
	return o
}
