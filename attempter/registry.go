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
	// MaxDeadline is the maximum time from the arrival of an attempt to its
	// deadline.
	MaxDeadline = 10 * time.Minute
	// maxAttempts limits the attempts that are in progress or have a tombstone.
	maxAttempts = 1 << 17
	// refusalReserve is the part of maxAttempts that is reserved for tombstones
	// of refused attempts, so that attempts can still be settled when no new one
	// may start.
	refusalReserve = maxAttempts / 8
	// maxDisconnected limits the disconnected attempts that are kept for the
	// supervisor.
	maxDisconnected = 256
	// retentionMargin is how long a tombstone is kept beyond the deadline of its
	// attempt.
	retentionMargin = time.Minute
	// maxClockStep is the most that the retention clock advances in one sweep. A
	// process that was suspended therefore does not evict tombstones whose late
	// copies may still wait in its sockets.
	maxClockStep = time.Second
	// evictionPeriod is the time between two evictions of expired tombstones.
	evictionPeriod = 5 * time.Second
)

// Causes for which an attempt's context is cancelled.
var (
	errCancelled = errors.New("attempt cancelled")
	errRefused   = errors.New("attempt refused")
)

// A phase is the progress of an attempt. It never moves back: an attempt is
// queued, then refused or started, then done.
type phase int

const (
	phaseNone phase = iota // the id is not known
	phaseQueued
	phaseRefused
	phaseStarted
	phaseDone
)

// An idHash is the first 16 bytes of the SHA-256 of an attempt id.
type idHash [16]byte

func hashID(id string) idHash {
	sum := sha256.Sum256([]byte(id))
	return idHash(sum[:])
}

// An attempt is queued or running.
type attempt struct {
	cancel   context.CancelCauseFunc
	detached bool // cannot be cancelled once it has started
	flight   supervisor.RunningRequest
	id       string
	lifetime time.Duration // from arrival to deadline; a duplicate may arrive within it
	model    gooseberrypass.ID
	phase    phase
}

// A tombstone records the result of an attempt that is no longer in progress.
type tombstone struct {
	expires uint32 // seconds of the retention clock
	refused bool   // certainly did not run and never will
}

// A registry records the state of each attempt, so that none runs twice and a
// refused one never runs. It keeps a tombstone beyond the attempt's deadline; a
// full registry refuses new attempts rather than drop a tombstone. It is safe
// for concurrent use.
type registry struct {
	active         map[idHash]*attempt
	clock          time.Duration               // retention clock: time summed over sweeps, see maxClockStep
	disconnected   []supervisor.RunningRequest // running attempts whose connection broke, until TakeCut
	disconnectedAt time.Time                   // time of the last disconnect, zero if there was none
	ended          map[idHash]tombstone
	evictedAt      time.Duration // retention clock at the last eviction
	limit          int           // of attempts in progress and tombstones
	mu             sync.Mutex
	reserve        int       // part of limit reserved for tombstones of refused attempts
	sweptAt        time.Time // time of the last sweep
}

func newRegistry(limit, reserve int) *registry {
	return &registry{
		active:  map[idHash]*attempt{},
		ended:   map[idHash]tombstone{},
		limit:   limit,
		reserve: reserve,
	}
}

// begin queues an attempt. It returns the phase that the id was in before,
// phaseNone if it is new, and whether the attempt may proceed. A new attempt
// that may not proceed is refused for good. If there is no room even for its
// tombstone, begin returns phaseDone, for which the outcome is unknown.
func (g *registry) begin(a *attempt) (phase, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := hashID(a.id)
	if before := g.phaseOf(k); before != phaseNone {
		return before, false
	}
	switch n := g.knownLocked(); {
	case n >= g.limit:
		return phaseDone, false
	case n >= g.limit-g.reserve:
		g.addTombstone(k, a.lifetime, true)
		return phaseNone, false
	}
	a.phase = phaseQueued
	g.active[k] = a
	return phaseNone, true
}

// cancelAttempt cancels an attempt that is queued or running, unless it is
// detached and has started. It reports whether there is such an attempt.
func (g *registry) cancelAttempt(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	a, ok := g.active[hashID(id)]
	if ok && (a.phase != phaseStarted || !a.detached) {
		a.cancel(errCancelled)
	}
	return ok
}

// finish replaces an attempt by its tombstone. notRun says that it certainly did
// not run; later copies are then refused.
func (g *registry) finish(a *attempt, notRun bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := hashID(a.id)
	delete(g.active, k)
	g.addTombstone(k, a.lifetime, notRun || a.phase != phaseStarted)
}

// known returns the number of attempts in progress and of tombstones.
func (g *registry) known() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.knownLocked()
}

// knownLocked is known for callers that hold the lock.
func (g *registry) knownLocked() int { return len(g.active) + len(g.ended) }

// phaseOf returns the phase of an attempt. The caller must hold the lock.
func (g *registry) phaseOf(k idHash) phase {
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

// addTombstone records the result of an attempt with the given lifetime. The
// caller must hold the lock.
func (g *registry) addTombstone(k idHash, lifetime time.Duration, refused bool) {
	expires := math.Ceil((g.clock + lifetime + retentionMargin).Seconds())
	g.ended[k] = tombstone{expires: uint32(expires), refused: refused}
}

// recordDisconnect records that the connection of a running attempt broke now.
func (g *registry) recordDisconnect(now time.Time, a *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.disconnectedAt = now
	if len(g.disconnected) < maxDisconnected {
		flight := a.flight
		flight.DisconnectedAt = now
		g.disconnected = append(g.disconnected, flight)
	}
}

// refuse settles an attempt: unless it has started, it will never run. It
// returns the phase after that: phaseRefused if the attempt did not run and
// never will, phaseNone if there is no room for a tombstone.
func (g *registry) refuse(id string) phase {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := hashID(id)
	switch before := g.phaseOf(k); {
	case before == phaseQueued:
		a := g.active[k]
		a.phase = phaseRefused
		a.cancel(errRefused)
	case before != phaseNone:
		return before
	case g.knownLocked() >= g.limit:
		return phaseNone
	default:
		g.addTombstone(k, MaxDeadline, true)
	}
	return phaseRefused
}

// running returns the number of started attempts on a model.
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

// inProgress returns the number of attempts that are queued or running.
func (g *registry) inProgress() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.active)
}

// start marks a queued attempt as started. It reports false if the attempt was
// refused in the meantime.
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

// sweep advances the retention clock and evicts expired tombstones.
func (g *registry) sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.sweptAt.IsZero() {
		g.clock += min(max(now.Sub(g.sweptAt), 0), maxClockStep)
	}
	g.sweptAt = now
	if g.clock-g.evictedAt < evictionPeriod {
		return
	}
	g.evictedAt = g.clock
	seconds := uint32(g.clock.Seconds())
	maps.DeleteFunc(g.ended, func(_ idHash, e tombstone) bool { return e.expires < seconds })
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

// lastDisconnect returns when a connection last broke, zero if none did.
func (g *registry) lastDisconnect() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.disconnectedAt
}

// TakeDisconnected implements supervisor.Flights.
func (g *registry) TakeDisconnected() []supervisor.RunningRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	flights := g.disconnected
	g.disconnected = nil
	return flights
}

var _ supervisor.RunningRequests = (*registry)(nil)
