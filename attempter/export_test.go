package attempter

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass/monitor"
)

// A Registry exposes the single steps of an attempt to tests.
type Registry struct {
	attempts map[string]*attempt
	registry *registry
}

// NewRegistry returns a registry that is limited to limit attempts, of which
// reserve are for tombstones of refused ones.
func NewRegistry(limit, reserve int) *Registry {
	return &Registry{attempts: map[string]*attempt{}, registry: newRegistry(limit, reserve)}
}

// Begin queues an attempt with a lifetime of one minute. It reports whether the
// attempt may proceed and, if not, whether it certainly never runs.
func (r *Registry) Begin(id string) (bool, bool) {
	a := &attempt{cancel: func(error) {}, request: monitor.RunningRequest{}, id: id, lifetime: time.Minute}
	before, ok := r.registry.begin(a)
	if ok {
		r.attempts[id] = a
		return true, false
	}
	return false, isNotRun(duplicateError(before))
}

// Finish ends an attempt.
func (r *Registry) Finish(id string, notRun bool) { r.registry.finish(r.attempts[id], notRun) }

// Len returns the number of attempts in progress and of tombstones.
func (r *Registry) Len() int { return r.registry.known() }

// Refuse reports whether the attempt is refused for good.
func (r *Registry) Refuse(id string) bool { return r.registry.refuse(id) == phaseRefused }

// Start reports whether the attempt may run.
func (r *Registry) Start(id string) bool { return r.registry.start(r.attempts[id], time.Time{}) }

// Sweep advances the retention clock to now and evicts expired tombstones.
func (r *Registry) Sweep(now time.Time) { r.registry.sweep(now) }

func isNotRun(err error) bool {
	return asRequestError(err).Outcome == notRun("", "").Outcome
}
