package replicator

import (
	"time"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/gossiper"
)

// Limits of the messages by which an entry that has just started asks for the state of other
// processes. Without them it takes endpoints that are full or about to load a version for
// free until the next regular message of each process.
const (
	askTime      = time.Second           // time after the first read of the list of processes
	maxAskedFar  = 256                   // messages to agents of regions that other entries serve
	minReplyTime = 50 * time.Millisecond // between replies to one entry
)

// recordStart records the first read of the list of processes.
func (r *Replicator) recordStart(now time.Time, e gooseberrypass.TopicChanged) {
	if r.loads != nil && r.startedAt.IsZero() && e.Topic == gooseberrypass.TopicProcesses {
		r.startedAt = now
	}
}

// isStarting reports whether this process is an entry that has just started.
func (r *Replicator) isStarting(now time.Time) bool {
	return !r.startedAt.IsZero() && now.Sub(r.startedAt) < askTime
}

// replyToStart sends the state of this process to an entry that has just started.
func (r *Replicator) replyToStart(now time.Time, m gossiper.Message) {
	if !m.Starting || now.Sub(r.repliedAt[m.From]) < minReplyTime {
		return
	}
	r.repliedAt[m.From] = now
	r.sender.Send(r.message(now, gooseberrypass.RoleEntry), []string{m.Address})
}
