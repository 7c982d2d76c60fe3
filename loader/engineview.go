package loader

import (
	"slices"
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// An engineView is what this process knows of its engine.
type engineView struct {
	known   bool // the last observation was good
	seen    bool // an observation was made, good or not
	settled bool // no order of an earlier process can be under way any more
	since   time.Time
	state   gooseberrypass.EngineState
}

// observe takes in an observation. The view is settled once the engine has not
// changed nor loaded for settleTime, or at once if it refuses old fences.
func (v *engineView) observe(now time.Time, e gooseberrypass.EngineObserved, fenced bool) {
	v.seen = true
	if e.Err != nil {
		v.known = false
		return
	}
	same := v.known && sameState(v.state, e.State)
	if !same || e.State.Loading {
		v.since = now
	}
	v.known, v.state = true, e.State
	if fenced || (!e.State.Loading && now.Sub(v.since) >= settleTime) {
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
