package loader

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
)

// propagationTime is the longest time until peers know of a change of phase.
const propagationTime = 6 * time.Second

// ownStallTimeout is the time without fetch progress after which this instance
// assumes that peers skip it. It is shorter than stallTimeout, which peers apply,
// because their view is older.
const ownStallTimeout = stallTimeout / 2

// A target is a version that the configuration wants this instance to serve.
type target struct {
	admissionEnd  time.Time             // when admission to the previous version stopped, zero while it goes on
	base          gooseberrypass.Digest // pinned manifest of the base, zero if the model is no adapter
	err           string                // why the last order failed, "" from the next attempt on
	failures      int                   // failed orders in a row
	held          int                   // chunks held at the last update
	manifest      *gooseberrypass.Manifest
	model         gooseberrypass.Model
	orderedAt     time.Time // when the engine accepted the order, zero if none is in progress
	orderedBootID string    // the engine's boot id at that time
	progressAt    time.Time // when held last changed
	readyAt       time.Time // when the version became complete and loadable
	retryAt       time.Time // earliest time of the next order
	skipped       bool      // peers may have continued the rollout without this instance
}

// targetsOf returns the targets of an instance, base models first. A target whose
// version is among old keeps its state.
func targetsOf(cfg *gooseberrypass.Config, self gooseberrypass.ListedInstance, old []*target) []*target {
	pool := cfg.PoolOf(self)
	var targets []*target
	for _, m := range cfg.Models() {
		if m.Pool() != pool || m.Manifest().IsZero() {
			continue
		}
		t := &target{model: m}
		if base, ok := cfg.Model(m.Base()); ok {
			t.base = base.Manifest()
		}
		t.inherit(old)
		targets = append(targets, t)
	}
	slices.SortStableFunc(targets, func(a, b *target) int {
		return cmp.Compare(len(a.model.Base()), len(b.model.Base()))
	})
	return targets
}

// inherit copies the state of the old target of the same version. From a target of
// another version of the model it copies only when admission stopped.
func (t *target) inherit(old []*target) {
	for _, o := range old {
		if o.model.ID() != t.model.ID() {
			continue
		}
		t.admissionEnd = o.admissionEnd
		if o.digest() == t.digest() {
			model, base := t.model, t.base
			*t = *o
			t.model, t.base = model, base
		}
	}
}

func (t *target) digest() gooseberrypass.Digest { return t.model.Manifest() }

func (t *target) isAdapter() bool { return t.model.Base() != "" }

func (t *target) want() fetcher.Want {
	return fetcher.Want{Digest: t.digest(), OriginName: t.model.OriginName(), Version: t.model.Version()}
}

// mismatch returns why the manifest does not match the model's settings, "" if it
// does.
func (t *target) mismatch() string {
	switch {
	case t.manifest == nil || t.manifest.Base() == t.base:
		return ""
	case t.base.IsZero():
		return fmt.Sprintf("the version is an adapter of %s; the model names no base", t.manifest.Base())
	case t.manifest.Base().IsZero():
		return "the version is no adapter; the model names a base"
	default:
		return fmt.Sprintf("the adapter is for base %s, the base model is at %s", t.manifest.Base(), t.base)
	}
}

// fail records why an order failed. The previous version, if the engine still has
// it, admits requests again until the next attempt.
func (t *target) fail(now time.Time, err string) {
	t.err = err
	t.admissionEnd, t.orderedAt = time.Time{}, time.Time{}
	t.retryAt = now.Add(min(retryBase<<min(t.failures, maxBackoffShift), retryMax))
	t.failures++
}

// updateProgress records the progress of the fetch. Peers skip an instance whose
// version failed or makes no progress.
func (t *target) updateProgress(now time.Time, p fetcher.Progress) {
	if p.Held != t.held || t.progressAt.IsZero() {
		t.held, t.progressAt = p.Held, now
	}
	stalled := !p.Complete() && now.Sub(t.progressAt) > ownStallTimeout
	if p.Err != "" || t.err != "" || stalled {
		t.skipped, t.readyAt = true, time.Time{}
	}
	if p.Complete() && t.readyAt.IsZero() {
		t.readyAt = now
	}
	t.err = ""
}

// peersInformed reports whether peers have had time to learn that this instance
// waits for its wave again. Before that, it and a peer could leave service at the
// same time.
func (t *target) peersInformed(now time.Time) bool {
	return !t.skipped || !t.readyAt.IsZero() && now.Sub(t.readyAt) >= propagationTime
}

func (t *target) succeed() {
	t.skipped, t.readyAt = false, time.Time{}
	t.err, t.failures = "", 0
	t.admissionEnd, t.orderedAt, t.retryAt = time.Time{}, time.Time{}, time.Time{}
}

func (t *target) order(fence gooseberrypass.Fence, weightsURL string) gooseberrypass.Order {
	kind := gooseberrypass.OrderLoad
	if t.isAdapter() {
		kind = gooseberrypass.OrderAdapter
	}
	return gooseberrypass.Order{
		Digest: t.digest(), Fence: fence, Kind: kind, Manifest: t.manifest.Encoded(),
		Model: t.model.ID(), WeightsURL: weightsURL + "/weights/" + t.digest().String(),
	}
}
