package attempter

import (
	"slices"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/monitor"
)

// Targets reports the progress of each version that the instance is to serve. It
// is safe for concurrent use.
type Targets interface {
	Targets() []gooseberrypass.TargetStatus
}

// A versionGate admits attempts only for versions that the engine has loaded.
type versionGate struct {
	configs  gooseberrypass.ConfigSource
	instance gooseberrypass.ListedInstance
	monitor  *monitor.Monitor
	registry *registry
	targets  Targets
}

// admit returns the digest of the version that is to answer: the requested one
// or, if that is zero, the one in the configuration. It refuses the attempt
// unless the engine serves that version now.
func (g *versionGate) admit(model gooseberrypass.ID, requested gooseberrypass.Digest) (gooseberrypass.Digest, error) {
	inConfig, ok := g.configured(model)
	if !ok {
		return requested, notRun(gooseberrypass.ReasonNotLoaded, "model is not served here")
	}
	digest := requested
	if digest.IsZero() {
		digest = inConfig
	}
	s := g.monitor.Snapshot()
	if !s.Up {
		return digest, notRun(gooseberrypass.ReasonNotLoaded, "engine is down")
	}
	if g.registry.lastDisconnect().After(s.ObservedAt) {
		return digest, notRun(gooseberrypass.ReasonNotLoaded, "a connection to the engine broke off and the engine was not seen since")
	}
	if !slices.Contains(s.State.Loaded, gooseberrypass.LoadedVersion{Digest: digest, Model: model}) {
		return digest, notRun(gooseberrypass.ReasonNotLoaded, "version "+digest.Short()+" is not loaded")
	}
	if g.loading(model, s.State.Loading) {
		return digest, notRun(gooseberrypass.ReasonNotLoaded, "another version is being loaded")
	}
	return digest, nil
}

// configured returns the digest of the version that the configuration names. It
// reports false for a model that the instance is not to serve, which may be
// unloaded at any time.
func (g *versionGate) configured(model gooseberrypass.ID) (gooseberrypass.Digest, bool) {
	cfg := g.configs.Config()
	if cfg == nil {
		return gooseberrypass.Digest{}, false
	}
	m, ok := cfg.Model(model)
	return m.Manifest(), ok && m.Pool() == cfg.PoolOf(g.instance)
}

// loading reports whether a load of the model is in progress. A load that the
// engine reports but that belongs to no target may be of any model, so it
// counts.
func (g *versionGate) loading(model gooseberrypass.ID, engineLoading bool) bool {
	otherLoading := false
	for _, t := range g.targets.Targets() {
		if t.Phase != gooseberrypass.PhaseLoading {
			continue
		}
		if t.Model == model {
			return true
		}
		otherLoading = true
	}
	return engineLoading && !otherLoading
}
