package gooseberrypass

import "time"

// A Phase is how far an instance is with a version.
type Phase string

// The phases, in their order. PhaseFailed may follow any.
const (
	PhaseFetching Phase = "fetching"
	PhaseWaiting  Phase = "waiting" // whole, waits for its wave
	PhaseLoading  Phase = "loading"
	PhaseServing  Phase = "serving"
	PhaseFailed   Phase = "failed"
)

// A TargetStatus tells how far an instance is with one version that the
// configuration wants it to serve.
type TargetStatus struct {
	Digest Digest
	Err    string
	Held   int // verified chunks
	Model  ID
	Phase  Phase
	Total  int // chunks
}

// A Crash is a crash of an endpoint and the requests it was running then.
type Crash struct {
	At       time.Time
	ID       string
	Requests []Digest
}

// An AgentStatus is what an agent says of itself and its endpoint.
type AgentStatus struct {
	CachedPrefixes []uint64
	CacheEvent     uint64
	ConfigOffset   Offset
	Crashes        []Crash
	EndpointUp     bool
	Leaving        bool
	Load           EngineLoad
	Loaded         []LoadedVersion
	Services       []ID
	Targets        []TargetStatus
	Version        uint64
}

// Serves reports whether the endpoint has loaded a version.
func (s *AgentStatus) Serves(model ID, digest Digest) bool {
	for _, l := range s.Loaded {
		if l.Model == model && l.Digest == digest {
			return true
		}
	}
	return false
}

// A Member is one instance as this process believes it to be, from the
// platform's list and from its own evidence. Status is nil if the member has
// not been heard of.
type Member struct {
	Listed ListedInstance
	Silent bool // did not answer for longer than the silence limit
	Status *AgentStatus
}

// TakesWork reports whether new work may be sent to the member.
func (m Member) TakesWork() bool {
	return m.Listed.State == ListedLive && !m.Silent && m.Status != nil && !m.Status.Leaving && m.Status.EndpointUp
}

// A Membership is the current view of the members. It is safe to be called on
// any goroutine; callers must not change what it returns.
type Membership interface {
	Members() []Member
}

// A ConfigSource gives the configuration in force, nil before the first. It is
// safe to be called on any goroutine.
type ConfigSource interface {
	Config() *Config
}
