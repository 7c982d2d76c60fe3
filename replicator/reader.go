package replicator

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
)

// A reader is the state of another entry of the own region that may read the log.
type reader struct {
	heardAt time.Time     // last message
	listAge time.Duration // age of its last read of the endpoint list at that message
}

// healthy reports whether the entry reads the log: both its last message and its
// last successful read are recent.
func (r reader) healthy(now time.Time, s Settings) bool {
	silence := now.Sub(r.heardAt)
	return silence <= s.ReaderTimeout && r.listAge+silence <= s.MaxListAge
}

// ReadsLog reports whether this process reads the log itself. In each region only
// the healthy entry with the lowest id does; the others pull the records from it.
// ReadsLog may be called from any goroutine.
func (r *Replicator) ReadsLog() bool { return !r.standby.Load() }

// recordReader records the reads that another entry reports.
func (r *Replicator) recordReader(now time.Time, m gossiper.Message) {
	if m.Region == r.self.Region && m.From < r.self.ID {
		r.readers[m.From] = reader{heardAt: now, listAge: m.ListAge}
	}
	r.electReader(now)
}

// electReader decides whether this process reads the log.
func (r *Replicator) electReader(now time.Time) {
	standby := false
	for id, other := range r.readers {
		if now.Sub(other.heardAt) > r.settings.ReaderTimeout {
			delete(r.readers, id)
		}
		standby = standby || other.healthy(now, r.settings)
	}
	r.standby.Store(standby)
}

// recordRead records an own read of a topic.
func (r *Replicator) recordRead(now time.Time, e gooseberrypass.TopicRead) {
	if e.Topic == gooseberrypass.TopicEndpoints && e.Err == nil && !r.standby.Load() {
		r.listReadAt = now
	}
}

// listAge returns the time since the last own read of the endpoint list. Before the
// first read it exceeds the age up to which a reader counts as healthy.
func (r *Replicator) listAge(now time.Time) time.Duration {
	if r.listReadAt.IsZero() {
		return r.settings.MaxListAge + time.Millisecond
	}
	return now.Sub(r.listReadAt)
}
