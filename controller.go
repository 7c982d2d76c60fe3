package gooseberrypass

import (
	"context"
	"time"
)

// An Event is an input of the Controllers: an observation, a timer or the result of
// an Effect. Each package defines its own event types.
type Event interface {
	// EventName returns the constant name of the event in metrics.
	EventName() string
}

// A TimedEvent is an Event whose ages hold when it is posted.
type TimedEvent interface {
	Event
	// Later returns the event as of a later time.
	Later(by time.Duration) Event
}

// An Effect is work that a Controller requests, such as I/O. It runs on its own
// goroutine. If Run returns an event, that event is passed to the controllers.
type Effect interface {
	// EffectName returns the constant name of the effect in metrics.
	EffectName() string
	Run(ctx context.Context) Event
}

// A Tick is the event that is posted at regular intervals, so that controllers can
// act on time.
type Tick struct{}

// EventName implements Event.
func (Tick) EventName() string { return "tick" }

// A Controller owns a part of a process's control state. Handle is called only on
// the control goroutine. It updates the state, returns the effects to run and must
// not block. now is its only source of time.
type Controller interface {
	Handle(now time.Time, event Event) []Effect
}
