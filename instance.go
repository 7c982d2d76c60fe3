package gooseberrypass

import "context"

// A Role is what a process of the system does.
type Role string

// The roles.
const (
	RoleAgent Role = "agent"
	RoleEntry Role = "entry"
)

// A ListedState is what the platform's list says of an instance.
type ListedState string

// The listed states.
const (
	ListedLeaving ListedState = "leaving"
	ListedLive    ListedState = "live"
)

// A ListedInstance is one row of the platform's list. Address is the IP number
// and port of the system's process on that instance.
type ListedInstance struct {
	Address       string        `json:"address"`
	FailureDomain FailureDomain `json:"failure_domain"`
	ID            ID            `json:"id"`
	Pool          Pool          `json:"pool,omitempty"`
	Region        Region        `json:"region"`
	Role          Role          `json:"role"`
	State         ListedState   `json:"state"`
}

// A Listing is one answer of the platform's list. It lags, and a later answer
// may have a lower revision. Cost is how many bytes it took to get the answer.
type Listing struct {
	Cost      int64            `json:"-"`
	Instances []ListedInstance `json:"instances"`
	Revision  uint64           `json:"revision"`
}

// An InstanceList is the platform's list of live and leaving instances.
type InstanceList interface {
	List(ctx context.Context) (Listing, error)
}
