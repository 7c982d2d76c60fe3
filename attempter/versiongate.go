package attempter

import (
	"slices"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/supervisor"
)

// Targets tells how far the instance is with the versions it is to serve. It is
// safe for concurrent use.
type Targets interface {
	Targets() []gooseberrypass.TargetStatus
}

// A gate lets attempts through to versions that the engine has loaded.
type gate struct {
	configs    gooseberrypass.ConfigSource
	instance   gooseberrypass.ListedInstance
	registry   *registry
	supervisor *supervisor.Supervisor
	targets    Targets
}

// admit returns the digest of the version that is to answer: the one asked for,
// or the configuration's if none was.
func (g *gate) admit(model gooseberrypass.ID, asked gooseberrypass.Digest) (gooseberrypass.Digest, error) {
	inForce, ok := g.inForce(model)
	if !ok {
		return asked, notRun(gooseberrypass.ReasonNotLoaded, "model is not served here")
	}
	digest := asked
	if digest.IsZero() {
		digest = inForce
	}
	s := g.supervisor.Snapshot()
	if !s.Up {
		return digest, notRun(gooseberrypass.ReasonNotLoaded, "engine is down")
	}
	if g.registry.lastCut().After(s.ObservedAt) {
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

// inForce returns the digest of the configuration's version. It reports false
// for a model that the instance is not to serve, which may be unloaded at any
// time.
func (g *gate) inForce(model gooseberrypass.ID) (gooseberrypass.Digest, bool) {
	cfg := g.configs.Config()
	if cfg == nil {
		return gooseberrypass.Digest{}, false
	}
	m, ok := cfg.Model(model)
	return m.Manifest(), ok && m.Pool() == cfg.PoolOf(g.instance)
}

// loading reports whether a load of the model is in progress. A load that the
// engine reports and no target explains may be of any model.
func (g *gate) loading(model gooseberrypass.ID, engineLoading bool) bool {
	explained := false
	for _, t := range g.targets.Targets() {
		if t.Phase != gooseberrypass.PhaseLoading {
			continue
		}
		if t.Model == model {
			return true
		}
		explained = true
	}
	return engineLoading && !explained
}
