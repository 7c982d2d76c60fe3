package attempter

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/admitter"
	"github.com/gooseberrypass/gooseberrypass/monitor"
)

// An admissionController is the controller that updates the admission queue and
// the registry from the endpoint state, the configuration and the clock.
type admissionController struct {
	admitter        *admitter.Admitter
	monitor         *monitor.Monitor
	registry        *registry
	serviceCapacity int
}

// Handle implements gooseberrypass.Controller.
func (c *admissionController) Handle(now time.Time, event gooseberrypass.Event) []gooseberrypass.Effect {
	switch e := event.(type) {
	case gooseberrypass.ConfigAccepted:
		c.admitter.SetLimit(e.Config.System().QueueLimit())
	case gooseberrypass.EngineObserved:
		c.updateCapacity(now)
	case gooseberrypass.Tick:
		c.registry.sweep(now)
		c.admitter.Expire(now)
	}
	return nil
}

// updateCapacity sets the capacity of the admission queue to that of the
// endpoint. While the endpoint is down, the capacity is 0 and queued attempts
// are refused.
func (c *admissionController) updateCapacity(now time.Time) {
	s := c.monitor.Snapshot()
	capacity := 0
	switch {
	// A plain service has no boot id and reports no capacity.
	case s.Up && s.State.BootID == "":
		capacity = c.serviceCapacity
	case s.Up:
		capacity = s.State.Load.Capacity
	}
	c.admitter.SetCapacity(now, capacity)
	if !s.Up {
		c.admitter.RefuseQueued(gooseberrypass.ReasonNotLoaded)
	}
}

var _ gooseberrypass.Controller = (*admissionController)(nil)
