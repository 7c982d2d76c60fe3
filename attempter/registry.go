package attempter

import (
	"context"
	"crypto/sha256"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/supervisor"
)

const (
	// MaxDeadline is the most time that an attempt may be given.
	MaxDeadline = 10 * time.Minute
	// maxKnown bounds the attempts that are in progress or remembered.
	maxKnown = 1 << 17
	// reserved is how many of them are kept for settling attempts when no more
	// may start.
	reserved = maxKnown / 8
	maxCut   = 256
	// memoryMargin is how long an attempt is remembered after its deadline.
	memoryMargin = time.Minute
	// maxStep is the most that the time of memory moves on between two sweeps,
	// so that a process that was suspended forgets nothing by it.
	maxStep = time.Second
	// forgetPeriod is the time between two searches for what has expired.
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

// A key stands for an attempt id: the first bytes of its SHA-256.
type key [16]byte

func keyOf(id string) key {
	sum := sha256.Sum256([]byte(id))
	return key(sum[:])
}

// An attempt is one attempt that is queued or runs.
type attempt struct {
	cancel context.CancelCauseFunc
	final  bool // cannot be taken back once it has started
	flight supervisor.RunningRequest
	id     string
	life   time.Duration // time given, in which a copy may come late
	model  gooseberrypass.ID
	phase  phase
}

// An ending is what is remembered of an attempt that is no more in progress.
type ending struct {
	expires uint32 // in seconds of the time of memory
	refused bool
}

// A registry remembers what became of each attempt, so that none runs twice
// and one that was refused never runs. It remembers longer than the attempt's
// deadline; a full registry takes no new attempts rather than forget one. It
// is safe for concurrent use.
type registry struct {
	active  map[key]*attempt
	age     time.Duration // the time of memory
	cut     []supervisor.RunningRequest
	cutAt   time.Time // of the last cut
	ended   map[key]ending
	forgot  time.Duration // when expired endings were last searched for
	limit   int
	mu      sync.Mutex
	reserve int
	swept   time.Time
}

func newRegistry(limit, reserve int) *registry {
	return &registry{
		active:  map[key]*attempt{},
		ended:   map[key]ending{},
		limit:   limit,
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
	k := keyOf(a.id)
	if before := g.phaseOf(k); before != phaseNone {
		return before, false
	}
	switch n := g.len(); {
	case n >= g.limit:
		return phaseDone, false
	case n >= g.limit-g.reserve:
		g.remember(k, a.life, true)
		return phaseNone, false
	}
	a.phase = phaseQueued
	g.active[k] = a
	return phaseNone, true
}

// cancelAttempt ends an attempt that is queued or runs, unless it has started
// and cannot be taken back. It reports whether there is such an attempt.
func (g *registry) cancelAttempt(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	a, ok := g.active[keyOf(id)]
	if ok && (a.phase != phaseStarted || !a.final) {
		a.cancel(errCancelled)
	}
	return ok
}

// finish ends an attempt. notRun tells that it certainly did not run; it is
// refused from then on.
func (g *registry) finish(a *attempt, notRun bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := keyOf(a.id)
	delete(g.active, k)
	g.remember(k, a.life, notRun || a.phase != phaseStarted)
}

// known returns the number of attempts in progress or remembered.
func (g *registry) known() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.len()
}

// len is known for callers that hold the lock.
func (g *registry) len() int { return len(g.active) + len(g.ended) }

// phaseOf returns how far an attempt is.
func (g *registry) phaseOf(k key) phase {
	if a, ok := g.active[k]; ok {
		return a.phase
	}
	e, ok := g.ended[k]
	switch {
	case !ok:
		return phaseNone
	case e.refused:
		return phaseRefused
	default:
		return phaseDone
	}
}

// remember keeps the ending of an attempt that was given life.
func (g *registry) remember(k key, life time.Duration, refused bool) {
	expires := math.Ceil((g.age + life + memoryMargin).Seconds())
	g.ended[k] = ending{expires: uint32(expires), refused: refused}
}

// reportCut notes that the connection of a running attempt was cut now.
func (g *registry) reportCut(now time.Time, a *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cutAt = now
	if len(g.cut) < maxCut {
		flight := a.flight
		flight.DisconnectedAt = now
		g.cut = append(g.cut, flight)
	}
}

// refuse settles an attempt and returns its phase after that: phaseRefused if
// it did not run and never will, phaseNone if there is no room to remember.
func (g *registry) refuse(id string) phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := keyOf(id)
	switch before := g.phaseOf(k); {
	case before == phaseQueued:
		a := g.active[k]
		a.phase = phaseRefused
		a.cancel(errRefused)
	case before != phaseNone:
		return before
	case g.len() >= g.limit:
		return phaseNone
	default:
		g.remember(k, MaxDeadline, true)
	}
	return phaseRefused
}

// running returns how many started attempts run on a model.
func (g *registry) running(model gooseberrypass.ID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, a := range g.active {
		if a.phase == phaseStarted && a.model == model {
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
	if a.phase != phaseQueued {
		return false
	}
	a.phase = phaseStarted
	a.flight.StartedAt = now
	return true
}

// sweep moves the time of memory on and forgets what has expired.
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
	age := uint32(g.age.Seconds())
	maps.DeleteFunc(g.ended, func(_ key, e ending) bool { return e.expires < age })
}

// Running implements supervisor.Flights.
func (g *registry) Running() []supervisor.RunningRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	var flights []supervisor.RunningRequest
	for _, a := range g.active {
		if a.phase == phaseStarted {
			flights = append(flights, a.flight)
		}
	}
	return flights
}

// lastCut returns when a connection was last cut, zero if none was.
func (g *registry) lastCut() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cutAt
}

// TakeDisconnected implements supervisor.Flights.
func (g *registry) TakeDisconnected() []supervisor.RunningRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	cut := g.cut
	g.cut = nil
	return cut
}

var _ supervisor.RunningRequests = (*registry)(nil)
