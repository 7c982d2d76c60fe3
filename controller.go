package gooseberrypass

import (
	"context"
	"time"
)

// An Event tells a Controller that something happened. Each package defines
// its own event types.
type Event interface {
	// EventName returns a short constant name for counters.
	EventName() string
}

// An Effect is work that a Controller asks for. It runs on a goroutine of its
// own; the event it returns, if any, goes back to the controllers.
type Effect interface {
	// EffectName returns a short constant name for counters.
	EffectName() string
	Run(ctx context.Context) Event
}

// A Tick is the event that tells controllers the time has moved on.
type Tick struct{}

// EventName implements Event.
func (Tick) EventName() string { return "tick" }

// A Controller owns a part of a process's control state. Handle is called on
// the control goroutine alone: it changes the state and returns the work that
// follows, and does not block. Time comes from now only.
type Controller interface {
	Handle(now time.Time, event Event) []Effect
}
