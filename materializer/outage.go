package materializer

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// exemptionMargin is the part of the exemption that is left unused: a tick of the control
// loop and the time that a request takes to reach its endpoint.
const exemptionMargin = 300 * time.Millisecond

// sharedSpan is the time for which no process is heard that can read the list, until the
// outage counts as shared. A process that was cut off hears from the others within a few
// message intervals after the cut.
const sharedSpan = 500 * time.Millisecond

// takeOverFactor is the age of the last read, as a multiple of MaxListAge, at which another
// process of the region has taken over and read the list.
const takeOverFactor = 2

// An outage is what is known of the failed reads of the endpoint list: whether only this
// process could not read it, or the others could not either. Endpoints cannot renew their
// records while the store is unavailable to all, so that the records of running ones
// expire. If only this process was cut off, an endpoint whose record is gone has left.
type outage struct {
	endedAt      time.Time // first read of another process after a shared outage
	failedAt     time.Time // start of the last failed read
	failing      bool      // the last own read failed
	failingSince time.Time // start of the first of the failed reads in a row
	otherReadAt  time.Time // last read of another process, as far as known
	readAt       time.Time // last own read
	sharedAt     time.Time // last message of a shared outage
	staleSince   time.Time // first message of those in a row from processes that cannot read
}

// record records the end of an own read.
func (o *outage) record(now time.Time, e gooseberrypass.TopicRead) {
	if e.Err == nil {
		o.failing, o.readAt = false, now
		return
	}
	o.failedAt = e.Started
	if e.Started.IsZero() {
		o.failedAt = now
	}
	if !o.failing {
		o.failing, o.failingSince = true, o.failedAt
	}
}

// observe records a message from a process that last read the list age ago. near reports
// whether it stands by for this process.
func (o *outage) observe(now time.Time, age, maxAge time.Duration, near bool) {
	read := now.Add(-age)
	if age <= maxAge {
		if !o.endedAt.After(o.sharedAt) {
			o.endedAt = read
		}
		if read.After(o.otherReadAt) {
			o.otherReadAt = read
		}
		o.staleSince = time.Time{}
		return
	}
	// A process that leaves the reads to another one has an old read as well, so an old
	// read counts only if the process still read about when this one last did, or should
	// have taken over from this one.
	reading := !read.Before(o.readAt.Add(-maxAge)) || near && now.Sub(o.readAt) > takeOverFactor*maxAge
	if !reading || now.Sub(o.otherReadAt) <= maxAge {
		return
	}
	if o.staleSince.IsZero() {
		o.staleSince = now
	}
	if now.Sub(o.staleSince) >= sharedSpan {
		o.sharedAt = now
	}
}

// isOwn reports whether another process could read the list while this one could not. A
// read of another one right after the end of a shared outage does not count: by then, that
// outage has been heard of.
func (o *outage) isOwn(now time.Time, s Settings) bool {
	heardOf := o.failingSince.Add(takeOverFactor*s.MaxListAge + sharedSpan)
	return o.failing && o.otherReadAt.After(heardOf) && !o.isShared(now, s)
}

// isAvailable reports whether this process or another one can read the list, and could
// shortly before.
func (o *outage) isAvailable(now time.Time, s Settings) bool {
	if o.failing || o.isShared(now, s) {
		return o.isOwn(now, s)
	}
	return now.Sub(o.readAt) <= s.MaxListAge || now.Sub(o.otherReadAt) <= s.MaxListAge
}

// isShared reports whether no process could read the list a short time ago. A read of this
// process that failed after another one's had succeeded shows that the outage goes on here
// alone.
func (o *outage) isShared(now time.Time, s Settings) bool {
	alone := o.endedAt.After(o.sharedAt) && o.failedAt.After(o.endedAt)
	return !o.sharedAt.IsZero() && now.Sub(o.sharedAt) <= s.Exemption && !alone
}

// retention returns for how much longer endpoints are retained whose records were removed
// during the outage. If no process could read, none could leave either, and those that run
// register again soon after the end. Otherwise an endpoint may have left right after the
// last own read, so that it is retained only while the process is exempt from the bounds:
// the path to the store was disrupted after the start of the last failed read.
func (o *outage) retention(now time.Time, s Settings) time.Duration {
	end := o.failedAt.Add(s.Exemption - exemptionMargin)
	if o.isShared(now, s) {
		end = now.Add(s.Retention)
		if o.endedAt.After(o.sharedAt) {
			end = o.endedAt.Add(s.Retention)
		}
	}
	return min(max(end.Sub(now), 0), s.Retention)
}

// fields returns the log fields that a decision about an endpoint depends on.
func (o *outage) fields(now time.Time, s Settings) logrus.Fields {
	if !o.failing {
		return nil
	}
	return logrus.Fields{"failed_read_age": now.Sub(o.failedAt), "only_here": o.isOwn(now, s), "read_age": now.Sub(o.readAt), "shared": o.isShared(now, s)}
}
