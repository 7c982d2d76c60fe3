package loader

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/fetcher"
)

// hearingTime is how long it takes at most until others have heard of a change
// of phase.
const hearingTime = 6 * time.Second

// stillLimit is how long the fetching of a version may stand still until this
// instance takes itself for passed over. It is shorter than stallLimit, by which
// others judge, since they hear late.
const stillLimit = stallLimit / 2

// A target is a version that the configuration wants this instance to serve.
type target struct {
	base        gooseberrypass.Digest // pinned manifest of the base, zero for a model
	err         string                // why the last order failed, "" from the next try on
	held        int                   // chunks, at the last step
	leavingAt   time.Time             // when requests stopped being admitted, zero if they are
	manifest    *gooseberrypass.Manifest
	model       gooseberrypass.Model
	movedAt     time.Time // when held last changed
	orderedAt   time.Time // when the engine took the order, zero if it has none
	orderedBoot string    // the engine's boot id then
	passedOver  bool      // others may have gone on without this instance
	readyAt     time.Time // since when the version is whole and may be loaded
	retryAt     time.Time
	strikes     int
}

// targetsOf returns the targets of an instance, base models first. Targets of
// the same version keep their state.
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
		t.keep(old)
		targets = append(targets, t)
	}
	slices.SortStableFunc(targets, func(a, b *target) int {
		return cmp.Compare(len(a.model.Base()), len(b.model.Base()))
	})
	return targets
}

// keep takes over the state of the target of the same model.
func (t *target) keep(old []*target) {
	for _, o := range old {
		if o.model.ID() != t.model.ID() {
			continue
		}
		t.leavingAt = o.leavingAt
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

// mismatch tells why a manifest does not fit the model's settings, "" if it
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

// fail notes why an order failed. The version before, if the engine still has
// it, is served again until the next try.
func (t *target) fail(now time.Time, err string) {
	t.err = err
	t.leavingAt, t.orderedAt = time.Time{}, time.Time{}
	t.retryAt = now.Add(min(retryBase<<min(t.strikes, maxShift), retryMax))
	t.strikes++
}

// noteProgress follows how far the version is. Others pass over an instance whose
// version failed or stands still.
func (t *target) noteProgress(now time.Time, p fetcher.Progress) {
	if p.Held != t.held || t.movedAt.IsZero() {
		t.held, t.movedAt = p.Held, now
	}
	still := !p.Complete() && now.Sub(t.movedAt) > stillLimit
	if p.Err != "" || t.err != "" || still {
		t.passedOver, t.readyAt = true, time.Time{}
	}
	if p.Complete() && t.readyAt.IsZero() {
		t.readyAt = now
	}
	t.err = ""
}

// heardOf reports whether the others can have heard that this instance waits for
// its wave again. Until then they and it might leave service together.
func (t *target) heardOf(now time.Time) bool {
	return !t.passedOver || !t.readyAt.IsZero() && now.Sub(t.readyAt) >= hearingTime
}

func (t *target) succeed() {
	t.passedOver, t.readyAt = false, time.Time{}
	t.err, t.strikes = "", 0
	t.leavingAt, t.orderedAt, t.retryAt = time.Time{}, time.Time{}, time.Time{}
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
