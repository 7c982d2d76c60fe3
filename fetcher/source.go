// Package fetcher fetches the missing chunks of wanted versions: first from the
// instances that rank before this one, then from the weight store, then from the
// origin.
package fetcher

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
)

// A SourceKind is a kind of source that chunks are read from.
type SourceKind int

// The kinds of sources.
const (
	SourceSameRegion  SourceKind = iota // instance in this instance's region
	SourceCrossRegion                   // instance in another region
	SourceStore                         // weight store
	SourceOrigin                        // origin
	sourceKinds
)

// String returns the label of the kind in metrics.
func (k SourceKind) String() string {
	switch k {
	case SourceSameRegion:
		return "near"
	case SourceCrossRegion:
		return "far"
	case SourceStore:
		return "store"
	case SourceOrigin:
		return "origin"
	default:
		return "unknown"
	}
}

// An Item is a part of a version: a chunk or the manifest.
type Item struct {
	Digest   gooseberrypass.Digest
	Index    int // index of the chunk in its version
	Manifest bool
	Model    string // name of the model at the origin
	Offset   int64  // offset of the chunk in the weights, in bytes
	Size     int64  // size in bytes; the maximum size for a manifest
	Version  string // name of the version at the origin
}

// A Fetch is one attempt to read an item from one source.
type Fetch struct {
	ID      uint64
	Item    Item
	Kind    SourceKind
	Peer    gooseberrypass.ListedInstance // set if the source is an instance
	Timeout time.Duration
	Wait    time.Duration // how long a peer may delay its response until it holds the item

	probe bool // Peer ranks later and may not hold the item
}

// A Result is the result of a Fetch.
type Result int

// The results.
const (
	ResultOK          Result = iota // verified and held
	ResultBusy                      // refused because the source is overloaded
	ResultCancelled                 // no longer wanted
	ResultCorrupt                   // bytes do not match the digest or size
	ResultNotHeld                   // the source has no such item
	ResultNoRoom                    // verified, but does not fit in chunk memory
	ResultPending                   // the peer wants the item but does not hold it yet
	ResultTimeout                   // the source did not respond or was too slow
	ResultUnreachable               // the source could not be reached or closed the connection early
)

// String returns the label of the result in metrics.
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

// An Outcome is the outcome of a Fetch.
type Outcome struct {
	Bytes      int64 // bytes read, also if they were dropped
	Err        error
	ID         uint64
	Result     Result
	RetryAfter time.Duration // minimum pause that the source asked for, 0 for none
	Took       time.Duration // duration of the transfer, without the time before a peer's header
}
