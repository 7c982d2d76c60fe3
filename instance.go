package gooseberrypass

import "context"

// A Role is the role of a process of the system: agent or entry.
type Role string

// The roles of processes.
const (
	RoleAgent Role = "agent" // runs on an instance with a model engine or plain service
	RoleEntry Role = "entry" // accepts requests and routes them to agents
)

// A ListedState is the state of an instance in the platform's list.
type ListedState string

// The states of listed instances.
const (
	ListedLeaving ListedState = "leaving"
	ListedLive    ListedState = "live"
)

// A ListedInstance is an entry of the platform's list. Address is the IP address and
// port of the system's process on that instance.
type ListedInstance struct {
	Address       string        `json:"address"`
	FailureDomain FailureDomain `json:"failure_domain"`
	ID            ID            `json:"id"`
	Pool          Pool          `json:"pool,omitempty"`
	Region        Region        `json:"region"`
	Role          Role          `json:"role"`
	State         ListedState   `json:"state"`
}

// A Listing is the result of one read of the platform's list. It lags behind the
// real state, and a later read may return a lower revision. TransferBytes is the
// number of bytes transferred for the read.
type Listing struct {
	TransferBytes int64            `json:"-"`
	Instances     []ListedInstance `json:"instances"`
	Revision      uint64           `json:"revision"`
}

// An InstanceList reads the platform's list of live and leaving instances.
type InstanceList interface {
	List(ctx context.Context) (Listing, error)
}
