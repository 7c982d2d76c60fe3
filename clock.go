package gooseberrypass

import "github.com/jonboulle/clockwork"

// A Clock is a source of time and timers. Production code uses
// clockwork.NewRealClock(), tests use a fake clock.
type Clock = clockwork.Clock
