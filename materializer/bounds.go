package materializer

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gooseberrypass/gooseberrypass"
)

// Sources of what a process knows of versions, for logs.
const (
	sourceFirstRead = "first read" // whose records may be of any age
	sourceMessage   = "message"    // from another process
	sourcePull      = "pull"       // from another process
	sourceRead      = "read"
)

// source returns where the records or versions of an event come from.
func source(e gooseberrypass.TopicChanged) string {
	switch {
	case e.FirstRead:
		return sourceFirstRead
	case e.Ages == nil:
		return sourceRead
	case e.Batch.Next == 0:
		return sourceMessage
	default:
		return sourcePull
	}
}

// logBounds logs the versions whose bounds have become known or changed since an earlier
// snapshot.
func (m *Materializer) logBounds(now time.Time, before *Snapshot, e gooseberrypass.TopicChanged) {
	for model, targets := range m.Snapshot().Targets {
		for _, t := range targets {
			known := before.Targets[model]
			if i, ok := known.find(t.Version); ok && known[i] == t {
				continue
			}
			m.logger.WithFields(logrus.Fields{
				"age_ms": now.Sub(t.Since).Milliseconds(), "model": model, "observed": !t.ObservedAt.IsZero(), "source": source(e), "version": t.Version,
			}).Info("bound of a version set")
		}
	}
}
