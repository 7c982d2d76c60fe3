package attempter

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/admitter"
	"github.com/gooseberrypass/gooseberrypass/supervisor"
)

// An admissionController is the controller that updates the admission queue and
// the registry from the endpoint state, the configuration and the clock.
type admissionController struct {
	admitter        *admitter.Admitter
	registry        *registry
	serviceCapacity int
	supervisor      *supervisor.Supervisor
}

// Handle implements gooseberrypass.Controller.
func (g *admissionController) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case gooseberrypass.ConfigAccepted:
		g.admitter.SetLimit(e.Config.System().QueueLimit())
	case gooseberrypass.EngineObserved:
		g.updateCapacity(now)
	case gooseberrypass.Tick:
		g.registry.sweep(now)
		g.admitter.Expire(now)
	}
	return nil
}

// updateCapacity sets the capacity of the admission queue to that of the
// endpoint. While the endpoint is down, the capacity is 0 and queued attempts
// are refused.
func (g *admissionController) updateCapacity(now time.Time) {
	s := g.supervisor.Snapshot()
	capacity := 0
	switch {
	// A plain service has no boot id and reports no capacity.
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

var _ gooseberrypass.Controller = (*admissionController)(nil)
