package materializer_test

import (
	"testing"
	"time"
)

// A process that pulled its records for an hour took over the reads, and its first read found a version that nobody
// had told it of. It counted that from its start, and refused every engine at once.
func TestVersionInALateFirstReadCountsFromTheLastAnswer(t *testing.T) {
	const handover = 1550 * time.Millisecond
	for _, skipped := range []bool{false, true} {
		l := &versionLog{}
		peer := startVersionReader(startTime.Add(-time.Hour))
		peer.read(startTime.Add(-time.Hour), l)
		l.name("2")
		peer.read(startTime.Add(-time.Hour+time.Second), l)
		r := startVersionReader(startTime)
		r.pull(startTime.Add(10*time.Millisecond), peer)
		named := startTime.Add(time.Hour)
		l.name("3")
		if skipped {
			l.name("4")
		}
		r.readAt = named.Add(-handover) // as a follower tells after a standby
		r.read(named.Add(10*time.Millisecond), l)
		r.wantAtMost(t, named.Add(versionBound-handover-time.Millisecond), 2)
		r.wantRequired(t, named.Add(versionBound), 3)
	}
}
