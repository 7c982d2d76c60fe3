package roller

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Watcher turns what members say of themselves into candidates. It remembers
// when each last got on, to pass over those that do not.
type Watcher struct {
	limit time.Duration
	seen  map[sightKey]sight
}

type sightKey struct {
	id    gooseberrypass.ID
	model gooseberrypass.ID
}

type sight struct {
	digest gooseberrypass.Digest
	held   int
	since  time.Time
}

// NewWatcher returns a watcher that passes over an instance whose fetching
// stands still for longer than limit.
func NewWatcher(limit time.Duration) *Watcher {
	return &Watcher{limit: limit, seen: map[sightKey]sight{}}
}

// Candidates returns the members that take part in the rollout of a version.
// The members given are the other instances of the pool.
func (w *Watcher) Candidates(now time.Time, members []gooseberrypass.Member, model gooseberrypass.ID, digest gooseberrypass.Digest) []Candidate {
	candidates := make([]Candidate, 0, len(members)+1)
	for _, m := range members {
		target := targetOf(m.Status, model, digest)
		if !takesPart(m, target) {
			continue
		}
		candidates = append(candidates, Candidate{
			FailureDomain: m.Listed.FailureDomain,
			Finished:      m.Status != nil && m.Status.Serves(model, digest),
			ID:            m.Listed.ID,
			PassedOver:    w.standsStill(now, sightKey{id: m.Listed.ID, model: model}, target, digest) || failedInService(m, model, target),
			Serving:       m.TakesWork() && servesAny(m.Status, model),
		})
	}
	return candidates
}

// takesPart leaves out the dead, the silent and the leaving. An instance that has
// not been heard of yet stays: it may be out of service. So does one whose endpoint
// went down while it loaded the version, so that a version that crashes its
// endpoints does not go on to the next ones.
func takesPart(m gooseberrypass.Member, target gooseberrypass.TargetStatus) bool {
	if m.Silent || m.Listed.State != gooseberrypass.ListedLive {
		return false
	}
	if m.Status == nil {
		return true
	}
	if m.Status.Leaving {
		return false
	}
	return m.Status.EndpointUp || target.Phase == gooseberrypass.PhaseLoading || target.Phase == gooseberrypass.PhaseFailed
}

func (w *Watcher) standsStill(now time.Time, key sightKey, target gooseberrypass.TargetStatus, digest gooseberrypass.Digest) bool {
	last, ok := w.seen[key]
	if !ok || last.digest != digest || last.held != target.Held {
		w.seen[key] = sight{digest: digest, held: target.Held, since: now}
		return false
	}
	fetching := target.Phase == "" || target.Phase == gooseberrypass.PhaseFetching
	return fetching && now.Sub(last.since) > w.limit
}

// Keep forgets the instances that are not among members.
func (w *Watcher) Keep(members []gooseberrypass.Member) {
	listed := make(map[gooseberrypass.ID]struct{}, len(members))
	for _, m := range members {
		listed[m.Listed.ID] = struct{}{}
	}
	for key := range w.seen {
		if _, ok := listed[key.id]; !ok {
			delete(w.seen, key)
		}
	}
}

// failedInService reports whether an instance failed to get the version and
// serves the one before.
func failedInService(m gooseberrypass.Member, model gooseberrypass.ID, target gooseberrypass.TargetStatus) bool {
	return m.Status != nil && target.Phase == gooseberrypass.PhaseFailed && servesAny(m.Status, model)
}

func servesAny(status *gooseberrypass.AgentStatus, model gooseberrypass.ID) bool {
	for _, l := range status.Loaded {
		if l.Model == model {
			return true
		}
	}
	return false
}

func targetOf(status *gooseberrypass.AgentStatus, model gooseberrypass.ID, digest gooseberrypass.Digest) gooseberrypass.TargetStatus {
	if status == nil {
		return gooseberrypass.TargetStatus{}
	}
	for _, t := range status.Targets {
		if t.Model == model && t.Digest == digest {
			return t
		}
	}
	return gooseberrypass.TargetStatus{}
}
