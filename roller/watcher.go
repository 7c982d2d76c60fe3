package roller

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// A Watcher derives candidates from the status of members. It remembers when each
// last made progress, to skip those that do not.
type Watcher struct {
	last  map[progressKey]progress
	limit time.Duration
}

// A progressKey identifies a rollout on one instance.
type progressKey struct {
	id    gooseberrypass.ID
	model gooseberrypass.ID
}

// progress is the last seen progress of a rollout on one instance.
type progress struct {
	digest gooseberrypass.Digest
	held   int       // verified chunks
	since  time.Time // when held last changed
}

// NewWatcher returns a watcher that skips an instance whose fetch makes no progress
// for longer than limit.
func NewWatcher(limit time.Duration) *Watcher {
	return &Watcher{limit: limit, last: map[progressKey]progress{}}
}

// Candidates returns the members that take part in the rollout of a version.
// members are the other instances of the pool.
func (w *Watcher) Candidates(now time.Time, members []gooseberrypass.Member, model gooseberrypass.ID, digest gooseberrypass.Digest) []Candidate {
	candidates := make([]Candidate, 0, len(members)+1)
	for _, m := range members {
		target := targetOf(m.Status, model, digest)
		if !participates(m, target) {
			continue
		}
		candidates = append(candidates, Candidate{
			FailureDomain: m.Listed.FailureDomain,
			Finished:      m.Status != nil && m.Status.Serves(model, digest),
			ID:            m.Listed.ID,
			Skipped:       w.stalled(now, progressKey{id: m.Listed.ID, model: model}, target, digest) || failedInService(m, model, target),
			Serving:       m.TakesWork() && servesAny(m.Status, model),
		})
	}
	return candidates
}

// participates excludes instances that are gone, do not answer or leave. It keeps an
// instance without a status, which may be out of service, and one whose endpoint
// went down while it loaded the version: a version that crashes its endpoints must
// not be rolled out to further ones.
func participates(m gooseberrypass.Member, target gooseberrypass.TargetStatus) bool {
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

// stalled reports whether an instance is fetching and its progress has not changed
// for longer than the limit.
func (w *Watcher) stalled(now time.Time, key progressKey, target gooseberrypass.TargetStatus, digest gooseberrypass.Digest) bool {
	last, ok := w.last[key]
	if !ok || last.digest != digest || last.held != target.Held {
		w.last[key] = progress{digest: digest, held: target.Held, since: now}
		return false
	}
	fetching := target.Phase == "" || target.Phase == gooseberrypass.PhaseFetching
	return fetching && now.Sub(last.since) > w.limit
}

// Retain removes the progress of instances that are not among members.
func (w *Watcher) Retain(members []gooseberrypass.Member) {
	listed := make(map[gooseberrypass.ID]struct{}, len(members))
	for _, m := range members {
		listed[m.Listed.ID] = struct{}{}
	}
	for key := range w.last {
		if _, ok := listed[key.id]; !ok {
			delete(w.last, key)
		}
	}
}

// failedInService reports whether an instance failed to fetch or load the version
// and still serves a version of the model.
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
