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
	end       func(balancer.Result)
	left      int // tokens of the answer
	objective time.Duration
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
	running []*passRequest // in the order of prefill
	shorts  bool           // prefills short prompts first
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
	if e.shorts {
		slices.SortStableFunc(e.running, func(a, b *passRequest) int { return a.prompt - b.prompt })
	}
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

// A passLoadModel is a load on engines that work in passes.
type passLoadModel struct {
	classes    []passClass
	engines    int
	entries    int
	figures    func(*gooseberrypass.EngineSpec)
	oldPolicy  bool          // predicts the first event as for requests that are not scheduled
	paceChange time.Duration // between changes of the engines that take pacedTime, 0 for none
	hidesPace  bool
	rate       float64 // requests per second
	run        time.Duration
	settings   func(*balancer.Settings)
	shorts     bool
	spread     float64 // of the logarithm of prompt lengths
	wait       float64 // share of the objective for which requests wait at the entry
	ordered    bool
}

// A passResult counts requests of one class, or of a part of it.
type passResult struct{ inTime, late, refused int }

func (r passResult) all() int { return r.inTime + r.late + r.refused }

func (r passResult) served() float64 { return float64(r.inTime+r.late) / float64(max(r.all(), 1)) }

func (r passResult) String() string {
	n := float64(max(r.all(), 1)) / 100
	return fmt.Sprintf("%.1f%% in time, %.1f%% late, %.1f%% refused", float64(r.inTime)/n, float64(r.late)/n, float64(r.refused)/n)
}

const (
	passShort    = 0.7 // share of the prompts of a class that are neither in the largest tenth nor in the next fifth
	passLongest  = 0.9
	passMaxTimes = 3 // largest prompt, as a multiple of the mean
)

// passOutcome has the results by class and by size: the smallest seven tenths of the prompts of
// each class, the next fifth and the largest tenth.
type passOutcome struct {
	byClass []passResult
	bySize  [3]passResult
	total   passResult
}

func passSpec() *gooseberrypass.EngineSpec {
	return &gooseberrypass.EngineSpec{
		EventInterval: 47 * time.Millisecond, MeanTokens: 125, Model: "m", ReadRate: 30600, Slots: 12, TokensPerEvent: 7,
		Passes: gooseberrypass.PassSpec{Chunk: 2048, ContextTime: 20 * time.Microsecond, MeanPrompt: 941, PairsTime: 2 * time.Millisecond, SequenceTime: 20 * time.Microsecond, StepTime: 6400 * time.Microsecond},
	}
}

// simulate plays the load and returns what became of the requests.
func (m passLoadModel) simulate(seed uint64) passOutcome {
	const tick = 2 * time.Millisecond
	clock, rng := clockwork.NewFakeClock(), rand.New(rand.NewPCG(seed, 7))
	spec := passSpec()
	if m.figures != nil {
		m.figures(spec)
	}
	snapshot := &materializer.Snapshot{Deployment: gooseberrypass.NewDeployment(1, nil, []gooseberrypass.ServiceSpec{{Engine: spec, ID: "s"}}, nil, gooseberrypass.CallerLimits{})}
	engines := make([]*passEngine, m.engines)
	for i := range engines {
		engines[i] = &passEngine{pace: 1, shorts: m.shorts}
		snapshot.Endpoints = append(snapshot.Endpoints, gooseberrypass.Endpoint{Address: strconv.Itoa(i), ID: gooseberrypass.ID(strconv.Itoa(i)), Models: map[string]int{"m": 1}, Service: "s", Slots: spec.Slots})
	}
	s := settings()
	s.Fill, s.FirstEventShare, s.PassShare, s.EnginePenalty, s.RetryFill, s.SampleFactor, s.PaceTTL, s.SlowTolerance = 1, 0.5, 0.85, 1, 0.85, 1, 600*time.Millisecond, 1.6
	if m.settings != nil {
		m.settings(&s)
	}
	if m.hidesPace {
		s.PaceTTL = 0
	}
	entries := make([]*balancer.Balancer, m.entries)
	waiting := make([][]*passRequest, m.entries)
	for i := range entries {
		entries[i] = balancer.New(clock, balancer.Self{ID: "self", Region: "r"}, func(gooseberrypass.FailureDomain) gooseberrypass.Region { return "r" }, s, seed*100+uint64(i), quietLogger())
		entries[i].Handle(clock.Now(), materializer.Changed{Snapshot: snapshot})
	}
	var requests []*passRequest
	due := 0.0
	begin := clock.Now()
	for n := 0; clock.Now().Sub(begin) < m.run; n++ {
		now := clock.Now()
		if m.paceChange > 0 && now.Sub(begin)%m.paceChange == 0 {
			for _, e := range engines {
				e.pace = 1
			}
			for _, i := range rng.Perm(len(engines))[:(15*len(engines)+50)/100] {
				engines[i].pace = 2.5
			}
		}
		if n%50 == 0 { // 100 ms
			for i, from := range entries {
				for j, to := range entries {
					if i != j {
						to.SetEntryLoads(now, gooseberrypass.ID(strconv.Itoa(i)), from.OwnLoads())
					}
				}
				from.Handle(now, gooseberrypass.Tick{})
			}
		}
		for due += m.rate * tick.Seconds() * 2 * rng.Float64(); due >= 1; due-- {
			r := m.request(rng, now)
			requests = append(requests, r)
			i := rng.IntN(m.entries)
			waiting[i] = append(waiting[i], r)
		}
		for i, entry := range entries {
			var kept []*passRequest
			for _, r := range waiting[i] {
				if m.ordered && len(kept) > 0 {
					if now.Sub(r.arrived) < time.Duration(m.wait*float64(r.objective)) {
						kept = append(kept, r)
					}
					continue
				}
				ticket, err := entry.Choose(balancer.Query{Model: "m", Objective: r.objective - now.Sub(r.arrived), PromptTokens: r.prompt, Scheduled: !m.oldPolicy, Service: "s", Polled: r.arrived != now})
				if err == nil {
					k, _ := strconv.Atoi(string(ticket.Endpoint().ID))
					r.ticket = ticket
					engines[k].queue = append(engines[k].queue, r)
				} else if now.Sub(r.arrived) < time.Duration(m.wait*float64(r.objective)) {
					kept = append(kept, r)
				}
			}
			waiting[i] = kept
		}
		for _, e := range engines {
			if e.ends.After(now) {
				continue
			}
			e.finish(now, spec)
			e.begin(now, spec)
		}
		clock.Advance(tick)
	}
	return m.count(requests, clock.Now())
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
	return &passRequest{arrived: now, class: class, left: 65 + rng.IntN(121), objective: c.objective, prompt: prompt, unread: prompt}
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

// simulateAll plays the load with several seeds.
func (m passLoadModel) simulateAll(seeds uint64) passOutcome {
	sum := passOutcome{byClass: make([]passResult, len(m.classes))}
	for seed := range seeds {
		o := m.simulate(seed)
		for i, r := range o.byClass {
			sum.byClass[i].merge(r)
		}
		for i, r := range o.bySize {
			sum.bySize[i].merge(r)
		}
		sum.total.merge(o.total)
	}
	return sum
}

// count counts the requests that arrived a second or more before the end.
func (m passLoadModel) count(requests []*passRequest, end time.Time) passOutcome {
	o := passOutcome{byClass: make([]passResult, len(m.classes))}
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
			o.bySize[size].add(r)
		}
	}
	return o
}
