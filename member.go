package gooseberrypass

import "time"

// A Phase is the progress of an instance with the rollout of a version.
type Phase string

// The phases in their order. PhaseFailed may follow any of them.
const (
	PhaseFetching Phase = "fetching"
	PhaseWaiting  Phase = "waiting" // all chunks are verified; waits for its turn in the rollout
	PhaseLoading  Phase = "loading"
	PhaseServing  Phase = "serving"
	PhaseFailed   Phase = "failed"
)

// A TargetStatus is the progress of an instance with a version that the configuration
// assigns to it.
type TargetStatus struct {
	Digest Digest
	Err    string // why the phase is PhaseFailed
	Held   int    // number of verified chunks
	Model  ID
	Phase  Phase
	Total  int // number of chunks, 0 until the manifest is held
}

// A Crash is a crash of an endpoint. Requests are the digests of the requests that
// may have caused it.
type Crash struct {
	At       time.Time
	ID       string
	Requests []Digest
}

// An AgentStatus is the status that an agent reports of itself and its endpoint.
// CacheEvent is the number of the last event that CachedPrefixes include. Version
// grows with each change of the status.
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

// A Member is the state of one instance as known to this process. Listed comes from
// the platform's list, the rest from polls of the instance. Status is nil if no status
// has been received.
type Member struct {
	Listed ListedInstance
	Silent bool // has not answered polls for longer than the silence timeout
	Status *AgentStatus
}

// TakesWork reports whether new requests may be sent to the member.
func (m Member) TakesWork() bool {
	return m.Listed.State == ListedLive && !m.Silent && m.Status != nil && !m.Status.Leaving && m.Status.EndpointUp
}

// A Membership provides the current members. It is safe for concurrent use. Callers
// must not modify the returned members.
type Membership interface {
	Members() []Member
}

// A ConfigSource provides the configuration in force, nil if none has been accepted
// yet. It is safe for concurrent use.
type ConfigSource interface {
	Config() *Config
}
