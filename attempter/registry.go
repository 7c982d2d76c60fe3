package attempter

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/supervisor"
)

const (
	// MaxDeadline is the most time that an attempt may be given.
	MaxDeadline = 10 * time.Minute
	// maxRecords bounds the attempts that are remembered.
	maxRecords = 1 << 16
	// reservedRecords are kept for settling attempts when no more may start.
	reservedRecords = maxRecords / 8
	maxCut          = 256
	// memoryMargin is how long an attempt is remembered after its deadline.
	memoryMargin = time.Minute
	// maxStep is the most that the time of memory moves on between two sweeps,
	// so that a process that was suspended forgets nothing by it.
	maxStep = time.Second
	// forgetPeriod is the time between two searches for expired records.
	forgetPeriod = 5 * time.Second
)

// The causes of the end of an attempt's context.
var (
	errCancelled = errors.New("attempt cancelled")
	errRefused   = errors.New("attempt refused")
)

// A phase is how far an attempt is. It never moves back: an attempt is queued,
// then refused or started, then done.
type phase int

const (
	phaseNone phase = iota
	phaseQueued
	phaseRefused
	phaseStarted
	phaseDone
)

// An attempt is one attempt that is queued or runs.
type attempt struct {
	cancel  context.CancelCauseFunc
	final   bool // cannot be taken back once it has started
	flight  supervisor.Flight
	id      string
	life    time.Duration // time given, in which a copy may come late
	model   gooseberrypass.ID
	started bool
}

type record struct {
	attempt *attempt      // nil once refused or done
	expires time.Duration // in the time of memory
	phase   phase
}

// A registry remembers what became of each attempt, so that none runs twice
// and one that was refused never runs. A record outlives the attempt's
// deadline; a full registry takes no new attempts rather than forget one. It
// is safe for concurrent use.
type registry struct {
	active  map[*attempt]struct{}
	age     time.Duration // the time of memory
	cut     []supervisor.Flight
	forgot  time.Duration // when expired records were last searched for
	limit   int
	mu      sync.Mutex
	records map[string]*record
	reserve int
	swept   time.Time
}

func newRegistry(limit, reserve int) *registry {
	return &registry{
		active:  map[*attempt]struct{}{},
		limit:   limit,
		records: map[string]*record{},
		reserve: reserve,
	}
}

// begin queues an attempt. It returns the phase that the id was in before,
// phaseNone if it is new, and whether the attempt may go on. A new one
// that may not is refused for good; an id that cannot be remembered for
// lack of room comes back as phaseDone, of which nothing is promised.
func (g *registry) begin(a *attempt) (phase, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.records[a.id]; ok {
		return r.phase, false
	}
	switch {
	case len(g.records) >= g.limit:
		return phaseDone, false
	case len(g.records) >= g.limit-g.reserve:
		g.records[a.id] = &record{expires: g.age + a.life + memoryMargin, phase: phaseRefused}
		return phaseNone, false
	}
	g.records[a.id] = &record{attempt: a, phase: phaseQueued}
	g.active[a] = struct{}{}
	return phaseNone, true
}

// cancelAttempt ends an attempt that is queued or runs, unless it has started
// and cannot be taken back. It reports whether there is such an attempt.
func (g *registry) cancelAttempt(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.records[id]
	if !ok || r.attempt == nil {
		return false
	}
	if !r.attempt.started || !r.attempt.final {
		r.attempt.cancel(errCancelled)
	}
	return true
}

// finish ends an attempt. notRun tells that it certainly did not run; it is
// refused from then on.
func (g *registry) finish(a *attempt, notRun bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.active, a)
	r := g.records[a.id]
	r.attempt = nil
	r.expires = g.age + a.life + memoryMargin
	switch {
	case r.phase == phaseQueued, notRun:
		r.phase = phaseRefused
	case r.phase == phaseStarted:
		r.phase = phaseDone
	}
}

// reportCut notes that the connection of a running attempt was cut.
func (g *registry) reportCut(a *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.cut) < maxCut {
		g.cut = append(g.cut, a.flight)
	}
}

// refuse settles an attempt and returns its phase after that: phaseRefused if
// it did not run and never will, phaseNone if there is no room to remember.
func (g *registry) refuse(id string) phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.records[id]
	switch {
	case ok && r.phase == phaseQueued:
		r.phase = phaseRefused
		r.attempt.cancel(errRefused)
		return phaseRefused
	case ok:
		return r.phase
	case len(g.records) >= g.limit:
		return phaseNone
	}
	g.records[id] = &record{expires: g.age + MaxDeadline + memoryMargin, phase: phaseRefused}
	return phaseRefused
}

// running returns how many started attempts run on a model.
func (g *registry) running(model gooseberrypass.ID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for a := range g.active {
		if a.started && a.model == model {
			n++
		}
	}
	return n
}

// size returns how many attempts are queued or run.
func (g *registry) size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.active)
}

// start moves a queued attempt on to the endpoint. It reports false if the
// attempt was refused meanwhile.
func (g *registry) start(a *attempt, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.records[a.id]
	if r.phase != phaseQueued {
		return false
	}
	r.phase = phaseStarted
	a.started = true
	a.flight.Started = now
	return true
}

// sweep moves the time of memory on and forgets the records that have expired.
func (g *registry) sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.swept.IsZero() {
		g.age += min(max(now.Sub(g.swept), 0), maxStep)
	}
	g.swept = now
	if g.age-g.forgot < forgetPeriod {
		return
	}
	g.forgot = g.age
	for id, r := range g.records {
		if r.attempt == nil && r.expires < g.age {
			delete(g.records, id)
		}
	}
}

// Flying implements supervisor.Flights.
func (g *registry) Flying() []supervisor.Flight {
	g.mu.Lock()
	defer g.mu.Unlock()
	var flights []supervisor.Flight
	for a := range g.active {
		if a.started {
			flights = append(flights, a.flight)
		}
	}
	return flights
}

// TakeCut implements supervisor.Flights.
func (g *registry) TakeCut() []supervisor.Flight {
	g.mu.Lock()
	defer g.mu.Unlock()
	cut := g.cut
	g.cut = nil
	return cut
}

var _ supervisor.Flights = (*registry)(nil)
