package gooseberrypass

// ConfigAccepted is the event that a new configuration is in force.
type ConfigAccepted struct {
	Config *Config
}

// EventName implements Event.
func (ConfigAccepted) EventName() string { return "config-accepted" }

// EngineObserved is the event that the engine's state was read, or that the
// reading failed.
type EngineObserved struct {
	Err   error
	State EngineState
}

// EventName implements Event.
func (EngineObserved) EventName() string { return "engine-observed" }

// ListingObserved is the event that the platform's list was read, or that the
// reading failed.
type ListingObserved struct {
	Err     error
	Listing Listing
}

// EventName implements Event.
func (ListingObserved) EventName() string { return "listing-observed" }

// MembersChanged is the event that the view of the members changed.
type MembersChanged struct {
	Members []Member
}

// EventName implements Event.
func (MembersChanged) EventName() string { return "members-changed" }

// StopRequested is the event that a planned stop has begun.
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
