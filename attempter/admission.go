package attempter

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/admitter"
	"github.com/gooseberrypass/gooseberrypass/supervisor"
)

// A regulator is the controller that keeps the admission queue and the registry in
// step with the endpoint, the configuration and the time.
type regulator struct {
	admitter        *admitter.Admitter
	registry        *registry
	serviceCapacity int
	supervisor      *supervisor.Supervisor
}

// Handle implements gooseberrypass.Controller.
func (g *regulator) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case gooseberrypass.ConfigAccepted:
		g.admitter.SetLimit(e.Config.System().QueueLimit())
	case gooseberrypass.EngineObserved:
		g.follow(now)
	case gooseberrypass.Tick:
		g.registry.sweep(now)
		g.admitter.Expire(now)
	}
	return nil
}

// follow sets the capacity of the endpoint; none is left while it is down, and
// what was queued for it is refused.
func (g *regulator) follow(now time.Time) {
	s := g.supervisor.Snapshot()
	capacity := 0
	switch {
	case s.Up && s.State.BootID == "":
		capacity = g.serviceCapacity
	case s.Up:
		capacity = s.State.Load.Capacity
	}
	g.admitter.SetCapacity(now, capacity)
	if !s.Up {
		g.admitter.RefuseQueued(gooseberrypass.ReasonNotLoaded)
	}
}

var _ gooseberrypass.Controller = (*regulator)(nil)
