// Package fetcher gets the missing chunks of wanted versions: from the
// instances that rank before this one, then from the weight store, then from
// the origin.
package fetcher

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// A SourceKind tells where a chunk is read.
type SourceKind int

// The kinds of sources.
const (
	SourceNear   SourceKind = iota // instance in the own region
	SourceFar                      // instance in another region
	SourceStore                    // weight store
	SourceOrigin                   // origin
	sourceKinds
)

// String returns the kind as it is shown in metrics.
func (k SourceKind) String() string {
	switch k {
	case SourceNear:
		return "near"
	case SourceFar:
		return "far"
	case SourceStore:
		return "store"
	case SourceOrigin:
		return "origin"
	default:
		return "unknown"
	}
}

// An Item is something with a digest that a version consists of: a chunk, or
// the manifest itself.
type Item struct {
	Digest   gooseberrypass.Digest
	Index    int // of the chunk in its version
	Manifest bool
	Model    string // at the origin
	Offset   int64  // of the chunk in the weights, in bytes
	Size     int64  // bytes; for a manifest, the most it may have
	Version  string // at the origin
}

// A Fetch is one try to read an item from one source.
type Fetch struct {
	ID    uint64
	Item  Item
	Kind  SourceKind
	Limit time.Duration // for the whole try
	Peer  gooseberrypass.ListedInstance
	Wait  time.Duration // how long a peer may hold the request

	probe bool // of a peer that ranks later
}

// A Result is what became of a Fetch.
type Result int

// The results.
const (
	ResultOK          Result = iota // verified and held
	ResultBusy                      // the source refused for its load
	ResultCancelled                 // no longer wanted
	ResultCorrupt                   // bytes do not match the digest or size
	ResultNotHeld                   // the source has no such item
	ResultNoRoom                    // verified, but does not fit in memory
	ResultPending                   // the peer waits for the item itself
	ResultTimeout                   // the source was silent or too slow
	ResultUnreachable               // the source could not be reached, or cut the answer
)

// String returns the result as it is shown in metrics.
func (r Result) String() string {
	switch r {
	case ResultOK:
		return "ok"
	case ResultBusy:
		return "busy"
	case ResultCancelled:
		return "cancelled"
	case ResultCorrupt:
		return "corrupt"
	case ResultNotHeld:
		return "not-held"
	case ResultNoRoom:
		return "no-room"
	case ResultPending:
		return "pending"
	case ResultTimeout:
		return "timeout"
	case ResultUnreachable:
		return "unreachable"
	default:
		return "unknown"
	}
}

// A Done tells what became of a Fetch.
type Done struct {
	Bytes      int64 // read, whatever became of them
	Err        error
	ID         uint64
	Result     Result
	RetryAfter time.Duration
	Took       time.Duration // from the first byte to the last
}
