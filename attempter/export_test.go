package attempter

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass/supervisor"
)

// A Registry gives tests the steps of an attempt one by one.
type Registry struct {
	attempts map[string]*attempt
	registry *registry
}

// NewRegistry returns a registry of at most limit attempts.
func NewRegistry(limit, reserve int) *Registry {
	return &Registry{attempts: map[string]*attempt{}, registry: newRegistry(limit, reserve)}
}

// Begin queues an attempt that is given a minute. It reports whether the attempt
// may go on, else whether it is certain that it never runs.
func (r *Registry) Begin(id string) (bool, bool) {
	a := &attempt{cancel: func(error) {}, flight: supervisor.RunningRequest{}, id: id, life: time.Minute}
	before, room := r.registry.begin(a)
	if room {
		r.attempts[id] = a
		return true, false
	}
	return false, isNotRun(repeated(before))
}

// Finish ends an attempt.
func (r *Registry) Finish(id string, notRun bool) { r.registry.finish(r.attempts[id], notRun) }

// Len returns the number of attempts known.
func (r *Registry) Len() int { return r.registry.known() }

// Refuse reports whether the attempt is refused for good.
func (r *Registry) Refuse(id string) bool { return r.registry.refuse(id) == phaseRefused }

// Start reports whether the attempt may run.
func (r *Registry) Start(id string) bool { return r.registry.start(r.attempts[id], time.Time{}) }

// Sweep forgets what has expired by now.
func (r *Registry) Sweep(now time.Time) { r.registry.sweep(now) }

func isNotRun(err error) bool {
	return asRequestError(err).Outcome == notRun("", "").Outcome
}
