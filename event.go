package gooseberrypass

// ConfigAccepted is the event that a new configuration was accepted and is in force.
type ConfigAccepted struct {
	Config *Config
}

// EventName implements Event.
func (ConfigAccepted) EventName() string { return "config-accepted" }

// EngineObserved is the event that the engine's state was read, or that reading it
// failed with Err.
type EngineObserved struct {
	Err   error
	State EngineState
}

// EventName implements Event.
func (EngineObserved) EventName() string { return "engine-observed" }

// ListingObserved is the event that the platform's list was read, or that reading it
// failed with Err.
type ListingObserved struct {
	Err     error
	Listing Listing
}

// EventName implements Event.
func (ListingObserved) EventName() string { return "listing-observed" }

// MembersChanged is the event that the known members or their states changed.
type MembersChanged struct {
	Members []Member
}

// EventName implements Event.
func (MembersChanged) EventName() string { return "members-changed" }

// StopRequested is the event that a planned stop of the process began.
type StopRequested struct{}

// EventName implements Event.
func (StopRequested) EventName() string { return "stop-requested" }

var (
	_ Event = ConfigAccepted{}
	_ Event = EngineObserved{}
	_ Event = ListingObserved{}
	_ Event = MembersChanged{}
	_ Event = StopRequested{}
	_ Event = Tick{}
)
