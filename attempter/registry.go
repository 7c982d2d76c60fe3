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
	"github.com/gooseberrypass/gooseberrypass/monitor"
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
	// maxDisconnected limits the disconnected attempts that are kept for
	// the monitor.
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
	id       string
	lifetime time.Duration // from arrival to deadline; a duplicate may arrive within it
	model    gooseberrypass.ID
	phase    phase
	request  monitor.RunningRequest
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
	clock          time.Duration            // retention clock: time summed over sweeps, see maxClockStep
	disconnected   []monitor.RunningRequest // running attempts whose connection broke, until TakeDisconnected
	disconnectedAt time.Time                // time of the last disconnect, zero if there was none
	ended          map[idHash]tombstone
	evictedAt      time.Duration // retention clock at the last eviction
	limit          int           // maximum number of attempts in progress and tombstones
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
func (r *registry) begin(a *attempt) (phase, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := hashID(a.id)
	if before := r.phaseOf(k); before != phaseNone {
		return before, false
	}
	switch n := r.knownLocked(); {
	case n >= r.limit:
		return phaseDone, false
	case n >= r.limit-r.reserve:
		r.addTombstone(k, a.lifetime, true)
		return phaseNone, false
	}
	a.phase = phaseQueued
	r.active[k] = a
	return phaseNone, true
}

// cancelAttempt cancels an attempt that is queued or running, unless it is
// detached and has started. It reports whether there is such an attempt.
func (r *registry) cancelAttempt(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.active[hashID(id)]
	if ok && (a.phase != phaseStarted || !a.detached) {
		a.cancel(errCancelled)
	}
	return ok
}

// finish replaces an attempt by its tombstone. notRun says that it certainly did
// not run; later copies are then refused.
func (r *registry) finish(a *attempt, notRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := hashID(a.id)
	delete(r.active, k)
	r.addTombstone(k, a.lifetime, notRun || a.phase != phaseStarted)
}

// known returns the number of attempts in progress and of tombstones.
func (r *registry) known() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knownLocked()
}

// knownLocked is known for callers that hold the lock.
func (r *registry) knownLocked() int { return len(r.active) + len(r.ended) }

// phaseOf returns the phase of an attempt. The caller must hold the lock.
func (r *registry) phaseOf(k idHash) phase {
	if a, ok := r.active[k]; ok {
		return a.phase
	}
	e, ok := r.ended[k]
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
func (r *registry) addTombstone(k idHash, lifetime time.Duration, refused bool) {
	expires := math.Ceil((r.clock + lifetime + retentionMargin).Seconds())
	r.ended[k] = tombstone{expires: uint32(expires), refused: refused}
}

// recordDisconnect records that the connection of a running attempt broke now.
func (r *registry) recordDisconnect(now time.Time, a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnectedAt = now
	if len(r.disconnected) < maxDisconnected {
		disconnected := a.request
		disconnected.DisconnectedAt = now
		r.disconnected = append(r.disconnected, disconnected)
	}
}

// refuse settles an attempt: unless it has started, it will never run. It
// returns the phase after that: phaseRefused if the attempt did not run and
// never will, phaseNone if there is no room for a tombstone.
func (r *registry) refuse(id string) phase {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := hashID(id)
	switch before := r.phaseOf(k); {
	case before == phaseQueued:
		a := r.active[k]
		a.phase = phaseRefused
		a.cancel(errRefused)
	case before != phaseNone:
		return before
	case r.knownLocked() >= r.limit:
		return phaseNone
	default:
		r.addTombstone(k, MaxDeadline, true)
	}
	return phaseRefused
}

// running returns the number of started attempts on a model.
func (r *registry) running(model gooseberrypass.ID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, a := range r.active {
		if a.phase == phaseStarted && a.model == model {
			n++
		}
	}
	return n
}

// inProgress returns the number of attempts that are queued or running.
func (r *registry) inProgress() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.active)
}

// start marks a queued attempt as started. It reports false if the attempt was
// refused in the meantime.
func (r *registry) start(a *attempt, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.phase != phaseQueued {
		return false
	}
	a.phase = phaseStarted
	a.request.StartedAt = now
	return true
}

// sweep advances the retention clock and evicts expired tombstones.
func (r *registry) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.sweptAt.IsZero() {
		r.clock += min(max(now.Sub(r.sweptAt), 0), maxClockStep)
	}
	r.sweptAt = now
	if r.clock-r.evictedAt < evictionPeriod {
		return
	}
	r.evictedAt = r.clock
	seconds := uint32(r.clock.Seconds())
	maps.DeleteFunc(r.ended, func(_ idHash, e tombstone) bool { return e.expires < seconds })
}

// Running implements monitor.RunningRequests.
func (r *registry) Running() []monitor.RunningRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var running []monitor.RunningRequest
	for _, a := range r.active {
		if a.phase == phaseStarted {
			running = append(running, a.request)
		}
	}
	return running
}

// lastDisconnect returns when a connection last broke, zero if none did.
func (r *registry) lastDisconnect() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disconnectedAt
}

// TakeDisconnected implements monitor.RunningRequests.
func (r *registry) TakeDisconnected() []monitor.RunningRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	disconnected := r.disconnected
	r.disconnected = nil
	return disconnected
}

var _ monitor.RunningRequests = (*registry)(nil)
