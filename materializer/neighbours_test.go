package materializer_test

import (
	"testing"
	"time"
)

// The record of a version that a process had found at its start was written again with other bytes and the
// same version. The process took that for the naming, and used the version before for another bound.
func TestVersionWrittenAgainInOtherBytesKeepsItsBound(t *testing.T) {
	l := &versionLog{}
	l.name("2")
	r := startVersionReader(startTime)
	r.read(startTime, l)
	now := startTime.Add(time.Minute)
	r.wantRequired(t, now, 2)
	l.name("2 ")
	r.readAt = now.Add(-time.Second)
	r.read(now, l)
	r.wantRequired(t, now, 2)
}
