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
	supervisor *supervisor.Supervisor
	targets    Targets
}

// admit returns the digest of the version that is to answer: the one asked for,
// or the configuration's if none was.
func (g *gate) admit(model gooseberrypass.ID, asked gooseberrypass.Digest) (gooseberrypass.Digest, error) {
	digest := asked
	if digest.IsZero() {
		digest = g.inForce(model)
	}
	if digest.IsZero() {
		return digest, notRun(gooseberrypass.ReasonNotLoaded, "no version of the model is configured")
	}
	s := g.supervisor.Snapshot()
	if !s.Up {
		return digest, notRun(gooseberrypass.ReasonNotLoaded, "engine is down")
	}
	if !slices.Contains(s.State.Loaded, gooseberrypass.LoadedVersion{Digest: digest, Model: model}) {
		return digest, notRun(gooseberrypass.ReasonNotLoaded, "version "+digest.Short()+" is not loaded")
	}
	if g.loading(model, s.State.Loading) {
		return digest, notRun(gooseberrypass.ReasonNotLoaded, "another version is being loaded")
	}
	return digest, nil
}

func (g *gate) inForce(model gooseberrypass.ID) gooseberrypass.Digest {
	cfg := g.configs.Config()
	if cfg == nil {
		return gooseberrypass.Digest{}
	}
	m, _ := cfg.Model(model)
	return m.Manifest()
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
