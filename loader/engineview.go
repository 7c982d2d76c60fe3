package loader

import (
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// An engineView is the last observed state of the engine.
type engineView struct {
	changedAt time.Time // last observation in which the state changed or the engine was loading
	observed  bool      // an observation was tried, successfully or not
	settled   bool      // no order from a previous process can still be in progress
	state     gooseberrypass.EngineState
	valid     bool // the last observation succeeded
}

// observe records an observation. The view is settled once the engine has neither
// changed nor been loading for settleTime, or at once if the engine refuses orders
// with an old fence.
func (v *engineView) observe(now time.Time, e gooseberrypass.EngineObserved, fenced bool) {
	v.observed = true
	if e.Err != nil {
		v.valid = false
		return
	}
	same := v.valid && sameState(v.state, e.State)
	if !same || e.State.Loading {
		v.changedAt = now
	}
	v.valid, v.state = true, e.State
	if fenced || (!e.State.Loading && now.Sub(v.changedAt) >= settleTime) {
		v.settled = true
	}
}

func sameState(a, b gooseberrypass.EngineState) bool {
	return a.BootID == b.BootID && a.Fence == b.Fence && a.Loading == b.Loading && a.Role == b.Role &&
		slices.Equal(a.Loaded, b.Loaded)
}

func (v *engineView) serves(model gooseberrypass.ID, digest gooseberrypass.Digest) bool {
	return slices.Contains(v.state.Loaded, gooseberrypass.LoadedVersion{Digest: digest, Model: model})
}

func (v *engineView) servesAny(model gooseberrypass.ID) bool {
	return slices.ContainsFunc(v.state.Loaded, func(l gooseberrypass.LoadedVersion) bool { return l.Model == model })
}
