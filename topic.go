package gooseberrypass

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"
)

// A Topic is the name of a keyed topic of the platform's log, which keeps the newest
// record of each key.
type Topic string

// The keyed topics.
const (
	TopicEndpoints Topic = "endpoints" // written by the endpoints
	TopicManifests Topic = "manifests" // written by agents
	TopicOperator  Topic = "operator"  // written by the platform's operator
	TopicProcesses Topic = "processes" // written by the system's processes
)

// ErrRecordTooLarge is wrapped by the errors for records that a log takes at no time.
var ErrRecordTooLarge = errors.New("record too large")

// A KeyedRecord is the newest record of a key. Value is nil if the key was deleted.
type KeyedRecord struct {
	Key      string
	Offset   Offset
	Revision Revision // of a deleted key: that of its last value, as far as known
	Value    []byte
}

// A Revision orders the values of one key by what their writer says of them, whatever
// their offsets: a log that came back from an older copy holds older values at new
// offsets. The zero value is unknown.
type Revision struct {
	Number int64 // rises with each value that the writer writes
	Start  int64 // start of the writer, in Unix milliseconds, 0 for writers that do not restart
}

// Compare returns a negative number if r is older than other, a positive one if it is newer,
// and 0 if they are equal or one of them is unknown.
func (r Revision) Compare(other Revision) int {
	if r == (Revision{}) || other == (Revision{}) {
		return 0
	}
	return cmp.Or(cmp.Compare(r.Start, other.Start), cmp.Compare(r.Number, other.Number))
}

// A KeyedBatch is the result of a read of a keyed topic. If Complete is set,
// Records contains every key of the topic, so any other key with an offset below Next
// has been deleted.
type KeyedBatch struct {
	Complete bool
	Next     Offset // offset of the next record to read
	Records  []KeyedRecord
}

// A KeyedLog is the part of the platform's log with keyed topics. Their offsets start
// at 0.
type KeyedLog interface {
	// Newest returns the newest record of every key.
	Newest(ctx context.Context, topic Topic) (KeyedBatch, error)
	// Put appends a record that sets the value of key. A nil value deletes the key.
	Put(ctx context.Context, topic Topic, key string, value []byte) error
	// Tail returns records starting at offset from. If there are none, it waits
	// for one up to wait. It returns a *TrimmedError if the record at from has
	// been trimmed, and a *RestoredError if the log came back from an older copy
	// after it gave out from.
	Tail(ctx context.Context, topic Topic, from Offset, wait time.Duration) (KeyedBatch, error)
}

// An AgedTarget is a wanted version of a model with the time since it was named.
type AgedTarget struct {
	Age      time.Duration
	Model    string
	Observed bool // a process saw the version being named; otherwise Age may be an assumption
	Version  int
}

// Later returns the version as of a later time.
func (a AgedTarget) Later(by time.Duration) AgedTarget {
	a.Age = Older(a.Age, by)
	return a
}

// Older returns an age a time later. The longest age stays as it is.
func Older(age, by time.Duration) time.Duration { return max(age, age+by) }

// A TopicChanged is the event that records of a keyed topic were read.
type TopicChanged struct {
	Ages      []time.Duration // time since each record first became known to any process; nil if this process read them from the log
	Batch     KeyedBatch
	FirstRead bool                     // first read of this process, whose records may be of any age
	ReadAge   time.Duration            // time since this process read the records from the log, if Ages is nil
	ReadFrom  time.Time                // last answer of the log before this read, after which its records were written; zero if unknown
	Retained  map[string]time.Duration // keys that another process keeps although their records expired during an outage, with the rest of their retention
	Targets   []AgedTarget             // versions that another process knows; the log keeps only the record of the newest
	Topic     Topic
}

// EventName implements Event.
func (TopicChanged) EventName() string { return "topic-changed" }

// Later returns the event as of a later time, by which records and versions are older.
func (e TopicChanged) Later(by time.Duration) Event {
	ages, retained, targets := e.Ages, e.Retained, e.Targets
	if ages == nil {
		e.ReadAge += by
	} else {
		e.Ages = make([]time.Duration, 0, len(ages))
	}
	for _, age := range ages {
		e.Ages = append(e.Ages, Older(age, by))
	}
	e.Retained = make(map[string]time.Duration, len(retained))
	for key, rest := range retained {
		e.Retained[key] = max(rest-by, 0)
	}
	e.Targets = make([]AgedTarget, 0, len(targets))
	for _, t := range targets {
		e.Targets = append(e.Targets, t.Later(by))
	}
	return e
}

// A TopicRead is the event that a read of a topic ended. Err is nil if it succeeded,
// whether or not it returned records.
type TopicRead struct {
	Err     error
	Started time.Time // when a failed read began
	Topic   Topic
}

// EventName implements Event.
func (TopicRead) EventName() string { return "topic-read" }

var (
	_ Event      = TopicRead{}
	_ TimedEvent = TopicChanged{}
)
