package gooseberrypass

import "github.com/jonboulle/clockwork"

// A Clock tells the time and makes timers. Production code passes
// clockwork.NewRealClock(), tests pass a fake.
type Clock = clockwork.Clock
